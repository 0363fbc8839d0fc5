#include "Zincstep/Admission/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;
/// Fewest daemons that the slack is divided by: one that knows of no other may
/// be cut off from them.
constexpr std::size_t kFewestDaemons = 8;
/// Part of the slack that is used, as daemons may not know of each newcomer
/// yet.
constexpr double kSlackUsed = 0.8;

}  // namespace

double RetryShare(double aSlack, RetryParticipant aSharer) {
  const double used = aSlack * kSlackUsed;
  const auto daemons =
      static_cast<double>(std::max(aSharer.daemons, kFewestDaemons));
  if (used >= daemons) {
    return used / daemons;
  }
  return static_cast<double>(aSharer.place + 1) <= used ? 1 : 0;
}

void RetryBudget::OnRequest() {
  this->saved =
      std::min(this->settings.most, this->saved + this->settings.perRequest);
}

bool RetryBudget::TryAcquireRetry(double aKept) {
  if (this->saved < 1 + std::floor(aKept * this->settings.most)) {
    return false;
  }
  this->saved -= 1;
  return true;
}

void RetryBudget::SetCapacity(double aMost) {
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
