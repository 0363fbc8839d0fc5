#pragma once

#include <array>
#include <string>
#include <vector>

#include "Zincstep/Core/NameTable.h"
#include "Zincstep/Core/Time.h"

namespace zincstep::soak {

/// What became of a request to a stopping daemon, or beside changes.
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

/// A range of ages: its name, and its end unless it is the last one.
struct AgeRange {
  const char* name;
  Micros end{0};
};

/// Counts the outcomes of requests by the time from an event, such as the stop
/// signal of their daemon, to their sending.
class StopOutcomes {
 public:
  explicit StopOutcomes(std::vector<AgeRange> aRanges)
      : ranges(std::move(aRanges)), counts(this->ranges.size()) {}

  /// By the time from the stop signal.
  static StopOutcomes BySignal();
  /// By the time from the last change of the configuration; it is negative for
  /// a change while the request ran.
  static StopOutcomes ByChange();

  void Count(Micros aAge, StopOutcome aOutcome);
  /// Number of requests of all ages with this outcome.
  int Total(StopOutcome aOutcome) const;
  /// Returns one line: the counts of each range of ages in seconds.
  std::string Table() const;

 private:
  std::vector<AgeRange> ranges;
  std::vector<std::array<int, kStopOutcomeNames.size()>> counts;
};

}  // namespace zincstep::soak
