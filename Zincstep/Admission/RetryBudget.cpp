#include "Zincstep/Admission/RetryBudget.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;

}  // namespace

void RetryBudget::OnRequest() {
  this->available = std::min(this->settings.capacity,
                             this->available + this->settings.perRequest);
}

bool RetryBudget::TryAcquireRetry() {
  if (this->available < 1) {
    return false;
  }
  this->available -= 1;
  return true;
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
