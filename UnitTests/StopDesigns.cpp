#include "UnitTests/StopDesigns.h"

#include <algorithm>

namespace zincstep {

namespace {

/// The longest of 300 is exceeded by one in 300; times 1.5 by fewer.
constexpr double kLongestFactor = 1.5;

bool Fits(const StopQuestion& aQuestion, Micros aDuration) {
  return std::min(aDuration, aQuestion.expected.maximum) <=
         aQuestion.policy.TimeLeft(aQuestion.now);
}

bool IsLate(const StopQuestion& aQuestion) {
  return aQuestion.policy.ShouldCloseIdle(aQuestion.now);
}

bool FitsMost(const StopQuestion& aQuestion) {
  const auto& usual = aQuestion.expected.usual;
  return Fits(aQuestion,
              usual ? usual->most : StopPolicySettings{}.initialStreamTime);
}

}  // namespace

bool AcceptsAsBuilt(const StopQuestion& aQuestion) {
  return aQuestion.policy.Accepts(aQuestion.expected, aQuestion.now);
}

bool AcceptsByShares(const StopQuestion& aQuestion) {
  if (!aQuestion.expected.isStream) {
    return AcceptsAsBuilt(aQuestion);
  }
  const auto& usual = aQuestion.expected.usual;
  return IsLate(aQuestion)
             ? Fits(aQuestion, usual ? usual->nearlyAll : Micros::max())
             : FitsMost(aQuestion);
}

bool AcceptsByLateDeadline(const StopQuestion& aQuestion) {
  if (!aQuestion.expected.isStream) {
    return AcceptsAsBuilt(aQuestion);
  }
  return IsLate(aQuestion) ? Fits(aQuestion, Micros::max())
                           : FitsMost(aQuestion);
}

bool AcceptsByDeadline(const StopQuestion& aQuestion) {
  return aQuestion.expected.isStream ? Fits(aQuestion, Micros::max())
                                     : AcceptsAsBuilt(aQuestion);
}

bool AcceptsByLongest(const StopQuestion& aQuestion) {
  if (!aQuestion.expected.isStream) {
    return AcceptsAsBuilt(aQuestion);
  }
  if (!IsLate(aQuestion) || !aQuestion.longest) {
    return AcceptsByLateDeadline(aQuestion);
  }
  return Fits(aQuestion,
              FromSeconds(ToSeconds(*aQuestion.longest) * kLongestFactor));
}

}  // namespace zincstep
