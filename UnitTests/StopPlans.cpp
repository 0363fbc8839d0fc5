#include "UnitTests/StopPlans.h"

namespace zincstep {

std::vector<StopPlan> StopPlansOf(std::size_t aDaemons) {
  std::vector<StopPlan> plans{{"one, 0.6 s", 1, 600ms},
                              {"one, 2 s", 1, 2s},
                              {"two, 0.4 s", 2, 400ms},
                              {"four, 0.3 s", 4, 300ms}};
  std::erase_if(
      plans, [&](const StopPlan& aPlan) { return aPlan.together >= aDaemons; });
  plans.push_back({"all", aDaemons, 0s});
  return plans;
}

StopCounts PlayStops(StopReplaySettings aSettings, const StopPlan& aPlan,
                     int aSeeds) {
  aSettings.together = aPlan.together;
  aSettings.apart = aPlan.apart;
  StopCounts all;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    aSettings.seed = static_cast<std::uint64_t>(seed);
    all += StopReplay(aSettings).Run();
  }
  return all;
}

}  // namespace zincstep
