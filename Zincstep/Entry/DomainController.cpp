#include "Zincstep/Entry/DomainController.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Zincstep/Net/Net.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

constexpr std::size_t kInputs = 16;
constexpr Micros kStep = 100ms;
constexpr Micros kDutyInterval = 2s;
constexpr Micros kMembersInterval = 2s;
constexpr Micros kReconcileInterval = 1s;
constexpr Micros kStatusInterval = 500ms;
/// Others than the reader look at the VM list this much less often.
constexpr int kOtherVmFactor = 10;
/// Longest flight of an order; shorter than the lease's margin.
constexpr Micros kOrderTime = 1500ms;

MemberListPlannerSettings MemberSettings(const EntrySettings& aSettings) {
  MemberListPlannerSettings settings;
  settings.interval = aSettings.memberListInterval;
  settings.shortInterval = std::min<Micros>(3s, aSettings.memberListInterval);
  return settings;
}

}  // namespace

DomainController::DomainController(const EntrySettings& aSettings,
                                   std::string aMember, KeyValueStore& aStore,
                                   VmList& aVms, const Clock& aClock,
                                   Sink aSink)
    : settings(aSettings),
      member(std::move(aMember)),
      store(aStore),
      vmList(aVms),
      clock(aClock),
      sink(std::move(aSink)),
      inputs(kInputs, this->doorbell),
      startedAt(aClock.Now()),
      guard(LeaseGuardSettings{aSettings.leaseTtl, aSettings.leaseTtl / 3}),
      memberListPlanner(MemberSettings(aSettings)),
      reconciler(ReconcilerSettings{}),
      thread([this] { this->Loop(); }) {}

DomainController::~DomainController() {
  this->stopping = true;
  this->doorbell.Notify();
  this->thread.join();
}

void DomainController::Tell(DomainControllerInput aInput) {
  this->inputs.Push(std::move(aInput));
}

std::string DomainController::LeadershipKey() const {
  return "duty/" + this->settings.failureDomain;
}

void DomainController::Loop() {
  while (!this->stopping) {
    this->doorbell.Wait(kStep);
    while (auto next = this->inputs.Pop()) {
      this->input = std::move(next);
    }
    this->StepAll();
  }
  this->ResignLeadership();
}

void DomainController::StepAll() {
  const Instant now = this->clock.Now();
  this->ReadVms(now);
  if (this->input == nullptr) {
    return;
  }
  this->MaintainLease(this->clock.Now());
  const bool acts = this->guard.MayIssueOrders(this->clock.Now());
  this->report.isLeader = acts;
  this->report.fence = this->guard.Fence();
  if (acts) {
    this->UpdateMemberLists(this->clock.Now());
    this->Reconcile(this->clock.Now());
    this->WriteStatus(this->clock.Now());
  } else {
    this->reconciler.Reset();
    this->report.paused.reset();
    this->report.stuck.clear();
  }
}

void DomainController::ReadVms(Instant aNow) {
  if (aNow < this->nextVms) {
    return;
  }
  const bool isReader = this->input == nullptr || this->input->isReader;
  this->nextVms =
      aNow + this->settings.vmListInterval * (isReader ? 1 : kOtherVmFactor);
  auto vms = this->vmList.List();
  this->report.platformAnswers = vms.has_value();
  if (vms) {
    this->hasVmList = true;
    this->listedVms.clear();
    for (const VmEntry& vm : *vms) {
      this->listedVms.insert(vm.name);
    }
    this->report.vms = std::move(*vms);
  }
  this->sink(this->report);
  this->report.vms.reset();
}

void DomainController::MaintainLease(Instant aNow) {
  if (this->input->isStopping) {
    this->ResignLeadership();
    return;
  }
  if (this->guard.IsHeld(aNow)) {
    if (aNow >= this->guard.RenewAt()) {
      this->RenewLeadership();
    }
    return;
  }
  if (aNow >= this->nextLeadershipStep && this->input->snapshot != nullptr) {
    this->nextLeadershipStep = aNow + kDutyInterval;
    this->AcquireLeadership(aNow);
  }
}

void DomainController::RenewLeadership() {
  const Instant sentAt = this->clock.Now();
  const Result<void> renewed = this->store.RenewLease(this->lease);
  if (renewed) {
    this->guard.OnRenewed(sentAt);
  } else if (renewed.error().kind == ErrorKind::LeaseLost) {
    this->guard.OnLeaseLost();
    LogWarning("duty_lost", {{"domain", this->settings.failureDomain}});
  }
}

void DomainController::AcquireLeadership(Instant aNow) {
  const auto holder = this->store.Get(this->LeadershipKey());
  if (!holder || *holder) {
    return;
  }
  const auto granted = this->store.GrantLease(this->settings.leaseTtl);
  if (!granted) {
    return;
  }
  this->lease = *granted;
  const auto swapped = this->store.CompareAndSwap(this->LeadershipKey(), 0,
                                                  this->member, this->lease);
  std::uint64_t fence = swapped && *swapped ? **swapped : 0;
  if (!swapped) {
    // The answer was lost: the store says whose the duty is.
    const auto now = this->store.Get(this->LeadershipKey());
    const bool mine = now && *now && (*now)->value == this->member;
    fence = mine ? (*now)->revision : 0;
  }
  if (fence == 0) {
    return;
  }
  // Counted from before the grant: never later than the service counts.
  this->guard.OnLeaseAcquired(fence, aNow);
  this->leaderSince = aNow;
  LogInfo("duty_taken",
          {{"domain", this->settings.failureDomain}, {"fence", fence}});
}

