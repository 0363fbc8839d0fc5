#include "Zincstep/Cluster/PlacementController.h"

#include <algorithm>
#include <cmath>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

PlacementController::PlacementController(PlacementControllerSettings aSettings,
                                         AsyncStore& aStore,
                                         UpstreamControl& aControl,
                                         ClusterView& aView,
                                         PlanRunner& aPlanRunner,
                                         const Clock& aClock)
    : settings(std::move(aSettings)),
      store(aStore),
      view(aView),
      planRunner(aPlanRunner),
      clock(aClock),
      guard(this->settings.lease),
      orders(this->settings.orders, aControl, aView, aClock,
             [this] { return this->guard.MayIssueOrders(this->clock.Now()); }) {
}

void PlacementController::ObserveSilences(Instant aNow) {
  const auto table = this->view.Table();
  if (!table) {
    return;
  }
  for (const RoutedService& service : table->Configuration().services) {
    if (service.model) {
      this->silences[service.name].Observe(
          this->view.Directory().OfService(service.name), aNow);
    }
  }
}

void PlacementController::Tick() {
  const Instant now = this->clock.Now();
  this->ObserveSilences(now);
  if (this->isStopping) {
    return;
  }
  const bool canOrder = !this->hasPath || this->hasPath();
  if (this->guard.IsHeld(now) && !canOrder) {
    this->EndLease("no upstream can be reached");
    this->orders.Clear();
  } else if (this->guard.IsHeld(now)) {
    if (now >= this->guard.RenewAt()) {
      this->RenewLeadership();
    }
  } else if (canOrder &&
             (this->leader.empty() || this->leader == this->settings.name)) {
    this->AcquireLeadership();
  }
  if (this->guard.MayIssueOrders(now)) {
    this->PlanServices(now);
  }
}

