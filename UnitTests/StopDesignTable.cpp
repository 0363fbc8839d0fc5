/// \file
/// Prints the comparison of docs/incidents/late-streams.md: what becomes of
/// streams while daemons stop, by design. `stop-design-table [seeds]`

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "UnitTests/StopPlans.h"

namespace zincstep {
namespace {

struct NamedDesign {
  const char* name;
  StopDesign accepts;
};

void PrintRow(const StopReplaySettings& aSettings, const char* aStops,
              const char* aDesign, const StopCounts& aCounts) {
  const double streams = aCounts.streams;
  std::printf(
      "| %zu, %s | %s | %d | %.4f | %.4f | %d (%d) | %d (%d) | %d / %d / %d of "
      "%d | %.4f | %.2f |\n",
      aSettings.daemons, aStops, aDesign, aCounts.streams,
      aCounts.servedAtFirst / streams, aCounts.served / streams,
      aCounts.refused, aCounts.refusedAlone, aCounts.refusedTwice,
      aCounts.refusedTwiceBesideOthers, aCounts.truncatedBefore,
      aCounts.truncatedEarly, aCounts.truncatedLate, aCounts.acceptedLate,
      static_cast<double>(aCounts.plainServed) / aCounts.plain,
      ToSeconds(aCounts.stopTime) / aCounts.stops);
}

void PrintPlans(const StopReplaySettings& aBase, int aSeeds) {
  const std::vector<NamedDesign> designs{{"as built", AcceptsAsBuilt},
                                         {"a", AcceptsByShares},
                                         {"b", AcceptsByLateDeadline},
                                         {"c", AcceptsByDeadline},
                                         {"d", AcceptsByLongest}};
  for (const StopPlan& plan : StopPlansOf(aBase.daemons)) {
    for (const NamedDesign& design : designs) {
      StopReplaySettings settings = aBase;
      settings.design = design.accepts;
      PrintRow(settings, plan.name, design.name,
               PlayStops(settings, plan, aSeeds));
    }
  }
}

void PrintAll(Micros aWarmUp, double aLengthFactor, int aSeeds) {
  std::printf("first signal after %lld s, lengths times %.2f\n",
              static_cast<long long>(aWarmUp / 1s), aLengthFactor);
  StopReplaySettings settings;
  settings.warmUp = aWarmUp;
  settings.lengthFactor = aLengthFactor;
  settings.daemons = 2;
  PrintPlans(settings, aSeeds * 10);
  settings.daemons = 26;
  PrintPlans(settings, aSeeds);
  settings.daemons = 300;
  // Some 60,000 streams a seed.
  PrintPlans(settings, std::max(1, aSeeds / 5));
}

}  // namespace
}  // namespace zincstep

int main(int aCount, char** aWords) {
  using namespace zincstep;
  const int seeds = aCount > 1 ? std::atoi(aWords[1]) : 10;
  // Streams of a quarter of the lengths: all but the longest fit into a stop.
  for (const double factor : {1.0, 0.25}) {
    PrintAll(4s, factor, seeds);
    PrintAll(65s, factor, seeds);
  }
  return 0;
}
