/// \file
/// Continuation of a stream by a new run.

#include <algorithm>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

void StreamExchange::OnNotRun() {
  if (this->CanBeginRun() && this->TryAcquireRetry(this->ReservedRetries())) {
    this->TryChain();
  } else if (this->headSent) {
    this->WaitForRetry();
  } else {
    this->Fail("refused by upstreams");
  }
}

double StreamExchange::ReservedRetries() const {
  return this->headSent ? 0 : this->context.settings.reservedForStreams;
}

void StreamExchange::WaitForRetry() {
  this->nextChain.reset();
  this->Release();
  this->needsRetry = true;
  this->WaitForChain();
}

void StreamExchange::OnLost(const char* aReason) {
  this->upstream->EjectUntil(this->Now() +
                             this->context.settings.refusalBackoff);
  this->Resume(aReason);
}

bool StreamExchange::CanBeginRun() {
  if (!this->headSent || this->nextChain) {
    return true;
  }
  this->nextChain = this->ChooseChain(
      this->context.view.Directory().OfService(this->request.service->name),
      this->Now());
  return this->nextChain || this->MayHandOver();
}

void StreamExchange::RetryWaiting() {
  if (!this->CanBeginRun() || !this->TryAcquireRetry(this->ReservedRetries())) {
    this->nextChain.reset();
    this->WaitForChain();
    return;
  }
  this->needsRetry = false;
  this->TryChain();
}

bool StreamExchange::CanResume() const {
  return this->request.route->isResumable && !this->splitter.HasGap() &&
         this->runs + (this->call ? 1 : 0) < this->request.route->maxAttempts;
}

bool StreamExchange::KeepsSilentRun() {
  if (!this->call || !this->headSent || this->upstream->HasEnded() ||
      this->nextChain) {
    return false;
  }
  const Instant now = this->Now();
  if (this->silentSince && !this->MaySearch(*this->silentSince, now)) {
    return true;
  }
  // The members of the silent run have room for it again once it is cancelled.
  for (const auto& [holder, amount] : this->reserved) {
    holder->localWork -= amount;
  }
  this->nextChain = this->ChooseChain(
      this->context.view.Directory().OfService(this->request.service->name),
      now);
  for (const auto& [holder, amount] : this->reserved) {
    holder->localWork += amount;
  }
  if (this->nextChain || this->MayHandOver()) {
    return false;
  }
  if (!this->silentSince) {
    this->silentSince = now;
    // Whether it has crashed is checked although the run is not given up.
    this->SuspectCrash();
  }
  return true;
}

bool StreamExchange::IsStranded() const {
  const Instant now = this->Now();
  return this->call && this->headSent &&
         std::any_of(
             this->chain.begin(), this->chain.end(),
             [&](const PoolHop& aHop) { return this->HasDeparted(aHop, now); });
}

WaitCause StreamExchange::CauseOfWait() const {
  if (this->isReadingPaused) {
    return WaitCause::Caller;
  }
  if (this->isRepairing) {
    return WaitCause::Repair;
  }
  if (this->blockedSince) {
    return WaitCause::Block;
  }
  if (this->retryDenial == WaitCause::Attempt) {
    return WaitCause::Attempt;
  }
  if (this->isWaiting || this->silentSince) {
    const bool isFound = this->searches.last != SearchOutcome::NotFound;
    return isFound && this->retryDenial ? *this->retryDenial : WaitCause::Chain;
  }
  if (this->call && this->isReading) {
    return WaitCause::Reading;
  }
  return this->isRepairRejected ? WaitCause::RepairBackoff : WaitCause::Run;
}

StreamWait StreamExchange::WaitState() const {
  return {this->CauseOfWait(), this->searches};
}

void StreamExchange::LoseRun(const char* aReason) {
  if (this->call) {
    this->runs += 1;
    this->OnRunLost(aReason);
  }
  this->CancelCall();
  this->Release();
  this->pendingEvents.clear();
}

void StreamExchange::Resume(const char* aReason) {
  const bool mayResume = this->CanResume();
  if (!mayResume) {
    this->retryDenial = WaitCause::Attempt;
  }
  if (mayResume && this->IsStranded()) {
    this->LoseRun(aReason);  // So that its chain counts as free in the search.
  } else if (mayResume && this->KeepsSilentRun()) {
    return;
  }
  const bool hasRetry = mayResume && (this->call || this->CanBeginRun()) &&
                        this->TryAcquireRetry(this->ReservedRetries());
  if (this->call && !hasRetry) {
    this->nextChain.reset();
    if (mayResume && !this->silentSince) {
      this->silentSince = this->Now();
    }
    return;  // A stalled stream may continue by itself.
  }
  this->LoseRun(aReason);
  if (!mayResume || (!hasRetry && !this->headSent)) {
    this->Fail(aReason);
    return;
  }
  LogInfo("stream_resumed",
          {{"request", this->request.info.id},
           {"reason", aReason},
           {"left", this->upstream->Entry().id},
           {"after_event", this->splitter.LastId().value_or(0)}});
  this->context.metrics.Count("zincstep_streams_resumed_total");
  this->splitter.BeginRun();
  hasRetry ? this->TryChain() : this->WaitForRetry();
}

}  // namespace zincstep
