#include "Zincstep/Entry/DomainController.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Zincstep/Core/ForeignJson.h"
#include "Zincstep/Net/Net.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

constexpr std::size_t kMaxInputs = 16;
constexpr Micros kStepInterval = 100ms;
constexpr Micros kLeadershipInterval = 2s;
constexpr Micros kMembersInterval = 2s;
constexpr Micros kReconcileInterval = 1s;
constexpr Micros kStatusInterval = 500ms;
/// Factor by which daemons other than the reader read the VM list less often.
constexpr int kNonReaderVmFactor = 10;
/// Maximum time that an order is in flight; shorter than the lease's margin.
constexpr Micros kOrderTimeout = 1500ms;
/// Maximum body of the response to an order, in bytes; only its status is used.
constexpr std::size_t kMaxOrderResponseBytes = 64 << 10;

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
      inputs(kMaxInputs, this->wakeEvent),
      startedAt(aClock.Now()),
      guard(LeaseGuardSettings{aSettings.leaseTtl, aSettings.leaseTtl / 3}),
      memberListPlanner(MemberSettings(aSettings)),
      reconciler(ReconcilerSettings{}),
      thread([this] { this->Loop(); }) {}

DomainController::~DomainController() {
  this->stopping = true;
  this->wakeEvent.Notify();
  this->thread.join();
}

void DomainController::SetInput(DomainControllerInput aInput) {
  this->inputs.Push(std::move(aInput));
}

std::string DomainController::LeadershipKey() const {
  return "duty/" + this->settings.failureDomain;
}

void DomainController::Loop() {
  while (!this->stopping) {
    this->wakeEvent.Wait(kStepInterval);
    while (auto next = this->inputs.Pop()) {
      this->input = std::move(next);
    }
    this->RunStep();
  }
  this->ResignLeadership();
}

void DomainController::RunStep() {
  const Instant now = this->clock.Now();
  this->ReadVms(now);
  if (this->input == nullptr) {
    return;
  }
  this->MaintainLease(this->clock.Now());
  const bool canAct = this->guard.MayIssueOrders(this->clock.Now());
  this->report.isLeader = canAct;
  this->report.fence = this->guard.Fence();
  if (canAct) {
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
  this->nextVms = aNow + this->settings.vmListInterval *
                             (isReader ? 1 : kNonReaderVmFactor);
  auto vms = this->vmList.List();
  this->report.isPlatformReachable = vms.has_value();
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
    this->nextLeadershipStep = aNow + kLeadershipInterval;
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
  const auto leader = this->store.Get(this->LeadershipKey());
  if (!leader || *leader) {
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
    // The response was lost: read the key to find out who the leader is.
    const auto now = this->store.Get(this->LeadershipKey());
    const bool isOwn = now && *now && (*now)->value == this->member;
    fence = isOwn ? (*now)->revision : 0;
  }
  if (fence == 0) {
    return;
  }
  // `aNow` is before the grant, so the guard never expires after the lease.
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

/// Returns members whose process has certainly stopped: their VM is no longer
/// listed, another incarnation is live on it, or they handed over their claims.
std::vector<std::string> DomainController::StoppedMembers(
    const MemberLists& aLists) const {
  std::vector<std::string> stopped;
  if (!this->hasVmList || aLists.lists.empty()) {
    return stopped;
  }
  for (const Member& listedMember : aLists.lists.front().members) {
    const std::string vm =
        listedMember.name.substr(0, listedMember.name.rfind('/'));
    const bool isReplaced =
        std::any_of(this->input->live.begin(), this->input->live.end(),
                    [&](const Member& aLive) {
                      return aLive.name != listedMember.name &&
                             aLive.name.substr(0, aLive.name.rfind('/')) == vm;
                    });
    const bool hasHandedOver =
        this->input->handedTo.contains(listedMember.name);
    if (!this->listedVms.contains(vm) || isReplaced || hasHandedOver) {
      stopped.push_back(listedMember.name);
    }
  }
  return stopped;
}

void DomainController::UpdateMemberLists(Instant aNow) {
  if (aNow < this->nextMembers ||
      aNow - this->startedAt < this->settings.settleTime) {
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
      this->StoppedMembers(lists), this->input->handedTo, aNow);
  const bool hasChanged = next.version != lists.version;
  if (hasChanged) {
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
  // An upstream that does not check fences could still receive an order of the
  // previous leader, until that leader's lease and order timeout have passed.
  const bool mustWait =
      state != this->input->upstreams.end() && !state->checksFence &&
      now - this->leaderSince < this->settings.leaseTtl + kOrderTimeout;
  if (mustWait || !this->guard.MayIssueOrders(now)) {
    return;
  }
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + aOrder.address + "/v1/orders";
  call.headers = {{"Content-Type", "application/json"}};
  call.timeout = kOrderTimeout;
  call.freshConnection = true;
  call.maxBodyBytes = kMaxOrderResponseBytes;
  call.body = WriteJson({{"fence", this->guard.Fence()},
                         {"version", aOrder.version},
                         {"expected_version", aOrder.expectedVersion}});
  const HttpCallResult result = FetchBlocking(call);
  LogInfo("order_sent", {{"upstream", aOrder.upstream},
                         {"version", aOrder.version},
                         {"fence", this->guard.Fence()},
                         {"status", result.status},
                         {"fault", result.fault}});
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
  // A change of only the times is not written until something else changes.
  DomainStatus withoutTimes = status;
  for (DaemonStatus& daemon : withoutTimes.daemons) {
    daemon.lastSeenAt = 0;
  }
  const std::string text = WriteDomainStatus(withoutTimes);
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
