#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Config/Config.h"
#include "Zincstep/Once/Once.h"

namespace zincstep {

/// Load of one upstream as last reported by the daemon that polls it.
struct UpstreamLoad {
  std::string name;
  double sequences = 0;
  std::string version;
  bool reachable = true;
};

/// State that a daemon sends to all peers of its failure domain, once per
/// second.
struct GossipMessage {
  std::string vm;
  std::string member;
  std::string failureDomain;
  /// host:port at which callers connect.
  std::string address;
  std::uint64_t revision = 0;
  std::uint64_t membersVersion = 0;
  bool stopping = false;
  /// Member that received its claims; set once its witness has closed.
  std::string handedTo;
  std::vector<UpstreamLoad> loads;
  std::vector<UsageReport> usages;
  /// Upstreams that are leaving as far as the sender knows.
  std::vector<std::string> leaving;
  /// Upstreams that get no new work while a change to them is in progress.
  std::vector<std::string> paused;
};

/// Request of a claimant to a witness.
struct ClaimOrderMessage {
  enum class Step { Ask, Release, Finish };
  std::uint64_t round = 0;
  std::uint64_t epoch = 0;
  Step step = Step::Ask;
  Claim claim;
};

/// Vote of a witness.
struct ClaimVoteMessage {
  std::uint64_t round = 0;
  ClaimVote vote;
};

/// Requests a configuration that is newer than the sender's.
struct ConfigWantMessage {
  std::uint64_t haveRevision = 0;
  /// Prefixes of the digests of the pieces that the sender has.
  std::vector<std::string> haveDigests;
};

/// Configuration without the pieces that the receiver has.
struct ConfigGiveMessage {
  std::uint64_t revision = 0;
  std::string root;
  /// Digest and text of each piece.
  std::vector<std::pair<std::string, std::string>> pieces;
};

/// Requests the agreed member lists.
struct MembersWantMessage {};

/// The agreed member lists.
struct MembersGiveMessage {
  std::string text;
};

/// Claims of a closed witness, sent to the member that takes them over.
struct HandOverMessage {
  std::string from;
  std::vector<Claim> claims;
};

/// Confirms that the claims of a closed witness were taken over.
struct HandOverDoneMessage {
  std::string from;
};

using PeerBody =
    std::variant<GossipMessage, ClaimOrderMessage, ClaimVoteMessage,
                 ConfigWantMessage, ConfigGiveMessage, MembersGiveMessage,
                 MembersWantMessage, HandOverMessage, HandOverDoneMessage>;

/// Message with its sender.
struct PeerMessage {
  std::string sender;
  /// host:port at which the sender listens for replies.
  std::string replyTo;
  PeerBody body;
};

/// Returns the message as a FlatBuffer.
std::string WritePeerMessage(const PeerMessage& aMessage);
/// Parses a FlatBuffer; fails with `BadRequest` if it is not a valid message.
Result<PeerMessage> ReadPeerMessage(std::string_view aBuffer);

}  // namespace zincstep
