#pragma once

#include <algorithm>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// This daemon's part of the calls that an upstream takes from all daemons.
///
/// A bucket that is empty at first and holds one call at the most: what several
/// daemons save up comes at one instant in the worst case.
class CallShare {
 public:
  /// Changes the rate; what has been saved up or overspent so far stays.
  void SetRate(double aPerSecond, Instant aNow) {
    this->tokens = this->Left(aNow);
    this->perSecond = aPerSecond;
    this->at = aNow;
  }
  bool HasCall(Instant aNow) const { return this->Left(aNow) >= 1; }
  /// Whether there has been a call for so long that nobody made.
  bool IsOverdue(Instant aNow) const {
    return this->HasCall(aNow) && aNow - this->spentAt >= kOverdue;
  }
  /// A call is made; one that cannot wait may overspend.
  void Spend(Instant aNow) {
    this->spentAt = aNow;
    this->tokens = this->Left(aNow) - 1;
    this->at = aNow;
  }
  /// Time until the next call; `aLongest` where there is none before.
  Micros Wait(Instant aNow, Micros aLongest) const {
    const double missing = std::max(0.0, 1 - this->Left(aNow));
    if (missing > ToSeconds(aLongest) * this->perSecond) {
      return aLongest;
    }
    return missing > 0 ? FromSeconds(missing / this->perSecond) : Micros{0};
  }

 private:
  static constexpr double kMost = 1;
  /// Whoever is not called cannot tell that its limit has ended.
  static constexpr Micros kOverdue = 2s;

  double Left(Instant aNow) const {
    return std::min(
        kMost, this->tokens + ToSeconds(aNow - this->at) * this->perSecond);
  }

  double perSecond = 0;
  double tokens = 0;
  Instant at{};
  Instant spentAt{};
};

}  // namespace zincstep