void DomainController::ResignLeadership() {
  if (!this->guard.IsHeld(this->clock.Now())) {
    return;
  }
  this->guard.OnLeaseLost();
  (void)this->store.Remove(this->LeadershipKey(), this->guard.Fence());
}

/// Members whose process certainly runs no more: their VM has gone from
/// the list, or another incarnation is heard on it.
std::vector<std::string> DomainController::GoneMembers(
    const MemberLists& aLists) const {
  std::vector<std::string> gone;
  if (!this->hasVmList || aLists.lists.empty()) {
    return gone;
  }
  for (const Member& one : aLists.lists.front().members) {
    const std::string vm = one.name.substr(0, one.name.rfind('/'));
    const bool otherRuns =
        std::any_of(this->input->live.begin(), this->input->live.end(),
                    [&](const Member& aLive) {
                      return aLive.name != one.name &&
                             aLive.name.substr(0, aLive.name.rfind('/')) == vm;
                    });
    const bool handed = this->input->handedTo.contains(one.name);
    if (!this->listedVms.contains(vm) || otherRuns || handed) {
      gone.push_back(one.name);
    }
  }
  return gone;
}

void DomainController::UpdateMemberLists(Instant aNow) {
  if (aNow < this->nextMembers ||
      aNow - this->startedAt < this->settings.settle) {
    return;
  }
  this->nextMembers = aNow + kMembersInterval;
  const std::string key = "members/" + this->input->snapshot->region;
  const auto stored = this->store.Get(key);
  if (!stored) {
    return;
  }
  MemberLists lists;
  if (*stored) {
    Result<MemberLists> read = ReadMemberLists((*stored)->value);
    if (!read) {
      LogError("member_lists_not_read", {{"why", read.error().message}});
      return;
    }
    lists = std::move(*read);
  }
  const MemberLists next = this->memberListPlanner.Next(
      lists, this->settings.failureDomain, this->input->live,
      this->GoneMembers(lists), this->input->handedTo, aNow);
  const bool changed = next.version != lists.version;
  if (changed) {
    const std::uint64_t expected = *stored ? (*stored)->revision : 0;
    const auto swapped =
        this->store.CompareAndSwap(key, expected, WriteMemberLists(next), 0);
    if (!swapped || !*swapped) {
      return;
    }
    LogInfo("members_changed",
            {{"epoch", next.Epoch()},
             {"lists", next.lists.size()},
             {"members", next.lists.front().members.size()}});
  }
  this->report.members = next;
  this->sink(this->report);
  this->report.members.reset();
}

void DomainController::Reconcile(Instant aNow) {
  if (aNow < this->nextReconcile) {
    return;
  }
  this->nextReconcile = aNow + kReconcileInterval;
  std::map<std::string, int> layers;
  for (const Model& model : this->input->snapshot->configuration.models) {
    layers[model.name] = model.layers;
  }
  const ReconcileStep step =
      this->reconciler.Step(this->input->upstreams, layers, aNow);
  this->report.paused = step.paused;
  this->report.stuck = step.stuck;
  this->sink(this->report);
  for (const LoadOrder& order : step.orders) {
    this->SendOrder(order);
  }
}

void DomainController::SendOrder(const LoadOrder& aOrder) {
  const auto state = std::find_if(
      this->input->upstreams.begin(), this->input->upstreams.end(),
      [&](const UpstreamState& aOne) { return aOne.name == aOrder.upstream; });
  const Instant now = this->clock.Now();
  // An upstream that checks no fence could still get an order of the last
  // holder: by now that one's lease and its longest flight are over.
  const bool waitsOut =
      state != this->input->upstreams.end() && !state->checksFence &&
      now - this->leaderSince < this->settings.leaseTtl + kOrderTime;
  if (waitsOut || !this->guard.MayIssueOrders(now)) {
    return;
  }
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + aOrder.address + "/v1/orders";
  call.headers = {{"Content-Type", "application/json"}};
  call.timeout = kOrderTime;
  call.freshConnection = true;
  call.body = nlohmann::json{{"fence", this->guard.Fence()},
                             {"version", aOrder.version},
                             {"expected_version", aOrder.expectedVersion}}
                  .dump();
  const HttpCallResult result = FetchBlocking(call);
  LogInfo("order_sent", {{"upstream", aOrder.upstream},
                         {"version", aOrder.version},
                         {"fence", this->guard.Fence()},
                         {"status", result.status}});
}

void DomainController::WriteStatus(Instant aNow) {
  if (aNow < this->nextStatus) {
    return;
  }
  DomainStatus status;
  status.failureDomain = this->settings.failureDomain;
  status.leader = this->member;
  status.fence = this->guard.Fence();
  status.daemons = this->input->daemons;
  status.stuck = this->report.stuck;
  status.leaving = this->input->leaving;
  // Times alone are no news; they are written with the next change.
  DomainStatus timeless = status;
  for (DaemonStatus& daemon : timeless.daemons) {
    daemon.lastSeenAt = 0;
  }
  const std::string text = WriteDomainStatus(timeless);
  if (text == this->lastStatus) {
    return;
  }
  status.writtenAt = WallMicros();
  this->nextStatus = aNow + kStatusInterval;
  const std::string key = kStatusPrefix + this->settings.failureDomain;
  const auto swapped = this->store.CompareAndSwap(key, this->statusRevision,
                                                  WriteDomainStatus(status), 0);
  if (swapped && *swapped) {
    this->statusRevision = **swapped;
    this->lastStatus = text;
    return;
  }
  const auto stored = this->store.Get(key);
  if (stored) {
    this->statusRevision = *stored ? (*stored)->revision : 0;
  }
}

}  // namespace zincstep
