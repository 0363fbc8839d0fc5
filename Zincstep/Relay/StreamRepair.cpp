/// \file
/// How a stream notices that members of its chain are lost, slow or leaving,
/// and goes on without them.

#include <algorithm>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

namespace {

/// A member under suspicion is left once the stream has stood still for a
/// few of its usual pauses: a wrong suspicion then does no harm.
constexpr Micros kMemberSilence = 80ms;
/// Members are asked whether they live after a silence of so many of the
/// stream's own pauses, and of this at the least: what stands still must go on
/// within some 200 ms to be in time, and each question is paid for.
constexpr double kProbePauses = 2.2;
constexpr Micros kProbeSilence = 70ms;
/// A member that is off the list, or gives its layers up, may still serve
/// what it runs; it is left only after a longer silence.
constexpr Micros kLeftSilence = 400ms;
/// A member that leaves serves on for about two seconds; a stream that is
/// still running there after this is moved on to another.
constexpr Micros kLeavingTime = 1s;
/// After a refused chain the same would be refused again for a while, and
/// each order is paid for.
constexpr Micros kRefusedRepairPause = 800ms;
/// Chains that are tried at once when the first upstream names who is at
/// fault.
constexpr std::size_t kMostBlamed = 4;

bool SameMembers(const PoolChain& aOne, const PoolChain& aOther) {
  return std::equal(aOne.begin(), aOne.end(), aOther.begin(), aOther.end(),
                    [](const PoolHop& aLeft, const PoolHop& aRight) {
                      return aLeft.upstream == aRight.upstream &&
                             aLeft.layers == aRight.layers;
                    });
}

}  // namespace

void StreamExchange::CheckMembers(Instant aNow) {
  if (!this->call || this->isHeldUp) {
    return;
  }
  if (this->headSent && this->Silence(aNow) >= this->ProbeSilence()) {
    this->AskMembers(aNow);
  }
  if (this->Silence(aNow) < kMemberSilence) {
    bool isToLeave = false;
    for (const PoolHop& hop : this->chain) {
      hop.upstream->OnResponse(this->lastProgress);
      isToLeave = isToLeave || this->IsLeft(hop, aNow);
    }
    if (isToLeave && this->headSent) {
      this->MoveOn(aNow);
    }
    return;
  }
  if (this->upstream->HasEnded()) {
    // Its connection may be silent for good. Waited for, that is a second.
    this->Resume("the first upstream has started again");
    return;
  }
  if (this->upstream->IsSuspect(aNow)) {
    this->Resume("the first upstream is lost");
    return;
  }
  const bool mayAsk = this->upstream->MayCall(aNow);
  if (this->headSent && !mayAsk &&
      this->Silence(aNow) >= this->context.settings.connectionSilence) {
    // Nobody can be asked whether it lives: a connection is accepted also for
    // one that is stopped, and its streams would stand still to their end.
    this->context.kept.Distrust(this->upstream->Entry().Incarnation().Text());
    this->Resume("the first upstream says nothing, and takes no question");
    return;
  }
  const bool isLong = this->Silence(aNow) >= kLeftSilence;
  const bool hasLost = std::any_of(
      this->chain.begin() + 1, this->chain.end(), [&](const PoolHop& aHop) {
        const bool isLeft = aHop.upstream->IsDeregistered() ||
                            !aHop.upstream->Entry().layers.Covers(aHop.layers);
        return aHop.upstream->HasEnded() || aHop.upstream->IsSuspect(aNow) ||
               (isLong && isLeft);
      });
  if (hasLost) {
    this->Repair(aNow);
  }
}

Micros StreamExchange::ProbeSilence() const {
  return std::max(kProbeSilence, FromSeconds(kProbePauses * this->usualPause));
}

void StreamExchange::AskMembers(Instant aNow) {
  for (const PoolHop& hop : this->chain) {
    if (aNow - hop.upstream->LastResponseAt() >= kProbeSilence) {
      this->context.probe.Ask(hop.upstream);
    }
  }
}

bool StreamExchange::IsLeft(const PoolHop& aHop, Instant aNow) const {
  if (aHop.upstream == this->upstream) {
    return false;
  }
  const bool givesUp = !aHop.upstream->Entry().layers.Covers(aHop.layers);
  return givesUp || aHop.upstream->IsLeaving(aNow, kLeavingTime);
}

bool StreamExchange::MayRepair(Instant aNow) {
  if (this->isRepairing || aNow < this->nextRepair) {
    return false;
  }
  this->nextRepair = aNow + this->context.settings.repairPause;
  return true;
}

std::optional<PoolChain> StreamExchange::RepairedChain(Instant aNow) {
  return this->context.chains.Repair(
      *this->request.service->model,
      this->context.view.Directory().OfService(this->request.service->name),
      this->chain, this->blamed, this->tokens, aNow, this->context.random);
}

void StreamExchange::MoveOn(Instant aNow) {
  if (!this->upstream->MayCall(aNow) || !this->MayRepair(aNow)) {
    return;
  }
  const auto chain = this->RepairedChain(aNow);
  if (chain && !SameMembers(*chain, this->chain)) {
    this->Reroute(*chain);
  }
}

