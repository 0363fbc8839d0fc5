#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Pool/Placement.h"

namespace zincstep {

/// Demand that a failure domain is planned for, in tokens of requests in
/// flight.
struct DomainTarget {
  /// Demand of its own callers.
  double own = 0;
  /// Part of the demand of other domains' callers that those cannot hold.
  double takenOver = 0;
  double target = 0;
};

/// Returns the tokens of requests for which one copy of the model leaves memory
/// in a failure domain.
double TokensBesideOneCopy(const ModelShape& aModel,
                           const std::vector<PlacedUpstream>& aUpstreams);

/// Divides the demand of callers among the failure domains.
///
/// A domain gets the demand of its own callers up to what it can hold. The
/// remainder goes to the other domains in proportion to what they can hold in
/// addition. If all of them together cannot hold it, each gets the same share
/// of its room, as without known domains.
///
/// `aOwn` is the demand of each domain's callers and may have domains without
/// upstreams; `aRoom` is `TokensBesideOneCopy` of each domain with upstreams.
std::map<std::string, DomainTarget> ShareDemand(
    const std::map<std::string, double>& aOwn,
    const std::map<std::string, double>& aRoom);

/// Targets of the failure domains for one model, with hysteresis.
///
/// Each change of a layer range takes an upstream out of service for seconds,
/// so targets do not follow a demand that shifts to and fro. A target rises at
/// once, if by at least a tenth, since refused requests are worse than one load
/// too many. It falls to the maximum of the last `kHoldTime`, if that is lower
/// by at least a tenth.
class DemandTargets {
 public:
  /// Longer than the waves of the users' traffic (17 s).
  static constexpr Micros kHoldTime = 20s;
  /// Minimum relative change of a target.
  static constexpr double kMinChange = 0.1;

  /// Updates the targets; returns the names of those that have changed.
  std::vector<std::string> Update(const ModelShape& aModel,
                                  const std::vector<PlacedUpstream>& aUpstreams,
                                  const ObservedDemand& aDemand, Instant aNow);
  /// Forgets all targets.
  void Clear() { this->states.clear(); }

  /// The present targets by failure domain; none while demand is not known by
  /// domain.
  std::map<std::string, DomainTarget> Targets() const;

 private:
  struct State {
    DomainTarget present;
    /// Maximum of the required targets since `since`.
    DomainTarget highest;
    /// When `highest` was reset.
    Instant since;
  };

  /// Applies the hysteresis; returns whether the target has changed.
  static bool Apply(State& aState, const DomainTarget& aRequired, Instant aNow);

  std::map<std::string, State> states;
};

}  // namespace zincstep
