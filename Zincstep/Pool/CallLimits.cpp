#include "Zincstep/Pool/CallLimits.h"

#include <cmath>
#include <numeric>

namespace zincstep {

namespace {

/// Between two log lines of the calls to one upstream.
constexpr Micros kLinePause = 1s;
/// A limit that has changed by less is told with the next renewal.
constexpr double kToldChange = 0.1;
/// Daemons that share a limit, for each call a second, beside the first one.
/// Each of them may save one call up.
constexpr double kSharersPerCall = 2;

bool IsLargeChange(double aBefore, double aAfter) {
  return std::abs(aAfter - aBefore) > kToldChange * aBefore;
}

}  // namespace

LimitNotice CallLimits::NoticeOf(const Limit& aLimit) const {
  return {aLimit.upstream->Number(), aLimit.callsPerSecond,
          this->clock.Now() - aLimit.answeredAt};
}

void CallLimits::OnNotice(const UpstreamPtr& aUpstream,
                          const UpstreamNotice& aNotice, Instant aSentAt) {
  const Instant now = this->clock.Now();
  const std::optional<double> named = aNotice.callsPerSecond;
  const auto known = this->limits.find(aUpstream->Number());
  if (known == this->limits.end() && !named) {
    return;
  }
  Limit& limit = this->limits[aUpstream->Number()];
  // The answer to a call from before the limit was named proves no end of it.
  const bool isOld = !named && aSentAt <= limit.answeredAt;
  if (isOld) {
    return;
  }
  const std::optional<double> before = limit.callsPerSecond;
  limit.upstream = aUpstream;
  limit.callsPerSecond = named;
  limit.answeredAt = now;
  limit.renewedAt = now;
  const bool isChanged = before.has_value() != named.has_value() ||
                         (before && named && IsLargeChange(*before, *named));
  if (isChanged) {
    this->LogChange(limit, Evidence::Found);
    this->Apply(limit, now);
    this->tellAll({this->NoticeOf(limit)});
  }
}

std::optional<LimitNotice> CallLimits::OnTold(const UpstreamPtr& aUpstream,
                                              const LimitNotice& aNotice) {
  const Instant now = this->clock.Now();
  const Instant answeredAt = now - aNotice.age;
  const auto known = this->limits.find(aUpstream->Number());
  if (known != this->limits.end() && known->second.answeredAt >= answeredAt) {
    Limit& limit = known->second;
    if (limit.callsPerSecond.has_value() !=
        aNotice.callsPerSecond.has_value()) {
      return this->NoticeOf(limit);
    }
    limit.renewedAt = now;
    return std::nullopt;
  }
  if (known == this->limits.end() && !aNotice.callsPerSecond) {
    return std::nullopt;
  }
  Limit& limit = this->limits[aUpstream->Number()];
  const bool isChanged = limit.callsPerSecond != aNotice.callsPerSecond;
  limit.upstream = aUpstream;
  limit.callsPerSecond = aNotice.callsPerSecond;
  limit.answeredAt = answeredAt;
  limit.renewedAt = now;
  if (isChanged) {
    this->LogChange(limit, Evidence::Told);
    this->Apply(limit, now);
  }
  return std::nullopt;
}

CallLimits::Part CallLimits::PartOf(const Limit& aLimit, Instant aNow) const {
  const std::string& domain = aLimit.upstream->Entry().failureDomain;
  const bool hasOwnDaemons =
      domain == this->settings.ownDomain ||
      std::any_of(
          this->daemons.begin(), this->daemons.end(),
          [&](const auto& aDaemon) { return aDaemon.second == domain; });
  const bool mayKeep = !hasOwnDaemons || domain == this->settings.ownDomain;
  const std::uint64_t number = aLimit.upstream->Number();
  const std::uint64_t own = RendezvousScore(number, this->settings.ownName);
  std::size_t daemonsInAll = 1;
  std::size_t rank = 0;
  for (const auto& [name, itsDomain] : this->daemons) {
    if (hasOwnDaemons && itsDomain != domain) {
      continue;
    }
    daemonsInAll += 1;
    rank += RendezvousScore(number, name) > own ? 1 : 0;
  }
  const double all =
      std::max(*aLimit.callsPerSecond, this->settings.fewestPerSecond);
  const auto sharers = std::min(
      daemonsInAll,
      1 + static_cast<std::size_t>(std::min(
              kSharersPerCall * all, static_cast<double>(daemonsInAll))));
  if (mayKeep && rank < sharers) {
    return {all / static_cast<double>(sharers), rank < this->settings.renewers};
  }
  const bool isAbandoned = aNow - aLimit.renewedAt > this->settings.renewalLife;
  return {isAbandoned ? all / static_cast<double>(daemonsInAll) : 0, false};
}

void CallLimits::Apply(Limit& aLimit, Instant aNow) {
  if (aLimit.callsPerSecond) {
    aLimit.upstream->SetCallRate(this->PartOf(aLimit, aNow).perSecond, aNow);
  } else {
    aLimit.upstream->LiftCallRate();
  }
}

void CallLimits::OnCall(LiveUpstream& aUpstream, UpstreamCall aCall) {
  this->metrics.Count(
      "zincstep_upstream_calls_total",
      {{"call", std::string(NameIn(kUpstreamCallNames, aCall))}});
  aUpstream.OnCall(this->clock.Now());
  const auto found = this->limits.find(aUpstream.Number());
  if (found != this->limits.end()) {
    found->second.calls[static_cast<std::size_t>(aCall)] += 1;
  }
}

void CallLimits::Tick() {
  const Instant now = this->clock.Now();
  std::vector<LimitNotice> renewals;
  std::size_t inForce = 0;
  std::erase_if(this->limits, [&](const auto& aEntry) {
    const Limit& limit = aEntry.second;
    const bool isOver = !limit.callsPerSecond || limit.upstream->IsGone();
    return isOver && now - limit.renewedAt > this->settings.endedLife;
  });
  for (auto& [number, limit] : this->limits) {
    this->LogCalls(limit, now);
    this->Apply(limit, now);
    if (!limit.callsPerSecond) {
      continue;
    }
    inForce += 1;
    if (now >= limit.nextRenewal && this->PartOf(limit, now).isRenewer) {
      limit.nextRenewal = now + this->settings.renewalPause;
      limit.renewedAt = now;
      renewals.push_back(this->NoticeOf(limit));
    }
  }
  this->metrics.Set("zincstep_upstream_limits", static_cast<double>(inForce));
  if (!renewals.empty()) {
    this->tellAll(renewals);
  }
}

void CallLimits::LogChange(const Limit& aLimit, Evidence aEvidence) const {
  const bool isTold = aEvidence == Evidence::Told;
  if (!aLimit.callsPerSecond) {
    LogInfo("upstream_limit_lifted",
            {{"upstream", aLimit.upstream->Entry().id}, {"told", isTold}});
    return;
  }
  LogInfo("upstream_limit_named",
          {{"upstream", aLimit.upstream->Entry().id},
           {"calls_per_second", *aLimit.callsPerSecond},
           {"own_part", this->PartOf(aLimit, this->clock.Now()).perSecond},
           {"age_ms", (this->clock.Now() - aLimit.answeredAt) / 1ms},
           {"told", isTold}});
}

void CallLimits::LogCalls(Limit& aLimit, Instant aNow) const {
  const int sum = std::accumulate(aLimit.calls.begin(), aLimit.calls.end(), 0);
  if (aNow < aLimit.nextLine || sum == 0) {
    return;
  }
  const auto count = [&aLimit](UpstreamCall aCall) {
    return aLimit.calls[static_cast<std::size_t>(aCall)];
  };
  LogInfo("limited_upstream_calls",
          {{"upstream", aLimit.upstream->Entry().id},
           {"calls_per_second", aLimit.callsPerSecond.value_or(-1)},
           {"requests", count(UpstreamCall::Request)},
           {"reports", count(UpstreamCall::Report)},
           {"orders", count(UpstreamCall::Order)}});
  aLimit.calls.fill(0);
  aLimit.nextLine = aNow + kLinePause;
}

}  // namespace zincstep
