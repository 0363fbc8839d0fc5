#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/PeerName.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// Work of one daemon in flight at one upstream.
struct UpstreamWork {
  /// The upstream's number, as `LiveUpstream::Number`.
  std::uint64_t upstream = 0;
  /// In tokens x layers, or in requests.
  double work = 0;
  bool isSuspect = false;
  /// Above 1 it is slower than its kind, as it told the daemon.
  double pace = 1;
};

/// What a daemon tells the others of its failure domain.
struct WorkGossip {
  std::vector<UpstreamWork> works;
};

/// Stands for any revision, of any era: it is not to be told.
constexpr StoreRevision kNotWanted{std::numeric_limits<std::uint64_t>::max(),
                                   std::numeric_limits<std::uint64_t>::max()};

/// Asks a peer for what it knows beyond these revisions.
struct ClusterWant {
  /// Era of the store, as the sender knows it; all revisions are of it.
  std::uint64_t era = 0;
  std::uint64_t question = 0;
  KnownRevisions known;
  std::string failureDomain;
  /// Of the sender's VM.
  double linkMbps = 0;
  /// Whether the sender is to have an entry in the store.
  bool wantsEntry = false;
  /// Whether the sender asks who is there.
  bool wantsNames = false;
};

/// The answer to a question.
struct ClusterGive {
  /// Era of the store, as the sender knows it; all revisions are of it.
  std::uint64_t era = 0;
  std::uint64_t question = 0;
  ClusterUpdate copy;
  /// By `PackText` and `PackList` in place of the copy's, null where there is
  /// none; read, they stand in the copy.
  SharedBytes packedConfig;
  SharedBytes packedUpstreams;
  SharedBytes packedDaemons;
  /// For so long what the packed list of upstreams removes may only have
  /// lapsed.
  Micros packedGrace{0};
  /// The first daemons of the asker's failure domain, where it asks for names.
  std::vector<PeerName> names;
};

/// What a daemon tells whoever places layers.
struct DemandGossip {
  /// Tokens of requests that its callers would have in flight if all were
  /// served.
  double tokens = 0;
};

/// What a daemon tells all others of requests that end upstreams.
struct CrashGossip {
  std::vector<UpstreamCrash> crashes;
  /// Blamed before, and answered whole now.
  std::vector<RequestFingerprint> cleared;
};

/// What a daemon tells all others of limits that upstreams name.
struct LimitGossip {
  std::vector<LimitNotice> limits;
};

using EdgePeerBody = std::variant<WorkGossip, ClusterWant, ClusterGive,
                                  DemandGossip, CrashGossip, LimitGossip>;

/// A message with the daemon that sent it.
struct EdgePeerMessage {
  std::string sender;
  /// host:port at which the sender listens for answers.
  std::string replyTo;
  EdgePeerBody body;
};

/// A text as it is told to many: compressed, behind its length.
std::string PackText(std::string_view aText);
/// A list as it is told to many: a FlatBuffer, by `PackText`. Entries of
/// upstreams are texts that differ in a few places.
std::string PackList(const ListUpdate& aList);
/// The message as a FlatBuffer, and what is packed behind it.
PeerFrame WriteEdgePeerMessage(const EdgePeerMessage& aMessage);
/// The message in a buffer; fails with `BadRequest` where it has none.
Result<EdgePeerMessage> ReadEdgePeerMessage(std::string_view aBuffer);

}  // namespace zincstep
