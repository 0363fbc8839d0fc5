#pragma once

#include <cstdint>
#include <string>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Names one run of one request: the daemon that runs it and its number.
struct Claimant {
  std::string member;
  std::uint64_t request = 0;

  bool operator==(const Claimant&) const = default;
};

/// How far a claimed request is.
enum class ClaimState {
  /// The claimant may run it, or be running it.
  Claimed,
  /// It has run, and its answer is kept where it was small.
  Finished,
  /// It may have run; its answer is not known to anybody.
  Unknown,
};

inline constexpr NameTable<ClaimState, 3> kClaimStateNames{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Finished, "finished"},
    {ClaimState::Unknown, "unknown"},
}};

/// An answer that is kept for callers who repeat their key.
struct CachedResponse {
  int status = 0;
  std::string contentType;
  std::string body;
  /// The body was too large to be kept.
  bool isTruncated = false;
};

/// What a witness remembers of one key.
struct Claim {
  /// Hash of organisation and key, in hexadecimal.
  std::string key;
  /// Hash of the request, to tell a repeat from another use of the key.
  std::uint64_t digest = 0;
  Claimant claimant;
  ClaimState state = ClaimState::Claimed;
  CachedResponse answer;
};

/// A witness' answer to a claim.
struct ClaimVote {
  enum class Kind {
    /// The key is this claimant's, as far as the witness knows.
    Granted,
    /// The key is another's; `claim` says whose.
    HeldByOther,
    /// The witness knows a newer list of members than the claimant.
    StaleMembers,
    /// The witness has no room for a further key.
    Full,
    /// The witness is stopping or has handed its memory over.
    Closed,
  };
  Kind kind = Kind::Granted;
  Claim claim;
};

inline constexpr NameTable<ClaimVote::Kind, 5> kVoteNames{{
    {ClaimVote::Kind::Granted, "granted"},
    {ClaimVote::Kind::HeldByOther, "held"},
    {ClaimVote::Kind::StaleMembers, "stale_members"},
    {ClaimVote::Kind::Full, "full"},
    {ClaimVote::Kind::Closed, "closed"},
}};

/// Time for which a key is remembered after its last change.
inline constexpr Micros kKeyRetention = 600s;
/// Largest answer body that is kept for repeats.
inline constexpr std::size_t kMaxCachedResponseBytes = 8 << 10;

}  // namespace zincstep