UpstreamPtr StreamExchange::WantsReport(Instant aNow) {
  if (this->IsDone() || !this->call || !this->call->HasSent() ||
      this->isRepairing || this->isHeldUp) {
    return nullptr;
  }
  const Micros limit = this->headSent
                           ? this->context.settings.eventSilence
                           : this->context.settings.firstEventSilence;
  return this->Silence(aNow) >= limit ? this->upstream : nullptr;
}

void StreamExchange::OnReport(const UpstreamPtr& aUpstream,
                              const Result<UpstreamReport>& aReport) {
  const Instant now = this->Now();
  if (this->IsDone() || !this->call || aUpstream != this->upstream ||
      this->Silence(now) < kMemberSilence) {
    return;
  }
  if (!aReport) {
    this->Suspect(*aUpstream);
    this->Resume("the first upstream does not answer");
    return;
  }
  LogInfo("stream_silent", {{"request", this->request.facts.id},
                            {"upstream", aUpstream->Entry().id},
                            {"silent_ms", this->Silence(now) / 1ms},
                            {"running", aReport->running},
                            {"queued", aReport->queued},
                            {"memory_used", aReport->memoryUsed},
                            {"memory_total", aReport->memoryTotal},
                            {"own_view", aUpstream->Work()},
                            {"pace", aReport->slowdown},
                            {"first", this->chain.front().layers.last},
                            {"hops", this->chain.size()},
                            {"stalled", aReport->stalled.size()}});
  for (const StalledRequest& stalled : aReport->stalled) {
    if (stalled.requestId == this->request.facts.id) {
      LogInfo("stream_stalled", {{"request", stalled.requestId},
                                 {"waits_for", stalled.waitsFor}});
      this->Distrust(stalled.waitsFor, now, true);
      this->Repair(now);
      return;
    }
  }
  const Micros limit = this->context.settings.connectionSilence;
  if (aReport->queued == 0 && this->Silence(now) >= limit) {
    this->context.kept.Distrust(aUpstream->Entry().Incarnation().Text());
    this->Resume("its connection says nothing");
  }
}

void StreamExchange::Repair(Instant aNow) {
  if (!this->MayRepair(aNow)) {
    return;
  }
  if (!this->upstream->MayCall(aNow)) {
    this->Resume("the first upstream takes no order now");
    return;
  }
  const auto repaired = this->RepairedChain(aNow);
  if (!repaired) {
    // Nobody in its domain holds what was lost: a chain elsewhere does.
    this->Resume("no other holder of the lost layers");
    return;
  }
  this->Reroute(*repaired);
}

void StreamExchange::Reroute(const PoolChain& aChain) {
  this->isRepairing = true;
  this->context.control.Reroute(
      this->request.facts.id, aChain,
      [self =
           std::static_pointer_cast<StreamExchange>(this->shared_from_this()),
       aChain](const Result<OrderOutcome>& aOutcome) {
        self->OnRepaired(aChain, aOutcome);
      });
}

bool StreamExchange::Blame(const PoolChain& aChain,
                           const std::string& aAddress) {
  for (const PoolHop& hop : aChain) {
    if (hop.upstream->Entry().address != aAddress ||
        hop.upstream == this->upstream) {
      continue;
    }
    hop.upstream->EjectUntil(this->Now() + this->context.settings.refusalPause);
    this->context.probe.Ask(hop.upstream);
    this->blamed.push_back(hop.upstream);
    return this->blamed.size() <= kMostBlamed;
  }
  return false;
}

void StreamExchange::OnRepaired(PoolChain aChain,
                                const Result<OrderOutcome>& aOutcome) {
  this->isRepairing = false;
  if (this->IsDone() || !this->call) {
    return;
  }
  const Instant now = this->Now();
  const bool isTaken = aOutcome && aOutcome->status == OrderStatus::Accepted;
  LogInfo("stream_repaired", {{"request", this->request.facts.id},
                              {"taken", isTaken},
                              {"at_fault", aOutcome ? aOutcome->atFault : ""},
                              {"silent_ms", this->Silence(now) / 1ms}});
  if (isTaken) {
    this->repairs += 1;
    this->context.metrics.Count("zincstep_streams_repaired_total");
    this->chain = std::move(aChain);
    this->Reserve(this->chain);
    this->lastProgress = now;
    this->blamed.clear();
    return;
  }
  if (aOutcome && this->Blame(aChain, aOutcome->atFault)) {
    // Another chain may do; several members can be lost at once.
    this->nextRepair = now;
    if (this->Silence(now) >= kMemberSilence) {
      this->Repair(now);
      return;
    }
  } else {
    this->nextRepair = now + kRefusedRepairPause;
  }
  if (this->Silence(now) >= kLeftSilence) {
    // It stands still, and its domain cannot take it on.
    this->Resume("the first upstream refuses another chain");
  }
}

}  // namespace zincstep
