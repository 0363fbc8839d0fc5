#include "Zincstep/Pool/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Averaging time of arrivals, in seconds: longer than a response takes,
/// shorter than the waves of the traffic.
constexpr double kAverageSeconds = 4;
/// Time and responses before the first estimate: the responses that complete
/// first are the short ones.
constexpr Micros kWarmUp = 6s;
constexpr int kMinResponses = 30;
/// Weight of the newest response in the average response time.
constexpr double kResponseWeight = 0.05;
/// Upper bound of a time to the first event in its average, as a multiple of
/// the average.
constexpr double kMaxFirstEventFactor = 3;
/// Half-life of the peak, in seconds: longer than the waves of the users'
/// traffic.
constexpr double kPeakHalfLife = 20;
/// Maximum age of a daemon's report: three report intervals.
constexpr Micros kReportMaxAge = 3s;
/// Time within which every daemon has sent a report.
constexpr Micros kCollectionPeriod = 2s;
/// Minimum time between the reports of a trend, in seconds: the change within
/// one report interval is mostly noise.
constexpr double kMinTrendSeconds = 2;
/// Maximum number of reports kept of one daemon; twice those of the trend's
/// time.
constexpr std::size_t kMaxTrendSamples = 10;

/// Factor that remains of a quantity with the half-life `aHalfLife`, in
/// seconds, after `aSpan`.
double DecayFactor(Micros aSpan, double aHalfLife) {
  return std::exp2(-ToSeconds(aSpan) / aHalfLife);
}

}  // namespace

void DemandMeter::OnRequest(double aTokens, Instant aNow) {
  if (!this->firstAt) {
    this->firstAt = aNow;
  }
  const double elapsed = ToSeconds(aNow - this->decayedAt);
  this->decayedTokens =
      this->decayedTokens * std::exp(-elapsed / kAverageSeconds) + aTokens;
  this->decayedAt = aNow;
}

void DemandMeter::OnCompleted(Micros aResponseTime) {
  this->responses += 1;
  const double responseWeight =
      std::max(kResponseWeight, 1.0 / this->responses);
  this->responseSeconds +=
      responseWeight * (ToSeconds(aResponseTime) - this->responseSeconds);
}

void DemandMeter::OnFirstEvent(Micros aDelay, Micros aExpectedWait) {
  // The queue's share of the delay is not known exactly.
  if (aExpectedWait > Micros{0}) {
    return;
  }
  this->firstEvents += 1;
  const double weight = std::max(kResponseWeight, 1.0 / this->firstEvents);
  // One request that was queued or lost must not raise the average much.
  const double delay =
      this->firstEvents == 1
          ? ToSeconds(aDelay)
          : std::min(ToSeconds(aDelay),
                     kMaxFirstEventFactor * this->firstEventSeconds);
  this->firstEventSeconds += weight * (delay - this->firstEventSeconds);
}

std::optional<double> DemandMeter::Tokens(Instant aNow) const {
  if (!this->firstAt || aNow - *this->firstAt < kWarmUp ||
      this->responses < kMinResponses) {
    return std::nullopt;
  }
  const double elapsed = ToSeconds(aNow - this->decayedAt);
  const double observed = ToSeconds(aNow - *this->firstAt);
  const double decayedTokens =
      this->decayedTokens * std::exp(-elapsed / kAverageSeconds);
  // The averaging time may start before the first request.
  const double weight =
      kAverageSeconds * (1 - std::exp(-observed / kAverageSeconds));
  return decayedTokens / weight * this->responseSeconds;
}

void DemandSum::Update(const std::string& aDaemon, double aTokens, Instant aNow,
                       const std::string& aDomain) {
  if (!this->firstAt) {
    this->firstAt = aNow;
  }
  if (aNow - this->lastReportAt > kReportMaxAge) {
    this->seriesAt = aNow;
  }
  this->lastReportAt = aNow;
  Reports& reports = this->byDaemon[aDaemon];
  if (reports.domain != aDomain) {
    reports = {aDomain, {}};
  }
  while (!reports.samples.empty() &&
         aNow - reports.samples.front().at > kTrendSpan) {
    reports.samples.pop_front();
  }
  if (reports.samples.size() == kMaxTrendSamples) {
    reports.samples.pop_back();
  }
  reports.samples.push_back({aTokens, aNow});
}

double DemandSum::Reports::Trend() const {
  const Sample& oldest = this->samples.front();
  const Sample& newest = this->samples.back();
  const double span = ToSeconds(newest.at - oldest.at);
  return span >= kMinTrendSeconds ? (newest.tokens - oldest.tokens) / span : 0;
}

std::optional<ObservedDemand> DemandSum::Peak(Instant aNow) {
  std::erase_if(this->byDaemon, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.samples.back().at > kReportMaxAge;
  });
  if (!this->firstAt || aNow - *this->firstAt < kCollectionPeriod) {
    return std::nullopt;
  }
  double sum = 0;
  for (const auto& [daemon, reports] : this->byDaemon) {
    sum += reports.samples.back().tokens;
  }
  this->peak = std::max(
      sum, this->peak * DecayFactor(aNow - this->peakAt, kPeakHalfLife));
  this->peakAt = aNow;
  return ObservedDemand{this->peak,
                        DecayFactor(aNow - *this->firstAt, kPeakHalfLife),
                        this->ByDomain(aNow)};
}

std::map<std::string, DomainDemand> DemandSum::ByDomain(Instant aNow) {
  std::map<std::string, DomainDemand> byDomain;
  for (const auto& [daemon, reports] : this->byDaemon) {
    if (reports.domain.empty()) {
      return {};
    }
    DomainDemand& demand = byDomain[reports.domain];
    demand.current += reports.samples.back().tokens;
    demand.trend += reports.Trend();
  }
  if (byDomain.empty() || aNow - this->seriesAt < kCollectionPeriod) {
    return {};
  }
  for (const auto& [domain, demand] : byDomain) {
    this->domainPeaks.try_emplace(domain, DomainPeak{0, aNow});
  }
  for (auto& [domain, domainPeak] : this->domainPeaks) {
    // A domain without reports keeps its peak: its callers may return, or use
    // daemons of other domains meanwhile.
    DomainDemand& demand = byDomain[domain];
    domainPeak.tokens = std::max(
        demand.current,
        domainPeak.tokens * DecayFactor(aNow - domainPeak.at, kPeakHalfLife));
    domainPeak.at = aNow;
    demand.peak = domainPeak.tokens;
  }
  return byDomain;
}

}  // namespace zincstep
