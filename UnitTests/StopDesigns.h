#pragma once

#include <functional>
#include <optional>

#include "Zincstep/Relay/StopPolicy.h"

namespace zincstep {

/// What a stopping daemon knows when it decides on a new request.
struct StopQuestion {
  const StopPolicy& policy;
  ExpectedDuration expected;
  /// The longest of the daemon's recent streams, of all routes; none if it
  /// knows too few.
  std::optional<Micros> longest;
  Instant now{};
};

/// Whether a stopping daemon accepts a new request.
using StopDesign = std::function<bool(const StopQuestion&)>;

/// The policy of the tree.
bool AcceptsAsBuilt(const StopQuestion& aQuestion);
/// 0.8 of the route's recent durations, from the balancer's removal delay on
/// 0.99. As all that follow it differs from the policy for streams only.
bool AcceptsByShares(const StopQuestion& aQuestion);
/// 0.8 until the balancer's removal delay, then the deadline alone.
bool AcceptsByLateDeadline(const StopQuestion& aQuestion);
/// The deadline alone from the signal on.
bool AcceptsByDeadline(const StopQuestion& aQuestion);
/// 0.8 until the balancer's removal delay, then 1.5 times the longest of at
/// least 300 recent streams, and the deadline if fewer are known.
bool AcceptsByLongest(const StopQuestion& aQuestion);

}  // namespace zincstep
