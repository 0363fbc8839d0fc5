/// \file
/// A run of a forwarded stream that is requested beside a silent one.

#include <utility>

#include "Zincstep/Relay/ForwardExchange.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;

}  // namespace

void ForwardExchange::Candidate::OnResponseHead(HttpHead aHead) {
  if (!this->isAdopted) {
    const ResponseInfo info =
        this->exchange.context.dialect.ReadResponse(aHead);
    const bool isAccepted =
        aHead.status == kOk && !this->exchange.IsInvalidResponse(aHead, info);
    if (!isAccepted) {
      this->head = std::move(aHead);
      return;
    }
    this->exchange.AdoptCandidate();
  }
  this->exchange.OnResponseHead(std::move(aHead));
}

void ForwardExchange::Candidate::OnCallEnd(SingleCallEnd aEnd) {
  // The exchange may release it.
  const auto self = this->shared_from_this();
  this->isAdopted ? this->exchange.OnCallEnd(aEnd)
                  : this->exchange.OnCandidateEnd(aEnd);
}

bool ForwardExchange::HasRetry() {
  if (this->hasSpareRetry) {
    return this->TryAcquireResend();
  }
  this->hasSpareRetry = this->TryAcquireRetry(this->ReservedRetries());
  return this->hasSpareRetry;
}

bool ForwardExchange::TakeRetry() {
  const bool hasRetry = this->HasRetry();
  this->hasSpareRetry = this->hasSpareRetry && !hasRetry;
  return hasRetry;
}

void ForwardExchange::TryCandidate() {
  const auto chosen = this->ChoosePeer();
  if (!chosen || !this->HasRetry()) {
    return;  // The silent run may continue by itself.
  }
  if (this->candidate) {
    // Both are silent. The later one is kept beside the next.
    this->AdoptCandidate();
  }
  this->StartCandidate(*chosen);
}

void ForwardExchange::StartCandidate(const ForwardPeer& aPeer) {
  this->tried.push_back(aPeer.name);
  LogInfo("forward_beside_silent", {{"request", this->request.info.id},
                                    {"silent", this->peer.name},
                                    {"daemon", aPeer.name}});
  this->hasSpareRetry = false;
  this->candidate = std::make_shared<Candidate>(*this, aPeer, this->Now());
  this->candidate->call = this->StartCall(aPeer, *this->candidate);
}

void ForwardExchange::AdoptCandidate() {
  this->LeavePeer();
  this->CancelCall();
  this->mayHaveRun = true;
  this->sends += 1;
  this->runs += 1;
  this->pendingEvents.clear();
  this->events.BeginRun();
  this->adopted = std::exchange(this->candidate, nullptr);
  this->adopted->isAdopted = true;
  this->peer = this->adopted->peer;
  this->call = this->adopted->call;
  this->head = std::move(this->adopted->head);
  this->responseInfo = this->context.dialect.ReadResponse(this->head);
  this->isInvalidResponse =
      !this->head.headers.empty() &&
      this->IsInvalidResponse(this->head, this->responseInfo);
  this->isReadingPaused = false;
  this->body.Clear();
  this->body.Append(this->adopted->body.Text());
  this->sentAt = this->adopted->sentAt;
  this->lastProgress = this->Now();
  this->context.statistics.OnSent(this->counted, this->peer.failureDomain,
                                  this->sentAt);
}

void ForwardExchange::DropCandidate() {
  if (!this->candidate) {
    return;
  }
  const auto dropped = std::exchange(this->candidate, nullptr);
  const bool hasSent = dropped->call->HasSent();
  dropped->call->Cancel();
  this->context.forwards.OnEnded(dropped->peer.name);
  if (hasSent) {
    this->OnCandidateLost();
  } else {
    this->hasSpareRetry = true;
  }
}

void ForwardExchange::OnCandidateLost() {
  this->mayHaveRun = true;
  this->sends += 1;
  this->runs += 1;
}

void ForwardExchange::OnCandidateEnd(SingleCallEnd aEnd) {
  const auto ended = std::exchange(this->candidate, nullptr);
  const std::string& name = ended->peer.name;
  const std::string& kind = ended->body.Text();
  this->context.forwards.OnEnded(name);
  if (aEnd == SingleCallEnd::NotConnected) {
    this->context.forwards.OnNoResponse(name);
    this->hasSpareRetry = true;
    this->TryCandidate();
    return;
  }
  const ResponseInfo info = this->context.dialect.ReadResponse(ended->head);
  const bool isInvalid = !this->IsRefusedUnread(ended->head) &&
                         this->IsInvalidResponse(ended->head, info);
  if (aEnd != SingleCallEnd::Complete || isInvalid) {
    this->context.forwards.OnNoResponse(name);
    this->OnCandidateLost();
    return;
  }
  if (!this->IsRefusal(ended->head)) {
    this->context.forwards.OnServed(name, this->request.service->name);
    this->OnCandidateLost();
    return;
  }
  this->OnRefusalBy(name, ended->head, kind);
  this->hasSpareRetry = !IsOfUpstreams(kind);
  if (!this->IsNoLongerAdmitted()) {
    this->TryCandidate();
  }
}

}  // namespace zincstep
