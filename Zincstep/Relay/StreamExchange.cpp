#include "Zincstep/Relay/StreamExchange.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Expected tokens of a running answer as a share of the callers' estimate. On
/// average it has half its length so far, and the mean length is well above the
/// estimate, which is a median.
constexpr double kExpectedOutputShare = 0.6;
/// An upstream with a smaller share of its memory reserved should have had
/// room; its refusal is recorded.
constexpr double kLowUsageShare = 0.35;
/// Time after which a block ends a stream that waits. One that rests on
/// suspected crashes is confirmed or dropped within half a second.
constexpr Micros kBlockConfirmTime = 1s;

}  // namespace

StreamExchange::StreamExchange(RelayContext& aContext, AdmittedRequest aRequest)
    : Exchange(aContext, std::move(aRequest)),
      splitter(this->request.info.lastEventId) {
  const TokenUse& use = this->request.info.tokens;
  const ModelShape& model = *this->request.service->model;
  const double estimate = use.guessedOut > 0
                              ? use.guessedOut * kExpectedOutputShare
                              : model.usualAnswer * kExpectedOutputShare;
  const double maxTokens = use.maxOut > 0 ? use.maxOut : estimate;
  this->tokens = (use.prompt > 0 ? use.prompt : model.usualPrompt) +
                 std::min(estimate, maxTokens);
}

StreamExchange::~StreamExchange() {
  // An order that is still open may keep the exchange longer than the relay.
  this->isScheduled = false;
  this->Release();
}

void StreamExchange::Start() {
  this->lastProgress = this->Now();
  this->CountArrival(this->tokens);
  // A forwarded request counts at the daemon that read it.
  if (!this->request.isForwarded) {
    this->context.RetriesOf(this->request.service->name)
        .OnRequest(this->lastProgress);
    this->context.demand.OnRequest(this->tokens, this->lastProgress);
  }
  if (this->SkipsUpstreams() && this->TryHandOver()) {
    return;
  }
  this->isScheduled = this->context.capacity->Schedules(*this->request.service);
  this->isScheduled ? this->WaitForRoom() : this->TryChain();
}

ExchangeProgress StreamExchange::TakeProgress() {
  this->Release();
  ExchangeProgress progress = Exchange::TakeProgress();
  progress.events = this->splitter;
  progress.headSent = this->headSent;
  progress.lastForwardedAt = this->lastForwardedAt;
  return progress;
}

void StreamExchange::TryChain() {
  const bool isStarted = this->StartChain(
      this->context.view.Directory().OfService(this->request.service->name));
  if (!isStarted) {
    this->WaitForChain();
  }
}

bool StreamExchange::StartChain(const std::vector<UpstreamPtr>& aUpstreams) {
  if (this->EndInsteadOfRun()) {
    return true;
  }
  const Instant now = this->Now();
  auto chosen = std::exchange(this->nextChain, std::nullopt);
  if (!chosen) {
    chosen = this->ChooseChain(aUpstreams, now);
  }
  if (!chosen) {
    this->Release();
    this->chain.clear();
    return false;
  }
  this->isWaiting = false;
  this->silentSince.reset();
  if (this->IsEstimatedRerun()) {
    this->chain.clear();
    this->RecordReads(*chosen, now);
  }
  this->chain = std::move(*chosen);
  this->ExpectFirstEvent(*this->chain.front().upstream);
  this->Reserve(this->chain);
  if (const DomainReason reason = this->context.chains.LastReason();
      reason != DomainReason::Own) {
    this->context.metrics.Count(
        "zincstep_remote_starts_total",
        {{"reason", std::string(NameIn(kDomainReasonNames, reason))}});
  }
  this->head = HttpHead{};
  this->responseInfo = ResponseInfo{};
  this->body.Clear();
  this->isInvalidResponse = false;
  this->hasRunEvents = false;
  this->isReading = true;
  this->readingSince = Instant{};
  this->lastProgress = now;
  this->Send(this->chain.front().upstream, &this->chain);
  if (!this->call) {
    this->WaitForChain();
  }
  return true;
}

std::optional<PoolChain> StreamExchange::ChooseChain(
    const std::vector<UpstreamPtr>& aUpstreams, Instant aNow) {
  auto chosen = this->IsEstimatedRerun()
                    ? this->ChooseForRerun(aNow, "")
                    : this->context.chains.Choose(
                          *this->request.service->model, aUpstreams,
                          this->context.settings.failureDomain, this->tokens,
                          aNow, this->context.random, this->Timing());
  this->searches.Record(chosen.has_value(), aNow);
  return chosen;
}

void StreamExchange::ExpectFirstEvent(const LiveUpstream& aFirst) {
  if (this->headSent) {
    return;
  }
  const DemandMeter& demand = this->context.demand;
  const Instant now = this->Now();
  this->expectedWait = aFirst.firstStage.ExpectedWait(
      aFirst.Entry().slots, demand.ResponseSeconds(), now);
  const Micros usual = demand.UsualFirstEvent();
  this->expectedFirstEvent =
      usual > Micros{0}
          ? now - this->request.message.readAt + usual + this->expectedWait
          : Micros{0};
}

