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

/// This daemon's position among the daemons that share a limit on retries.
struct RetryParticipant {
  /// Number of daemons, this one included.
  std::size_t daemons = 1;
  /// Number of daemons before this one, in an order common to all of them.
  std::size_t rank = 0;
};

/// Returns one daemon's budget capacity, as its share of `aSlack` retries for
/// all daemons.
///
/// A share below one retry would never allow any. If there are more daemons
/// than retries, the first daemons by rank get one retry each and the others
/// none.
double RetryShare(double aSlack, RetryParticipant aParticipant);

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
  /// Takes one retry from the budget. Returns false if less than one retry is
  /// left above the reserve for more important work: `aReserved` times the
  /// capacity, rounded down to whole retries.
  bool TryAcquireRetry(double aReserved = 0);
  /// Sets the maximum budget, which changes with the number of daemons that
  /// share the limit.
  void SetCapacity(double aCapacity);
  /// Retries in the budget.
  double Available() const { return this->available; }
  /// Delay before retry number `aRetry`, from 1: exponential backoff with full
  /// jitter.
  Micros Backoff(int aRetry, Random& aRandom) const;

 private:
  RetryBudgetSettings settings;
  double available;
};

}  // namespace zincstep
