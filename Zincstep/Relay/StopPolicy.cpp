#include "Zincstep/Relay/StopPolicy.h"

namespace zincstep {

bool StopPolicy::Accepts(bool aIsStream, Instant aNow) const {
  if (!this->begunAt) {
    return true;
  }
  const Micros needed =
      aIsStream ? this->settings.maxStreamTime : this->settings.maxServiceTime;
  const Instant end =
      *this->begunAt + this->settings.gracePeriod - this->settings.killMargin;
  return aNow + needed <= end;
}

bool StopPolicy::ShouldCloseIdle(Instant aNow) const {
  return this->begunAt &&
         aNow - *this->begunAt >= this->settings.balancerRemovalDelay;
}

bool StopPolicy::CanExit(std::size_t aActive, Instant aNow) const {
  if (!this->begunAt) {
    return false;
  }
  const Micros stopping = aNow - *this->begunAt;
  if (stopping >= this->settings.gracePeriod - this->settings.killMargin) {
    return true;
  }
  return aActive == 0 && stopping >= this->settings.balancerRemovalDelay;
}

}  // namespace zincstep
