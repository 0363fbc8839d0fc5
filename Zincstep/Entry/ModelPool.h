#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Control/Control.h"
#include "Zincstep/Entry/PlanWorker.h"
#include "Zincstep/Entry/Snapshot.h"

namespace zincstep {

using PlannerPtr = std::shared_ptr<ChainPlanner>;

/// State of one upstream, for operators.
struct UpstreamView {
  std::string name;
  std::string model;
  std::string failureDomain;
  std::string kind;
  LayerRange layers;
  /// The reported version, or the declared one before the first report.
  std::string version;
  ReplicaState state = ReplicaState::Up;
  /// Sequences that this daemon started there.
  int localSequences = 0;
  /// Estimated sequences of all daemons.
  double sequences = 0;
  /// Measured time per step over the declared one.
  double stepRatio = 1;
};

/// The chain planners of all models, updated from load reports.
class ModelPool {
 public:
  explicit ModelPool(const Clock& aClock) : clock(aClock) {}

  /// Applies a new configuration; keeps the load state of upstreams that
  /// remain.
  void SetSnapshot(const Snapshot& aSnapshot);
  /// Sets the number of daemons that share the load, this one included.
  void SetDaemons(int aDaemons);
  /// Records an upstream's load, reported by itself or by a peer. An empty
  /// version means that it is loading one.
  void OnLoad(const std::string& aUpstream, double aSequences,
              const std::string& aVersion);
  /// Records that an upstream did not respond to a load query.
  void OnUnreachable(const std::string& aUpstream);
  /// Marks an upstream as leaving; it gets no new work.
  void SetLeaving(const std::string& aUpstream);
  /// Sets the paused upstreams, which get no new work.
  void SetPaused(const std::set<std::string>& aPaused);
  /// Whether an upstream is in the given failure domain.
  bool IsLocal(const std::string& aUpstream,
               const std::string& aFailureDomain) const;
  /// Returns the actual and declared state of a failure domain's upstreams.
  std::vector<UpstreamState> States(const std::string& aFailureDomain) const;
  /// Applies a computed plan; ignores one of an earlier configuration.
  void OnPlan(PlanResult aResult);
  /// Returns the plan requests that are due, and marks them as pending.
  std::vector<PlanRequest> DuePlans();

  /// Returns the version for a new request: the declared one or, during a
  /// rollout, the previous one, in proportion to their capacities.
  std::string ServingVersion(const std::string& aModel, Random& aRandom);
  /// Returns the planner of a version, or null if there is none.
  PlannerPtr Planner(const std::string& aModel, const std::string& aVersion);
  /// Tokens per second that this daemon's share of the model's capacity allows.
  double LocalTokenRate(const std::string& aModel);

  /// Returns the state of every upstream, for operators.
  std::vector<UpstreamView> Views();
  /// Addresses of the upstreams by name, for load queries.
  const std::map<std::string, std::string>& Addresses() const {
    return this->addresses;
  }

 private:
  struct VersionState {
    PlannerPtr planner;
    std::vector<double> plannedShares;
    Instant plannedAt;
    bool isPlanPending = false;
  };
  struct ModelState {
    Model model;
    Fleet fleet;
    std::map<std::string, VersionState> versions;
    std::string lastGood;
  };
  struct Location {
    std::string model;
    int replica = 0;
  };

  ModelState MakeState(const Snapshot& aSnapshot, const Model& aModel);
  void InheritLoads(ModelState& aState, const ModelState& aBefore);
  void UpdateLastGood(ModelState& aState);
  bool IsDue(const VersionState& aVersion, Instant aNow) const;
  template <class Step>
  void ForUpstream(const std::string& aUpstream, Step aStep);

  const Clock& clock;
  std::uint64_t generation = 0;
  int daemons = 1;
  std::map<std::string, ModelState> models;
  std::map<std::string, Location> locations;
  std::map<std::string, std::string> addresses;
  std::map<std::string, std::string> actualVersions;
  std::map<std::string, std::string> kinds;
  std::map<std::string, bool> checksFence;
  std::map<std::string, Instant> lastSeenAt;
  std::set<std::string> paused;
};

}  // namespace zincstep
