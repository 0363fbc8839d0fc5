#include "Zincstep/Sequence/StepFilter.h"

namespace zincstep {

bool StepFilter::CoversAllLayers(const TokenEvent& aEvent) const {
  int nextLayer = 0;
  for (const StageReport& stage : aEvent.stages) {
    if (stage.layers.first != nextLayer || stage.layers.Size() <= 0) {
      return false;
    }
    nextLayer = stage.layers.last;
  }
  return nextLayer == this->layers;
}

StepVerdict StepFilter::Check(const TokenEvent& aEvent) const {
  if (aEvent.request != this->request) {
    return StepVerdict::OtherRequest;
  }
  if (!this->isOpen || aEvent.attempt != this->attempt) {
    return StepVerdict::Stale;
  }
  if (aEvent.position < this->nextPosition) {
    return StepVerdict::Duplicate;
  }
  if (aEvent.position > this->nextPosition) {
    return StepVerdict::OutOfOrder;
  }
  if (!this->CoversAllLayers(aEvent)) {
    return StepVerdict::InvalidLayers;
  }
  return StepVerdict::Accepted;
}

StepVerdict StepFilter::Apply(const TokenEvent& aEvent) {
  const StepVerdict verdict = this->Check(aEvent);
  this->counts[static_cast<std::size_t>(verdict)] += 1;
  if (verdict == StepVerdict::Accepted) {
    this->nextPosition += 1;
  }
  return verdict;
}

}  // namespace zincstep
