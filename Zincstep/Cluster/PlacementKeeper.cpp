#include "Zincstep/Cluster/PlacementKeeper.h"

#include <algorithm>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Pause between attempts to take a free duty, so that daemons that find
/// it free at once do not all ask for leases again and again.
constexpr Micros kAttemptPause = 500ms;

}  // namespace

PlacementKeeper::PlacementKeeper(PlacementKeeperSettings aSettings,
                                 AsyncStore& aStore, UpstreamControl& aControl,
                                 ClusterView& aView, const Clock& aClock)
    : settings(std::move(aSettings)),
      store(aStore),
      control(aControl),
      view(aView),
      clock(aClock),
      planner(this->settings.placement),
      guard(this->settings.lease) {}

void PlacementKeeper::OnHolder(const std::string& aName) {
  this->holder = aName;
}

void PlacementKeeper::Tick() {
  const Instant now = this->clock.Now();
  if (this->isStopping) {
    return;
  }
  if (this->guard.IsHeld(now)) {
    if (now >= this->guard.RenewAt()) {
      this->RenewDuty();
    }
  } else if (this->holder.empty() || this->holder == this->settings.name) {
    this->TakeDuty();
  }
  if (this->guard.MayAct(now)) {
    this->Act(now);
  }
}

void PlacementKeeper::Stop() {
  this->isStopping = true;
  if (!this->guard.IsHeld(this->clock.Now())) {
    return;
  }
  this->guard.OnLost();
  this->store.End(this->lease, [](const Result<bool>& aEnded) {
    LogInfo("placement_duty_given_up", {{"told", aEnded.has_value()}});
  });
}

void PlacementKeeper::TakeDuty() {
  const Instant sentAt = this->clock.Now();
  const bool isBarred = this->mayTake && !this->mayTake();
  if (this->isAsking || isBarred || sentAt < this->nextAttempt) {
    return;
  }
  this->isAsking = true;
  this->nextAttempt = sentAt + kAttemptPause;
  this->store.Grant(
      this->settings.lease.ttl, [this, sentAt](Result<std::uint64_t> aLease) {
        if (!aLease) {
          this->isAsking = false;
          return;
        }
        this->lease = *aLease;
        StoreChange take;
        take.key = this->settings.key;
        take.value = this->settings.name;
        take.lease = this->lease;
        this->store.Commit(take, [this, sentAt](Result<StoreCommit> aTaken) {
          this->isAsking = false;
          if (aTaken && aTaken->done) {
            this->guard.OnTaken(aTaken->revision, sentAt);
            this->pending.clear();
            LogInfo("placement_duty_taken", {{"fence", aTaken->revision}});
          } else if (aTaken && aTaken->present) {
            this->holder = aTaken->present->value;
          }
        });
      });
}

void PlacementKeeper::RenewDuty() {
  if (this->isAsking) {
    return;
  }
  this->isAsking = true;
  const Instant sentAt = this->clock.Now();
  this->store.Renew(this->lease, [this, sentAt](Result<bool> aRenewed) {
    this->isAsking = false;
    if (aRenewed) {
      this->guard.OnRenewed(sentAt);
    } else if (aRenewed.error().kind == ErrorKind::LeaseLost) {
      this->guard.OnLost();
      this->holder.clear();
      LogWarning("placement_duty_lost", {});
    }
  });
}

std::vector<PlacedUpstream> PlacementKeeper::Placed(const std::string& aService,
                                                    Instant aNow) {
  std::vector<PlacedUpstream> placed;
  for (const UpstreamPtr& upstream :
       this->view.Directory().OfService(aService)) {
    const UpstreamEntry& entry = upstream->Entry();
    const auto rejoined = this->rejoinedAt.find(entry.failureDomain);
    const bool isRejoining =
        rejoined != this->rejoinedAt.end() &&
        aNow - rejoined->second < this->settings.rejoinTime;
    // One that refuses requests has no memory left, or begins to leave; either
    // way its layers are not lost yet.
    const bool isRefusing = upstream->IsRefusing(aNow);
    const bool counts =
        upstream->IsPresent(aNow) || upstream->IsNewlySuspect(aNow);
    if (!counts || isRejoining) {
      continue;
    }
    PlacedUpstream one{entry.id,     entry.failureDomain, entry.kind,
                       entry.layers, !isRefusing,         entry.slots};
    const auto order = this->pending.find(entry.id);
    if (order != this->pending.end()) {
      const bool isDone = order->second.layers == entry.layers ||
                          order->second.incarnation != upstream->Number();
      if (isDone || aNow >= order->second.until) {
        this->pending.erase(order);
      } else {
        one.layers = order->second.layers;
        one.takesOrders = false;
      }
    }
    placed.push_back(std::move(one));
  }
  return placed;
}

