#include "Zincstep/Relay/StreamExchange.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;
/// A running answer has on average half its length so far, and the mean
/// length is some way above the callers' guess, which is a median.
constexpr double kGuessShare = 0.6;
/// A member under suspicion is left once the stream has stood still for a
/// few of its usual pauses: a wrong suspicion then does no harm.
constexpr Micros kMemberSilence = 80ms;
/// Members are asked whether they live after a silence of so many of the
/// stream's own pauses, and of this at the least: what stands still must go on
/// within some 200 ms to be in time, and each question is paid for.
constexpr double kProbePauses = 2.2;
constexpr Micros kProbeSilence = 70ms;
/// Share of the newest pause in a stream's average.
constexpr double kPauseShare = 0.1;
/// A member that is off the list, or gives its layers up, may still serve
/// what it runs; it is left only after a longer silence.
constexpr Micros kLeftSilence = 400ms;
/// An upstream that refused is passed over for so long: it may be short of
/// memory, or hold other layers than its entry tells.
constexpr Micros kRefusalPause = 300ms;
/// An upstream with less of its memory promised than this has room.
constexpr double kRoomyShare = 0.35;
/// A member that leaves serves on for about two seconds; a stream that is
/// still running there after this is moved on to another.
constexpr Micros kLeavingTime = 1s;
/// After a refused chain the same would be refused again for a while, and
/// each order is paid for.
constexpr Micros kRefusedRepairPause = 800ms;
/// Chains that are tried at once when the first upstream names who is at
/// fault.
constexpr std::size_t kMostBlamed = 4;
/// Callers give a silent stream up after this time at the earliest.
constexpr Micros kCallerPatience = 2s;

bool SameMembers(const PoolChain& aOne, const PoolChain& aOther) {
  return std::equal(aOne.begin(), aOne.end(), aOther.begin(), aOther.end(),
                    [](const PoolHop& aLeft, const PoolHop& aRight) {
                      return aLeft.upstream == aRight.upstream &&
                             aLeft.layers == aRight.layers;
                    });
}

}  // namespace

StreamExchange::StreamExchange(RelayContext& aContext, AdmittedRequest aRequest)
    : Exchange(aContext, std::move(aRequest)),
      splitter(this->request.facts.lastEventId) {
  const TokenUse& use = this->request.facts.tokens;
  const ModelShape& model = *this->request.service->model;
  const double guess = use.guessedOut > 0 ? use.guessedOut * kGuessShare
                                          : model.usualAnswer * kGuessShare;
  const double most = use.mostOut > 0 ? use.mostOut : guess;
  this->tokens =
      (use.prompt > 0 ? use.prompt : model.usualPrompt) + std::min(guess, most);
}

StreamExchange::~StreamExchange() { this->Release(); }

void StreamExchange::Start() {
  this->lastProgress = this->Now();
  this->context.BudgetOf(this->request.service->name).OnRequest();
  this->TryChain();
}

void StreamExchange::Reserve(const PoolChain& aChain) {
  this->Release();
  for (const PoolHop& hop : aChain) {
    const double amount = this->tokens * hop.layers.Size();
    hop.upstream->own += amount;
    this->reserved.emplace_back(hop.upstream, amount);
  }
}

void StreamExchange::Release() {
  for (const auto& [holder, amount] : this->reserved) {
    holder->own -= amount;
  }
  this->reserved.clear();
}

void StreamExchange::TryChain() {
  const Instant now = this->Now();
  auto chosen = this->context.chains.Choose(
      *this->request.service->model,
      this->context.view.Directory().OfService(this->request.service->name),
      this->context.settings.failureDomain, this->tokens, now,
      this->context.random);
  if (!chosen) {
    this->WaitForChain();
    return;
  }
  this->isWaiting = false;
  this->chain = std::move(*chosen);
  this->Reserve(this->chain);
  this->head = HttpHead{};
  this->facts = AnswerFacts{};
  this->body.clear();
  this->isForeign = false;
  this->lastProgress = now;
  this->Send(this->chain.front().upstream, &this->chain,
             this->splitter.LastId());
  if (!this->call) {
    this->WaitForChain();
  }
}

void StreamExchange::WaitForChain() {
  const Instant now = this->Now();
  if (!this->isWaiting) {
    this->isWaiting = true;
    this->waitingSince = now;
  }
  const Micros objective = this->request.route->latencyObjective;
  const Micros longest =
      this->headSent ? kCallerPatience
                     : FromSeconds(ToSeconds(objective) *
                                   this->context.settings.longestWaitShare);
  if (now - this->waitingSince >= longest) {
    this->Fail("no chain covers all layers with room for the request");
  }
}

