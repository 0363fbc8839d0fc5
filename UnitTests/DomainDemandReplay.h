#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// A load on several failure domains, and its faults.
struct DemandReplayLoad {
  /// Streams per second of a domain's callers at a time since the start.
  std::function<double(const std::string& aDomain, double aSeconds)> arrivals;
  int daemonsPerDomain = 29;
  /// See `ChainChooser::SetKnowsOwnCallers`.
  bool knowsOwnCallers = true;
  Micros length = 30s;
  /// Outcomes and loads are counted from then on, when the first layout has
  /// been adapted to the demand.
  Micros countedFrom = 12s;
  /// Additional age of all reports between daemons.
  Micros reportDelay{0};
  /// When the placement leader is lost; the next one begins with no demand.
  std::optional<Micros> leaderLostAt;
  /// A domain that daemons of others cannot reach for a time, nor the leader.
  std::string partitioned;
  Micros partitionedFrom{0};
  Micros partitionedUntil{0};
  /// Whether layers are placed during the replay.
  bool places = true;
  FeatureMode domainDemand = FeatureMode::Auto;
};

/// Outcome of a replay.
struct DemandReplayResult {
  int arrivals = 0;
  /// Refused, or the first event came after the objective.
  int missed = 0;
  int refused = 0;
  /// Orders to load layers.
  int loads = 0;
  /// Streams of each domain's callers by second, and those of them that started
  /// in another domain; from `countedFrom` on.
  std::map<std::string, std::vector<int>> started;
  std::map<std::string, std::vector<int>> startedElsewhere;

  double MissedShare() const {
    return static_cast<double>(this->missed) / std::max(1, this->arrivals);
  }
  /// Mean share of a domain's streams that start elsewhere.
  double RemoteShare(const std::string& aDomain) const;
  /// Mean change of that share from second to second, relative to its mean.
  double RemoteVariation(const std::string& aDomain) const;
};

/// Simulates callers of several domains with the chain choice of the daemons
/// and the placement of their leader.
///
/// Time is simulated. A daemon knows its own work at once, that of the other
/// daemons of its domain from periodic reports, and the load of an upstream
/// also from its responses. An upstream runs a limited number of streams as
/// first stage and queues some more; a stream's memory is reserved at all
/// members until it ends.
class DomainDemandReplay {
 public:
  DomainDemandReplay(const ModelShape& aModel,
                     std::vector<PlacedUpstream> aPool, DemandReplayLoad aLoad,
                     std::uint64_t aSeed);

  DemandReplayResult Run();

 private:
  /// Actual state of an upstream.
  struct SimulatedUpstream {
    PlacedUpstream placed;
    double used = 0;
    int running = 0;
    std::deque<std::size_t> queue;
  };
  struct Daemon {
    std::string domain;
    std::vector<UpstreamPtr> view;
    /// Work and requests by upstream in this daemon's last report.
    std::vector<double> reportedWork;
    std::vector<int> reportedRequests;
    /// Remote work and requests that `view` has now.
    std::vector<double> remoteWork;
    std::vector<int> remoteRequests;
    DemandMeter demand;
  };
  /// Sum of the reports that the daemons of a domain have received.
  struct DomainReports {
    std::vector<double> work;
    std::vector<int> requests;
    std::vector<AnnouncedLoad> announced;
  };
  struct Stream {
    std::size_t daemon = 0;
    Instant arrivedAt;
    std::vector<std::pair<std::size_t, double>> held;
  };
  struct Event {
    Instant at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator>(const Event& aOther) const {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->sequence > aOther.sequence;
    }
  };

  void At(Instant aAt, std::function<void()> aRun);
  double Elapsed() const { return ToSeconds(this->now - this->start); }
  bool IsCounted() const {
    return this->now >= this->start + this->load.countedFrom;
  }
  bool IsPartitioned() const;
  /// Whether a daemon and an upstream, or the leader, reach each other.
  bool Reaches(const std::string& aOne, const std::string& aOther) const;
  void OnArrival(std::size_t aDomain);
  void TryStart(std::size_t aDaemon, Instant aArrivedAt, int aAttemptsLeft);
  void SyncView(Daemon& aDaemon);
  /// Returns the member that refuses the chain, or none.
  std::optional<std::size_t> RefusedBy(const Daemon& aDaemon,
                                       const PoolChain& aChain) const;
  void Begin(std::size_t aStream);
  void End(std::size_t aStream);
  void RecordStart(const Daemon& aDaemon, const PoolChain& aChain);
  void SendReport(std::size_t aDaemon);
  void SendDemand(std::size_t aDaemon);
  void PlanLayers();
  void ApplyOrder(const PlacementOrder& aOrder);
  /// Sets an upstream's layers, in all views.
  void SetLayers(std::size_t aUpstream, LayerRange aLayers);
  std::size_t IndexOf(const UpstreamPtr& aUpstream) const;

  ModelShape model;
  DemandReplayLoad load;
  Random random;
  ChainChooser chooser;
  PlacementPlanner planner{PlacementSettings{}};
  std::vector<std::string> domains;
  std::vector<SimulatedUpstream> upstreams;
  std::map<std::string, std::size_t> indices;
  std::vector<Daemon> daemons;
  std::map<std::string, DomainReports> reports;
  std::vector<Stream> streams;
  DemandSum demand;
  DemandTargets targets;
  std::uint64_t passes = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t lastSequence = 0;
  Instant start{Micros{100s}};
  Instant now = start;
  Instant end;
  DemandReplayResult result;
};

}  // namespace zincstep
