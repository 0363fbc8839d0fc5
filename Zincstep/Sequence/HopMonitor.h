#pragma once

#include <optional>
#include <vector>

#include "Zincstep/Sequence/TokenEvent.h"

namespace zincstep {

/// Settings of the failure detector of one stream.
struct HopMonitorSettings {
  /// A gap shorter than this is never taken for a failure.
  Micros minGap = 200ms;
  /// A probe of the stages goes out at this share of the limit.
  double probeShare = 0.5;
  /// Limit of a gap, as a multiple of the ordinary time between tokens.
  double gapFactor = 1.6;
  /// Limit of the wait for the first token, for prefill and queues.
  Micros firstTokenLimit = 5s;
  /// Excess time over the ordinary that makes a hop slow.
  Micros slowExcess = 80ms;
  /// Ordinary steps whose excess makes a hop slow, if that is longer.
  double slowSteps = 3;
  /// Weight of a new sample in the averages.
  double weight = 0.2;
};

/// A hop that has become slow, as the stream's own tokens show.
struct SlowHop {
  int hop = 0;
  /// The way from this hop to the next one is slow, not the hop's layers.
  bool isLink = false;
};

/// Watches one stream for a stage that died, hangs or has become slow.
///
/// A gap is judged against the stream's own time between tokens. A slow
/// hop is found by a cumulative sum (CUSUM, Page 1954): each token adds
/// what it took beyond twice the ordinary time, and a sum past the limit
/// is a change, however it is spread. The ordinary time is not learnt
/// from samples that count as slow. Queueing is left out of the sum: a
/// busy upstream is the planner's matter, not a failure.
class HopMonitor {
 public:
  explicit HopMonitor(HopMonitorSettings aSettings) : settings(aSettings) {}

  /// An attempt over `aHops` hops begins.
  void OnAttempt(std::size_t aHops, Instant aNow);
  /// A token was accepted; names a hop that its report shows to be slow.
  std::optional<SlowHop> OnToken(const TokenEvent& aEvent, Instant aNow);

  /// Whether the present gap is long enough to ask the stages.
  bool ShouldProbe(Instant aNow) const;
  /// Whether the present gap is a failure.
  bool IsHung(Instant aNow) const;
  /// When `ShouldProbe` or `IsHung` can next change.
  Instant NextCheck(Instant aNow) const;
  /// Time since the last sign of progress.
  Micros Gap(Instant aNow) const { return aNow - this->lastProgress; }
  /// Limit of a gap now.
  Micros GapLimit() const;

 private:
  struct Track {
    double ordinary = 0;
    double excess = 0;
    int samples = 0;
  };

  bool AddSample(Track& aTrack, Micros aSample);
  Micros ProbeLimit() const;

  HopMonitorSettings settings;
  std::vector<Track> computes;
  std::vector<Track> links;
  double interval = 0;
  double deviation = 0;
  int tokens = 0;
  Instant lastProgress;
};

}  // namespace zincstep