void StreamExchange::Fail(const char* aReason) {
  this->CancelCall();
  this->Release();
  if (this->headSent) {
    this->request.connection->Abort();
    this->Finish("cut", aReason);
    return;
  }
  this->Refuse(
      this->hasBegun ? ErrorKind::UpstreamFailed : ErrorKind::NoCapacity,
      aReason);
}

void StreamExchange::OnCallerGone() {
  this->Release();
  Exchange::OnCallerGone();
}

bool StreamExchange::IsStream() const { return this->head.status == kOk; }

void StreamExchange::OnAnswerHead(HttpHead aHead) {
  this->facts = this->context.dialect.ReadAnswer(aHead);
  this->isForeign = this->IsForeign(aHead, this->facts);
  this->head = std::move(aHead);
}

void StreamExchange::OnAnswerBody(std::string_view aPart) {
  if (this->isForeign) {
    return;
  }
  if (!this->IsStream()) {
    this->body.append(aPart);
    return;
  }
  this->ready += this->splitter.Append(aPart);
}

void StreamExchange::OnAnswerPause() {
  if (this->ready.empty()) {
    return;
  }
  const Instant now = this->Now();
  CallerConnection& connection = *this->request.connection;
  if (this->headSent) {
    const Micros pause = now - this->passedAt;
    this->longestPause = std::max(this->longestPause, pause);
    this->usualPause += kPauseShare * (ToSeconds(pause) - this->usualPause);
  } else {
    this->headSent = true;
    this->firstEventAfter = now - this->request.message.readAt;
    this->context.metrics.Observe("zincstep_first_event_seconds",
                                  ToSeconds(this->firstEventAfter));
    connection.BeginChunks(this->head.status, PassedHeaders(this->head));
    for (const PoolHop& hop : this->chain) {
      hop.upstream->OnAccepted();
    }
  }
  connection.AppendChunk(this->ready);
  this->ready.clear();
  this->passedAt = now;
  this->lastProgress = now;
  if (connection.PendingBytes() > this->context.settings.mostPending) {
    this->isHeldUp = true;
    this->call->SetReading(false);
  }
}

void StreamExchange::OnCallEnd(CallEnd aEnd) {
  const Instant now = this->Now();
  this->call.reset();
  if (aEnd == CallEnd::NotConnected) {
    this->Suspect(*this->upstream);
    this->OnNotRun();
    return;
  }
  const bool isWhole = aEnd == CallEnd::Complete && !this->isForeign;
  if (isWhole && this->facts.isNotRun) {
    this->upstream->OnAnswer(now);
    LogInfo("upstream_refused", {{"request", this->request.facts.id},
                                 {"upstream", this->upstream->Entry().id},
                                 {"status", this->head.status},
                                 {"at_fault", this->facts.atFault}});
    this->Distrust(this->facts.atFault.empty() ? this->upstream->Entry().address
                                               : this->facts.atFault,
                   now, false);
    this->OnNotRun();
    return;
  }
  this->hasBegun = true;
  this->runs += 1;
  if (isWhole && this->IsStream()) {
    this->EndStream();
  } else if (isWhole && !this->headSent &&
             this->head.status < kFirstServerError) {
    this->Release();
    this->PassOn(this->head, this->body);
  } else {
    this->OnLost("the stream broke off");
  }
}

void StreamExchange::EndStream() {
  if (this->splitter.HasGap() || this->splitter.HasPartial() ||
      !this->splitter.HasPassed()) {
    this->OnLost("the stream ended inside an event");
    return;
  }
  this->Release();
  this->request.connection->EndChunks();
  this->Finish("answered", this->repairs > 0 ? "repaired" : "success");
}

void StreamExchange::Distrust(const std::string& aAddress, Instant aNow,
                              bool aIsDead) {
  for (const PoolHop& hop : this->chain) {
    if (hop.upstream->Entry().address != aAddress) {
      continue;
    }
    if (aIsDead && !hop.upstream->Entry().layers.Covers(hop.layers)) {
      continue;  // It lives, and holds other layers by now.
    }
    if (aIsDead) {
      this->Suspect(*hop.upstream);
      continue;
    }
    hop.upstream->PassOver(aNow + kRefusalPause);
    const double capacity = ChainChooser::Capacity(
        *this->request.service->model, hop.upstream->Entry());
    if (hop.upstream->Work(aNow) < capacity * kRoomyShare) {
      hop.upstream->OnRefusal(aNow);
    }
  }
}

