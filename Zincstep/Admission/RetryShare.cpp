#include "Zincstep/Admission/RetryShare.h"

#include <algorithm>

namespace zincstep {

namespace {

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

double RetryShareHistory::Update(double aShare, Instant aNow) {
  while (!this->rising.empty() && this->rising.back().share >= aShare) {
    this->rising.pop_back();
  }
  this->rising.push_back({aShare, aNow});
  while (aNow - this->rising.front().at > this->window) {
    this->rising.pop_front();
  }
  return this->rising.front().share;
}

}  // namespace zincstep
