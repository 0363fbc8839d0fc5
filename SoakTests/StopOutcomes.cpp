#include "SoakTests/StopOutcomes.h"

#include <algorithm>

namespace zincstep::soak {

namespace {

/// Ends of the ranges but the last: new connections cease after 2.6 s, requests
/// sent after 3 s are judged, and requests end after 7.5 s.
constexpr std::array<Micros, 5> kRangeEnds{1s, 2600ms, 3s, 5s, 7500ms};
constexpr std::array kRangeNames{"0-1 s", "1-2.6 s", "2.6-3 s",
                                 "3-5 s", "5-7.5 s", "later"};

}  // namespace

void StopOutcomes::Count(Micros aAge, StopOutcome aOutcome) {
  const auto range =
      std::upper_bound(kRangeEnds.begin(), kRangeEnds.end(), aAge);
  this->counts[static_cast<std::size_t>(range - kRangeEnds.begin())]
              [static_cast<std::size_t>(aOutcome)] += 1;
}

std::string StopOutcomes::Table() const {
  std::string text;
  for (std::size_t i = 0; i < kRanges; ++i) {
    text += std::string(i > 0 ? "; " : "") + kRangeNames[i] + ":";
    for (const auto& [outcome, name] : kStopOutcomeNames) {
      text +=
          " " + std::string(name) + " " +
          std::to_string(this->counts[i][static_cast<std::size_t>(outcome)]);
    }
  }
  return text;
}

}  // namespace zincstep::soak
