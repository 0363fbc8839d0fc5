#include "Zincstep/Relay/CapacityScheduler.h"

#include <algorithm>
#include <memory>

#include "Zincstep/Relay/RelayContext.h"

namespace zincstep {

namespace {

/// Shortest Retry-After: room that seems to be free was not usable, and the
/// known state is updated within tenths of a second.
constexpr Micros kMinRetryAfter = 100ms;
/// Chains that are searched in vain in one pass: each search takes some tens of
/// microseconds.
constexpr int kMaxFailedStarts = 4;
/// Time in which a request that cannot meet its objective may start; the pass
/// after its arrival refuses it otherwise.
constexpr Micros kLateStart = 50ms;

}  // namespace

std::map<std::string, std::set<int>> PrioritiesByService(
    const RouteConfiguration& aConfiguration) {
  std::map<std::string, std::set<int>> priorities;
  for (const Route& route : aConfiguration.routes) {
    if (route.kind != RouteKind::Streaming) {
      continue;
    }
    for (const RouteTarget& target : route.targets) {
      priorities[target.service].insert(route.priority);
    }
  }
  for (const RoutedService& service : aConfiguration.services) {
    if (!service.model) {
      priorities.erase(service.name);
    }
  }
  return priorities;
}

ServiceCapacity& CapacityScheduler::CapacityOf(const std::string& aService) {
  const auto found = this->capacities.find(aService);
  if (found != this->capacities.end()) {
    return found->second;
  }
  ServiceCapacity& capacity =
      this->capacities.try_emplace(aService, ChainChooserSettings{}.memoryLimit)
          .first->second;
  capacity.SetDomain(this->domainDaemons, this->reportInterval);
  return capacity;
}

void CapacityScheduler::Refresh() {
  if (this->table == this->context.view.Table()) {
    return;
  }
  this->table = this->context.view.Table();
  this->scheduled.clear();
  const bool isOff =
      this->context.settings.features.priorityScheduling == FeatureMode::Off;
  if (!this->table || isOff) {
    return;
  }
  for (const auto& [service, priorities] :
       PrioritiesByService(this->table->Configuration())) {
    if (priorities.size() > 1) {
      this->scheduled[service] = *priorities.begin();
    }
  }
}

bool CapacityScheduler::Schedules(const RoutedService& aService) {
  this->Refresh();
  return this->scheduled.contains(aService.name);
}

CapacityInput CapacityScheduler::InputOf(const RoutedService& aService) const {
  return {*aService.model,
          this->context.view.Directory().OfService(aService.name),
          this->context.settings.failureDomain,
          this->context.demand.ResponseSeconds(),
          0,
          this->context.clock.Now()};
}

std::uint64_t CapacityScheduler::Enter(
    std::shared_ptr<CapacityWaiter> aWaiter, const ScheduledRequest& aRequest,
    const ScheduledTimes& aTimes, std::size_t aBodyBytes,
    const std::function<Fingerprint()>& aFingerprint) {
  const std::string& service = aRequest.service->name;
  ServiceCapacity& capacity = this->CapacityOf(service);
  const CapacityInput input = this->InputOf(*aRequest.service);
  capacity.OnRequest(aRequest.priority, aRequest.organisation, aRequest.tokens,
                     input.now);
  this->lastId += 1;
  const std::uint64_t id = this->lastId;
  WaitingRequest waiting;
  waiting.id = id;
  waiting.priority = aRequest.priority;
  waiting.organisation = aRequest.organisation;
  waiting.tokens = aRequest.tokens;
  waiting.bodyBytes = aBodyBytes;
  Instant startBy = aTimes.readAt + aTimes.latencyObjective -
                    capacity.UsualFirstEvent(input.model);
  if (!this->context.view.KnowsUpstreams()) {
    startBy = std::max(
        startBy, aTimes.readAt + this->context.settings.initialStateTimeout);
  }
  startBy = std::min(startBy, aTimes.deadline);
  // A request that is late already starts if there is room in the next pass,
  // and is refused by it otherwise.
  const bool couldMeetObjective = startBy > input.now;
  waiting.startBy = std::max(startBy, input.now + kLateStart);
  RefusalHistory history = RefusalHistory::None;
  if (!capacity.Refused().IsEmpty(input.now)) {
    history = capacity.Refused().HistoryOf(aFingerprint(), input.now);
  }
  this->waiters[id] = {
      service, std::move(aWaiter),
      couldMeetObjective ? RoomRefusal::NoRoom : RoomRefusal::ObjectiveMissed};
  for (const std::uint64_t refused :
       capacity.Add(std::move(waiting), history, input)) {
    this->Refuse(refused, RoomRefusal::QueueFull);
  }
  return id;
}

void CapacityScheduler::Refuse(std::uint64_t aId, RoomRefusal aReason) {
  const auto found = this->waiters.find(aId);
  ZINCSTEP_ASSERT(found != this->waiters.end());
  const Waiter waiter = std::move(found->second);
  this->waiters.erase(found);
  waiter.waiter->OnNoRoom(NameIn(kRoomRefusalNames, aReason).data());
}

void CapacityScheduler::Leave(const std::string& aService, std::uint64_t aId) {
  if (this->waiters.erase(aId) > 0) {
    this->CapacityOf(aService).Remove(aId);
  }
}

void CapacityScheduler::OnEnded(const ScheduledRequest& aRequest) {
  this->CapacityOf(aRequest.service->name)
      .OnEnded(aRequest.priority, aRequest.organisation, aRequest.tokens);
  this->onRoomChanged();
}

void CapacityScheduler::OnWorkChanged(const std::string& aService) {
  const auto found = this->capacities.find(aService);
  if (found != this->capacities.end()) {
    found->second.OnWorkChanged();
    this->onRoomChanged();
  }
}

void CapacityScheduler::OnFirstEvent(const std::string& aService,
                                     Micros aDelay) {
  const auto found = this->capacities.find(aService);
  if (found != this->capacities.end()) {
    found->second.OnFirstEvent(aDelay);
  }
}

std::optional<Micros> CapacityScheduler::RetryAfter(
    const ScheduledRequest& aRequest) {
  const auto expected =
      this->CapacityOf(aRequest.service->name)
          .ExpectedWait(aRequest.priority, aRequest.organisation,
                        aRequest.tokens, this->InputOf(*aRequest.service));
  if (!expected) {
    return std::nullopt;
  }
  const auto urgent = this->scheduled.find(aRequest.service->name);
  const bool isUrgent =
      urgent == this->scheduled.end() || aRequest.priority <= urgent->second;
  const double share =
      (isUrgent ? 0.5 : 1.0) + 0.5 * this->context.random.Unit();
  return FromSeconds(ToSeconds(std::max(*expected, kMinRetryAfter)) * share);
}

void CapacityScheduler::OnRefused(const std::string& aService,
                                  Fingerprint aRequest, Micros aRetryAfter) {
  this->CapacityOf(aService).Refused().OnRefused(aRequest, aRetryAfter,
                                                 this->context.clock.Now());
}

bool CapacityScheduler::Start(std::uint64_t aId, ServiceCapacity& aCapacity,
                              const std::vector<UpstreamPtr>& aUpstreams) {
  const std::shared_ptr<CapacityWaiter> waiter = this->waiters.at(aId).waiter;
  const WaiterStart result = waiter->OnRoom(aUpstreams);
  if (result == WaiterStart::NoChain) {
    return false;
  }
  result == WaiterStart::Started ? aCapacity.OnStarted(aId)
                                 : static_cast<void>(aCapacity.Remove(aId));
  this->waiters.erase(aId);
  return true;
}

void CapacityScheduler::StartWaiting(const RoutedService& aService,
                                     ServiceCapacity& aCapacity,
                                     double aReservedTokens) {
  int failures = 0;
  while (failures < kMaxFailedStarts) {
    CapacityInput input = this->InputOf(aService);
    input.reservedTokens = aReservedTokens;
    const auto next = aCapacity.NextStart(input);
    if (!next) {
      break;
    }
    if (!this->Start(next->id, aCapacity, *next->upstreams)) {
      aCapacity.Defer(next->id);
      failures += 1;
    }
  }
  aCapacity.EndPass(this->context.clock.Now());
}

void CapacityScheduler::ReleaseAll(const std::string& aService,
                                   ServiceCapacity& aCapacity) {
  for (const std::uint64_t id : aCapacity.Queue().All()) {
    const auto& upstreams = this->context.view.Directory().OfService(aService);
    if (!this->Start(id, aCapacity, upstreams)) {
      aCapacity.Remove(id);
      this->Refuse(id, RoomRefusal::NoRoom);
    }
  }
}

void CapacityScheduler::RefuseExpired(const std::string& aService,
                                      ServiceCapacity& aCapacity) {
  std::vector<std::uint64_t> refused =
      aCapacity.PopExpired(this->context.clock.Now());
  for (const auto& [id, waiter] : this->waiters) {
    if (waiter.service == aService &&
        waiter.reason == RoomRefusal::ObjectiveMissed && aCapacity.Remove(id)) {
      refused.push_back(id);
    }
  }
  for (const std::uint64_t id : refused) {
    this->Refuse(id, this->waiters.at(id).reason);
  }
}

void CapacityScheduler::RunPass(
    const std::function<double(const RoutedService&)>& aReservedTokens) {
  if (this->isPassRunning) {
    return;  // The next tick considers what has arrived meanwhile.
  }
  this->isPassRunning = true;
  // Also by an exception: otherwise no pass would run any more.
  const std::unique_ptr<bool, void (*)(bool*)> end(
      &this->isPassRunning, [](bool* aIsRunning) { *aIsRunning = false; });
  this->Refresh();
  for (auto& [name, capacity] : this->capacities) {
    capacity.Tick(this->context.clock.Now());
    if (capacity.Queue().Waiting() == 0) {
      continue;
    }
    const RoutedService* service =
        this->table ? this->table->FindService(name) : nullptr;
    if (service == nullptr || !this->scheduled.contains(name)) {
      this->ReleaseAll(name, capacity);
      continue;
    }
    if (this->context.view.KnowsUpstreams()) {
      this->StartWaiting(*service, capacity, aReservedTokens(*service));
    }
    this->RefuseExpired(name, capacity);
  }
}

void CapacityScheduler::SetDomain(std::size_t aDaemons,
                                  Micros aReportInterval) {
  this->domainDaemons = aDaemons;
  this->reportInterval = aReportInterval;
  for (auto& [name, capacity] : this->capacities) {
    capacity.SetDomain(aDaemons, aReportInterval);
  }
}

std::vector<PriorityDemand> CapacityScheduler::Demands() const {
  std::vector<PriorityDemand> demands;
  for (const auto& [name, capacity] : this->capacities) {
    if (!this->scheduled.contains(name)) {
      continue;
    }
    for (PriorityDemand& demand : capacity.Demands(this->context.clock.Now())) {
      demand.service = Hash64(name);
      demands.push_back(demand);
    }
  }
  return demands;
}

std::vector<OrganisationDemand> CapacityScheduler::Organisations(
    std::size_t aCount) const {
  std::vector<OrganisationDemand> largest;
  for (const auto& [name, capacity] : this->capacities) {
    if (!this->scheduled.contains(name)) {
      continue;
    }
    for (const OrganisationDemand& demand :
         capacity.Shares().Largest(aCount, this->context.clock.Now())) {
      const auto same = std::find_if(
          largest.begin(), largest.end(), [&](const OrganisationDemand& aOne) {
            return aOne.organisation == demand.organisation;
          });
      if (same == largest.end()) {
        largest.push_back(demand);
      } else {
        same->demand += demand.demand;
        same->used += demand.used;
      }
    }
  }
  std::sort(
      largest.begin(), largest.end(),
      [](const OrganisationDemand& aOne, const OrganisationDemand& aOther) {
        return aOne.used + aOne.demand > aOther.used + aOther.demand;
      });
  largest.resize(std::min(aCount, largest.size()));
  return largest;
}

void CapacityScheduler::OnPeerDemands(
    const std::string& aPeer, const std::vector<PriorityDemand>& aDemands,
    const std::vector<OrganisationDemand>& aOrganisations) {
  this->Refresh();
  const Instant now = this->context.clock.Now();
  for (const auto& [name, mostUrgent] : this->scheduled) {
    const std::uint64_t hash = Hash64(name);
    std::vector<PriorityDemand> ofService;
    std::copy_if(
        aDemands.begin(), aDemands.end(), std::back_inserter(ofService),
        [&](const PriorityDemand& aOne) { return aOne.service == hash; });
    ServiceCapacity& capacity = this->CapacityOf(name);
    capacity.OnPeerDemands(aPeer, ofService, now);
    capacity.OnPeerOrganisations(aPeer, aOrganisations, now);
  }
}

}  // namespace zincstep
