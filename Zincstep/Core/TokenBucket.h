#pragma once

#include <algorithm>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// Token bucket that is refilled at a constant rate up to its capacity;
/// initially full.
///
/// The balance may become negative, for costs that are known only afterwards.
class TokenBucket {
 public:
  TokenBucket(double aPerSecond, double aCapacity)
      : perSecond(aPerSecond), capacity(aCapacity), tokens(aCapacity) {}

  /// Returns the balance at `aNow`, which must not decrease between calls.
  double At(Instant aNow) {
    this->tokens = std::min(
        this->capacity,
        this->tokens + ToSeconds(aNow - this->lastRefillAt) * this->perSecond);
    this->lastRefillAt = aNow;
    return this->tokens;
  }
  /// Subtracts `aTokens` from the balance.
  void Spend(double aTokens) { this->tokens -= aTokens; }

 private:
  double perSecond;
  double capacity;
  double tokens;
  Instant lastRefillAt{};
};

}  // namespace zincstep
