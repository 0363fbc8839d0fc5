#pragma once

#include <cstdint>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of a lease guard.
struct LeaseGuardSettings {
  Micros ttl = 9s;
  /// Time before the expiry in which no orders are issued: longer than the
  /// pauses and clock drift expected between the check and the arrival of an
  /// order.
  Micros margin = 3s;
};

/// Tells a leader whether it may still act under its lease.
///
/// The service counts the TTL of a lease from when it handled the renewal. The
/// guard counts from when the renewal was sent, which is earlier, on the
/// monotonic clock. So the guard never expires after the service's lease,
/// however long the response took or the process was paused.
class LeaseGuard {
 public:
  explicit LeaseGuard(LeaseGuardSettings aSettings) : settings(aSettings) {}

  /// Records that the lease was acquired by a write sent at `aSentAt`.
  void OnLeaseAcquired(std::uint64_t aFence, Instant aSentAt) {
    this->fence = aFence;
    this->validUntil = aSentAt + this->settings.ttl;
    this->isAcquired = true;
  }

  /// Records that a renewal sent at `aSentAt` succeeded.
  void OnRenewed(Instant aSentAt) {
    // An expired lease is not revived: another daemon may be the leader.
    if (this->isAcquired) {
      this->validUntil = aSentAt + this->settings.ttl;
    }
  }

  /// Records that the lease was lost or given up.
  void OnLeaseLost() { this->isAcquired = false; }

  /// Whether an order may be sent now. Must be called before each order.
  bool MayIssueOrders(Instant aNow) const {
    return this->isAcquired && aNow < this->validUntil - this->settings.margin;
  }
  /// Whether the lease has not expired by this daemon's clock.
  bool IsHeld(Instant aNow) const {
    return this->isAcquired && aNow < this->validUntil;
  }
  /// Rises with each leader; sent with each order.
  std::uint64_t Fence() const { return this->fence; }
  /// Time of the next renewal, after a third of the TTL.
  Instant RenewAt() const {
    return this->validUntil - 2 * this->settings.ttl / 3;
  }

 private:
  LeaseGuardSettings settings;
  bool isAcquired = false;
  std::uint64_t fence = 0;
  Instant validUntil;
};

}  // namespace zincstep