std::set<std::string> PlacementKeeper::SteadyDomains(
    const std::vector<PlacedUpstream>& aUpstreams, Instant aNow) {
  std::map<std::string, std::vector<std::string>> present;
  for (const PlacedUpstream& upstream : aUpstreams) {
    present[upstream.failureDomain].push_back(upstream.id);
  }
  std::set<std::string> steady;
  for (auto& [domain, ids] : present) {
    std::sort(ids.begin(), ids.end());
    Membership& membership = this->memberships[domain];
    if (membership.ids != ids) {
      membership = {std::move(ids), aNow};
    } else if (aNow - membership.since >= this->settings.steadyTime) {
      steady.insert(domain);
    }
  }
  return steady;
}

std::string PlacementKeeper::NextImproved(
    const std::vector<PlacedUpstream>& aUpstreams, Instant aNow) {
  if (aNow < this->nextImprove) {
    return "";
  }
  std::set<std::string> domains;
  for (const PlacedUpstream& upstream : aUpstreams) {
    domains.insert(upstream.failureDomain);
  }
  const auto next = domains.upper_bound(this->lastImproved);
  if (next != domains.end()) {
    this->lastImproved = *next;
  } else {
    this->lastImproved = domains.empty() ? "" : *domains.begin();
  }
  return this->lastImproved;
}

void PlacementKeeper::Act(Instant aNow) {
  const auto& table = this->view.Table();
  if (!table) {
    return;
  }
  const bool isWhole = !this->view.MayLackEntries();
  for (const RoutedService& service : table->Configuration().services) {
    if (!service.model || !this->IsSettled(service.name, aNow)) {
      continue;
    }
    this->NoteRejoins(service.name, aNow);
    if (!isWhole) {
      continue;
    }
    PlacementSituation situation;
    situation.upstreams = this->Placed(service.name, aNow);
    situation.demand = this->demand ? this->demand() : std::nullopt;
    if (situation.demand) {
      situation.steadyDomains = this->SteadyDomains(situation.upstreams, aNow);
    }
    const std::string improved = this->NextImproved(situation.upstreams, aNow);
    situation.onlyImproved = improved;
    const auto orders = this->planner.Plan(*service.model, situation);
    if (!improved.empty()) {
      const Micros taken = this->clock.Now() - aNow;
      this->nextImprove = aNow + this->settings.improveShare * taken;
    }
    for (const PlacementOrder& order : orders) {
      this->Give(*service.model, order);
    }
  }
}

bool PlacementKeeper::IsSettled(const std::string& aService, Instant aNow) {
  const auto& upstreams = this->view.Directory().OfService(aService);
  Growth& growth = this->growths[aService];
  const bool isEmpty = std::all_of(
      upstreams.begin(), upstreams.end(), [](const UpstreamPtr& aUpstream) {
        return aUpstream->Entry().layers.Size() == 0;
      });
  if (!isEmpty) {
    return true;
  }
  if (growth.count != upstreams.size()) {
    growth.firstAt = growth.count == 0 ? aNow : growth.firstAt;
    growth.changedAt = aNow;
    growth.count = upstreams.size();
  }
  return growth.count > 0 &&
         (aNow - growth.changedAt >= this->settings.settleTime ||
          aNow - growth.firstAt >= this->settings.longestSettle);
}

void PlacementKeeper::NoteRejoins(const std::string& aService, Instant aNow) {
  const bool isFirst = this->listed.empty();
  std::set<std::string> present;
  for (const UpstreamPtr& upstream :
       this->view.Directory().OfService(aService)) {
    if (upstream->HasEnded()) {
      continue;  // What it wrote was held up; its domain has not rejoined.
    }
    const UpstreamEntry& entry = upstream->Entry();
    present.insert(entry.id);
    const bool isNew = !this->listed.contains(entry.id);
    if (isNew && !isFirst && entry.layers.Size() > 0) {
      this->rejoinedAt[entry.failureDomain] = aNow;
    }
  }
  this->listed = std::move(present);
}

