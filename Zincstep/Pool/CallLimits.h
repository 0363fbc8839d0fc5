#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "Zincstep/Pool/LiveUpstream.h"
#include "Zincstep/Pool/UpstreamCall.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// The upstreams that name a limit of calls, and what this daemon sends them.
class CallLimits {
 public:
  CallLimits(const Clock& aClock, Metrics& aMetrics)
      : clock(aClock), metrics(aMetrics) {}

  /// The head of an upstream's answer has come.
  void OnNotice(const UpstreamPtr& aUpstream, const UpstreamNotice& aNotice);
  /// A call to an upstream begins.
  void OnCall(std::uint64_t aUpstream, UpstreamCall aCall);
  /// Logs the calls to limited upstreams; to be called several times a second.
  void Tick();

 private:
  struct Limited {
    UpstreamPtr upstream;
    double callsPerSecond = 0;
    std::array<int, kUpstreamCallNames.size()> calls{};
    Instant nextLine{};
  };

  const Clock& clock;
  Metrics& metrics;
  /// By the numbers of the upstreams.
  std::unordered_map<std::uint64_t, Limited> limited;
};

}  // namespace zincstep
