#pragma once

#include <cstdint>

namespace zincstep {

/// Demand of one daemon's callers for a service at one priority.
struct PriorityDemand {
  /// `Hash64` of the service's name.
  std::uint64_t service = 0;
  int priority = 0;
  /// Tokens per second that callers requested, served or not.
  double demand = 0;
  /// Tokens in flight.
  double used = 0;
  int waiting = 0;
};

/// Demand of one organisation's callers at one daemon.
struct OrganisationDemand {
  /// `OrganisationHash` of the name.
  std::uint32_t organisation = 0;
  /// Tokens per second that callers requested, served or not.
  double demand = 0;
  /// Tokens in flight.
  double used = 0;
};

}  // namespace zincstep
