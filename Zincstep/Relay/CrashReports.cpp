#include "Zincstep/Relay/CrashReports.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr Micros kFirstInterval = 500ms;
/// A peer that is reached again has not heard of a crash for this long at most.
constexpr Micros kInterval = 1s;
/// Covers pauses and partitions of ten seconds. Blocked requests are also in
/// the store.
constexpr int kRepetitions = 10;
/// Maximum number of reports that are repeated; the oldest are dropped.
constexpr std::size_t kMaxReports = 64;

}  // namespace

void CrashReports::Add(const std::vector<UpstreamCrash>& aCrashes,
                       Instant aNow) {
  if (this->reports.size() >= kMaxReports) {
    this->reports.pop_front();
  }
  this->reports.push_back({aCrashes, aNow + kFirstInterval, kRepetitions});
}

std::vector<UpstreamCrash> CrashReports::TakeDue(const CrashTracker& aTracker,
                                                 Instant aNow) {
  std::vector<UpstreamCrash> due;
  for (Report& report : this->reports) {
    if (aNow < report.nextAt) {
      continue;
    }
    std::copy_if(report.crashes.begin(), report.crashes.end(),
                 std::back_inserter(due), [&](const UpstreamCrash& aCrash) {
                   return aTracker.HasCrashes(aCrash.candidate);
                 });
    report.repetitionsLeft -= 1;
    report.nextAt = aNow + kInterval;
  }
  std::erase_if(this->reports, [](const Report& aReport) {
    return aReport.repetitionsLeft == 0;
  });
  return due;
}

}  // namespace zincstep
