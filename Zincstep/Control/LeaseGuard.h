#pragma once

#include <cstdint>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of a lease guard.
struct LeaseGuardSettings {
  Micros ttl = 9s;
  /// Time before the lapse in which nothing is done any more: longer than
  /// the pauses and clock drift that are expected between the check and
  /// the arrival of what was sent.
  Micros margin = 3s;
};

/// Says whether a holder may still act under its lease.
///
/// The service counts the life of a lease from when it handled the
/// renewal; the guard counts from when the renewal was sent, which is
/// earlier, on the monotonic clock. So the guard's lapse never comes after
/// the service's, however long the answer took or the process was paused.
class LeaseGuard {
 public:
  explicit LeaseGuard(LeaseGuardSettings aSettings) : settings(aSettings) {}

  /// The duty was taken by a write that was sent at `aSentAt`.
  void OnLeaseAcquired(std::uint64_t aFence, Instant aSentAt) {
    this->fence = aFence;
    this->validUntil = aSentAt + this->settings.ttl;
    this->held = true;
  }

  /// A renewal that was sent at `aSentAt` has been answered.
  void OnRenewed(Instant aSentAt) {
    // A lapsed lease is not revived: somebody else may have the duty.
    if (this->held) {
      this->validUntil = aSentAt + this->settings.ttl;
    }
  }

  /// The duty is lost, or given up.
  void OnLeaseLost() { this->held = false; }

  /// Whether an order may be sent now. Ask before each one.
  bool MayIssueOrders(Instant aNow) const {
    return this->held && aNow < this->validUntil - this->settings.margin;
  }
  /// Whether the lease has not lapsed by this daemon's clock.
  bool IsHeld(Instant aNow) const {
    return this->held && aNow < this->validUntil;
  }
  /// Rises with each holder; goes with each order.
  std::uint64_t Fence() const { return this->fence; }
  /// When to renew: after a third of the life.
  Instant RenewAt() const {
    return this->validUntil - 2 * this->settings.ttl / 3;
  }

 private:
  LeaseGuardSettings settings;
  bool held = false;
  std::uint64_t fence = 0;
  Instant validUntil;
};

}  // namespace zincstep
