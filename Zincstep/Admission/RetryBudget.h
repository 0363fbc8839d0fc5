#pragma once

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of a retry budget.
struct RetryBudgetSettings {
  /// Retries that each request adds to the budget.
  double perRequest = 0.08;
  /// Maximum budget, in retries.
  double capacity = 10;
  /// Upper bound of the random delay before the first retry; doubles with each
  /// further one.
  Micros initialBackoff = 20ms;
  /// Maximum delay before a retry.
  Micros maxBackoff = 1s;
};

/// Limits retries to a fraction of the requests.
///
/// Each request adds `perRequest` to the budget and each retry takes 1 from it,
/// so that in the long run attempts stay below (1 + `perRequest`) times the
/// requests, and an outage doesn't multiply the load.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings aSettings)
      : settings(aSettings), available(aSettings.capacity) {}

  /// Adds to the budget for the first attempt of a request.
  void OnRequest();
  /// Takes one retry from the budget. Returns false if less than one is left.
  bool TryAcquireRetry();
  /// Delay before retry number `aRetry`, from 1: exponential backoff with full
  /// jitter.
  Micros Backoff(int aRetry, Random& aRandom) const;

 private:
  RetryBudgetSettings settings;
  double available;
};

}  // namespace zincstep
