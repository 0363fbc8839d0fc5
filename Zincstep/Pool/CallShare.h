#pragma once

#include <algorithm>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// This daemon's share of an upstream's call limit.
///
/// A token bucket that starts empty and holds at most one call, because in the
/// worst case the calls that several daemons have accumulated arrive at the
/// same instant.
class CallShare {
 public:
  /// Changes the rate, in calls per second; accumulated or overspent calls are
  /// kept.
  void SetRate(double aPerSecond, Instant aNow) {
    this->tokens = this->Available(aNow);
    this->perSecond = aPerSecond;
    this->updatedAt = aNow;
  }
  bool HasCall(Instant aNow) const { return this->Available(aNow) >= 1; }
  /// Whether a call has been available and unused for at least `kOverdueDelay`.
  bool IsOverdue(Instant aNow) const {
    return this->HasCall(aNow) && aNow - this->spentAt >= kOverdueDelay;
  }
  /// Consumes one call; the balance may become negative for calls that cannot
  /// wait.
  void Spend(Instant aNow) {
    this->spentAt = aNow;
    this->tokens = this->Available(aNow) - 1;
    this->updatedAt = aNow;
  }
  /// Time until the next call is available, at most `aMaxWait`.
  Micros Wait(Instant aNow, Micros aMaxWait) const {
    const double missing = std::max(0.0, 1 - this->Available(aNow));
    if (missing > ToSeconds(aMaxWait) * this->perSecond) {
      return aMaxWait;
    }
    return missing > 0 ? FromSeconds(missing / this->perSecond) : Micros{0};
  }

 private:
  static constexpr double kCapacity = 1;
  /// Without any call, the end of an upstream's limit would go unnoticed.
  static constexpr Micros kOverdueDelay = 2s;

  double Available(Instant aNow) const {
    return std::min(
        kCapacity,
        this->tokens + ToSeconds(aNow - this->updatedAt) * this->perSecond);
  }

  double perSecond = 0;
  double tokens = 0;
  Instant updatedAt{};
  Instant spentAt{};
};

}  // namespace zincstep
