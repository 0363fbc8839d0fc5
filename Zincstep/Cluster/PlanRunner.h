#pragma once

#include <functional>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// A plan that is to be made. It shares nothing with beliefs that go on to
/// change.
struct PlanTask {
  ModelShape model;
  PlacementInput situation;
};

/// A plan and what it took.
struct PlanOutcome {
  std::vector<PlacementOrder> orders;
  PlanCost effort;
  Micros taken{0};
};

/// Makes plans of placement.
class PlanRunner {
 public:
  using Done = std::function<void(PlanOutcome)>;

  virtual ~PlanRunner() = default;

  /// Makes a plan; `aDone` is called on the loop's thread, at once or later.
  virtual void Start(PlanTask aTask, Done aDone) = 0;
};

/// Makes a plan and measures it.
PlanOutcome MakePlan(const PlacementPlanner& aPlanner, const PlanTask& aTask);

/// Makes each plan at once, on the caller's thread.
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
