#pragma once

#include <map>
#include <optional>
#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Pool/Placement.h"

namespace zincstep {

/// Estimates how much memory the requests of a daemon's callers need.
///
/// By Little's law the tokens in flight, if all were served, are the tokens
/// that arrive a second times the seconds that an answer takes. What is in
/// flight itself would tell too little where requests are refused for want of
/// memory, and too much where answers stand still.
class DemandMeter {
 public:
  /// A request of that many tokens has come, whatever becomes of it.
  void OnRequest(double aTokens, Instant aNow);
  /// A request was answered whole within `aTaken`.
  void OnCompleted(Micros aTaken);
  /// The estimate; none until requests have come and been answered for a while.
  std::optional<double> Tokens(Instant aNow) const;

 private:
  std::optional<Instant> firstAt;
  /// Tokens that have come, each counted less the longer ago it was.
  double recent = 0;
  Instant recentAt{};
  /// Average time of an answer, in seconds.
  double responseSeconds = 0;
  int answers = 0;
};

/// The demand of all daemons together, as they tell it, with a peak that
/// decays: memory must be there for the peaks of the traffic.
class DemandSum {
 public:
  /// What a daemon's own meter says.
  void Update(const std::string& aDaemon, double aTokens, Instant aNow);
  /// The sum's peak; none until daemons have told for a while, so that a daemon
  /// that takes the placement duty does not plan for a part of the traffic.
  std::optional<ObservedDemand> Peak(Instant aNow);

 private:
  struct Told {
    double tokens = 0;
    Instant at;
  };
  std::map<std::string, Told> byDaemon;
  std::optional<Instant> firstAt;
  double peak = 0;
  Instant peakAt{};
};

}  // namespace zincstep