void StreamExchange::OnNotRun() {
  if (this->TakeRetry(this->KeptBudget())) {
    this->TryChain();
  } else if (this->headSent) {
    this->WaitForRetry();
  } else {
    this->Fail("refused by upstreams");
  }
}

double StreamExchange::KeptBudget() const {
  return this->headSent ? 0 : this->context.settings.keptForStreams;
}

void StreamExchange::WaitForRetry() {
  this->Release();
  this->needsRetry = true;
  this->WaitForChain();
}

void StreamExchange::OnLost(const char* aReason) {
  this->upstream->PassOver(this->Now() + kRefusalPause);
  this->Resume(aReason);
}

bool StreamExchange::MayResume() const {
  return this->request.route->isResumable && !this->splitter.HasGap() &&
         this->runs + (this->call ? 1 : 0) < this->request.route->maxAttempts;
}

void StreamExchange::Resume(const char* aReason) {
  const bool mayResume = this->MayResume();
  const bool hasRetry = mayResume && this->TakeRetry(this->KeptBudget());
  if (this->call && !hasRetry) {
    return;  // What stands still may go on by itself.
  }
  if (this->call) {
    this->runs += 1;
  }
  this->CancelCall();
  this->Release();
  this->ready.clear();
  if (!mayResume || (!hasRetry && !this->headSent)) {
    this->Fail(aReason);
    return;
  }
  LogInfo("stream_resumed",
          {{"request", this->request.facts.id},
           {"reason", aReason},
           {"left", this->upstream->Entry().id},
           {"after_event", this->splitter.LastId().value_or(0)}});
  this->context.metrics.Count("zincstep_streams_resumed_total");
  this->splitter.BeginRun();
  hasRetry ? this->TryChain() : this->WaitForRetry();
}

void StreamExchange::OnTick(Instant aNow) {
  if (this->IsDone()) {
    return;
  }
  if (aNow >= this->request.end) {
    this->Release();
    if (this->headSent) {
      this->Fail("no end in time");
      return;
    }
    const bool mayRun = this->hasBegun || (this->call && this->call->HasSent());
    this->Refuse(mayRun ? ErrorKind::DeadlineDuringRun : ErrorKind::NoCapacity,
                 "no answer in time");
    return;
  }
  if (this->isWaiting) {
    this->needsRetry = this->needsRetry && !this->TakeRetry(this->KeptBudget());
    this->needsRetry ? this->WaitForChain() : this->TryChain();
    return;
  }
  if (this->isHeldUp && this->request.connection->PendingBytes() <
                            this->context.settings.mostPending / 2) {
    this->isHeldUp = false;
    this->lastProgress = aNow;
    this->call->SetReading(true);
  }
  this->CheckMembers(aNow);
}

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
      hop.upstream->OnAnswer(this->lastProgress);
      isToLeave = isToLeave || this->IsLeft(hop, aNow);
    }
    if (isToLeave && this->headSent) {
      this->MoveOn(aNow);
    }
    return;
  }
  if (this->upstream->IsSuspect(aNow)) {
    this->Resume("the first upstream is lost");
    return;
  }
  const bool isLong = this->Silence(aNow) >= kLeftSilence;
  const bool hasLost = std::any_of(
      this->chain.begin() + 1, this->chain.end(), [&](const PoolHop& aHop) {
        const bool isLeft = aHop.upstream->IsGone() ||
                            !aHop.upstream->Entry().layers.Covers(aHop.layers);
        return aHop.upstream->IsSuspect(aNow) || (isLong && isLeft);
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
    if (aNow - hop.upstream->AnsweredAt() >= kProbeSilence) {
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
  if (!this->MayRepair(aNow)) {
    return;
  }
  const auto chain = this->RepairedChain(aNow);
  if (chain && !SameMembers(*chain, this->chain)) {
    this->Repath(*chain);
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
                            {"own_view", aUpstream->Work(now)},
                            {"pace", aReport->pace},
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
}

void StreamExchange::Repair(Instant aNow) {
  if (!this->MayRepair(aNow)) {
    return;
  }
  const auto repaired = this->RepairedChain(aNow);
  if (!repaired) {
    // Nobody in its domain holds what was lost: a chain elsewhere does.
    this->Resume("no other holder of the lost layers");
    return;
  }
  this->Repath(*repaired);
}

void StreamExchange::Repath(const PoolChain& aChain) {
  this->isRepairing = true;
  this->context.control.Repath(this->request.facts.id, aChain,
                               [self = std::static_pointer_cast<StreamExchange>(
                                    this->shared_from_this()),
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
    hop.upstream->PassOver(this->Now() + kRefusalPause);
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
  const bool isTaken = aOutcome && aOutcome->answer == OrderAnswer::Taken;
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
