#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// Work in flight at one upstream that another daemon reported.
struct PeerShare {
  UpstreamPtr upstream;
  /// In tokens x layers or in requests, as `LiveUpstream::localWork`.
  double work = 0;
  /// Requests with the upstream as the first stage of their chains.
  int firstStageRequests = 0;
};

/// Work in flight that the other daemons reported.
///
/// A daemon reports all of its work at once, so it is stored by reporting
/// daemon: a report replaces the work at some dozen upstreams without visiting
/// thousands of others, and an upstream only has the sum. With sums by upstream
/// and reporting daemon, 100 daemons of a domain with 3,000 upstreams spent
/// half of their processor time here (perf, sweep at 300 machines).
class PeerWork {
 public:
  /// Replaces the previous report of `aDaemon`.
  void Update(const std::string& aDaemon, std::vector<PeerShare> aShares,
              Instant aNow);
  /// Removes the work of daemons whose last report is older than `aMaxAge`:
  /// they have stopped or are partitioned.
  void Tick(Instant aNow, Micros aMaxAge);

 private:
  struct Report {
    std::vector<PeerShare> shares;
    Instant at;
  };

  static void Revert(Report& aReport);

  std::map<std::string, Report> byDaemon;
};

}  // namespace zincstep
