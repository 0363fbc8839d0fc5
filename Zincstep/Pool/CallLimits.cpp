#include "Zincstep/Pool/CallLimits.h"

#include <cmath>
#include <numeric>

namespace zincstep {

namespace {

/// Between two log lines of the calls to one upstream.
constexpr Micros kLinePause = 1s;
/// A limit that has changed by less is told with the next renewal.
constexpr double kToldChange = 0.1;

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
  if (aNotice.backoff) {
    this->ApplyBackoff(*aUpstream, *aNotice.backoff, now);
  }
  if (aNotice.isLeaving && !aUpstream->IsDraining()) {
    aUpstream->SetLeaving(now);
    LogInfo("upstream_leaving", {{"upstream", aUpstream->Entry().id},
                                 {"reason", "its answer says so"}});
  }
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
  const bool isChanged = before.has_value() != named.has_value() ||
                         (before && named && IsLargeChange(*before, *named));
  if (isChanged) {
    limit.renewedAt = now;
    this->LogChange(limit, Provenance::Observed);
    this->Apply(limit, now);
    this->broadcast({this->NoticeOf(limit)});
  }
}

void CallLimits::ApplyBackoff(LiveUpstream& aUpstream, Micros aRest,
                              Instant aNow) {
  aUpstream.BackOffUntil(aNow + aRest);
  this->metrics.Count("zincstep_upstream_rests_total");
  LogInfo("upstream_rests",
          {{"upstream", aUpstream.Entry().id}, {"rest_ms", aRest / 1ms}});
}

std::optional<LimitNotice> CallLimits::OnPeerReport(
    const UpstreamPtr& aUpstream, const LimitNotice& aNotice,
    const std::string& aReporter) {
  const Instant now = this->clock.Now();
  const Instant answeredAt = now - aNotice.age;
  const auto known = this->limits.find(aUpstream->Number());
  if (known == this->limits.end() && !aNotice.callsPerSecond) {
    return std::nullopt;
  }
  const bool isNew = known == this->limits.end();
  Limit& limit = this->limits[aUpstream->Number()];
  const bool isSame =
      limit.callsPerSecond.has_value() == aNotice.callsPerSecond.has_value();
  if (!isNew && limit.answeredAt >= answeredAt && !isSame) {
    return this->NoticeOf(limit);
  }
  limit.upstream = aUpstream;
  if (isNew || this->ComesBefore(limit, aReporter)) {
    limit.renewedAt = now;
  }
  if (!isNew && limit.answeredAt >= answeredAt) {
    return std::nullopt;
  }
  const bool isChanged = limit.callsPerSecond != aNotice.callsPerSecond;
  limit.callsPerSecond = aNotice.callsPerSecond;
  limit.answeredAt = answeredAt;
  if (isChanged) {
    this->LogChange(limit, Provenance::Reported);
    this->Apply(limit, now);
  }
  return std::nullopt;
}

CallLimits::Place CallLimits::PlaceOf(const LiveUpstream& aUpstream,
                                      const std::string& aDaemon) const {
  const std::string& domain = aUpstream.Entry().failureDomain;
  const std::string& ownDomain = this->settings.ownDomain;
  const bool isServed =
      domain == ownDomain ||
      std::any_of(this->daemons.begin(), this->daemons.end(),
                  [&](const auto& aOther) { return aOther.second == domain; });
  const std::uint64_t number = aUpstream.Number();
  const std::uint64_t score = RendezvousScore(number, aDaemon);
  Place place;
  const auto add = [&](const std::string& aName, const std::string& aDomain) {
    // Where no daemon is of the upstream's domain, any may keep its limit.
    if (isServed && aDomain != domain) {
      return;
    }
    place.daemons += 1;
    place.isListed = place.isListed || aName == aDaemon;
    place.rank += RendezvousScore(number, aName) > score ? 1 : 0;
  };
  add(this->settings.ownName, ownDomain);
  for (const auto& [name, itsDomain] : this->daemons) {
    add(name, itsDomain);
  }
  return place;
}

std::size_t CallLimits::Sharers(const Limit& aLimit,
                                std::size_t aDaemons) const {
  const double calls = aLimit.callsPerSecond.value_or(0);
  const double wanted = std::min(1 + this->settings.sharersPerCall * calls,
                                 static_cast<double>(aDaemons));
  return std::max<std::size_t>(1, static_cast<std::size_t>(wanted));
}

bool CallLimits::ComesBefore(const Limit& aLimit,
                             const std::string& aReporter) const {
  const Place teller = this->PlaceOf(*aLimit.upstream, aReporter);
  const Place own = this->PlaceOf(*aLimit.upstream, this->settings.ownName);
  const std::size_t sharers = this->Sharers(aLimit, own.daemons);
  return teller.isListed && teller.rank / sharers < own.rank / sharers;
}

CallLimits::Part CallLimits::PartOf(const Limit& aLimit, Instant aNow) const {
  const Place place = this->PlaceOf(*aLimit.upstream, this->settings.ownName);
  if (!place.isListed) {
    return {};
  }
  const std::size_t sharers = this->Sharers(aLimit, place.daemons);
  const std::size_t group = place.rank / sharers;
  const Micros silence = aNow - aLimit.renewedAt;
  const bool isDue =
      group == 0 ||
      silence > this->settings.renewalLife * static_cast<std::int64_t>(group);
  if (!isDue) {
    return {};
  }
  const double all =
      std::max(*aLimit.callsPerSecond, this->settings.minPerSecond);
  return {all / static_cast<double>(sharers),
          place.rank % sharers < this->settings.renewers};
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

bool CallLimits::IsForgotten(const Limit& aLimit, Instant aNow) const {
  const bool isOver =
      !aLimit.callsPerSecond || aLimit.upstream->IsDeregistered();
  const Instant lastSeenAt = std::max(aLimit.renewedAt, aLimit.answeredAt);
  if (!isOver || aNow - lastSeenAt <= this->settings.endedLife) {
    return false;
  }
  // It may come back, and nobody would set its part anew.
  aLimit.upstream->LiftCallRate();
  return true;
}

void CallLimits::Tick() {
  const Instant now = this->clock.Now();
  std::vector<LimitNotice> renewals;
  std::size_t inForce = 0;
  std::erase_if(this->limits, [&](const auto& aEntry) {
    return this->IsForgotten(aEntry.second, now);
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
      renewals.push_back(this->NoticeOf(limit));
    }
  }
  this->metrics.Set("zincstep_upstream_limits", static_cast<double>(inForce));
  if (!renewals.empty()) {
    this->broadcast(renewals);
  }
}

void CallLimits::LogChange(const Limit& aLimit, Provenance aProvenance) const {
  const bool isTold = aProvenance == Provenance::Reported;
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
  if (aNow < aLimit.nextLogAt || sum == 0) {
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
  aLimit.nextLogAt = aNow + kLinePause;
}

}  // namespace zincstep
