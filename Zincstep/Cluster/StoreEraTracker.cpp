#include "Zincstep/Cluster/StoreEraTracker.h"

namespace zincstep {

void StoreEraTracker::Update(std::uint64_t aEra) {
  if (this->current && aEra <= *this->current) {
    return;
  }
  const std::optional<std::uint64_t> previous = this->current;
  this->current = aEra;
  if (previous && this->onRestored) {
    this->onRestored(*previous, aEra);
  }
}

bool StoreEraTracker::Accepts(std::optional<std::uint64_t> aRequestEra,
                              std::uint64_t aResponseEra) {
  this->Update(aResponseEra);
  const bool isRequestCurrent = !aRequestEra || *aRequestEra == *this->current;
  return isRequestCurrent && aResponseEra == *this->current;
}

}  // namespace zincstep
