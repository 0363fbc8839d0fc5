#include "Zincstep/Relay/StopPolicy.h"

namespace zincstep {

bool StopPolicy::Accepts(bool aIsStream, Instant aNow) const {
  if (!this->begunAt) {
    return true;
  }
  const Micros needed =
      aIsStream ? this->settings.maxStreamTime : this->settings.maxServiceTime;
  return aNow + needed <= this->EndOfRequests();
}

bool StopPolicy::MustEndRequests(Instant aNow) const {
  return this->begunAt && aNow >= this->EndOfRequests();
}

bool StopPolicy::ShouldCloseIdle(Instant aNow) const {
  return this->begunAt &&
         aNow - *this->begunAt >= this->settings.balancerRemovalDelay;
}

bool StopPolicy::CanExit(std::size_t aActive, Instant aNow) const {
  if (!this->begunAt) {
    return false;
  }
  return this->MustEndRequests(aNow) ||
         (aActive == 0 &&
          aNow - *this->begunAt >= this->settings.balancerRemovalDelay);
}

}  // namespace zincstep
