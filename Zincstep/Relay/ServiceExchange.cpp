#include "Zincstep/Relay/ServiceExchange.h"

namespace zincstep {

namespace {

constexpr int kFirstServerError = 500;

}  // namespace

void ServiceExchange::Start() {
  this->CountArrival(0);
  if (!this->request.isForwarded) {
    this->context.RetriesOf(this->request.service->name).OnRequest(this->Now());
  }
  if (this->SkipsUpstreams() && this->TryHandOver()) {
    return;
  }
  this->TrySend();
}

void ServiceExchange::TrySend() {
  if (this->EndInsteadOfRun()) {
    return;
  }
  const auto& upstreams =
      this->context.view.Directory().OfService(this->request.service->name);
  const UpstreamPtr chosen = this->context.services.Choose(
      upstreams, this->context.settings.failureDomain, this->tried, this->Now(),
      this->context.random);
  this->isWaiting = !chosen && this->IsAwaitingUpstreams();
  if (this->isWaiting) {
    return;
  }
  if (!chosen && this->TryHandOver()) {
    return;
  }
  if (!chosen) {
    this->mayHaveRun
        ? this->Refuse(ErrorKind::UpstreamFailed, "no other upstream is left")
        : this->RefuseUnsent();
    return;
  }
  this->tried.push_back(chosen);
  this->head = HttpHead{};
  this->responseInfo = ResponseInfo{};
  this->body.Clear();
  chosen->localWork += 1;
  this->Send(chosen, nullptr);
  if (!this->call) {
    this->EndCall();
    this->OnNotRun("the address is invalid");
  }
}

void ServiceExchange::RefuseUnsent() {
  if (this->UpdateCallWait(false)) {
    this->Refuse(ErrorKind::Overloaded,
                 "the call limits of the upstreams are reached");
  } else if (this->IsCutOff()) {
    this->Refuse(ErrorKind::UpstreamUnreachable, "no upstream can be reached");
  } else {
    this->Refuse(ErrorKind::NoCapacity, "no upstream is usable");
  }
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
  if (aNow < this->request.deadline) {
    if (this->isWaiting && this->IsBlocked()) {
      this->Refuse(this->mayHaveRun ? ErrorKind::UpstreamFailed
                                    : ErrorKind::RequestBlocked,
                   "the request crashes upstreams");
    } else if (this->isWaiting) {
      this->TrySend();
    } else if (this->call && this->upstream->HasEnded() &&
               this->CanRunAgain()) {
      this->OnUpstreamRestarted();
    }
    return;
  }
  const bool mayRun = this->mayHaveRun || (this->call && this->call->HasSent());
  this->EndCall();
  this->Refuse(mayRun ? ErrorKind::DeadlineDuringRun : ErrorKind::NoCapacity,
               "deadline exceeded");
}

void ServiceExchange::OnUpstreamRestarted() {
  // No response may ever arrive on its connection. A request that must not run
  // twice keeps waiting, as it may have reached the new incarnation.
  constexpr const char* kReason = "the upstream has restarted";
  this->OnRunLost(kReason);
  this->EndCall();
  this->CancelCall();
  this->mayHaveRun = true;
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
  this->responseInfo = this->context.dialect.ReadResponse(this->head);
  this->OnConnected();
  this->ApplyNotice(this->responseInfo);
}

bool ServiceExchange::OnResponseBody(std::string_view aPart) {
  return this->body.Append(aPart);
}

void ServiceExchange::Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
                              const char* aReason) {
  if (this->call) {
    this->EndCall();
  }
  this->CancelCall();
  this->Refuse(this->mayHaveRun ? aMayHaveRun : aNotRun, aReason);
}

bool ServiceExchange::CanRunAgain() const {
  return this->request.route->kind == RouteKind::Safe &&
         this->runs < this->request.route->maxAttempts;
}

void ServiceExchange::OnCallEnd(SingleCallEnd aEnd) {
  const Instant now = this->Now();
  this->EndCall();
  this->call.reset();
  if (aEnd == SingleCallEnd::NotConnected) {
    this->OnNotConnected();
    if (this->TryHandOver()) {
      return;
    }
    this->TryAcquireResend() ? this->TrySend()
                             : this->OnNotRun("no connection");
    return;
  }
  if (aEnd != SingleCallEnd::Complete ||
      this->IsInvalidResponse(this->head, this->responseInfo)) {
    this->mayHaveRun = true;
    this->runs += 1;
    const char* reason = LostReasonOf(aEnd, aEnd == SingleCallEnd::Complete);
    this->OnRunLost(reason);
    this->OnFailure(reason);
    return;
  }
  this->upstream->OnResponse(now);
  if (this->responseInfo.load) {
    this->upstream->queuedRequests = this->responseInfo.load->queued;
    this->upstream->queueReportedAt = now;
  }
  if (this->responseInfo.isNotRun) {
    this->OnRefused(this->responseInfo, this->head.status);
    this->OnNotRun("the upstream refused");
    return;
  }
  // Not for a refusal, which another process at the address may have sent.
  this->context.crashDetector.OnUpstreamResponded(*this->upstream,
                                                  this->sentAt);
  this->mayHaveRun = true;
  this->runs += 1;
  this->context.services.OnResponse(*this->upstream, now - this->sentAt);
  if (this->head.status >= kFirstServerError && this->CanRunAgain() &&
      this->TryAcquireRetry(this->context.settings.reservedForStreams)) {
    this->TrySend();
    return;
  }
  this->ForwardResponse(this->head, this->body.Text());
}

void ServiceExchange::OnNotRun(const char* aReason) {
  if (this->TryAcquireRetry(this->context.settings.reservedForStreams)) {
    this->TrySend();
    return;
  }
  const ErrorKind refused =
      this->MayBeginRun() ? ErrorKind::Overloaded : ErrorKind::Stopping;
  const ErrorKind notRun =
      this->IsBlocked() ? ErrorKind::RequestBlocked : refused;
  this->Refuse(this->mayHaveRun ? ErrorKind::UpstreamFailed : notRun, aReason);
}

void ServiceExchange::OnFailure(const char* aReason) {
  if (this->CanRunAgain() &&
      this->TryAcquireRetry(this->context.settings.reservedForStreams)) {
    this->TrySend();
    return;
  }
  this->Refuse(ErrorKind::ResponseIncomplete, aReason);
}

}  // namespace zincstep
