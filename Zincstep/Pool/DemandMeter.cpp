#include "Zincstep/Pool/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Time over which arrivals are averaged, in seconds: longer than an answer
/// takes, shorter than the waves of the traffic.
constexpr double kAverageSeconds = 4;
/// Time and answers until an estimate is given: those that end first are short.
constexpr Micros kWarmUp = 6s;
constexpr int kFewestAnswers = 30;
/// Share of the newest answer in the average time of one.
constexpr double kAnswerShare = 0.05;
/// Time in which a peak falls by half, in seconds: the waves of the users'
/// traffic are shorter.
constexpr double kPeakHalfLife = 20;
/// What a daemon told counts for so long: three tellings.
constexpr Micros kToldLife = 3s;
/// All daemons have told within this time.
constexpr Micros kAllTold = 2s;

/// What is left of a quantity that falls by half in each `aHalfLife`.
double Left(Micros aSpan, double aHalfLife) {
  return std::exp2(-ToSeconds(aSpan) / aHalfLife);
}

}  // namespace

void DemandMeter::OnRequest(double aTokens, Instant aNow) {
  if (!this->firstAt) {
    this->firstAt = aNow;
  }
  const double passed = ToSeconds(aNow - this->recentAt);
  this->recent = this->recent * std::exp(-passed / kAverageSeconds) + aTokens;
  this->recentAt = aNow;
}

void DemandMeter::OnCompleted(Micros aTaken) {
  this->answers += 1;
  const double share = std::max(kAnswerShare, 1.0 / this->answers);
  this->responseSeconds += share * (ToSeconds(aTaken) - this->responseSeconds);
}

std::optional<double> DemandMeter::Tokens(Instant aNow) const {
  if (!this->firstAt || aNow - *this->firstAt < kWarmUp ||
      this->answers < kFewestAnswers) {
    return std::nullopt;
  }
  const double passed = ToSeconds(aNow - this->recentAt);
  const double seen = ToSeconds(aNow - *this->firstAt);
  const double recent = this->recent * std::exp(-passed / kAverageSeconds);
  // The average reaches back beyond the first request.
  const double weight =
      kAverageSeconds * (1 - std::exp(-seen / kAverageSeconds));
  return recent / weight * this->responseSeconds;
}

void DemandSum::Update(const std::string& aDaemon, double aTokens,
                       Instant aNow) {
  if (!this->firstAt) {
    this->firstAt = aNow;
  }
  this->byDaemon[aDaemon] = {aTokens, aNow};
}

std::optional<ObservedDemand> DemandSum::Peak(Instant aNow) {
  std::erase_if(this->byDaemon, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.at > kToldLife;
  });
  if (!this->firstAt || aNow - *this->firstAt < kAllTold) {
    return std::nullopt;
  }
  double sum = 0;
  for (const auto& [daemon, told] : this->byDaemon) {
    sum += told.tokens;
  }
  this->peak =
      std::max(sum, this->peak * Left(aNow - this->peakAt, kPeakHalfLife));
  this->peakAt = aNow;
  return ObservedDemand{this->peak, Left(aNow - *this->firstAt, kPeakHalfLife)};
}

}  // namespace zincstep
