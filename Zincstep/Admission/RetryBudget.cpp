#include "Zincstep/Admission/RetryBudget.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;

}  // namespace

void RetryBudget::OnRequest() {
  this->saved =
      std::min(this->settings.most, this->saved + this->settings.perRequest);
}

bool RetryBudget::TakeRetry(double aKept) {
  if (this->saved < 1 + aKept * this->settings.most) {
    return false;
  }
  this->saved -= 1;
  return true;
}

void RetryBudget::SetMost(double aMost) {
  this->settings.most = aMost;
  this->saved = std::min(this->saved, aMost);
}

Micros RetryBudget::Pause(int aRetry, Random& aRandom) const {
  const int doublings = std::clamp(aRetry - 1, 0, kMaxDoublings);
  const Micros most = std::min(this->settings.firstPause * (1 << doublings),
                               this->settings.longestPause);
  return Micros{static_cast<std::int64_t>(aRandom.Unit() *
                                          static_cast<double>(most.count()))};
}

}  // namespace zincstep
