#include "Zincstep/Sequence/HopMonitor.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Deviations that a gap may be longer than the average.
constexpr double kGapDeviations = 4;
/// Times the ordinary that a sample may take without counting as slow.
constexpr double kSlowRatio = 2;
/// Least ordinary time; below it, ratios say nothing.
constexpr double kLeastOrdinary = 1000;

double Count(Micros aSpan) { return static_cast<double>(aSpan.count()); }

}  // namespace

void HopMonitor::OnAttempt(std::size_t aHops, Instant aNow) {
  this->computes.assign(aHops, {});
  this->links.assign(aHops, {});
  this->interval = 0;
  this->deviation = 0;
  this->tokens = 0;
  this->lastProgress = aNow;
}

bool HopMonitor::AddSample(Track& aTrack, Micros aSample) {
  const double sample = Count(aSample);
  aTrack.samples += 1;
  if (aTrack.samples == 1) {
    aTrack.ordinary = sample;
    return false;
  }
  const double ordinary = std::max(aTrack.ordinary, kLeastOrdinary);
  const double over = sample - kSlowRatio * ordinary;
  aTrack.excess = std::max(0.0, aTrack.excess + over);
  if (over <= 0) {
    aTrack.ordinary += this->settings.weight * (sample - aTrack.ordinary);
  }
  const double limit = std::max(Count(this->settings.slowExcess),
                                this->settings.slowSteps * ordinary);
  return aTrack.excess > limit;
}

std::optional<SlowHop> HopMonitor::OnToken(const TokenEvent& aEvent,
                                           Instant aNow) {
  const double sample = Count(aNow - this->lastProgress);
  this->lastProgress = aNow;
  this->tokens += 1;
  if (this->tokens == 2) {
    this->interval = sample;
    this->deviation = sample / 2;
  } else if (this->tokens > 2) {
    const double off = sample - this->interval;
    this->interval += this->settings.weight * off;
    this->deviation +=
        this->settings.weight * (std::abs(off) - this->deviation);
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

Micros HopMonitor::GapLimit() const {
  if (this->tokens < 2) {
    return this->settings.firstTokenLimit;
  }
  const double limit =
      std::max(this->settings.gapFactor * this->interval,
               this->interval + kGapDeviations * this->deviation);
  return std::max(this->settings.minGap,
                  Micros{static_cast<std::int64_t>(limit)});
}

Micros HopMonitor::ProbeLimit() const {
  const double share = this->settings.probeShare * Count(this->GapLimit());
  return Micros{static_cast<std::int64_t>(share)};
}

bool HopMonitor::ShouldProbe(Instant aNow) const {
  return this->Gap(aNow) >= this->ProbeLimit();
}

bool HopMonitor::IsHung(Instant aNow) const {
  return this->Gap(aNow) >= this->GapLimit();
}

Instant HopMonitor::NextCheck(Instant aNow) const {
  const Instant probe = this->lastProgress + this->ProbeLimit();
  return probe > aNow ? probe : this->lastProgress + this->GapLimit();
}

}  // namespace zincstep
