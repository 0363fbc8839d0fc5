#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdio>
#include <cstdlib>

#include "PriorityReplay.h"

namespace zincstep {

/// Daemons of one failure domain in deployments of 3, 26, 87 and 295.
inline constexpr std::array<int, 4> kDaemons{3, 9, 29, 59};

inline void Print(const char* aName, const PriorityLoad& aLoad,
                  const PriorityReplayResult& aResult) {
  if (std::getenv("ZINCSTEP_PRINT_REPLAYS") == nullptr) {
    return;
  }
  std::printf("\n%s daemons=%d on=%d:", aName, aLoad.daemons, aLoad.isOn);
  for (std::size_t i = 0; i < kReplayPriorities; ++i) {
    std::printf(" p%zu %.3f (burst %.3f)", i, aResult.all[i].InTimeShare(),
                aResult.burst[i].InTimeShare());
  }
  std::printf(
      " first %.3f others %.3f early %.3f of %d patient %.3f of %d"
      " rejected %d waiting %zu queued %d",
      aResult.firstOrganisation.InTimeShare(),
      aResult.otherOrganisations.InTimeShare(), aResult.early.InTimeShare(),
      aResult.early.requests, aResult.patient.InTimeShare(),
      aResult.patient.requests, aResult.rejected, aResult.mostWaiting,
      aResult.mostQueued);
}

inline PriorityReplayResult Replay(const char* aName, const PriorityLoad& aLoad,
                                   std::uint64_t aSeed = 1) {
  const PriorityReplayResult result = PriorityReplay(aLoad, aSeed).Run();
  Print(aName, aLoad, result);
  return result;
}

/// The shares served in time fall with urgency, and the least urgent is not
/// starved.
inline void AssertOrdered(const PriorityReplayResult& aResult) {
  // Differences of a few requests are chance.
  constexpr double kTolerance = 0.02;
  constexpr double kMinLeastUrgent = 0.15;
  const auto& burst = aResult.burst;
  CPPUNIT_ASSERT(burst[0].InTimeShare() >= burst[1].InTimeShare() - kTolerance);
  CPPUNIT_ASSERT(burst[1].InTimeShare() >= burst[2].InTimeShare() - kTolerance);
  CPPUNIT_ASSERT(burst[2].InTimeShare() >= kMinLeastUrgent);
  CPPUNIT_ASSERT(aResult.mostWaiting <= CapacityQueueSettings{}.maxWaiting);
}

}  // namespace zincstep
