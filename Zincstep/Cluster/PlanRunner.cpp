#include "Zincstep/Cluster/PlanRunner.h"

namespace zincstep {

PlanOutcome MakePlan(const PlacementPlanner& aPlanner, const PlanTask& aTask) {
  const SystemClock clock;
  const Instant began = clock.Now();
  PlanOutcome outcome;
  outcome.orders = aPlanner.Plan(aTask.model, aTask.situation, &outcome.effort);
  outcome.taken = clock.Now() - began;
  return outcome;
}

}  // namespace zincstep
