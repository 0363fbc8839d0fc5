#pragma once

#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep::soak {

/// Settings of one run.
struct SoakSettings {
  std::uint64_t seed = 1;
  /// Path of the daemon's program.
  std::string daemon;
  /// Folder for the daemons' logs.
  std::string logs;
  /// How long faults are injected.
  Micros faults = 10s;
  int daemons = 4;
  /// Whether a request that crashes upstreams comes at the end.
  bool hasCrashingRequest = false;
  /// Whether upstreams name limits of calls at the end.
  bool hasLimits = false;
  /// Whether links of upstreams that have ended accept connections, and reset
  /// them only some time later.
  bool hasLateLinks = false;
  /// Whether upstreams that a request has crashed are back within a fraction of
  /// a second.
  bool hasQuickRestarts = false;
  /// Whether the store comes back from copies meanwhile.
  bool hasRestores = false;
};

/// What a run has shown.
struct SoakOutcome {
  std::size_t requests = 0;
  std::size_t answers = 0;
  /// What was done, in order, with the time in seconds.
  std::vector<std::string> faults;
  /// Promises that were broken; empty: the run has passed.
  std::vector<std::string> broken;
};

/// Runs daemons as processes beside stand-ins of the store and the
/// upstreams, injects faults drawn from the seed, and checks what callers
/// and upstreams see.
SoakOutcome RunSoak(const SoakSettings& aSettings);

}  // namespace zincstep::soak