RequestTiming StreamExchange::Timing() const {
  return {this->request.route->latencyObjective,
          this->context.demand.ResponseSeconds()};
}

void StreamExchange::WaitForChain() {
  const Instant now = this->Now();
  if (!this->isWaiting) {
    this->isWaiting = true;
    this->waitingSince = now;
  }
  if (this->IsAwaitingUpstreams()) {
    return;
  }
  if (!this->needsRetry && this->TryHandOver()) {
    return;
  }
  // A stream that has begun waits until its deadline: its upstreams may only be
  // silent, and its caller closes the connection when it gives up. A request
  // that has not begun completes sooner by a retry of its caller: waiting here
  // for even a fifth of the objective cost 0.02 of score.
  if (!this->headSent) {
    this->Fail(this->IsCutOff()
                   ? "no upstream can be reached"
                   : "no chain covers all layers with room for the request");
  }
}

void StreamExchange::Fail(const char* aReason) {
  this->Abandon(this->NotRunKind(), ErrorKind::UpstreamFailed, aReason);
}

void StreamExchange::Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
                             const char* aReason) {
  this->RecordWait();
  this->CancelCall();
  this->Release();
  if (this->headSent) {
    this->request.connection->Abort();
    this->Finish("cut", aReason);
    return;
  }
  this->Refuse(this->mayHaveRun ? aMayHaveRun : aNotRun, aReason);
}

ErrorKind StreamExchange::NotRunKind() {
  if (this->IsBlocked()) {
    return ErrorKind::RequestBlocked;
  }
  if (!this->MayBeginRun()) {
    return ErrorKind::Stopping;
  }
  if (!this->context.view.KnowsUpstreams()) {
    return ErrorKind::NotReady;
  }
  if (this->chain.empty() && this->UpdateCallWait(true)) {
    return ErrorKind::Overloaded;
  }
  if (this->IsCutOff()) {
    return ErrorKind::UpstreamUnreachable;
  }
  // If a chain seemed to have room, the known state was outdated and is updated
  // within tenths of a second; capacity returns only once layers are loaded.
  return this->chain.empty() ? ErrorKind::NoCapacity : ErrorKind::Overloaded;
}

void StreamExchange::OnCallerDisconnected() {
  this->Release();
  Exchange::OnCallerDisconnected();
}

void StreamExchange::Exclude(const std::string& aAddress, Instant aNow,
                             bool aIsDead) {
  for (const PoolHop& hop : this->chain) {
    if (hop.upstream->Entry().address != aAddress) {
      continue;
    }
    if (aIsDead && !hop.upstream->Entry().layers.Covers(hop.layers)) {
      continue;  // It is alive, but holds other layers now.
    }
    if (aIsDead) {
      this->Suspect(*hop.upstream);
      continue;
    }
    hop.upstream->EjectUntil(aNow + this->context.settings.refusalBackoff);
    // It may be down rather than full: then the members before it refuse on its
    // behalf. Without this probe, an upstream that went down while the store
    // was unavailable was tried again after each backoff, in 340 of 661 refused
    // streams of one run.
    this->context.prober.Probe(hop.upstream);
    const double capacity = ChainChooser::Capacity(
        *this->request.service->model, hop.upstream->Entry());
    if (hop.upstream->Work() < capacity * kLowUsageShare) {
      hop.upstream->OnRefusal(aNow);
    }
  }
}

void StreamExchange::OnWaitingTick(Instant aNow) {
  if (!this->IsBlocked()) {
    this->blockedSince.reset();
  } else if (!this->blockedSince) {
    this->blockedSince = aNow;
  } else if (aNow - *this->blockedSince >= kBlockConfirmTime) {
    this->Fail("the request crashes upstreams");
  }
  if (this->blockedSince || !this->MaySearch(this->waitingSince, aNow)) {
    return;
  }
  this->needsRetry ? this->RetryWaiting() : this->TryChain();
}

void StreamExchange::OnTick(Instant aNow) {
  if (this->IsDone()) {
    return;
  }
  if (aNow >= this->request.deadline) {
    this->Release();
    if (this->headSent) {
      this->Fail("deadline exceeded during the stream");
      return;
    }
    const bool mayRun =
        this->mayHaveRun || (this->call && this->call->HasSent());
    this->Refuse(mayRun ? ErrorKind::DeadlineDuringRun : ErrorKind::NoCapacity,
                 "deadline exceeded");
    return;
  }
  if ((this->waitingId || this->isWaiting) && this->EndInsteadOfRun()) {
    return;
  }
  if (this->waitingId) {
    return;
  }
  if (this->isWaiting) {
    this->OnWaitingTick(aNow);
    return;
  }
  if (this->isReadingPaused && this->request.connection->PendingBytes() <
                                   this->context.settings.maxPendingBytes / 2) {
    this->isReadingPaused = false;
    this->lastProgress = aNow;
    this->call->SetReading(true);
  }
  this->CheckMembers(aNow);
}

}  // namespace zincstep
