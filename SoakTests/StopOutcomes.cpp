#include "SoakTests/StopOutcomes.h"

#include <algorithm>

namespace zincstep::soak {

StopOutcomes StopOutcomes::BySignal() {
  // New connections cease after 2.6 s, requests sent after 3 s are judged, and
  // requests end after 7.5 s.
  return StopOutcomes({{"0-1 s", 1s},
                       {"1-2.6 s", 2600ms},
                       {"2.6-3 s", 3s},
                       {"3-5 s", 5s},
                       {"5-7.5 s", 7500ms},
                       {"later"}});
}

StopOutcomes StopOutcomes::ByChange() {
  return StopOutcomes({{"within 3 s of a change", 3s}, {"elsewhere"}});
}

void StopOutcomes::Count(Micros aAge, StopOutcome aOutcome) {
  const auto range = std::find_if(
      this->ranges.begin(), this->ranges.end() - 1,
      [aAge](const AgeRange& aRange) { return aAge < aRange.end; });
  this->counts[static_cast<std::size_t>(range - this->ranges.begin())]
              [static_cast<std::size_t>(aOutcome)] += 1;
}

int StopOutcomes::Total(StopOutcome aOutcome) const {
  int total = 0;
  for (const auto& range : this->counts) {
    total += range[static_cast<std::size_t>(aOutcome)];
  }
  return total;
}

std::string StopOutcomes::Table() const {
  std::string text;
  for (std::size_t i = 0; i < this->ranges.size(); ++i) {
    text += std::string(i > 0 ? "; " : "") + this->ranges[i].name + ":";
    for (const auto& [outcome, name] : kStopOutcomeNames) {
      text +=
          " " + std::string(name) + " " +
          std::to_string(this->counts[i][static_cast<std::size_t>(outcome)]);
    }
  }
  return text;
}

}  // namespace zincstep::soak
