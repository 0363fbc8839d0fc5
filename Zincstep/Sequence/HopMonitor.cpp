#include "Zincstep/Sequence/HopMonitor.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Mean deviations by which a gap may exceed the average.
constexpr double kGapDeviations = 4;
/// Multiple of the baseline above which a sample is slow.
constexpr double kSlowRatio = 2;
/// Minimum baseline, in microseconds; ratios of shorter times are noise.
constexpr double kMinBaseline = 1000;

/// Microseconds of a time span.
double Microseconds(Micros aSpan) { return static_cast<double>(aSpan.count()); }

}  // namespace

void HopMonitor::OnAttempt(std::size_t aHops, Instant aNow) {
  this->computes.assign(aHops, {});
  this->links.assign(aHops, {});
  this->meanInterval = 0;
  this->deviation = 0;
  this->tokens = 0;
  this->lastProgress = aNow;
}

bool HopMonitor::AddSample(HopStatistics& aStatistics, Micros aSample) {
  const double sample = Microseconds(aSample);
  aStatistics.samples += 1;
  if (aStatistics.samples == 1) {
    aStatistics.baseline = sample;
    return false;
  }
  const double baseline = std::max(aStatistics.baseline, kMinBaseline);
  const double overrun = sample - kSlowRatio * baseline;
  aStatistics.excess = std::max(0.0, aStatistics.excess + overrun);
  if (overrun <= 0) {
    aStatistics.baseline +=
        this->settings.weight * (sample - aStatistics.baseline);
  }
  const double limit = std::max(Microseconds(this->settings.slowExcess),
                                this->settings.slowSteps * baseline);
  return aStatistics.excess > limit;
}

std::optional<SlowHop> HopMonitor::OnToken(const TokenEvent& aEvent,
                                           Instant aNow) {
  const double sample = Microseconds(aNow - this->lastProgress);
  this->lastProgress = aNow;
  this->tokens += 1;
  if (this->tokens == 2) {
    this->meanInterval = sample;
    this->deviation = sample / 2;
  } else if (this->tokens > 2) {
    const double difference = sample - this->meanInterval;
    this->meanInterval += this->settings.weight * difference;
    this->deviation +=
        this->settings.weight * (std::abs(difference) - this->deviation);
  }
  std::optional<SlowHop> slow;
  const std::size_t hops =
      std::min(aEvent.stages.size(), this->computes.size());
  for (std::size_t i = 0; i < hops; ++i) {
    const StageReport& stage = aEvent.stages[i];
    const int hop = static_cast<int>(i);
    if (this->AddSample(this->computes[i], stage.compute) && !slow) {
      slow = SlowHop{hop, false};
    }
    const bool hasNext = i + 1 < hops;
    if (hasNext && this->AddSample(this->links[i], stage.link) && !slow) {
      slow = SlowHop{hop, true};
    }
  }
  return slow;
}

Micros HopMonitor::GapTimeout() const {
  if (this->tokens < 2) {
    return this->settings.firstTokenTimeout;
  }
  const double limit =
      std::max(this->settings.gapFactor * this->meanInterval,
               this->meanInterval + kGapDeviations * this->deviation);
  return std::max(this->settings.minGapTimeout,
                  Micros{static_cast<std::int64_t>(limit)});
}

Micros HopMonitor::ProbeDelay() const {
  const double share =
      this->settings.probeShare * Microseconds(this->GapTimeout());
  return Micros{static_cast<std::int64_t>(share)};
}

bool HopMonitor::ShouldProbe(Instant aNow) const {
  return this->Gap(aNow) >= this->ProbeDelay();
}

bool HopMonitor::IsHung(Instant aNow) const {
  return this->Gap(aNow) >= this->GapTimeout();
}

Instant HopMonitor::NextCheck(Instant aNow) const {
  const Instant probe = this->lastProgress + this->ProbeDelay();
  return probe > aNow ? probe : this->lastProgress + this->GapTimeout();
}

}  // namespace zincstep
