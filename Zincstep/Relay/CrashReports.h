#pragma once

#include <deque>
#include <vector>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {

/// Recent reports of this daemon about crashes, which it repeats: a daemon that
/// is paused or partitioned misses the first one, and a restarted one knows
/// nothing. A repeated report changes nothing at those that know it.
class CrashReports {
 public:
  /// Adds a report that was just sent.
  void Add(const std::vector<UpstreamCrash>& aCrashes, Instant aNow);
  /// Returns the crashes that are due to be reported again, without those that
  /// have been cleared meanwhile.
  std::vector<UpstreamCrash> TakeDue(const CrashTracker& aTracker,
                                     Instant aNow);

 private:
  struct Report {
    std::vector<UpstreamCrash> crashes;
    Instant nextAt;
    int repetitionsLeft = 0;
  };

  std::deque<Report> reports;
};

}  // namespace zincstep
