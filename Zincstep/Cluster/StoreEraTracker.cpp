#include "Zincstep/Cluster/StoreEraTracker.h"

namespace zincstep {

void StoreEraTracker::Note(std::uint64_t aEra) {
  if (this->present && aEra <= *this->present) {
    return;
  }
  const std::optional<std::uint64_t> before = this->present;
  this->present = aEra;
  if (before && this->onRestored) {
    this->onRestored(*before, aEra);
  }
}

bool StoreEraTracker::Accepts(std::optional<std::uint64_t> aAsked,
                              std::uint64_t aAnswered) {
  this->Note(aAnswered);
  const bool isAskedNow = !aAsked || *aAsked == *this->present;
  return isAskedNow && aAnswered == *this->present;
}

}  // namespace zincstep
