#pragma once

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of a retry budget.
struct RetryBudgetSettings {
  /// Retries that each first try pays for.
  double perRequest = 0.08;
  /// Retries that may be saved up.
  double most = 10;
  Micros firstPause = 20ms;
  Micros longestPause = 1s;
};

/// One of several daemons that divide a bound on retries among them.
struct RetryParticipant {
  /// How many there are.
  std::size_t daemons = 1;
  /// How many come before this one, in an order that all of them agree on.
  std::size_t place = 0;
};

/// Retries that a daemon may save up of `aSlack`, which is for all of them.
///
/// Where there are more daemons than retries a part of one would be none: the
/// first of them have a whole one.
double RetryShare(double aSlack, RetryParticipant aSharer);

/// Bounds retries to a share of first tries, whatever goes wrong.
///
/// Each first try puts a part of a retry into the budget and each retry
/// takes a whole one, so that attempts cannot pass (1 + share) times the
/// requests for long, and an outage cannot multiply the load.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings aSettings)
      : settings(aSettings), saved(aSettings.most) {}

  /// A request is tried for the first time.
  void OnRequest();
  /// Takes one retry out of the budget; false where there is none beyond
  /// `aKept`, a share of the most, which is left for work that matters more, in
  /// whole retries.
  bool TryAcquireRetry(double aKept = 0);
  /// Sets how many retries may be saved up, as a share of a common bound
  /// changes with the number of those who share it.
  void SetCapacity(double aMost);
  /// Retries that are saved up now.
  double Saved() const { return this->saved; }
  /// Pause before retry number `aRetry`, from 1: full jitter.
  Micros Pause(int aRetry, Random& aRandom) const;

 private:
  RetryBudgetSettings settings;
  double saved;
};

}  // namespace zincstep