std::vector<PlacedUpstream> PlacementController::PlacedUpstreams(
    const std::string& aService, Instant aNow) {
  std::vector<PlacedUpstream> placed;
  for (const UpstreamPtr& upstream :
       this->view.Directory().OfService(aService)) {
    const UpstreamEntry& entry = upstream->Entry();
    const auto rejoined = this->rejoinedAt.find(entry.failureDomain);
    const bool isRejoining =
        rejoined != this->rejoinedAt.end() &&
        aNow - rejoined->second < this->settings.rejoinTime;
    // An upstream that refuses requests is out of memory or about to drain;
    // either way its layers are not lost yet.
    const bool isRefusing = upstream->IsRefusing(aNow);
    const bool counts =
        upstream->IsHealthy(aNow) || upstream->IsNewlySuspect(aNow);
    if (!counts || isRejoining) {
      continue;
    }
    PlacedUpstream candidate{
        entry.id,    entry.failureDomain, entry.kind,        entry.layers,
        !isRefusing, entry.slots,         upstream->Number()};
    if (entry.layers.Size() > 0) {
      candidate.runningTokens =
          upstream->WorkForPlacement(aNow) / entry.layers.Size();
    }
    if (const auto expected = this->orders.ExpectedOf(upstream, aNow)) {
      candidate.layers = *expected;
      candidate.acceptsOrders = false;
    }
    placed.push_back(std::move(candidate));
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
  std::set<std::string> stable;
  for (auto& [domain, ids] : present) {
    std::sort(ids.begin(), ids.end());
    DomainMembers& members = this->domainMembers[{aService, domain}];
    if (members.ids != ids) {
      members = {std::move(ids), aNow};
    } else if (aNow - members.since >= this->settings.stableTime) {
      stable.insert(domain);
    }
  }
  return stable;
}

std::string PlacementController::NextDomainToImprove(
    const std::vector<PlacedUpstream>& aUpstreams, Instant aNow) {
  if (aNow < this->nextImproveAt) {
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

void PlacementController::PlanServices(Instant aNow) {
  const auto table = this->view.Table();
  if (!table) {
    return;
  }
  for (const RoutedService& service : table->Configuration().services) {
    if (service.model && this->IsSettled(service.name, aNow)) {
      this->PlanService(service, aNow);
    }
  }
}

void PlacementController::PlanService(const RoutedService& aService,
                                      Instant aNow) {
  this->UpdateRejoins(aService.name, aNow);
  if (this->view.MayLackEntries()) {
    return;
  }
  PlanState& state = this->planStates[aService.name];
  if (state.isRunning) {
    this->OnPlanStillRunning(aService.name, state, aNow);
    return;
  }
  this->StartPlan(aService, this->Observe(aService, aNow), aNow);
}

void PlacementController::OnPlanStillRunning(const std::string& aService,
                                             PlanState& aState, Instant aNow) {
  aState.isReplanDue = true;
  const Micros runningTime = aNow - aState.since;
  if (runningTime >= this->settings.planTimeout && !aState.isLateLogged) {
    aState.isLateLogged = true;
    LogWarning("placement_plan_late",
               {{"service", aService}, {"taken_ms", runningTime / 1ms}});
  }
}

PlacementInput PlacementController::Observe(const RoutedService& aService,
                                            Instant aNow) {
  PlacementInput input;
  input.upstreams = this->PlacedUpstreams(aService.name, aNow);
  input.demand = this->demand ? this->demand() : std::nullopt;
  if (input.demand) {
    input.stableDomains =
        this->StableDomains(aService.name, input.upstreams, aNow);
  }
  if (input.demand && this->settings.domainDemand != FeatureMode::Off) {
    input.targets = this->UpdateTargets(aService, input, aNow);
  }
  input.domainToImprove = this->NextDomainToImprove(input.upstreams, aNow);
  input.passNumber = this->improvementChecks;
  return input;
}

std::map<std::string, double> PlacementController::UpdateTargets(
    const RoutedService& aService, const PlacementInput& aInput, Instant aNow) {
  if (this->targetsFence != this->fence) {
    this->targetsFence = this->fence;
    this->targets.clear();
  }
  DemandTargets& ofService = this->targets[aService.name];
  const auto changed =
      ofService.Update(*aService.model, aInput.upstreams, *aInput.demand, aNow);
  const auto present = ofService.Targets();
  for (const std::string& domain : changed) {
    const DomainTarget& target = present.at(domain);
    LogInfo("placement_demand",
            {{"service", aService.name},
             {"domain", domain},
             {"own_tokens", std::llround(target.own)},
             {"taken_over_tokens", std::llround(target.takenOver)},
             {"target_tokens", std::llround(target.target)}});
  }
  std::map<std::string, double> tokens;
  for (const auto& [domain, target] : present) {
    tokens[domain] = target.target;
  }
  return tokens;
}

std::map<std::string, std::map<std::string, DomainTarget>>
PlacementController::Targets() const {
  std::map<std::string, std::map<std::string, DomainTarget>> byService;
  if (this->IsLeader() && this->targetsFence == this->fence) {
    for (const auto& [service, ofService] : this->targets) {
      byService[service] = ofService.Targets();
    }
  }
  return byService;
}

void PlacementController::StartPlan(const RoutedService& aService,
                                    PlacementInput aInput, Instant aNow) {
  this->planStates[aService.name] = {true, false, false, aNow, this->fence};
  PlanTask task{*aService.model, aInput};
  this->planRunner.Start(std::move(task),
                         [this, service = aService, input = std::move(aInput)](
                             const PlanOutcome& aOutcome) {
                           this->OnPlan(service, input, aOutcome);
                         });
}

void PlacementController::OnPlan(const RoutedService& aService,
                                 const PlacementInput& aInput,
                                 const PlanOutcome& aOutcome) {
  const Instant now = this->clock.Now();
  PlanState& state = this->planStates[aService.name];
  state.isRunning = false;
  if (!aInput.domainToImprove->empty()) {
    this->improvementChecks += 1;
    this->nextImproveAt =
        now + this->settings.improveIntervalFactor * aOutcome.duration;
  }
  const bool isLate = now - state.since > this->settings.planTimeout;
  const bool isSameTerm = state.fence == this->fence;
  if (isLate || !isSameTerm || !this->guard.MayIssueOrders(now)) {
    LogInfo("placement_plan_dropped", {{"service", aService.name},
                                       {"taken_ms", aOutcome.duration / 1ms},
                                       {"orders", aOutcome.orders.size()},
                                       {"late", isLate},
                                       {"of_term", isSameTerm}});
    return;
  }
  std::map<std::string, const PlacedUpstream*> planned;
  for (const PlacedUpstream& upstream : aInput.upstreams) {
    planned[upstream.id] = &upstream;
  }
  for (const PlacementOrder& order : aOutcome.orders) {
    const PlacedUpstream& upstream = *planned.at(order.id);
    if (this->IsAsPlanned(upstream) &&
        !this->IsPostponed(aService, upstream, order, now)) {
      this->orders.Send(*aService.model, order);
    }
  }
  if (state.isReplanDue && !this->isStopping) {
    this->PlanServices(now);
  }
}

bool PlacementController::IsAsPlanned(const PlacedUpstream& aUpstream) const {
  const UpstreamPtr upstream = this->view.Directory().Find(aUpstream.id);
  return upstream && upstream->Number() == aUpstream.incarnation &&
         upstream->Entry().layers == aUpstream.layers &&
         !this->orders.IsPending(aUpstream.id);
}

bool PlacementController::IsPostponed(const RoutedService& aService,
                                      const PlacedUpstream& aUpstream,
                                      const PlacementOrder& aOrder,
                                      Instant aNow) const {
  const auto silence = this->silences.find(aService.name);
  const bool isPostponed =
      !aOrder.layers.Covers(aUpstream.layers) && aUpstream.layers.Size() > 0 &&
      silence != this->silences.end() && silence->second.HasCommonCause(aNow);
  if (isPostponed) {
    LogInfo("placement_postponed", {{"upstream", aOrder.id},
                                    {"first_layer", aOrder.layers.first},
                                    {"last_layer", aOrder.layers.last},
                                    {"reason", "most upstreams fell silent"}});
  }
  return isPostponed;
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

void PlacementController::UpdateRejoins(const std::string& aService,
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
      continue;  // A late entry; the domain has not rejoined.
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
