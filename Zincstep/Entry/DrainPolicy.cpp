#include "Zincstep/Entry/DrainPolicy.h"

#include "Zincstep/Core/Assert.h"

namespace zincstep {

DrainDecision DrainPolicy::Decide(std::optional<Instant> aDeadline,
                                  Instant aNow) const {
  ZINCSTEP_ASSERT(this->IsStopping());
  DrainDecision decision;
  decision.sinceStop = aNow - *this->begunAt;
  decision.left = this->limit - decision.sinceStop;
  if (aDeadline) {
    decision.bound = *aDeadline - aNow;
    decision.isAccepted =
        !this->RefusesAll(aNow) && *decision.bound <= decision.left;
  }
  return decision;
}

}  // namespace zincstep
