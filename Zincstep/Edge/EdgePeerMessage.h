#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/PeerName.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// Work that one daemon has in flight at one upstream.
struct UpstreamWork {
  /// The upstream's number; see `LiveUpstream::Number`.
  std::uint64_t upstream = 0;
  /// In tokens x layers, or in requests.
  double work = 0;
  bool isSuspect = false;
  /// Time per step over the normal time of the upstream's kind, as the upstream
  /// reported it to the sender. Above 1: slower.
  double slowdown = 1;
};

/// Requests that one daemon has in flight with an upstream as the first stage.
struct FirstStageWork {
  /// The upstream's number; see `LiveUpstream::Number`.
  std::uint64_t upstream = 0;
  int requests = 0;
  /// Newest load that the sender heard from the upstream itself, and its age;
  /// none if it heard none lately.
  int running = 0;
  int queued = 0;
  std::optional<Micros> age;
};

/// Maximum numbers of entries in a `WorkGossip`; further ones are not sent.
inline constexpr std::size_t kMaxFirstStages = 64;
inline constexpr std::size_t kMaxPriorityDemands = 16;
inline constexpr std::size_t kMaxOrganisationDemands = 8;

/// A daemon's work in flight, sent to the others of its failure domain.
struct WorkGossip {
  std::vector<UpstreamWork> works;
  std::vector<FirstStageWork> firstStages;
  std::vector<PriorityDemand> demands;
  std::vector<OrganisationDemand> organisations;
  /// Whether `works` covers all daemons of the sender's failure domain.
  bool coversDomain = false;
};

/// Requests no update, whatever the revision and era.
constexpr StoreRevision kNotRequested{
    std::numeric_limits<std::uint64_t>::max(),
    std::numeric_limits<std::uint64_t>::max()};

/// Queries a peer for updates since these revisions.
struct ClusterQuery {
  /// Era of the store as known to the sender; all revisions are of this era.
  std::uint64_t era = 0;
  std::uint64_t queryId = 0;
  KnownRevisions known;
  std::string failureDomain;
  /// Link of the sender's VM, in Mbit/s.
  double linkMbps = 0;
  /// Whether the sender needs an entry in the store.
  bool needsEntry = false;
  /// Whether the sender requests the names of other daemons.
  bool requestsMembers = false;
};

/// The response to a `ClusterQuery`.
struct ClusterResponse {
  /// Era of the store as known to the sender; all revisions are of this era.
  std::uint64_t era = 0;
  std::uint64_t queryId = 0;
  ClusterUpdate update;
  /// Packed by `PackText` and `PackList`, sent in place of the same parts of
  /// `update`; null if absent. Parsing a message unpacks them into `update`.
  SharedBytes packedConfig;
  SharedBytes packedUpstreams;
  SharedBytes packedDaemons;
  /// Remaining grace period in which entries removed by the packed list of
  /// upstreams may have expired only because the store was unavailable.
  Micros packedGrace{0};
  /// The highest-ranked daemons of the requester's failure domain, if it
  /// requested them.
  std::vector<PeerName> members;
};

/// A daemon's demand, sent to the placement leader.
struct DemandGossip {
  /// Tokens of the requests that its callers would have in flight if all were
  /// served.
  double tokens = 0;
  /// Failure domain of these callers; empty from older daemons.
  std::string failureDomain;
};

/// Requests that crash upstreams, sent to all daemons.
struct CrashGossip {
  std::vector<UpstreamCrash> crashes;
  /// Requests that were suspected before and have now completed.
  std::vector<Fingerprint> cleared;
  /// Crashes that the sender can't confirm yet, and those that it no longer
  /// suspects; all of runs without a response.
  std::vector<UpstreamCrash> suspected;
  std::vector<UpstreamCrash> withdrawn;
};

/// Rate limits that upstreams have announced, sent to all daemons.
struct LimitGossip {
  std::vector<LimitNotice> limits;
};

using EdgePeerBody = std::variant<WorkGossip, ClusterQuery, ClusterResponse,
                                  DemandGossip, CrashGossip, LimitGossip>;

/// A message and the daemon that sent it.
struct EdgePeerMessage {
  std::string sender;
  /// host:port at which the sender listens for responses.
  std::string replyTo;
  EdgePeerBody body;
};

/// Compresses a text for sending to many peers; prefixed with its uncompressed
/// length.
std::string PackText(std::string_view aText);
/// Encodes a list as a FlatBuffer and compresses it by `PackText`. Entries of
/// upstreams differ in few places, so they compress well.
std::string PackList(const ListUpdate& aList);
/// Encodes a message as a FlatBuffer, followed by its packed parts.
PeerFrame WriteEdgePeerMessage(const EdgePeerMessage& aMessage);
/// Parses a message. Fails with `BadRequest` if the buffer is malformed,
/// truncated or has no body.
Result<EdgePeerMessage> ReadEdgePeerMessage(std::string_view aBuffer);

}  // namespace zincstep
