#pragma once

#include <cstdint>
#include <string>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Identifies one run of a request: the daemon that runs it and the request's
/// number there.
struct Claimant {
  std::string member;
  std::uint64_t request = 0;

  bool operator==(const Claimant&) const = default;
};

/// State of a claimed request.
enum class ClaimState {
  /// The claimant may start the request or is running it.
  Claimed,
  /// The request has run. Its response is cached if it is small enough.
  Finished,
  /// The request may have run, and no response is available.
  Unknown,
};

inline constexpr NameTable<ClaimState, 3> kClaimStateNames{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Finished, "finished"},
    {ClaimState::Unknown, "unknown"},
}};

/// A response that is cached for callers that repeat their key.
struct CachedResponse {
  int status = 0;
  std::string contentType;
  std::string body;
  /// The body exceeded `kMaxCachedResponseBytes` and was dropped.
  bool isTruncated = false;
};

/// What a witness stores for one key. A witness is a daemon that votes on the
/// claims of a key; see `WitnessTable`.
struct Claim {
  /// Hash of organisation and idempotency key, in hexadecimal.
  std::string key;
  /// Hash of the request, to distinguish a repeat from a reuse of the key for
  /// another request.
  std::uint64_t digest = 0;
  Claimant claimant;
  ClaimState state = ClaimState::Claimed;
  CachedResponse response;
};

/// A witness' vote on a claim.
struct ClaimVote {
  enum class Kind {
    /// The witness has recorded this claimant as the owner of the key.
    Granted,
    /// Another claimant owns the key; `claim` is its claim.
    HeldByOther,
    /// The witness has a newer member list than the claimant.
    StaleMembers,
    /// The witness has no memory left for another key.
    Full,
    /// The witness is stopping, or has handed over its claims.
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

/// Time for which a witness keeps a key after its last change.
inline constexpr Micros kKeyRetention = 600s;
/// Maximum size of a cached response body.
inline constexpr std::size_t kMaxCachedResponseBytes = 8 << 10;

}  // namespace zincstep
