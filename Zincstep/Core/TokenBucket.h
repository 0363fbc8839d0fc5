#pragma once

#include <algorithm>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// What may be spent: refilled at a rate, up to a most, and full at first.
///
/// A spender may go below zero where it learns late what a thing costs.
class TokenBucket {
 public:
  TokenBucket(double aPerSecond, double aMost)
      : perSecond(aPerSecond), most(aMost), tokens(aMost) {}

  /// What is there at `aNow`, which must not go back.
  double At(Instant aNow) {
    this->tokens =
        std::min(this->most,
                 this->tokens + ToSeconds(aNow - this->at) * this->perSecond);
    this->at = aNow;
    return this->tokens;
  }
  void Spend(double aTokens) { this->tokens -= aTokens; }

 private:
  double perSecond;
  double most;
  double tokens;
  Instant at{};
};

}  // namespace zincstep
