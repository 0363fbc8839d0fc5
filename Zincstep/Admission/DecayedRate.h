#pragma once

#include <cmath>
#include <optional>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Rate of a quantity per second, averaged with exponential decay.
class DecayedRate {
 public:
  /// `aWindow` is the time constant of the decay.
  explicit DecayedRate(Micros aWindow) : window(ToSeconds(aWindow)) {}

  /// Adds an amount that arrived at `aNow`.
  void Add(double aAmount, Instant aNow) {
    if (!this->firstAt) {
      this->firstAt = aNow;
      this->decayedAt = aNow;
    }
    this->amount = this->AmountAt(aNow) + aAmount;
    this->decayedAt = aNow;
  }
  /// Returns the rate, which is too low until a window has passed since the
  /// first amount.
  double Decayed(Instant aNow) const {
    return this->AmountAt(aNow) / this->window;
  }
  /// Returns the rate since the first amount; 0 before it. Not for amounts that
  /// arrive rarely, of which the first one counts several times.
  double PerSecond(Instant aNow) const {
    if (!this->firstAt) {
      return 0;
    }
    // The first amounts weigh too little in a window that has just begun. A
    // single amount is taken as the work of at least a third of the window.
    const double observed =
        std::max(ToSeconds(aNow - *this->firstAt) / this->window, 1.0 / 3);
    return this->AmountAt(aNow) / (this->window * (1 - std::exp(-observed)));
  }

 private:
  double AmountAt(Instant aNow) const {
    return this->amount *
           std::exp(-ToSeconds(aNow - this->decayedAt) / this->window);
  }

  double window;
  std::optional<Instant> firstAt;
  double amount = 0;
  Instant decayedAt{};
};

}  // namespace zincstep
