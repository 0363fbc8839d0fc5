#include "Zincstep/Pool/LiveUpstream.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Initial time without new work; about the time after which the entry of a
/// dead incarnation expires.
constexpr Micros kInitialSuspicion = 2s;
constexpr Micros kMaxSuspicion = 16s;
constexpr int kMaxDoublings = 3;
/// Consecutive refusals after which an upstream counts as refusing: memory may
/// run short for a single one.
constexpr int kRefusalThreshold = 3;
/// A refusing upstream is tried again after this time; the entry of a leaving
/// one is removed by then.
constexpr Micros kRefusalBackoff = 1500ms;
/// Maximum age of a slowdown; a slow upstream is probed every second.
constexpr Micros kSlowdownMaxAge = 2500ms;
/// Slowdown from which an upstream counts as slow: at twice the time it is
/// better to process a prompt again elsewhere.
constexpr double kSlowThreshold = 2;
/// Upper bound of the wait for a call.
constexpr Micros kMaxCallWait = 5s;
/// Maximum age of a domain's report on its work: three report intervals.
constexpr Micros kDomainWorkMaxAge = 3s;
/// Time for a suspected upstream to respond before its layers are placed
/// elsewhere.
constexpr Micros kSuspicionConfirmDelay = 160ms;

}  // namespace

void LiveUpstream::SetEntry(UpstreamEntry aEntry, Instant aNow) {
  this->entry = std::move(aEntry);
  if (this->isLeaving) {
    this->entry.state = Availability::Draining;
  }
  if (this->IsDraining()) {
    this->leavingSince = this->leavingSince.value_or(aNow);
  }
}

void LiveUpstream::SetLeaving(Instant aNow) {
  this->isLeaving = true;
  this->entry.state = Availability::Draining;
  this->leavingSince = this->leavingSince.value_or(aNow);
}

void LiveUpstream::SetDeregistered(Instant aNow) {
  this->isDeregistered = true;
  this->leavingSince = this->leavingSince.value_or(aNow);
}

void LiveUpstream::SetCallRate(double aPerSecond, Instant aNow) {
  if (!this->callShare) {
    this->callShare.emplace();
  }
  this->callShare->SetRate(aPerSecond, aNow);
}

void LiveUpstream::OnCall(Instant aNow) {
  if (this->callShare) {
    this->callShare->Spend(aNow);
  }
}

Micros LiveUpstream::CallWait(Instant aNow) const {
  const Micros backoff = std::max(Micros{0}, this->backoffUntil - aNow);
  const Micros share =
      this->callShare ? this->callShare->Wait(aNow, kMaxCallWait) : Micros{0};
  return std::max(backoff, share);
}

void LiveUpstream::Suspect(Instant aNow) {
  if (this->IsSuspect(aNow)) {
    return;
  }
  const int doublings = std::min(this->suspicions, kMaxDoublings);
  this->suspectUntil =
      aNow + std::min(kInitialSuspicion * (1 << doublings), kMaxSuspicion);
  this->suspicions += 1;
  this->loss.OnLoss(this->Work(), aNow);
  this->suspectedAt = aNow;
}

void LiveUpstream::OnResponse(Instant aNow) {
  this->isSucceeded = false;
  this->lastResponseAt = std::max(this->lastResponseAt, aNow);
  if (aNow > this->suspectedAt) {
    this->ClearSuspicion();
  }
}

bool LiveUpstream::IsNewlySuspect(Instant aNow) const {
  return this->IsSuspect(aNow) &&
         aNow - this->suspectedAt < kSuspicionConfirmDelay;
}

double LiveUpstream::Slowdown(Instant aNow) const {
  return aNow - this->slowdownAt < kSlowdownMaxAge ? this->slowdown : 1;
}

bool LiveUpstream::IsSlow(Instant aNow) const {
  return this->Slowdown(aNow) >= kSlowThreshold;
}

void LiveUpstream::OnRefusal(Instant aNow) {
  this->refusals += 1;
  if (this->refusals >= kRefusalThreshold) {
    this->refusingUntil = aNow + kRefusalBackoff;
    // After the backoff the same number of refusals is required again.
    this->refusals = 0;
  }
}

double LiveUpstream::WorkForPlacement(Instant aNow) const {
  const bool isReported = this->domainWorkAt != Instant{} &&
                          aNow - this->domainWorkAt < kDomainWorkMaxAge;
  return std::max(this->Work(), isReported ? this->domainWork : 0);
}

void LiveUpstream::AddRemoteWork(double aWork) {
  this->remoteWork += aWork;
  this->remoteDaemons += 1;
}

void LiveUpstream::RemoveRemoteWork(double aWork) {
  ZINCSTEP_ASSERT(this->remoteDaemons > 0);
  this->remoteDaemons -= 1;
  // Sums of fractions leave a rounding error; without remote work the sum is
  // exactly 0.
  this->remoteWork =
      this->remoteDaemons == 0 ? 0 : std::max(0.0, this->remoteWork - aWork);
}

}  // namespace zincstep
