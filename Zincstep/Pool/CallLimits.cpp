#include "Zincstep/Pool/CallLimits.h"

#include <cmath>
#include <numeric>

namespace zincstep {

namespace {

/// Minimum time between two log lines about the calls to one upstream.
constexpr Micros kLogInterval = 1s;
/// Relative change from which a limit is sent at once instead of with the next
/// renewal.
constexpr double kBroadcastThreshold = 0.1;

bool IsLargeChange(double aBefore, double aAfter) {
  return std::abs(aAfter - aBefore) > kBroadcastThreshold * aBefore;
}

}  // namespace

LimitNotice CallLimits::NoticeOf(const Limit& aLimit) const {
  return {aLimit.upstream->Number(), aLimit.callsPerSecond,
          this->clock.Now() - aLimit.statedAt};
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
                                 {"reason", "announced in a response"}});
  }
  const std::optional<double> newLimit = aNotice.callsPerSecond;
  const auto known = this->limits.find(aUpstream->Number());
  if (known == this->limits.end() && !newLimit) {
    return;
  }
  Limit& limit = this->limits[aUpstream->Number()];
  // A response to a call sent before the limit was stated does not show that
  // the limit has ended.
  const bool isOutdated = !newLimit && aSentAt <= limit.statedAt;
  if (isOutdated) {
    return;
  }
  const std::optional<double> before = limit.callsPerSecond;
  limit.upstream = aUpstream;
  limit.callsPerSecond = newLimit;
  limit.statedAt = now;
  const bool isChanged =
      before.has_value() != newLimit.has_value() ||
      (before && newLimit && IsLargeChange(*before, *newLimit));
  if (isChanged) {
    limit.renewedAt = now;
    this->LogChange(limit, Provenance::Observed);
    this->Apply(limit, now);
    this->broadcast({this->NoticeOf(limit)});
  }
}

void CallLimits::ApplyBackoff(LiveUpstream& aUpstream, Micros aBackoff,
                              Instant aNow) {
  aUpstream.BackOffUntil(aNow + aBackoff);
  this->metrics.Count("zincstep_upstream_rests_total");
  LogInfo("upstream_rests",
          {{"upstream", aUpstream.Entry().id}, {"rest_ms", aBackoff / 1ms}});
}

std::optional<LimitNotice> CallLimits::OnPeerReport(
    const UpstreamPtr& aUpstream, const LimitNotice& aNotice,
    const std::string& aReporter) {
  const Instant now = this->clock.Now();
  const Instant statedAt = now - aNotice.age;
  const auto known = this->limits.find(aUpstream->Number());
  if (known == this->limits.end() && !aNotice.callsPerSecond) {
    return std::nullopt;
  }
  const bool isNew = known == this->limits.end();
  Limit& limit = this->limits[aUpstream->Number()];
  const bool isSame =
      limit.callsPerSecond.has_value() == aNotice.callsPerSecond.has_value();
  if (!isNew && limit.statedAt >= statedAt && !isSame) {
    return this->NoticeOf(limit);
  }
  limit.upstream = aUpstream;
  if (isNew || this->IsHigherRanked(limit, aReporter)) {
    limit.renewedAt = now;
  }
  if (!isNew && limit.statedAt >= statedAt) {
    return std::nullopt;
  }
  const bool isChanged = limit.callsPerSecond != aNotice.callsPerSecond;
  limit.callsPerSecond = aNotice.callsPerSecond;
  limit.statedAt = statedAt;
  if (isChanged) {
    this->LogChange(limit, Provenance::Reported);
    this->Apply(limit, now);
  }
  return std::nullopt;
}

CallLimits::Ranking CallLimits::RankingOf(const LiveUpstream& aUpstream,
                                          const std::string& aDaemon) const {
  const std::string& domain = aUpstream.Entry().failureDomain;
  const std::string& ownDomain = this->settings.ownDomain;
  const bool hasDomainDaemon =
      domain == ownDomain ||
      std::any_of(this->daemons.begin(), this->daemons.end(),
                  [&](const auto& aOther) { return aOther.second == domain; });
  const std::uint64_t number = aUpstream.Number();
  const std::uint64_t score = RendezvousScore(number, aDaemon);
  Ranking ranking;
  const auto add = [&](const std::string& aName, const std::string& aDomain) {
    // If the upstream's domain has no daemon, daemons of all domains are
    // candidates.
    if (hasDomainDaemon && aDomain != domain) {
      return;
    }
    ranking.daemons += 1;
    ranking.isCandidate = ranking.isCandidate || aName == aDaemon;
    ranking.rank += RendezvousScore(number, aName) > score ? 1 : 0;
  };
  add(this->settings.ownName, ownDomain);
  for (const auto& [name, peerDomain] : this->daemons) {
    add(name, peerDomain);
  }
  return ranking;
}

