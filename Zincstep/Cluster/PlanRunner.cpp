#include "Zincstep/Cluster/PlanRunner.h"

namespace zincstep {

PlanOutcome MakePlan(const PlacementPlanner& aPlanner, const PlanTask& aTask) {
  const SystemClock clock;
  const Instant startedAt = clock.Now();
  PlanOutcome outcome;
  outcome.orders = aPlanner.Plan(aTask.model, aTask.input, &outcome.cost);
  outcome.duration = clock.Now() - startedAt;
  return outcome;
}

}  // namespace zincstep
