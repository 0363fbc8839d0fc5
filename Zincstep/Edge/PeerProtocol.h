#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/DaemonRegistrar.h"
#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Edge/EdgeSettings.h"
#include "Zincstep/Edge/PeerByteCount.h"
#include "Zincstep/Edge/PeerMembers.h"
#include "Zincstep/Edge/PeerResponder.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// Speaks with the other edge daemons.
///
/// Tells those of the same failure domain how much work is in flight, and
/// asks any of them what it knows when the store does not answer. Daemons
/// find each other by entries in the store, and by the seeds.
class PeerProtocol final : private PeerListener {
 public:
  /// What this daemon's callers need; none where that is not known.
  using OwnDemand = std::function<std::optional<double>()>;
  /// Called with an upstream that a peer suspects and this daemon does not.
  using OnPeerSuspicion = std::function<void(const UpstreamPtr&)>;

  /// Called with what a peer tells of requests that end upstreams, and where it
  /// listens.
  using OnPeerCrashes =
      std::function<void(const CrashGossip&, const std::string&)>;

  /// Called with what a peer tells of limits that upstreams name, its name, and
  /// where it listens.
  using OnPeerLimits = std::function<void(
      const LimitGossip&, const std::string&, const std::string&)>;

  PeerProtocol(asio::io_context& aLoop, const EdgeSettings& aSettings,
               AsyncStore& aStore, ClusterView& aView, const Clock& aClock,
               Random& aRandom, Metrics& aMetrics, StoreEraTracker& aEras,
               OnPeerSuspicion aOnSuspicion, OnPeerCrashes aOnCrashes,
               OnPeerLimits aOnLimits, OwnDemand aOwnDemand);

  Result<void> Start();
  /// This daemon will end: it is taken off the list of daemons.
  void BeginStop() { this->entries.End(); }
  void Stop();
  /// Tells and asks where it is time; to be called several times a second.
  void Tick();
  /// The other daemons, and whether one of them proves for this one.
  const PeerMembers& Members() const { return this->members; }
  /// The demand of all daemons, where this one places layers and has heard of
  /// it; see `DemandSum::Peak`.
  std::optional<ObservedDemand> Demand() {
    return this->demand.Peak(this->clock.Now());
  }
  /// Entries of this failure domain's daemons, as the store had them lately.
  void OnBootstrapEntries(const std::vector<StoreItem>& aItems);
  /// Daemons that are known, this one included.
  std::size_t Daemons() const { return this->members.All().size() + 1; }
  /// The store has come back from a copy: what this daemon keeps there is
  /// written again, and what peers were asked for is void.
  void OnRestored();
  /// A newer configuration is in force here: peers are told at once.
  void OnConfiguration();
  /// Tells this daemon's work and suspicions at once.
  void GossipSoon();
  /// Tells all daemons at once.
  void Broadcast(EdgePeerBody aBody);
  /// Tells one daemon.
  void Send(const std::string& aAddress, EdgePeerBody aBody);
  /// Tells whoever places layers, if that is another daemon.
  void SendToPlacementLeader(EdgePeerBody aBody);
  /// The view's entries of daemons have changed; `aPlacementLeader` places
  /// layers and is told of suspicions wherever it is.
  void OnDaemonEntries(const std::string& aPlacementLeader);
  /// Bytes of messages that wait to be sent.
  std::size_t BytesToPeers() const {
    return this->transport->Traffic().totalQueuedBytes;
  }
  /// Bytes of messages that have come and are not read yet.
  std::size_t BytesFromPeers() const {
    return this->transport->Traffic().unconsumedBytes;
  }
  /// Bytes that are kept packed for whoever asks.
  std::size_t BytesPacked() const { return this->answers.Bytes(); }
  /// Whether no other daemon is known by the settings.
  bool IsAlone() const { return this->seeds.empty(); }

 private:
  /// What a question is for: all that is new, at any rate the configuration,
  /// though a daemon that starts may have it from the store, or who is there.
  enum class Wanted { News, Configuration, Names };
  struct Question {
    std::string address;
    Instant askedAt;
    /// Whether the answer tells of upstreams, so that it can prove the lists.
    bool wantsUpstreams = true;
    bool wantsNames = false;
  };

  void OnPeerData(std::string aMessage) override;
  void OnMessage(const EdgePeerMessage& aMessage);
  void OnWant(const std::string& aSender, const std::string& aAddress,
              const ClusterWant& aWant);
  /// A peer has named the first daemons of this failure domain.
  void OnNames(std::vector<PeerName> aNames);
  void OnGossip(const std::string& aSender, const WorkGossip& aGossip);
  void OnGive(const ClusterGive& aGive);
  /// Either side is told where the other has a configuration of a higher
  /// version.
  void CompareVersions(const std::string& aAddress, const ClusterUpdate& aCopy);
  /// A message that says which configuration is in force here.
  PeerFrame Hint() const;
  std::uint64_t Era() const { return this->eras.Present().value_or(0); }
  /// A peer has a configuration that may be newer.
  void OnHint(const std::string& aAddress, const ClusterUpdate& aCopy);
  /// Whether peers have not told what this daemon needs to begin.
  bool IsNew() const;
  void Gossip();
  /// Tells whoever places layers what this daemon's callers need.
  void ReportDemand(Instant aNow);
  /// Between two tellings of this daemon's work.
  Micros GossipPause() const;
  void AskPeers(Instant aNow);
  /// Asks the seeds who is there.
  void AskSeeds(Instant aNow);
  /// Asks whoever tells this daemon what the store holds.
  void QuerySyncSources(Instant aNow);
  std::vector<std::string> KnownAddresses() const;
  void Ask(const std::string& aAddress, Instant aNow,
           Wanted aWanted = Wanted::News);
  /// Whether that peer may be asked for all upstreams at once: the entries of
  /// thousands are a megabyte.
  bool MayAskForAll(const std::string& aAddress, Instant aNow) const;
  /// Whether only members of the own failure domain are asked for all.
  bool AsksNearOnly(Instant aNow) const;
  PeerFrame Write(EdgePeerBody aBody) const;
  /// Sends a message that is written already.
  void SendText(const std::string& aAddress, PeerMessageKind aKind,
                const PeerFrame& aMessage);

  asio::io_context& loop;
  const EdgeSettings& settings;
  ClusterView& view;
  const Clock& clock;
  Random& random;
  OnPeerSuspicion onSuspicion;
  OnPeerCrashes onCrashes;
  OnPeerLimits onLimits;
  OwnDemand ownDemand;
  StoreEraTracker& eras;
  PeerByteCount bytes;
  DaemonRegistrar entries;
  PeerResponder answers;
  std::unique_ptr<PeerTransport> transport;
  PeerWork work;
  DemandSum demand;
  PeerMembers members;
  /// Revision up to which the members are those of the daemons' entries.
  StoreRevision entriesAt;
  std::string placementLeader;
  std::vector<std::string> seeds;
  /// When this daemon began; the store is asked for the configuration first.
  Instant startedAt;
  /// Open questions by their numbers.
  std::map<std::uint64_t, Question> questions;
  std::uint64_t lastQuestion = 0;
  /// The last question for all upstreams at once.
  std::uint64_t questionForAll = 0;
  Instant nextGossip{};
  Instant nextDemand{};
  Instant nextQuestion{};
  Instant nextSyncQuery{};
  /// Hints are followed up again from then on.
  Instant nextHintTaken{};
  bool isGossipDue = false;
  bool toldWork = false;
};

}  // namespace zincstep