std::size_t CallLimits::SharerCount(const Limit& aLimit,
                                    std::size_t aDaemons) const {
  const double calls = aLimit.callsPerSecond.value_or(0);
  const double sharers = std::min(1 + this->settings.sharersPerCall * calls,
                                  static_cast<double>(aDaemons));
  return std::max<std::size_t>(1, static_cast<std::size_t>(sharers));
}

bool CallLimits::IsHigherRanked(const Limit& aLimit,
                                const std::string& aReporter) const {
  const Ranking reporter = this->RankingOf(*aLimit.upstream, aReporter);
  const Ranking own = this->RankingOf(*aLimit.upstream, this->settings.ownName);
  const std::size_t sharers = this->SharerCount(aLimit, own.daemons);
  return reporter.isCandidate && reporter.rank / sharers < own.rank / sharers;
}

CallLimits::Share CallLimits::ShareOf(const Limit& aLimit, Instant aNow) const {
  const Ranking ranking =
      this->RankingOf(*aLimit.upstream, this->settings.ownName);
  if (!ranking.isCandidate) {
    return {};
  }
  const std::size_t sharers = this->SharerCount(aLimit, ranking.daemons);
  const std::size_t group = ranking.rank / sharers;
  const Micros sinceRenewal = aNow - aLimit.renewedAt;
  const bool isActive =
      group == 0 || sinceRenewal > this->settings.renewalTimeout *
                                       static_cast<std::int64_t>(group);
  if (!isActive) {
    return {};
  }
  const double total =
      std::max(*aLimit.callsPerSecond, this->settings.minCallsPerSecond);
  return {total / static_cast<double>(sharers),
          ranking.rank % sharers < this->settings.renewers};
}

void CallLimits::Apply(Limit& aLimit, Instant aNow) {
  if (aLimit.callsPerSecond) {
    aLimit.upstream->SetCallRate(this->ShareOf(aLimit, aNow).perSecond, aNow);
  } else {
    aLimit.upstream->ClearCallRate();
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

bool CallLimits::IsExpired(const Limit& aLimit, Instant aNow) const {
  const bool isOver =
      !aLimit.callsPerSecond || aLimit.upstream->IsDeregistered();
  const Instant lastSeenAt = std::max(aLimit.renewedAt, aLimit.statedAt);
  if (!isOver || aNow - lastSeenAt <= this->settings.endedLimitTtl) {
    return false;
  }
  // The upstream may register again, and no share would be computed for it
  // then.
  aLimit.upstream->ClearCallRate();
  return true;
}

void CallLimits::Tick() {
  const Instant now = this->clock.Now();
  std::vector<LimitNotice> renewals;
  std::size_t activeLimits = 0;
  std::erase_if(this->limits, [&](const auto& aEntry) {
    return this->IsExpired(aEntry.second, now);
  });
  for (auto& [number, limit] : this->limits) {
    this->LogCalls(limit, now);
    this->Apply(limit, now);
    if (!limit.callsPerSecond) {
      continue;
    }
    activeLimits += 1;
    if (now >= limit.nextRenewal && this->ShareOf(limit, now).isRenewer) {
      limit.nextRenewal = now + this->settings.renewalInterval;
      renewals.push_back(this->NoticeOf(limit));
    }
  }
  this->metrics.Set("zincstep_upstream_limits",
                    static_cast<double>(activeLimits));
  if (!renewals.empty()) {
    this->broadcast(renewals);
  }
}

void CallLimits::LogChange(const Limit& aLimit, Provenance aProvenance) const {
  const bool isReported = aProvenance == Provenance::Reported;
  if (!aLimit.callsPerSecond) {
    LogInfo("upstream_limit_lifted",
            {{"upstream", aLimit.upstream->Entry().id}, {"told", isReported}});
    return;
  }
  LogInfo("upstream_limit_named",
          {{"upstream", aLimit.upstream->Entry().id},
           {"calls_per_second", *aLimit.callsPerSecond},
           {"own_part", this->ShareOf(aLimit, this->clock.Now()).perSecond},
           {"age_ms", (this->clock.Now() - aLimit.statedAt) / 1ms},
           {"told", isReported}});
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
  aLimit.nextLogAt = aNow + kLogInterval;
}

}  // namespace zincstep
