#include "Zincstep/Cluster/PlacementController.h"

#include <algorithm>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Pause between attempts to take a free duty, so that daemons that find
/// it free at once do not all ask for leases again and again.
constexpr Micros kAttemptPause = 500ms;

}  // namespace

PlacementController::PlacementController(PlacementControllerSettings aSettings,
                                         AsyncStore& aStore,
                                         UpstreamControl& aControl,
                                         ClusterView& aView, PlanRunner& aPlans,
                                         const Clock& aClock)
    : settings(std::move(aSettings)),
      store(aStore),
      view(aView),
      plans(aPlans),
      clock(aClock),
      guard(this->settings.lease),
      orders(this->settings.orders, aControl, aView, aClock,
             [this] { return this->guard.MayIssueOrders(this->clock.Now()); }) {
}

void PlacementController::OnLeaderChanged(const std::string& aName) {
  this->holder = aName;
}

void PlacementController::Tick() {
  const Instant now = this->clock.Now();
  if (this->isStopping) {
    return;
  }
  if (this->guard.IsHeld(now)) {
    if (now >= this->guard.RenewAt()) {
      this->RenewLeadership();
    }
  } else if (this->holder.empty() || this->holder == this->settings.name) {
    this->AcquireLeadership();
  }
  if (this->guard.MayIssueOrders(now)) {
    this->Act(now);
  }
}

void PlacementController::Stop() {
  this->isStopping = true;
  if (!this->guard.IsHeld(this->clock.Now())) {
    return;
  }
  this->guard.OnLeaseLost();
  this->store.End(this->lease, [](const Result<bool>& aEnded) {
    LogInfo("placement_duty_given_up", {{"told", aEnded.has_value()}});
  });
}

void PlacementController::OnRestored() {
  const Instant now = this->clock.Now();
  if (this->guard.IsHeld(now)) {
    LogWarning("placement_duty_lost", {{"reason", "the store was restored"}});
  }
  this->guard.OnLeaseLost();
  this->orders.Clear();
  this->holder.clear();
  this->nextAttempt = now + this->settings.lease.ttl;
}

void PlacementController::AcquireLeadership() {
  const Instant sentAt = this->clock.Now();
  const bool isBarred = this->mayCampaign && !this->mayCampaign();
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
            this->fence = aTaken->revision;
            this->guard.OnLeaseAcquired(this->fence.number, sentAt);
            this->orders.Clear();
            LogInfo("placement_duty_taken",
                    {{"fence", this->fence.number}, {"era", this->fence.era}});
          } else if (aTaken && aTaken->present) {
            this->holder = aTaken->present->value;
          }
        });
      });
}

void PlacementController::RenewLeadership() {
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
      this->guard.OnLeaseLost();
      this->holder.clear();
      LogWarning("placement_duty_lost", {});
    }
  });
}

std::vector<PlacedUpstream> PlacementController::Placed(
    const std::string& aService, Instant aNow) {
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
        upstream->IsHealthy(aNow) || upstream->IsNewlySuspect(aNow);
    if (!counts || isRejoining) {
      continue;
    }
    PlacedUpstream one{entry.id,          entry.failureDomain, entry.kind,
                       entry.layers,      !isRefusing,         entry.slots,
                       upstream->Number()};
    if (const auto expected = this->orders.ExpectedOf(upstream, aNow)) {
      one.layers = *expected;
      one.acceptsOrders = false;
    }
    placed.push_back(std::move(one));
  }
  return placed;
}

std::set<std::string> PlacementController::StableDomains(
    const std::string& aService, const std::vector<PlacedUpstream>& aUpstreams,
    Instant aNow) {
  std::map<std::string, std::vector<std::string>> present;
  for (const PlacedUpstream& upstream : aUpstreams) {
    present[upstream.failureDomain].push_back(upstream.id);
  }
  std::set<std::string> steady;
  for (auto& [domain, ids] : present) {
    std::sort(ids.begin(), ids.end());
    Membership& membership = this->memberships[{aService, domain}];
    if (membership.ids != ids) {
      membership = {std::move(ids), aNow};
    } else if (aNow - membership.since >= this->settings.stableTime) {
      steady.insert(domain);
    }
  }
  return steady;
}

