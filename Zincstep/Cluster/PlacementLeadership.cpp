/// \file
/// How a daemon acquires, keeps and gives up the placement leadership.

#include "Zincstep/Cluster/PlacementController.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Interval between attempts to acquire a free leadership, so that daemons that
/// see it free at the same time do not keep requesting leases.
constexpr Micros kAcquireInterval = 500ms;

}  // namespace

void PlacementController::OnLeaderChanged(const std::string& aName) {
  this->leader = aName;
  if (!aName.empty()) {
    this->leaderlessSince.reset();
  } else if (!this->leaderlessSince) {
    this->leaderlessSince = this->clock.Now();
  }
}

Micros PlacementController::LeaderlessTime() const {
  return this->leaderlessSince ? this->clock.Now() - *this->leaderlessSince
                               : Micros{0};
}

void PlacementController::Stop() {
  this->isStopping = true;
  if (this->guard.IsHeld(this->clock.Now())) {
    this->EndLease("the daemon stops");
  }
}

void PlacementController::EndLease(const char* aReason) {
  this->guard.OnLeaseLost();
  this->store.End(this->lease, [aReason](const Result<bool>& aEnded) {
    LogInfo("placement_duty_given_up",
            {{"told", aEnded.has_value()}, {"reason", aReason}});
  });
}

void PlacementController::OnRestored() {
  const Instant now = this->clock.Now();
  if (this->guard.IsHeld(now)) {
    LogWarning("placement_duty_lost", {{"reason", "the store was restored"}});
  }
  this->guard.OnLeaseLost();
  this->orders.Clear();
  this->leader.clear();
  this->nextAttemptAt = now + this->settings.lease.ttl;
}

void PlacementController::AcquireLeadership() {
  const Instant sentAt = this->clock.Now();
  const bool isExcluded = this->mayCampaign && !this->mayCampaign();
  if (this->isStoreCallPending || isExcluded || sentAt < this->nextAttemptAt) {
    return;
  }
  this->isStoreCallPending = true;
  this->nextAttemptAt = sentAt + kAcquireInterval;
  this->store.Grant(
      this->settings.lease.ttl, [this, sentAt](Result<std::uint64_t> aLease) {
        if (!aLease) {
          this->isStoreCallPending = false;
          return;
        }
        this->lease = *aLease;
        StoreChange acquire;
        acquire.key = this->settings.key;
        acquire.value = this->settings.name;
        acquire.lease = this->lease;
        this->store.Commit(
            acquire, [this, sentAt](Result<StoreCommit> aAcquired) {
              this->isStoreCallPending = false;
              if (aAcquired && aAcquired->done) {
                this->fence = aAcquired->revision;
                this->guard.OnLeaseAcquired(this->fence.number, sentAt);
                this->orders.Clear();
                LogInfo("placement_duty_taken", {{"fence", this->fence.number},
                                                 {"era", this->fence.era}});
              } else if (aAcquired && aAcquired->present) {
                this->leader = aAcquired->present->value;
              }
            });
      });
}

void PlacementController::RenewLeadership() {
  if (this->isStoreCallPending) {
    return;
  }
  this->isStoreCallPending = true;
  const Instant sentAt = this->clock.Now();
  this->store.Renew(this->lease, [this, sentAt](Result<bool> aRenewed) {
    this->isStoreCallPending = false;
    if (aRenewed) {
      this->guard.OnRenewed(sentAt);
    } else if (aRenewed.error().kind == ErrorKind::LeaseLost) {
      this->guard.OnLeaseLost();
      this->leader.clear();
      LogWarning("placement_duty_lost", {});
    }
  });
}

}  // namespace zincstep
