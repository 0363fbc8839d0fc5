#include "Zincstep/Admission/RetryWindow.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

bool RetryWindow::TryAcquireRetry(Instant aNow, double aReserved) {
  const double reserved = std::floor(aReserved * this->settings.burst);
  if (this->Available(aNow) < 1 + reserved) {
    return false;
  }
  this->retries.Add(aNow);
  return true;
}

double RetryWindow::Available(Instant aNow) const {
  const double burst =
      aNow >= this->settings.burstFrom ? this->settings.burst : 0;
  const double earned =
      this->settings.perRequest * this->requests.CountWithinWindow(aNow);
  return std::max(burst + earned - this->retries.CountAtLeastWindow(aNow), 0.0);
}

}  // namespace zincstep
