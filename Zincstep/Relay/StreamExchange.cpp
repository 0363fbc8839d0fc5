#include "Zincstep/Relay/StreamExchange.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;
/// A running answer has on average half its length so far, and the mean
/// length is some way above the callers' guess, which is a median.
constexpr double kGuessShare = 0.6;
/// Share of the newest pause in a stream's average.
constexpr double kPauseShare = 0.1;
/// An upstream with less of its memory promised than this has room.
constexpr double kRoomyShare = 0.35;
/// Callers give a silent stream up after this time at the earliest.
constexpr Micros kCallerPatience = 2s;

}  // namespace

StreamExchange::StreamExchange(RelayContext& aContext, AdmittedRequest aRequest)
    : Exchange(aContext, std::move(aRequest)),
      splitter(this->request.facts.lastEventId) {
  const TokenUse& use = this->request.facts.tokens;
  const ModelShape& model = *this->request.service->model;
  const double guess = use.guessedOut > 0 ? use.guessedOut * kGuessShare
                                          : model.usualAnswer * kGuessShare;
  const double most = use.maxOut > 0 ? use.maxOut : guess;
  this->tokens =
      (use.prompt > 0 ? use.prompt : model.usualPrompt) + std::min(guess, most);
}

StreamExchange::~StreamExchange() { this->Release(); }

void StreamExchange::Start() {
  this->lastProgress = this->Now();
  this->context.BudgetOf(this->request.service->name).OnRequest();
  this->context.demand.OnRequest(this->tokens, this->lastProgress);
  this->TryChain();
}

void StreamExchange::Reserve(const PoolChain& aChain) {
  this->Release();
  for (const PoolHop& hop : aChain) {
    const double amount = this->tokens * hop.layers.Size();
    hop.upstream->localWork += amount;
    this->reserved.emplace_back(hop.upstream, amount);
  }
}

