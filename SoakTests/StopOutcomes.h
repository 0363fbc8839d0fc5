#pragma once

#include <array>
#include <string>

#include "Zincstep/Core/NameTable.h"
#include "Zincstep/Core/Time.h"

namespace zincstep::soak {

/// What became of a request to a stopping daemon.
enum class StopOutcome {
  Served,
  /// Rejected as not run.
  Refused,
  /// Any other complete response.
  Failed,
  /// The connection ended after the head of a response.
  Truncated,
  /// The connection ended before the head of a response; it had carried a
  /// request before, or it was new.
  ClosedKept,
  ClosedNew,
  NotConnected,
  /// The caller's time was over.
  TimedOut,
};

inline constexpr NameTable<StopOutcome, 8> kStopOutcomeNames{{
    {StopOutcome::Served, "served"},
    {StopOutcome::Refused, "refused"},
    {StopOutcome::Failed, "failed"},
    {StopOutcome::Truncated, "truncated"},
    {StopOutcome::ClosedKept, "closed_kept"},
    {StopOutcome::ClosedNew, "closed_new"},
    {StopOutcome::NotConnected, "not_connected"},
    {StopOutcome::TimedOut, "timed_out"},
}};

/// Counts the outcomes of requests to stopping daemons, by the time from the
/// stop signal to their sending.
class StopOutcomes {
 public:
  void Count(Micros aAge, StopOutcome aOutcome);
  /// Returns one line: the counts of each range of ages in seconds.
  std::string Table() const;

 private:
  static constexpr std::size_t kRanges = 6;

  std::array<std::array<int, kStopOutcomeNames.size()>, kRanges> counts{};
};

}  // namespace zincstep::soak
