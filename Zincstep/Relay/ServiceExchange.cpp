#include "Zincstep/Relay/ServiceExchange.h"

namespace zincstep {

namespace {

constexpr int kFirstServerError = 500;

}  // namespace

void ServiceExchange::Start() {
  this->context.BudgetOf(this->request.service->name).OnRequest();
  this->TrySend();
}

void ServiceExchange::TrySend() {
  const auto& upstreams =
      this->context.view.Directory().OfService(this->request.service->name);
  const UpstreamPtr chosen = this->context.services.Choose(
      upstreams, this->context.settings.failureDomain, this->tried, this->Now(),
      this->context.random);
  this->isWaiting = !chosen && this->AwaitsFirstList();
  if (this->isWaiting) {
    return;
  }
  if (!chosen) {
    this->hasBegun
        ? this->Refuse(ErrorKind::UpstreamFailed, "no other upstream is left")
        : this->RefuseUnsent();
    return;
  }
  this->tried.push_back(chosen);
  this->head = HttpHead{};
  this->facts = ResponseInfo{};
  this->body.clear();
  chosen->localWork += 1;
  this->Send(chosen, nullptr, std::nullopt);
  if (!this->call) {
    this->EndCall();
    this->OnNotRun("the address is not one");
  }
}

void ServiceExchange::RefuseUnsent() {
  this->NoteCallWait(false)
      ? this->Refuse(ErrorKind::Overloaded, "the upstreams take no call now")
      : this->Refuse(ErrorKind::NoCapacity, "no upstream is usable");
}

void ServiceExchange::EndCall() {
  if (this->upstream) {
    this->upstream->localWork -= 1;
  }
}

void ServiceExchange::OnTick(Instant aNow) {
  if (this->IsDone()) {
    return;
  }
  if (aNow < this->request.end) {
    if (this->isWaiting) {
      this->TrySend();
    } else if (this->call && this->upstream->HasEnded() &&
               this->MayRunAgain()) {
      this->OnStartedAgain();
    }
    return;
  }
  const bool mayRun = this->hasBegun || (this->call && this->call->HasSent());
  this->EndCall();
  this->Refuse(mayRun ? ErrorKind::DeadlineDuringRun : ErrorKind::NoCapacity,
               "no answer in time");
}

void ServiceExchange::OnStartedAgain() {
  // Its connection may be silent for good. One that must not run twice waits:
  // it may have reached the new start.
  constexpr const char* kReason = "its upstream has started again";
  this->OnRunLost(kReason);
  this->EndCall();
  this->CancelCall();
  this->hasBegun = true;
  this->runs += 1;
  this->OnFailure(kReason);
}

void ServiceExchange::OnCallerDisconnected() {
  if (!this->IsDone()) {
    this->EndCall();
  }
  Exchange::OnCallerDisconnected();
}

void ServiceExchange::OnResponseHead(HttpHead aHead) {
  this->head = std::move(aHead);
  this->facts = this->context.dialect.ReadResponse(this->head);
  this->ApplyNotice(this->facts);
}

void ServiceExchange::OnResponseBody(std::string_view aPart) {
  this->body.append(aPart);
}

void ServiceExchange::Abandon(const char* aReason) {
  this->EndCall();
  this->CancelCall();
  this->Refuse(
      this->hasBegun ? ErrorKind::UpstreamFailed : ErrorKind::RequestBlocked,
      aReason);
}

bool ServiceExchange::MayRunAgain() const {
  return this->request.route->kind == RouteKind::Safe &&
         this->runs < this->request.route->maxAttempts;
}

void ServiceExchange::OnCallEnd(SingleCallEnd aEnd) {
  const Instant now = this->Now();
  this->EndCall();
  this->call.reset();
  if (aEnd == SingleCallEnd::NotConnected) {
    this->Suspect(*this->upstream);
    this->TryAcquireResend() ? this->TrySend()
                             : this->OnNotRun("no connection");
    return;
  }
  if (aEnd != SingleCallEnd::Complete ||
      this->IsForeign(this->head, this->facts)) {
    this->hasBegun = true;
    this->runs += 1;
    const char* reason = aEnd == SingleCallEnd::Complete
                             ? "not its own answer"
                             : "the answer broke off";
    this->OnRunLost(reason);
    this->OnFailure(reason);
    return;
  }
  this->upstream->OnResponse(now);
  if (this->facts.waiting) {
    this->upstream->queuedRequests = *this->facts.waiting;
    this->upstream->queueReportedAt = now;
  }
  if (this->facts.isNotRun) {
    this->OnRefused(this->facts, this->head.status);
    this->OnNotRun("the upstream refused");
    return;
  }
  // Not for a refusal: whoever listens at the address by now may have sent it.
  this->context.crashDetector.OnUpstreamAnswered(*this->upstream, this->sentAt);
  this->hasBegun = true;
  this->runs += 1;
  this->context.services.OnResponse(*this->upstream, now - this->sentAt);
  if (this->head.status >= kFirstServerError && this->MayRunAgain() &&
      this->TryAcquireRetry(this->context.settings.reservedForStreams)) {
    this->TrySend();
    return;
  }
  this->PassOn(this->head, this->body);
}

void ServiceExchange::OnNotRun(const char* aReason) {
  if (this->TryAcquireRetry(this->context.settings.reservedForStreams)) {
    this->TrySend();
    return;
  }
  const ErrorKind notRun =
      this->IsBlocked() ? ErrorKind::RequestBlocked : ErrorKind::Overloaded;
  this->Refuse(this->hasBegun ? ErrorKind::UpstreamFailed : notRun, aReason);
}

void ServiceExchange::OnFailure(const char* aReason) {
  if (this->MayRunAgain() &&
      this->TryAcquireRetry(this->context.settings.reservedForStreams)) {
    this->TrySend();
    return;
  }
  this->Refuse(ErrorKind::ResponseIncomplete, aReason);
}

}  // namespace zincstep
