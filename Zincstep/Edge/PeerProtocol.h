#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/CapacityGossip.h"
#include "Zincstep/Edge/DaemonRegistrar.h"
#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Edge/EdgeSettings.h"
#include "Zincstep/Edge/PeerByteCount.h"
#include "Zincstep/Edge/PeerMembers.h"
#include "Zincstep/Edge/PeerResponder.h"
#include "Zincstep/Edge/WorkExchange.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// Exchanges messages with the other edge daemons.
///
/// Sends work in flight to the daemons of the same failure domain, and queries
/// any daemon for the cluster's state when the store does not respond. Daemons
/// discover each other by entries in the store and by the seeds.
class PeerProtocol final : private PeerListener {
 public:
  /// Returns the demand of this daemon's callers; none if unknown.
  using LocalDemand = std::function<std::optional<double>()>;
  using OnPeerSuspicion = WorkExchange::OnPeerSuspicion;
  /// Called with a peer's report of requests that crash upstreams, and the
  /// address at which it listens.
  using OnPeerCrashes =
      std::function<void(const CrashGossip&, const std::string&)>;

  /// Called with a peer's report of upstreams' rate limits, its name, and the
  /// address at which it listens.
  using OnPeerLimits = std::function<void(
      const LimitGossip&, const std::string&, const std::string&)>;

  PeerProtocol(asio::io_context& aLoop, const EdgeSettings& aSettings,
               AsyncStore& aStore, ClusterView& aView, const Clock& aClock,
               Random& aRandom, Metrics& aMetrics, StoreEraTracker& aEras,
               OnPeerSuspicion aOnSuspicion, OnPeerCrashes aOnCrashes,
               OnPeerLimits aOnLimits, LocalDemand aLocalDemand);

  Result<void> Start();
  /// Deregisters this daemon before it stops.
  void BeginStop() { this->registrar.Deregister(); }
  void Stop();
  /// Sends gossip and queries that are due. Called several times per second.
  void Tick();
  /// The other daemons and the selection of the sync source.
  const PeerMembers& Members() const { return this->members; }
  /// Whether daemons report their work to those of all domains, as in a small
  /// cluster.
  bool ReportsToAll() const;
  /// Returns the demand of all daemons, if this one leads placement and has
  /// received it; see `DemandSum::Peak`.
  std::optional<ObservedDemand> Demand() {
    return this->demand.Peak(this->clock.Now());
  }
  /// Applies entries of this failure domain's daemons that were read at the
  /// start and may be stale.
  void OnBootstrapEntries(const std::vector<StoreItem>& aItems);
  /// Number of known daemons, including this one.
  std::size_t DaemonCount() const { return this->members.All().size() + 1; }
  /// Writes this daemon's entries again and discards pending queries, after the
  /// store was restored from a backup.
  void OnRestored();
  /// Sets what is called with each daemon's report of its work.
  void SetOnPeerReach(WorkExchange::OnPeerReach aOnReach) {
    this->work.SetOnPeerReach(std::move(aOnReach));
  }
  /// Sets what work messages say of demand by priority; none if never called.
  void SetCapacityGossip(CapacityGossip& aCapacity) {
    this->capacity = &aCapacity;
  }
  /// Notifies peers that a newer configuration is active here.
  void OnConfiguration();
  /// Sends this daemon's work and suspicions in the next turn of the loop.
  void GossipSoon();
  /// Sends a message to all daemons at once.
  void Broadcast(EdgePeerBody aBody);
  /// Sends a message to one daemon.
  void Send(const std::string& aAddress, EdgePeerBody aBody);
  /// Sends a message to the placement leader, if that is another daemon.
  void SendToPlacementLeader(EdgePeerBody aBody);
  /// Applies the view's changed daemon entries. `aPlacementLeader` is sent
  /// suspicions, whatever its failure domain.
  void OnDaemonEntries(const std::string& aPlacementLeader);
  /// Bytes queued for sending.
  std::size_t BytesToPeers() const {
    return this->transport->Traffic().totalQueuedBytes;
  }
  /// Bytes received but not parsed yet.
  std::size_t BytesFromPeers() const {
    return this->transport->Traffic().unconsumedBytes;
  }
  /// Bytes of cached compressed responses.
  std::size_t BytesPacked() const { return this->responder.Bytes(); }
  /// Returns whether no seeds are configured.
  bool IsAlone() const { return this->seeds.empty(); }

 private:
  /// Query id of unsolicited messages, which are hints of a newer configuration
  /// without its text.
  static constexpr std::uint64_t kUnsolicited = 0;

