#include "Zincstep/Cluster/PlacementKeeper.h"

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
    const bool counts =
        upstream->IsSound(aNow) || upstream->IsNewlySuspect(aNow);
    if (!counts || isRejoining) {
      continue;
    }
    PlacedUpstream one{entry.id, entry.failureDomain, entry.kind, entry.layers,
                       true,     upstream->Work()};
    const auto order = this->pending.find(entry.id);
    if (order != this->pending.end()) {
      const bool isDone = order->second.layers == entry.layers;
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

void PlacementKeeper::Act(Instant aNow) {
  const auto& table = this->view.Table();
  if (!table) {
    return;
  }
  for (const RoutedService& service : table->Configuration().services) {
    if (!service.model || !this->IsSettled(service.name, aNow)) {
      continue;
    }
    this->NoteRejoins(service.name, aNow);
    const auto placed = this->Placed(service.name, aNow);
    for (const PlacementOrder& order :
         this->planner.Plan(*service.model, placed)) {
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
  this->Hold(aOrder.id, aOrder.layers, this->settings.reportTimeout * 2);
  this->control.Report(upstream->Entry(), this->settings.reportTimeout,
                       [this, id = aOrder.id, layers = aOrder.layers,
                        loadTime](const Result<UpstreamReport>& aReport) {
                         this->OnReport(id, layers, loadTime, aReport);
                       });
}

void PlacementKeeper::Hold(const std::string& aId, LayerRange aLayers,
                           Micros aTime) {
  this->pending[aId] = {aLayers, this->clock.Now() + aTime};
}

void PlacementKeeper::OnReport(const std::string& aId, LayerRange aLayers,
                               Micros aLoadTime,
                               const Result<UpstreamReport>& aReport) {
  const UpstreamPtr upstream = this->view.Directory().Find(aId);
  const Instant now = this->clock.Now();
  if (!upstream || !this->guard.MayAct(now)) {
    return;
  }
  if (!aReport) {
    upstream->Suspect(now);
    this->pending.erase(aId);
    return;
  }
  upstream->OnAnswer(now);
  if (aReport->isBusy) {
    LogInfo("placement_busy", {{"upstream", aId},
                               {"first_layer", aReport->layers.first},
                               {"last_layer", aReport->layers.last},
                               {"running", aReport->running},
                               {"queued", aReport->queued},
                               {"memory_used", aReport->memoryUsed},
                               {"pace", aReport->pace}});
    this->Hold(aId, aLayers, this->settings.refusedPause);
    return;
  }
  LogInfo("placement_ordered", {{"upstream", aId},
                                {"first_layer", aLayers.first},
                                {"last_layer", aLayers.last},
                                {"memory_used", aReport->memoryUsed},
                                {"memory_total", aReport->memoryTotal},
                                {"expected_sequence", aReport->sequence}});
  this->Hold(aId, aLayers, aLoadTime + this->settings.orderSlack);
  this->control.Place(
      upstream->Entry(), aLayers, aReport->sequence, this->settings.giveUp,
      [this, aId, aLayers, aLoadTime](const Result<OrderOutcome>& aOutcome) {
        this->OnOrdered(aId, aLayers, aLoadTime, aOutcome);
      });
}

void PlacementKeeper::OnOrdered(const std::string& aId, LayerRange aLayers,
                                Micros aLoadTime,
                                const Result<OrderOutcome>& aOutcome) {
  if (!aOutcome) {
    LogWarning("placement_unanswered",
               {{"upstream", aId}, {"reason", aOutcome.error().message}});
    this->Hold(aId, aLayers, aLoadTime + this->settings.unansweredPause);
  } else if (aOutcome->answer != OrderAnswer::Taken) {
    LogWarning("placement_refused", {{"upstream", aId}});
    this->Hold(aId, aLayers, this->settings.refusedPause);
  }
}

}  // namespace zincstep
