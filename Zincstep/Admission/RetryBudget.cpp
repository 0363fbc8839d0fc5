#include "Zincstep/Admission/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;
/// Minimum number of daemons that the slack is divided by: a daemon that knows
/// of no other may be partitioned from them.
constexpr std::size_t kMinDaemons = 8;
/// Fraction of the slack that is used, since daemons may not know of every
/// new daemon yet.
constexpr double kUsableSlack = 0.8;

}  // namespace

double RetryShare(double aSlack, RetryParticipant aParticipant) {
  const double usableSlack = aSlack * kUsableSlack;
  const auto daemons =
      static_cast<double>(std::max(aParticipant.daemons, kMinDaemons));
  if (usableSlack >= daemons) {
    return usableSlack / daemons;
  }
  return static_cast<double>(aParticipant.rank + 1) <= usableSlack ? 1 : 0;
}

void RetryBudget::OnRequest() {
  this->available = std::min(this->settings.capacity,
                             this->available + this->settings.perRequest);
}

bool RetryBudget::TryAcquireRetry(double aReserved) {
  if (this->available < 1 + std::floor(aReserved * this->settings.capacity)) {
    return false;
  }
  this->available -= 1;
  return true;
}

void RetryBudget::SetCapacity(double aCapacity) {
  this->settings.capacity = aCapacity;
  this->available = std::min(this->available, aCapacity);
}

Micros RetryBudget::Backoff(int aRetry, Random& aRandom) const {
  const int doublings = std::clamp(aRetry - 1, 0, kMaxDoublings);
  const Micros limit =
      std::min(this->settings.initialBackoff * (1 << doublings),
               this->settings.maxBackoff);
  return Micros{static_cast<std::int64_t>(aRandom.Unit() *
                                          static_cast<double>(limit.count()))};
}

}  // namespace zincstep
