#include "Zincstep/Sequence/StepFilter.h"

namespace zincstep {

bool StepFilter::CoversAllLayers(const TokenEvent& aEvent) const {
  int next = 0;
  for (const StageReport& stage : aEvent.stages) {
    if (stage.layers.first != next || stage.layers.Size() <= 0) {
      return false;
    }
    next = stage.layers.last;
  }
  return next == this->layers;
}

StepVerdict StepFilter::VerdictOn(const TokenEvent& aEvent) const {
  if (aEvent.request != this->request) {
    return StepVerdict::Foreign;
  }
  if (!this->isOpen || aEvent.attempt != this->attempt) {
    return StepVerdict::Stale;
  }
  if (aEvent.position < this->nextPosition) {
    return StepVerdict::Duplicate;
  }
  if (aEvent.position > this->nextPosition) {
    return StepVerdict::Early;
  }
  if (!this->CoversAllLayers(aEvent)) {
    return StepVerdict::BrokenCover;
  }
  return StepVerdict::Accepted;
}

StepVerdict StepFilter::Judge(const TokenEvent& aEvent) {
  const StepVerdict verdict = this->VerdictOn(aEvent);
  this->counts[static_cast<std::size_t>(verdict)] += 1;
  if (verdict == StepVerdict::Accepted) {
    this->nextPosition += 1;
  }
  return verdict;
}

}  // namespace zincstep