  /// What a query requests: all changes; changes including the configuration,
  /// which a starting daemon otherwise leaves to the store; or the names of
  /// other daemons.
  enum class QueryScope { Changes, Configuration, Members };
  struct PendingQuery {
    std::string address;
    Instant sentAt;
    /// Whether the response includes the upstreams, so that it can validate the
    /// lists.
    bool requestsUpstreams = true;
    bool requestsMembers = false;
  };

  void OnPeerData(std::string aMessage) override;
  void OnMessage(const EdgePeerMessage& aMessage);
  void OnQuery(const std::string& aSender, const std::string& aAddress,
               const ClusterQuery& aQuery);
  /// Applies the highest-ranked daemons of this failure domain as named by a
  /// peer.
  void OnMembersNamed(std::vector<PeerName> aNames);
  void OnGossip(const std::string& aSender, const WorkGossip& aGossip);
  void OnResponse(const ClusterResponse& aResponse);
  /// Queries the peer for its configuration if that has a higher version, or
  /// notifies the peer if the version here is higher.
  void CompareVersions(const std::string& aAddress,
                       const ClusterUpdate& aUpdate);
  /// Returns a message with the version of the active configuration, without
  /// its text.
  PeerFrame Hint() const;
  std::uint64_t Era() const { return this->eras.CurrentEra().value_or(0); }
  /// Queries a peer that has announced a possibly newer configuration.
  void OnHint(const std::string& aAddress, const ClusterUpdate& aUpdate);
  /// Returns whether this daemon still has no validated lists.
  bool IsStarting() const;
  void Gossip();
  /// Sends the demand of this daemon's callers to the placement leader.
  void ReportDemand(Instant aNow);
  /// Sends the work at the upstreams of this failure domain to the placement
  /// leader, if this daemon leads the domain and the leader gets no work
  /// messages from it.
  void ReportDomainWork();
  /// Number of other daemons of this failure domain.
  std::size_t DomainPeers() const;
  /// Interval between messages with this daemon's work.
  Micros GossipInterval() const;
  /// Queries peers if this daemon starts or its state is outdated.
  void QueryIfOutdated(Instant aNow);
  void QueryPeers(Instant aNow);
  /// Queries the seeds for the names of other daemons.
  void QuerySeeds(Instant aNow);
  /// Queries the sync sources for updates of the store's state.
  void QuerySyncSources(Instant aNow);
  std::vector<std::string> KnownAddresses() const;
  void Query(const std::string& aAddress, Instant aNow,
             QueryScope aScope = QueryScope::Changes);
  /// Returns whether this peer may be queried for the full list of upstreams:
  /// the entries of thousands are a megabyte.
  bool CanQueryFullList(const std::string& aAddress, Instant aNow) const;
  /// Returns whether only members of this failure domain are queried for the
  /// full list.
  bool QueriesSameDomainOnly(Instant aNow) const;
  PeerFrame Encode(EdgePeerBody aBody) const;
  /// Sends an encoded message.
  void SendFrame(const std::string& aAddress, PeerMessageKind aKind,
                 const PeerFrame& aMessage);

  asio::io_context& loop;
  const EdgeSettings& settings;
  ClusterView& view;
  const Clock& clock;
  Random& random;
  OnPeerCrashes onCrashes;
  OnPeerLimits onLimits;
  LocalDemand localDemand;
  StoreEraTracker& eras;
  PeerByteCount bytes;
  DaemonRegistrar registrar;
  PeerResponder responder;
  std::unique_ptr<PeerTransport> transport;
  WorkExchange work;
  CapacityGossip* capacity = nullptr;
  DemandSum demand;
  PeerMembers members;
  /// Revision of the daemons' entries that `members` reflects.
  StoreRevision entriesRevision;
  std::string placementLeader;
  std::vector<std::string> seeds;
  /// Start of this daemon, from which the time limits of a start are measured.
  Instant startedAt;
  /// Pending queries by id.
  std::map<std::uint64_t, PendingQuery> pendingQueries;
  std::uint64_t lastQueryId = 0;
  /// Id of the last query for the full list of upstreams.
  std::uint64_t fullListQuery = 0;
  Instant nextGossip{};
  Instant nextDemand{};
  Instant nextQuery{};
  Instant nextSyncQuery{};
  /// Earliest time at which the next hint is followed up.
  Instant nextHintAt{};
  bool isGossipDue = false;
};

}  // namespace zincstep
