#pragma once

#include <vector>

#include "UnitTests/StopReplay.h"

namespace zincstep {

/// How the daemons of a domain are stopped.
struct StopPlan {
  const char* name;
  /// Of `StopReplaySettings`.
  std::size_t together;
  Micros apart;
};

/// Returns the plans that differ at this number of daemons.
std::vector<StopPlan> StopPlansOf(std::size_t aDaemons);

/// Returns the sum over the seeds from 1 to `aSeeds`.
StopCounts PlayStops(StopReplaySettings aSettings, const StopPlan& aPlan,
                     int aSeeds);

}  // namespace zincstep
