#include "Zincstep/Pool/LiveUpstream.h"

#include <algorithm>

namespace zincstep {

namespace {

/// First time without new work; about the silence after which an entry of
/// a dead incarnation leaves the list.
constexpr Micros kFirstSuspicion = 2s;
constexpr Micros kLongestSuspicion = 16s;
constexpr int kMostDoublings = 3;
/// Refusals in a row that are no accident: memory may run short once.
constexpr int kRefusalsInARow = 3;
/// An upstream that refuses is tried again after this; one that leaves is
/// off the list by then.
constexpr Micros kRefusingTime = 1500ms;
/// What an upstream told of its pace counts for so long; while it is slow it
/// is asked each second.
constexpr Micros kPaceLife = 2500ms;
/// From this pace on an upstream is slow: work that doubles its time is worth
/// reading a prompt again elsewhere.
constexpr double kSlowPace = 2;
/// Longest time that anybody is told to wait for a call.
constexpr Micros kLongestCallWait = 5s;
/// Time for a suspected upstream to prove that it lives, before its layers
/// are placed elsewhere.
constexpr Micros kSuspicionConfirmed = 160ms;

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
  const Micros rest = std::max(Micros{0}, this->backoffUntil - aNow);
  const Micros share = this->callShare
                           ? this->callShare->Wait(aNow, kLongestCallWait)
                           : Micros{0};
  return std::max(rest, share);
}

void LiveUpstream::Suspect(Instant aNow) {
  if (this->IsSuspect(aNow)) {
    return;
  }
  const int doublings = std::min(this->suspicions, kMostDoublings);
  this->suspectUntil =
      aNow + std::min(kFirstSuspicion * (1 << doublings), kLongestSuspicion);
  this->suspicions += 1;
  this->suspectedAt = aNow;
}

void LiveUpstream::OnResponse(Instant aNow) {
  this->answeredAt = std::max(this->answeredAt, aNow);
  if (aNow > this->suspectedAt) {
    this->ClearSuspicion();
  }
}

bool LiveUpstream::IsNewlySuspect(Instant aNow) const {
  return this->IsSuspect(aNow) &&
         aNow - this->suspectedAt < kSuspicionConfirmed;
}

double LiveUpstream::Slowdown(Instant aNow) const {
  return aNow - this->slowdownAt < kPaceLife ? this->pace : 1;
}

bool LiveUpstream::IsSlow(Instant aNow) const {
  return this->Slowdown(aNow) >= kSlowPace;
}

void LiveUpstream::OnRefusal(Instant aNow) {
  this->refusals += 1;
  if (this->refusals >= kRefusalsInARow) {
    this->refusingUntil = aNow + kRefusingTime;
    // Once it is tried again, it takes as many to find it refusing anew.
    this->refusals = 0;
  }
}

void LiveUpstream::AddRemoteWork(double aWork) {
  this->remoteWork += aWork;
  this->remoteDaemons += 1;
}

void LiveUpstream::RemoveRemoteWork(double aWork) {
  ZINCSTEP_ASSERT(this->remoteDaemons > 0);
  this->remoteDaemons -= 1;
  // Sums of fractions leave a rest: where nobody has work there is none.
  this->remoteWork =
      this->remoteDaemons == 0 ? 0 : std::max(0.0, this->remoteWork - aWork);
}

}  // namespace zincstep
