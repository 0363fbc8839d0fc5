#include "Zincstep/Relay/StopPolicy.h"

#include <algorithm>

namespace zincstep {

UsualDurations StopPolicy::InitialDurations(
    const ExpectedDuration& aExpected) const {
  return aExpected.isStream ? UsualDurations{this->settings.initialStreamTime,
                                             aExpected.maximum}
                            : UsualDurations{this->settings.initialServiceTime,
                                             this->settings.initialServiceTime};
}

StopDecision StopPolicy::Decide(const ExpectedDuration& aExpected,
                                Instant aNow) const {
  StopDecision decision;
  decision.expected = aExpected.maximum;
  // A stream that has begun can't be given a complete response early.
  const bool needsBound = aExpected.isStream && this->IsLate(aNow);
  if (aExpected.isRepeatable && !needsBound) {
    const UsualDurations usual =
        aExpected.usual.value_or(this->InitialDurations(aExpected));
    const Micros duration = this->IsLate(aNow) ? usual.nearlyAll : usual.most;
    if (duration < aExpected.maximum) {
      decision.expected = duration;
      decision.basis = aExpected.usual ? StopBasis::RouteDurations
                                       : StopBasis::InitialDurations;
    }
  }
  decision.isAccepted = this->CanEnd(decision.expected, aNow);
  return decision;
}

bool StopPolicy::MayBeginRun(const ExpectedDuration& aExpected,
                             Instant aNow) const {
  const bool needsBound = aExpected.isStream || !aExpected.isRepeatable;
  return !needsBound || !this->IsLate(aNow) ||
         this->CanEnd(aExpected.maximum, aNow);
}

bool StopPolicy::MustEndRequests(Instant aNow) const {
  return this->begunAt && aNow >= this->EndOfRequests();
}

bool StopPolicy::ShouldCloseIdle(Instant aNow) const {
  return this->begunAt &&
         aNow - this->notReadySince >= this->settings.balancerRemovalDelay;
}

bool StopPolicy::MustExit(Instant aNow) const {
  return this->begunAt &&
         aNow - *this->begunAt >=
             this->settings.gracePeriod - this->settings.exitMargin;
}

bool StopPolicy::CanExit(std::size_t aActive, std::size_t aUnsent,
                         Instant aNow) const {
  const bool hasEnded = aActive == 0 && (this->MustEndRequests(aNow) ||
                                         this->ShouldCloseIdle(aNow));
  return this->MustExit(aNow) || (hasEnded && aUnsent == 0);
}

}  // namespace zincstep
