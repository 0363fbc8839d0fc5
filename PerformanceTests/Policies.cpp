#include "PerformanceTests/Policies.h"

#include <functional>

namespace zincstep::bench {

namespace {

/// Chooses chains with one `ChainPlanner` per decider.
class PlannerPolicy final : public ChainPolicy {
 public:
  PlannerPolicy(const Fleet& aFleet, int aDeciders, const FlowPlan& aPlan)
      : random(7) {
    for (int i = 0; i < aDeciders; ++i) {
      this->planners.push_back(
          std::make_unique<ChainPlanner>(aFleet, ChainPlannerSettings{}));
      this->planners.back()->SetPlan(aPlan);
      this->planners.back()->Loads().SetDaemons(aDeciders);
    }
  }

  std::string Name() const override { return "zincstep"; }

  Chain Choose(int aDecider, Instant aNow) override {
    ChainPlanner& planner = this->PlannerOf(aDecider);
    ChainChoiceInput input;
    input.now = aNow;
    const Chain chain = planner.Choose(input, this->random)->chain;
    planner.OnStart(chain);
    return chain;
  }

  void OnEnd(int aDecider, const Chain& aChain) override {
    this->PlannerOf(aDecider).OnEnd(aChain);
  }

  void OnReports(const std::vector<int>& aSequences, Instant aNow) override {
    for (const auto& planner : this->planners) {
      for (std::size_t i = 0; i < aSequences.size(); ++i) {
        planner->Loads().OnReport(static_cast<int>(i), aSequences[i], aNow);
      }
    }
  }

 private:
  ChainPlanner& PlannerOf(int aDecider) {
    return *this->planners[static_cast<std::size_t>(aDecider)];
  }

  std::vector<std::unique_ptr<ChainPlanner>> planners;
  Random random;
};

/// Builds a chain stage by stage: a picker selects one of the replicas
/// that hold the next layer, which then runs all its layers from there on.
class StagewisePolicy final : public ChainPolicy {
 public:
  using Picker = std::function<int(StagewisePolicy&, int aDecider,
                                   const std::vector<int>& aHolders)>;

  StagewisePolicy(std::string aName, const Fleet& aFleet, int aDeciders,
                  Picker aPicker)
      : name(std::move(aName)),
        fleet(aFleet),
        picker(std::move(aPicker)),
        random(11),
        turns(static_cast<std::size_t>(aDeciders * aFleet.layers), 0),
        localSequences(static_cast<std::size_t>(aDeciders),
                       std::vector<int>(aFleet.replicas.size(), 0)) {}

  std::string Name() const override { return this->name; }

  Chain Choose(int aDecider, Instant) override {
    Chain chain;
    int layer = 0;
    while (layer < this->fleet.layers) {
      std::vector<int> holders;
      for (std::size_t i = 0; i < this->fleet.replicas.size(); ++i) {
        const LayerRange& layers = this->fleet.replicas[i].layers;
        if (layers.first <= layer && layer < layers.last) {
          holders.push_back(static_cast<int>(i));
        }
      }
      const int replica = this->picker(*this, aDecider, holders);
      const int last =
          this->fleet.replicas[static_cast<std::size_t>(replica)].layers.last;
      chain.hops.push_back({replica, {layer, last}});
      layer = last;
      this->LocalSequences(aDecider, replica) += 1;
    }
    return chain;
  }

  void OnEnd(int aDecider, const Chain& aChain) override {
    for (const ChainHop& hop : aChain.hops) {
      this->LocalSequences(aDecider, hop.replica) -= 1;
    }
  }

  void OnReports(const std::vector<int>&, Instant) override {}

  int& LocalSequences(int aDecider, int aReplica) {
    return this->localSequences[static_cast<std::size_t>(aDecider)]
                               [static_cast<std::size_t>(aReplica)];
  }
  std::size_t NextTurn(int aDecider, std::size_t aCount) {
    return this->turns[static_cast<std::size_t>(aDecider)]++ % aCount;
  }
  Random& GetRandom() { return this->random; }
  double Slots(int aReplica) const {
    return this->fleet.replicas[static_cast<std::size_t>(aReplica)].slots;
  }

 private:
  std::string name;
  const Fleet& fleet;
  Picker picker;
  Random random;
  std::vector<std::size_t> turns;
  std::vector<std::vector<int>> localSequences;
};

}  // namespace

std::unique_ptr<ChainPolicy> MakePlannerPolicy(const Fleet& aFleet,
                                               int aDeciders,
                                               const FlowPlan& aPlan) {
  return std::make_unique<PlannerPolicy>(aFleet, aDeciders, aPlan);
}

std::unique_ptr<ChainPolicy> MakeRoundRobinPolicy(const Fleet& aFleet,
                                                  int aDeciders) {
  return std::make_unique<StagewisePolicy>(
      "round_robin", aFleet, aDeciders,
      [](StagewisePolicy& aSelf, int aDecider,
         const std::vector<int>& aHolders) {
        return aHolders[aSelf.NextTurn(aDecider, aHolders.size())];
      });
}

std::unique_ptr<ChainPolicy> MakeRandomPolicy(const Fleet& aFleet,
                                              int aDeciders) {
  return std::make_unique<StagewisePolicy>(
      "random", aFleet, aDeciders,
      [](StagewisePolicy& aSelf, int, const std::vector<int>& aHolders) {
        return aHolders[aSelf.GetRandom().Below(aHolders.size())];
      });
}

std::unique_ptr<ChainPolicy> MakeLeastOutstandingPolicy(const Fleet& aFleet,
                                                        int aDeciders) {
  return std::make_unique<StagewisePolicy>(
      "least_outstanding", aFleet, aDeciders,
      [](StagewisePolicy& aSelf, int aDecider,
         const std::vector<int>& aHolders) {
        int best = aHolders.front();
        for (const int candidate : aHolders) {
          const double load = aSelf.LocalSequences(aDecider, candidate) /
                              aSelf.Slots(candidate);
          const double minLoad =
              aSelf.LocalSequences(aDecider, best) / aSelf.Slots(best);
          best = load < minLoad ? candidate : best;
        }
        return best;
      });
}

}  // namespace zincstep::bench