void PlacementKeeper::Give(const ModelShape& aModel,
                           const PlacementOrder& aOrder) {
  const UpstreamPtr upstream = this->view.Directory().Find(aOrder.id);
  if (!upstream) {
    return;
  }
  const Micros loadTime =
      aModel.loadTime * aOrder.layers.Size() / aModel.layers;
  this->Hold(*upstream, aOrder.layers, this->settings.reportTimeout * 2);
  this->control.Report(upstream->Entry(), this->settings.reportTimeout,
                       [this, upstream, aOrder,
                        loadTime](const Result<UpstreamReport>& aReport) {
                         this->OnReport(upstream, aOrder, loadTime, aReport);
                       });
}

void PlacementKeeper::Hold(const LiveUpstream& aUpstream, LayerRange aLayers,
                           Micros aTime) {
  this->pending[aUpstream.Entry().id] = {aUpstream.Number(), aLayers,
                                         this->clock.Now() + aTime};
}

void PlacementKeeper::OnReport(const UpstreamPtr& aUpstream,
                               const PlacementOrder& aOrder, Micros aLoadTime,
                               const Result<UpstreamReport>& aReport) {
  const std::string& id = aOrder.id;
  const Instant now = this->clock.Now();
  // The count of orders in a report is that of the start which gave it.
  const bool isListed = this->view.Directory().Find(id) == aUpstream;
  if (!isListed || !this->guard.MayAct(now)) {
    return;
  }
  if (!aReport) {
    LogInfo("upstream_suspected", {{"upstream", id},
                                   {"reason", "no report before an order"},
                                   {"error", aReport.error().message}});
    aUpstream->Suspect(now);
    this->pending.erase(id);
    return;
  }
  aUpstream->OnAnswer(now);
  if (aReport->isBusy) {
    LogInfo("placement_busy", {{"upstream", id},
                               {"first_layer", aReport->layers.first},
                               {"last_layer", aReport->layers.last},
                               {"running", aReport->running},
                               {"queued", aReport->queued},
                               {"memory_used", aReport->memoryUsed},
                               {"pace", aReport->pace}});
    this->Hold(*aUpstream, aOrder.layers, this->settings.refusedPause);
    return;
  }
  LogInfo("placement_ordered", {{"upstream", id},
                                {"first_layer", aOrder.layers.first},
                                {"last_layer", aOrder.layers.last},
                                {"memory_used", aReport->memoryUsed},
                                {"memory_total", aReport->memoryTotal},
                                {"expected_sequence", aReport->sequence}});
  this->Hold(*aUpstream, aOrder.layers, aLoadTime + this->settings.orderSlack);
  this->control.Place(aUpstream->Entry(), aOrder.layers, aReport->sequence,
                      aOrder.giveUp,
                      [this, aUpstream, aOrder,
                       aLoadTime](const Result<OrderOutcome>& aOutcome) {
                        this->OnOrdered(aUpstream, aOrder, aLoadTime, aOutcome);
                      });
}

void PlacementKeeper::OnOrdered(const UpstreamPtr& aUpstream,
                                const PlacementOrder& aOrder, Micros aLoadTime,
                                const Result<OrderOutcome>& aOutcome) {
  if (aUpstream->HasEnded()) {
    LogInfo("placement_order_void",
            {{"upstream", aOrder.id}, {"reason", "it has started again"}});
    return;
  }
  if (!aOutcome) {
    LogWarning("placement_unanswered",
               {{"upstream", aOrder.id}, {"reason", aOutcome.error().message}});
    this->Hold(*aUpstream, aOrder.layers,
               aLoadTime + this->settings.unansweredPause);
  } else if (aOutcome->answer != OrderAnswer::Taken) {
    LogWarning("placement_refused", {{"upstream", aOrder.id}});
    this->Hold(*aUpstream, aOrder.layers, this->settings.refusedPause);
  }
}

}  // namespace zincstep
