#include "Zincstep/Admission/PriorityHeadroom.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Interval between updates of the rates; a start is decided several times per
/// tick.
constexpr Micros kRefreshInterval = 25ms;
/// Weight of the newest request in the mean size of requests.
constexpr double kSizeWeight = 0.05;
/// Standard deviations of the number of arrivals that the headroom covers, as
/// of a Poisson process.
constexpr double kDeviations = 2;
/// Maximum time that one sample stands for in the first average.
constexpr Micros kMaxSampleTime = 1s;

}  // namespace

PriorityHeadroom::Level& PriorityHeadroom::LevelOf(int aPriority) {
  return this->levels.try_emplace(aPriority, this->settings).first->second;
}

void PriorityHeadroom::OnRequest(int aPriority, double aTokens, Instant aNow) {
  this->startedAt = this->startedAt.value_or(aNow);
  Level& level = this->LevelOf(aPriority);
  level.own.Add(aTokens, aNow);
  const double weight = level.meanTokens > 0 ? kSizeWeight : 1;
  level.meanTokens += weight * (aTokens - level.meanTokens);
}

void PriorityHeadroom::OnReport(const std::string& aPeer,
                                const std::vector<PriorityDemand>& aDemands,
                                Instant aNow) {
  this->startedAt = this->startedAt.value_or(aNow);
  this->hasReports = true;
  Report& report = this->reports[aPeer];
  report.demands.clear();
  report.at = aNow;
  for (const PriorityDemand& demand : aDemands) {
    report.demands[demand.priority] = demand;
    this->LevelOf(demand.priority);
  }
}

double PriorityHeadroom::OwnRate(int aPriority, Instant aNow) const {
  const auto found = this->levels.find(aPriority);
  return found == this->levels.end() ? 0 : found->second.own.PerSecond(aNow);
}

std::vector<int> PriorityHeadroom::Priorities() const {
  std::vector<int> priorities;
  for (const auto& [priority, level] : this->levels) {
    if (level.meanTokens > 0) {
      priorities.push_back(priority);
    }
  }
  return priorities;
}

bool PriorityHeadroom::IsStarting(Instant aNow) const {
  return this->daemons > 1 && !this->hasReports &&
         (!this->startedAt ||
          aNow - *this->startedAt < this->settings.startPeriod);
}

void PriorityHeadroom::Refresh(Instant aNow) {
  const Micros sinceRefresh = aNow - this->refreshedAt;
  if (sinceRefresh < kRefreshInterval) {
    return;
  }
  const Micros maxAge =
      this->settings.maxMissedIntervals * this->reportInterval;
  std::erase_if(this->reports, [&](const auto& aEntry) {
    return aNow - aEntry.second.at > maxAge;
  });
  const double interval = ToSeconds(this->reportInterval);
  // Without any report the other daemons are expected to have the same demand;
  // a peer that falls silent has stopped or has other upstreams in reach.
  const double ownFactor =
      this->reports.empty()
          ? static_cast<double>(std::max<std::size_t>(1, this->daemons))
          : 1;
  for (auto& [priority, level] : this->levels) {
    const double own = level.own.PerSecond(aNow) * ownFactor;
    level.rate = own;
    level.unseenTokens = own * interval;
    level.waitingTokens = 0;
    for (const auto& [peer, report] : this->reports) {
      const auto found = report.demands.find(priority);
      if (found == report.demands.end()) {
        continue;
      }
      const double age = std::max(interval, ToSeconds(aNow - report.at));
      level.rate += found->second.demand;
      level.unseenTokens += found->second.demand * age;
      level.waitingTokens += found->second.waiting * level.meanTokens;
    }
    // Until a window has passed, the average is that of the time since the
    // first sample: otherwise the start of all traffic would be a burst.
    level.averagedFor =
        std::min(this->settings.averageWindow,
                 level.averagedFor + std::min(sinceRefresh, kMaxSampleTime));
    level.average +=
        std::min(1.0, ToSeconds(sinceRefresh) / ToSeconds(level.averagedFor)) *
        (level.rate - level.average);
    level.excessTokens = std::max(0.0, level.rate - level.average) *
                         ToSeconds(this->settings.noticeTime);
  }
  this->refreshedAt = aNow;
}

CapacityRoom PriorityHeadroom::Headroom(const RoomRequest& aRequest,
                                        double aEndingTokens, Instant aNow) {
  this->Refresh(aNow);
  double unseen = 0;
  double waiting = 0;
  double excess = 0;
  double size = aRequest.tokens;
  for (const auto& [priority, level] : this->levels) {
    if (priority > aRequest.priority) {
      break;
    }
    if (priority < aRequest.priority) {
      unseen += level.unseenTokens;
      waiting += level.waitingTokens;
      excess += level.excessTokens;
    } else if (aRequest.isOverShare) {
      unseen += std::max(0.0, level.rate - aRequest.organisationRate) *
                ToSeconds(this->reportInterval);
    }
    size = level.meanTokens > 0 ? level.meanTokens : size;
  }
  if (unseen <= 0 || size <= 0) {
    return {};
  }
  const double variation = kDeviations * std::sqrt(unseen * size);
  const double ending = aEndingTokens * ToSeconds(this->reportInterval +
                                                  this->settings.noticeTime);
  const double tokens =
      std::max(0.0, unseen + excess - ending) + variation + waiting;
  return {tokens, tokens / size};
}

double PriorityHeadroom::MoreUrgentRate(int aPriority, Instant aNow) {
  this->Refresh(aNow);
  double rate = 0;
  for (const auto& [priority, level] : this->levels) {
    rate += priority < aPriority ? level.rate : 0;
  }
  return rate;
}

CapacityRoom PriorityHeadroom::BoundedHeadroom(const RoomRequest& aRequest,
                                               const DomainCapacity& aDomain,
                                               Instant aNow) {
  CapacityRoom headroom = this->Headroom(aRequest, aDomain.endingTokens, aNow);
  // Other priorities may exist that this daemon has not seen yet, so the share
  // applies to every priority but the most urgent one possible.
  if (this->IsStarting(aNow) && aRequest.priority > 0) {
    const double share = this->settings.startShare;
    headroom.tokens = std::max(headroom.tokens, aDomain.total.tokens * share);
    headroom.starts = std::max(headroom.starts, aDomain.total.starts * share);
  }
  // A request that fits into the idle domain always starts there.
  const auto bound = [&](double aHeadroom, double aTotal, double aNeeded) {
    return std::clamp(aHeadroom, 0.0,
                      std::max(0.0, std::min(aTotal * this->settings.maxShare,
                                             aTotal - aNeeded)));
  };
  return {bound(headroom.tokens, aDomain.total.tokens, aRequest.tokens),
          bound(headroom.starts, aDomain.total.starts, 1)};
}

bool PriorityHeadroom::MayStart(const RoomRequest& aRequest,
                                const DomainCapacity& aDomain, Instant aNow) {
  const CapacityRoom headroom = this->BoundedHeadroom(aRequest, aDomain, aNow);
  return aDomain.free.tokens - aRequest.tokens >= headroom.tokens &&
         aDomain.free.starts - 1 >= headroom.starts;
}

}  // namespace zincstep
