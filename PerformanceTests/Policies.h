#pragma once

#include <memory>

#include "PerformanceTests/FakeFleet.h"

namespace zincstep::bench {

/// Zincstep's policy: one planner per decider, with load reports that lag by
/// up to the report interval.
std::unique_ptr<ChainPolicy> MakePlannerPolicy(const Fleet& aFleet,
                                               int aDeciders,
                                               const FlowPlan& aPlan);
/// Selects the upstream of each stage by round robin.
std::unique_ptr<ChainPolicy> MakeRoundRobinPolicy(const Fleet& aFleet,
                                                  int aDeciders);
/// Selects the upstream of each stage at random.
std::unique_ptr<ChainPolicy> MakeRandomPolicy(const Fleet& aFleet,
                                              int aDeciders);
/// Selects for each stage the upstream with the fewest of the decider's own
/// sequences per slot.
std::unique_ptr<ChainPolicy> MakeLeastOutstandingPolicy(const Fleet& aFleet,
                                                        int aDeciders);

}  // namespace zincstep::bench
