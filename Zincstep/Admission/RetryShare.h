#pragma once

#include <cstddef>
#include <deque>

#include "Zincstep/Core/Core.h"

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

/// Delays the growth of a daemon's share by a window: daemons that have left
/// may have used theirs in it.
class RetryShareHistory {
 public:
  explicit RetryShareHistory(Micros aWindow) : window(aWindow) {}

  /// Records the share at `aNow`. Returns the lowest of the last window.
  double Update(double aShare, Instant aNow);

 private:
  struct Entry {
    double share = 0;
    /// Last time that the share was as low.
    Instant at;
  };

  Micros window;
  /// Shares that may still become the lowest, in increasing order.
  std::deque<Entry> rising;
};

}  // namespace zincstep
