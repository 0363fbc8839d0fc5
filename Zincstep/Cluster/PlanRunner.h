#pragma once

#include <functional>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Input of a plan. It shares no state with the cluster view, which keeps
/// changing while the plan is computed.
struct PlanTask {
  ModelShape model;
  PlacementInput input;
};

/// A plan, its cost and the time it took.
struct PlanOutcome {
  std::vector<PlacementOrder> orders;
  PlanCost cost;
  Micros duration{0};
};

/// Runs the planner of layer placement.
class PlanRunner {
 public:
  using Done = std::function<void(PlanOutcome)>;

  virtual ~PlanRunner() = default;

  /// Starts a plan; `aDone` is called on the loop's thread, at once or later.
  virtual void Start(PlanTask aTask, Done aDone) = 0;
};

/// Computes a plan and measures the time.
PlanOutcome MakePlan(const PlacementPlanner& aPlanner, const PlanTask& aTask);

/// Computes each plan at once, on the calling thread.
class DirectPlanRunner final : public PlanRunner {
 public:
  explicit DirectPlanRunner(PlacementSettings aSettings) : planner(aSettings) {}

  void Start(PlanTask aTask, Done aDone) override {
    aDone(MakePlan(this->planner, aTask));
  }

 private:
  PlacementPlanner planner;
};

}  // namespace zincstep
