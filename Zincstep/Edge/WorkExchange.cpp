#include "Zincstep/Edge/WorkExchange.h"

namespace zincstep {

namespace {

/// Maximum age of an announced load that is sent: at least two messages are
/// sent within it, and older loads say little.
constexpr Micros kSentLoadMaxAge = 1s;

/// Returns the requests with `aUpstream` as first stage and its load, as known
/// to this daemon; none if it has none and heard none.
std::optional<FirstStageWork> FirstStageOf(const LiveUpstream& aUpstream,
                                           Instant aNow) {
  const FirstStageLoad& stage = aUpstream.firstStage;
  const auto load = stage.AnnouncedHere(aNow, kSentLoadMaxAge);
  if (stage.Local() == 0 && !load) {
    return std::nullopt;
  }
  FirstStageWork work;
  work.upstream = aUpstream.Number();
  work.requests = stage.Local();
  if (load) {
    work.running = load->running;
    work.queued = load->queued;
    work.age = aNow - load->at;
  }
  return work;
}

}  // namespace

std::optional<WorkExchange::Outgoing> WorkExchange::Build(WorkGossip aDemands,
                                                          Instant aNow) {
  Outgoing outgoing{std::move(aDemands), false};
  WorkGossip& gossip = outgoing.gossip;
  for (const auto& [id, upstream] : this->directory.All()) {
    const bool isSuspect = upstream->IsSuspect(aNow);
    outgoing.hasSuspects = outgoing.hasSuspects || isSuspect;
    const double slowdown = upstream->ObservedSlowdown(aNow);
    if (upstream->localWork > 0 || isSuspect || slowdown > 1) {
      gossip.works.push_back(
          {upstream->Number(), upstream->localWork, isSuspect, slowdown});
    }
    if (const auto stage = FirstStageOf(*upstream, aNow)) {
      gossip.firstStages.push_back(*stage);
    }
  }
  const bool hasWork = !gossip.works.empty() || !gossip.firstStages.empty() ||
                       !gossip.demands.empty();
  if (!hasWork && !this->hasSentWork) {
    return std::nullopt;
  }
  this->hasSentWork = hasWork;
  return outgoing;
}

WorkGossip WorkExchange::BuildForDomain(const std::string& aDomain) const {
  WorkGossip gossip;
  gossip.coversDomain = true;
  for (const auto& [id, upstream] : this->directory.All()) {
    const UpstreamEntry& entry = upstream->Entry();
    if (entry.failureDomain == aDomain && entry.IsOfModel() &&
        upstream->Work() > 0) {
      gossip.works.push_back({upstream->Number(), upstream->Work()});
    }
  }
  return gossip;
}

void WorkExchange::ApplyDomainWork(const WorkGossip& aGossip, Instant aNow) {
  for (const UpstreamWork& report : aGossip.works) {
    if (const UpstreamPtr upstream =
            this->directory.FindNumber(report.upstream)) {
      upstream->SetDomainWork(report.work, aNow);
    }
  }
}

void WorkExchange::Apply(const std::string& aSender, const WorkGossip& aGossip,
                         Instant aNow) {
  if (aGossip.coversDomain) {
    this->ApplyDomainWork(aGossip, aNow);
    return;
  }
  std::vector<PeerShare> shares;
  std::map<std::string, std::size_t> unreachable;
  shares.reserve(aGossip.works.size() + aGossip.firstStages.size());
  for (const UpstreamWork& report : aGossip.works) {
    const UpstreamPtr upstream = this->directory.FindNumber(report.upstream);
    if (!upstream) {
      continue;
    }
    if (report.work > 0) {
      shares.push_back({upstream, report.work});
    }
    if (report.slowdown > 1 && upstream->Slowdown(aNow) <= 1) {
      upstream->SetSlowdown(report.slowdown, aNow, Provenance::Reported);
    }
    if (report.isSuspect && TakesRequests(*upstream)) {
      unreachable[upstream->Entry().service] += 1;
    }
    if (report.isSuspect && !upstream->IsSuspect(aNow)) {
      this->onSuspicion(upstream);
    }
  }
  for (const FirstStageWork& report : aGossip.firstStages) {
    const UpstreamPtr upstream = this->directory.FindNumber(report.upstream);
    if (!upstream) {
      continue;
    }
    if (report.requests > 0) {
      shares.push_back({upstream, 0, report.requests});
    }
    if (report.age) {
      upstream->firstStage.Announce(
          {report.running, report.queued, aNow - *report.age},
          LoadSource::Peer);
    }
  }
  this->work.Update(aSender, std::move(shares), aNow);
  if (this->onReach) {
    this->onReach(aSender, unreachable);
  }
}

}  // namespace zincstep
