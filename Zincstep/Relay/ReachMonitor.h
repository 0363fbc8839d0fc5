#pragma once

#include <map>
#include <string>

#include "Zincstep/Pool/Pool.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Logs and counts the services whose upstreams this daemon can't reach.
class ReachMonitor {
 public:
  ReachMonitor(const Clock& aClock, Metrics& aMetrics)
      : clock(aClock), metrics(aMetrics) {}

  /// Updates the reach of all services of the configuration; call several times
  /// per second.
  void Tick(const RouteTable& aTable, const UpstreamDirectory& aDirectory);
  /// Whether this daemon was cut off from a service at the last tick.
  bool IsCutOff(const std::string& aService) const {
    return this->cutOffSince.contains(aService);
  }

 private:
  const Clock& clock;
  Metrics& metrics;
  /// By service; only those that this daemon is cut off from.
  std::map<std::string, Instant> cutOffSince;
};

}  // namespace zincstep
