#pragma once

#include <optional>
#include <vector>

#include "Zincstep/Sequence/TokenEvent.h"

namespace zincstep {

/// Settings of the failure detector of one stream.
struct HopMonitorSettings {
  /// Minimum gap between tokens that counts as a failure.
  Micros minGapTimeout = 200ms;
  /// Share of the gap timeout after which the stages are probed.
  double probeShare = 0.5;
  /// Gap timeout, as a multiple of the average time between tokens.
  double gapFactor = 1.6;
  /// Timeout until the second token; allows for prefill and queueing.
  Micros firstTokenTimeout = 5s;
  /// Accumulated excess over the baseline after which a hop is slow.
  Micros slowExcess = 80ms;
  /// The same in multiples of the baseline; the longer of the two applies.
  double slowSteps = 3;
  /// Weight of a new sample in the moving averages.
  double weight = 0.2;
};

/// A hop that has become slow, according to the stream's own tokens.
struct SlowHop {
  int hop = 0;
  /// The link from this hop to the next one is slow, not the hop itself.
  bool isLink = false;
};

/// Detects that a stage of one stream has died, hangs or has become slow.
///
/// The timeout of a gap follows from the stream's own average time between
/// tokens. A slow hop is detected by a cumulative sum (CUSUM, Page 1954): each
/// token adds its time in excess of twice the baseline, so that a change is
/// found whether it is one large delay or many small ones. Slow samples don't
/// update the baseline. Queueing time is left out: load on an upstream is
/// handled by the chain planner and isn't a failure.
class HopMonitor {
 public:
  explicit HopMonitor(HopMonitorSettings aSettings) : settings(aSettings) {}

  /// Resets the monitor for an attempt over `aHops` hops.
  void OnAttempt(std::size_t aHops, Instant aNow);
  /// Updates the averages from an accepted token. Returns the first hop that
  /// its stage reports show to be slow, if any.
  std::optional<SlowHop> OnToken(const TokenEvent& aEvent, Instant aNow);

  /// Whether the current gap is long enough to probe the stages.
  bool ShouldProbe(Instant aNow) const;
  /// Whether the current gap has reached its timeout.
  bool IsHung(Instant aNow) const;
  /// Time at which `ShouldProbe` or `IsHung` can next become true.
  Instant NextCheck(Instant aNow) const;
  /// Time since the last token, or since the attempt started.
  Micros Gap(Instant aNow) const { return aNow - this->lastProgress; }
  /// Current timeout of a gap.
  Micros GapTimeout() const;

 private:
  struct HopStatistics {
    double baseline = 0;
    double excess = 0;
    int samples = 0;
  };

  bool AddSample(HopStatistics& aStatistics, Micros aSample);
  Micros ProbeDelay() const;

  HopMonitorSettings settings;
  std::vector<HopStatistics> computes;
  std::vector<HopStatistics> links;
  double meanInterval = 0;
  double deviation = 0;
  int tokens = 0;
  Instant lastProgress;
};

}  // namespace zincstep
