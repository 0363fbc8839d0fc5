#pragma once

#include <cstddef>

namespace zincstep {

/// This daemon's position among the daemons that share a limit on retries.
struct RetryParticipant {
  /// Number of daemons, this one included.
  std::size_t daemons = 1;
  /// Number of daemons before this one, in an order common to all of them.
  std::size_t rank = 0;
};

/// Returns one daemon's burst, as its share of `aSlack` retries for
/// all daemons.
///
/// A share below one retry would never allow any. If there are more daemons
/// than retries, the first daemons by rank get one retry each and the others
/// none.
double RetryShare(double aSlack, RetryParticipant aParticipant);

}  // namespace zincstep