void StreamExchange::Release() {
  for (const auto& [holder, amount] : this->reserved) {
    holder->localWork -= amount;
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
    this->chain.clear();
    this->WaitForChain();
    return;
  }
  this->isWaiting = false;
  this->chain = std::move(*chosen);
  this->Reserve(this->chain);
  this->head = HttpHead{};
  this->facts = ResponseInfo{};
  this->body.clear();
  this->isForeign = false;
  this->hasRunEvents = false;
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
  if (this->AwaitsFirstList()) {
    return;
  }
  // A request that has not begun comes back in better time than it would be
  // served here: waiting even a fifth of the objective cost 0.02 of worth.
  if (!this->headSent || now - this->waitingSince >= kCallerPatience) {
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
  this->Refuse(this->hasBegun ? ErrorKind::UpstreamFailed : this->NotRunKind(),
               aReason);
}

ErrorKind StreamExchange::NotRunKind() {
  if (this->IsBlocked()) {
    return ErrorKind::RequestBlocked;
  }
  if (!this->context.view.KnowsUpstreams()) {
    return ErrorKind::NotReady;
  }
  if (this->chain.empty() && this->NoteCallWait(true)) {
    return ErrorKind::Overloaded;
  }
  // With a chain that had room by what is believed here, the belief was wrong,
  // and is mended within tenths of a second; room itself takes loads to return.
  return this->chain.empty() ? ErrorKind::NoCapacity : ErrorKind::Overloaded;
}

void StreamExchange::OnCallerDisconnected() {
  this->Release();
  Exchange::OnCallerDisconnected();
}

bool StreamExchange::IsStream() const { return this->head.status == kOk; }

void StreamExchange::OnResponseHead(HttpHead aHead) {
  this->facts = this->context.dialect.ReadResponse(aHead);
  this->isForeign = this->IsForeign(aHead, this->facts);
  this->head = std::move(aHead);
  this->ApplyNotice(this->facts);
}

void StreamExchange::OnResponseBody(std::string_view aPart) {
  if (this->isForeign) {
    return;
  }
  if (!this->IsStream()) {
    this->body.append(aPart);
    return;
  }
  const std::string events = this->splitter.Append(aPart);
  this->hasRunEvents = this->hasRunEvents || !events.empty();
  this->ready += events;
}

void StreamExchange::OnResponsePause() {
  if (this->ready.empty()) {
    return;
  }
  const Instant now = this->Now();
  CallerConnection& connection = *this->request.connection;
  if (this->headSent) {
    const Micros pause = now - this->passedAt;
    this->longestPause = std::max(this->longestPause, pause);
    // The first one stands for all that follow until more are known.
    const double share = this->usualPause > 0 ? kPauseShare : 1;
    this->usualPause += share * (ToSeconds(pause) - this->usualPause);
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
  if (connection.PendingBytes() > this->context.settings.maxPendingBytes) {
    this->isHeldUp = true;
    this->call->SetReading(false);
  }
}

void StreamExchange::OnCallEnd(SingleCallEnd aEnd) {
  const Instant now = this->Now();
  this->call.reset();
  if (aEnd == SingleCallEnd::NotConnected) {
    this->Suspect(*this->upstream);
    this->TryAcquireResend() ? this->TryChain() : this->OnNotRun();
    return;
  }
  const bool isWhole = aEnd == SingleCallEnd::Complete && !this->isForeign;
  if (isWhole && this->facts.isNotRun) {
    this->upstream->OnResponse(now);
    this->OnRefused(this->facts, this->head.status);
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
    this->OnRunLost("the stream broke off");
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
  this->OnRunWhole();
  this->context.demand.OnCompleted(this->Now() - this->request.message.readAt);
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
    hop.upstream->EjectUntil(aNow + this->context.settings.refusalPause);
    // It may be dead rather than full: those before it refuse for it then.
    // Unasked, one that had gone dark while the store was away was tried again
    // after each pause, 340 of 661 refused streams of such a day.
    this->context.probe.Ask(hop.upstream);
    const double capacity = ChainChooser::Capacity(
        *this->request.service->model, hop.upstream->Entry());
    if (hop.upstream->Work() < capacity * kRoomyShare) {
      hop.upstream->OnRefusal(aNow);
    }
  }
}

void StreamExchange::OnNotRun() {
  if (this->TryAcquireRetry(this->ReservedBudget())) {
    this->TryChain();
  } else if (this->headSent) {
    this->WaitForRetry();
  } else {
    this->Fail("refused by upstreams");
  }
}

double StreamExchange::ReservedBudget() const {
  return this->headSent ? 0 : this->context.settings.reservedForStreams;
}

void StreamExchange::WaitForRetry() {
  this->Release();
  this->needsRetry = true;
  this->WaitForChain();
}

void StreamExchange::OnLost(const char* aReason) {
  this->upstream->EjectUntil(this->Now() + this->context.settings.refusalPause);
  this->Resume(aReason);
}

bool StreamExchange::MayResume() const {
  return this->request.route->isResumable && !this->splitter.HasGap() &&
         this->runs + (this->call ? 1 : 0) < this->request.route->maxAttempts;
}

void StreamExchange::Resume(const char* aReason) {
  const bool mayResume = this->MayResume();
  const bool hasRetry =
      mayResume && this->TryAcquireRetry(this->ReservedBudget());
  if (this->call && !hasRetry) {
    return;  // What stands still may go on by itself.
  }
  if (this->call) {
    this->runs += 1;
    this->OnRunLost(aReason);
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
    this->needsRetry =
        this->needsRetry && !this->TryAcquireRetry(this->ReservedBudget());
    this->needsRetry ? this->WaitForChain() : this->TryChain();
    return;
  }
  if (this->isHeldUp && this->request.connection->PendingBytes() <
                            this->context.settings.maxPendingBytes / 2) {
    this->isHeldUp = false;
    this->lastProgress = aNow;
    this->call->SetReading(true);
  }
  this->CheckMembers(aNow);
}

}  // namespace zincstep