std::string PlacementController::NextImproved(
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

void PlacementController::Act(Instant aNow) {
  const auto table = this->view.Table();
  if (!table) {
    return;
  }
  for (const RoutedService& service : table->Configuration().services) {
    if (service.model && this->IsSettled(service.name, aNow)) {
      this->ActOn(service, aNow);
    }
  }
}

void PlacementController::ActOn(const RoutedService& aService, Instant aNow) {
  this->NoteRejoins(aService.name, aNow);
  if (this->view.MayLackEntries()) {
    return;
  }
  Planning& planning = this->plannings[aService.name];
  if (planning.isUnderWay) {
    this->OnBusy(aService.name, planning, aNow);
    return;
  }
  this->Plan(aService, this->Observe(aService, aNow), aNow);
}

void PlacementController::OnBusy(const std::string& aService,
                                 Planning& aPlanning, Instant aNow) {
  aPlanning.isDue = true;
  const Micros taken = aNow - aPlanning.since;
  if (taken >= this->settings.planTimeout && !aPlanning.isTold) {
    aPlanning.isTold = true;
    LogWarning("placement_plan_late",
               {{"service", aService}, {"taken_ms", taken / 1ms}});
  }
}

PlacementInput PlacementController::Observe(const RoutedService& aService,
                                            Instant aNow) {
  PlacementInput situation;
  situation.upstreams = this->Placed(aService.name, aNow);
  situation.demand = this->demand ? this->demand() : std::nullopt;
  if (situation.demand) {
    situation.stableDomains =
        this->StableDomains(aService.name, situation.upstreams, aNow);
  }
  situation.domainToImprove = this->NextImproved(situation.upstreams, aNow);
  situation.passNumber = this->looks;
  return situation;
}

void PlacementController::Plan(const RoutedService& aService,
                               PlacementInput aSituation, Instant aNow) {
  this->plannings[aService.name] = {true, false, false, aNow, this->fence};
  PlanTask task{*aService.model, aSituation};
  this->plans.Start(std::move(task), [this, service = aService,
                                      situation = std::move(aSituation)](
                                         const PlanOutcome& aPlan) {
    this->OnPlan(service, situation, aPlan);
  });
}

void PlacementController::OnPlan(const RoutedService& aService,
                                 const PlacementInput& aSituation,
                                 const PlanOutcome& aPlan) {
  const Instant now = this->clock.Now();
  Planning& planning = this->plannings[aService.name];
  planning.isUnderWay = false;
  if (!aSituation.domainToImprove->empty()) {
    this->looks += 1;
    this->nextImprove = now + this->settings.improveShare * aPlan.taken;
  }
  const bool isLate = now - planning.since > this->settings.planTimeout;
  const bool isOfTerm = planning.fence == this->fence;
  if (isLate || !isOfTerm || !this->guard.MayIssueOrders(now)) {
    LogInfo("placement_plan_dropped", {{"service", aService.name},
                                       {"taken_ms", aPlan.taken / 1ms},
                                       {"orders", aPlan.orders.size()},
                                       {"late", isLate},
                                       {"of_term", isOfTerm}});
    return;
  }
  std::map<std::string, const PlacedUpstream*> planned;
  for (const PlacedUpstream& one : aSituation.upstreams) {
    planned[one.id] = &one;
  }
  for (const PlacementOrder& order : aPlan.orders) {
    if (this->IsAsPlanned(*planned.at(order.id))) {
      this->orders.Give(*aService.model, order);
    }
  }
  if (planning.isDue && !this->isStopping) {
    this->Act(now);
  }
}

bool PlacementController::IsAsPlanned(const PlacedUpstream& aUpstream) const {
  const UpstreamPtr upstream = this->view.Directory().Find(aUpstream.id);
  return upstream && upstream->Number() == aUpstream.incarnation &&
         upstream->Entry().layers == aUpstream.layers &&
         !this->orders.IsUnderWay(aUpstream.id);
}

bool PlacementController::IsSettled(const std::string& aService, Instant aNow) {
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
          aNow - growth.firstAt >= this->settings.maxSettleTime);
}

void PlacementController::NoteRejoins(const std::string& aService,
                                      Instant aNow) {
  Listing& listing = this->listings[aService];
  const std::uint64_t changes = this->view.Directory().Changes();
  if (listing.changes == changes) {
    return;
  }
  const bool isFirst = listing.ids.empty();
  std::set<std::string> present;
  for (const UpstreamPtr& upstream :
       this->view.Directory().OfService(aService)) {
    if (upstream->HasEnded()) {
      continue;  // What it wrote was held up; its domain has not rejoined.
    }
    const UpstreamEntry& entry = upstream->Entry();
    present.insert(entry.id);
    const bool isNew = !listing.ids.contains(entry.id);
    if (isNew && !isFirst && entry.layers.Size() > 0) {
      this->rejoinedAt[entry.failureDomain] = aNow;
    }
  }
  listing = {changes, std::move(present)};
}

}  // namespace zincstep
