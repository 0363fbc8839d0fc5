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

/// One upstream as operators see it.
struct UpstreamView {
  std::string name;
  std::string model;
  std::string failureDomain;
  std::string kind;
  LayerRange layers;
  std::string version;
  ReplicaState state = ReplicaState::Up;
  int own = 0;
  double sequences = 0;
  double stepRatio = 1;
};

/// The planners of all models, kept up to date by what is heard.
class ModelPool {
 public:
  explicit ModelPool(const Clock& aClock) : clock(aClock) {}

  /// Takes a new configuration; what was learnt of upstreams is kept.
  void SetSnapshot(const Snapshot& aSnapshot);
  /// Daemons that share the load, this one included.
  void SetDaemons(int aDaemons);
  /// An upstream's load, from itself or from a peer.
  void OnLoad(const std::string& aUpstream, double aSequences,
              const std::string& aVersion);
  /// An upstream did not answer.
  void OnUnreachable(const std::string& aUpstream);
  /// An upstream leaves.
  void SetLeaving(const std::string& aUpstream);
  /// Sets the upstreams that get no new work for the time being.
  void SetPaused(const std::set<std::string>& aPaused);
  /// Whether an upstream stands in that failure domain.
  bool IsLocal(const std::string& aUpstream,
               const std::string& aFailureDomain) const;
  /// The upstreams of a failure domain beside what is declared for them.
  std::vector<UpstreamState> States(const std::string& aFailureDomain) const;
  /// A plan was computed.
  void OnPlan(PlanResult aResult);
  /// Plans that are due, each at most once in a while.
  std::vector<PlanOrder> DuePlans();

  /// The version that a new request runs on: the declared one, or while it
  /// rolls the one before, each as often as it has room.
  std::string ServingVersion(const std::string& aModel, Random& aRandom);
  /// The planner of a version, or null.
  PlannerPtr Planner(const std::string& aModel, const std::string& aVersion);
  /// Tokens a second that this daemon's share of all fleets carries.
  double OwnTokenRate(const std::string& aModel);

  /// Every upstream, for operators.
  std::vector<UpstreamView> Views();
  /// Upstreams by name with their addresses, for asking their load.
  const std::map<std::string, std::string>& Addresses() const {
    return this->addresses;
  }

 private:
  struct VersionState {
    PlannerPtr planner;
    std::vector<double> plannedShares;
    Instant plannedAt;
    bool isOrdered = false;
  };
  struct ModelState {
    Model model;
    Fleet fleet;
    std::map<std::string, VersionState> versions;
    std::string lastGood;
  };
  struct Place {
    std::string model;
    int replica = 0;
  };

  ModelState MakeState(const Snapshot& aSnapshot, const Model& aModel);
  void InheritLoads(ModelState& aState, const ModelState& aBefore);
  void NoteLastGood(ModelState& aState);
  bool IsDue(const VersionState& aVersion, Instant aNow) const;
  template <class Step>
  void ForUpstream(const std::string& aUpstream, Step aStep);

  const Clock& clock;
  std::uint64_t generation = 0;
  int daemons = 1;
  std::map<std::string, ModelState> models;
  std::map<std::string, Place> places;
  std::map<std::string, std::string> addresses;
  std::map<std::string, std::string> actualVersions;
  std::map<std::string, std::string> kinds;
  std::map<std::string, bool> checksFence;
  std::map<std::string, Instant> lastSeenAt;
  std::set<std::string> paused;
};

}  // namespace zincstep
