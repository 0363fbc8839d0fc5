#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Knows the services whose upstreams this daemon can't reach.
///
/// Suspicions alone don't show that: where open connections still work, their
/// responses clear the suspicion of an upstream to which no new connection can
/// be established.
class ReachMonitor {
 public:
  ReachMonitor(const Clock& aClock, Metrics& aMetrics)
      : clock(aClock), metrics(aMetrics) {}

  /// Updates the reach of all services of the configuration; call several times
  /// per second.
  void Tick(const RouteTable& aTable, const UpstreamDirectory& aDirectory);
  /// Whether this daemon was cut off from a service at the last tick.
  bool IsCutOff(const std::string& aService) const {
    return this->outages.contains(aService);
  }

  /// Returns those services that a daemon is cut off from which doesn't reach
  /// these numbers of their upstreams, with the numbers.
  std::map<std::string, std::size_t> CutOffFrom(
      const std::map<std::string, std::size_t>& aUnreachable) const;

  /// Whether it was, or a connection to one of the service's upstreams has
  /// failed since.
  bool MayBeCutOff(const std::string& aService) const {
    return this->IsCutOff(aService) || this->failedConnects.contains(aService);
  }
  /// Records that an upstream has accepted a new connection.
  void OnConnected(const std::string& aService);
  /// Records that no connection to an upstream was established.
  void OnNotConnected(const std::string& aService,
                      const LiveUpstream& aUpstream);
  /// Whether several upstreams in a row could not be connected to, or the only
  /// one of `aListed`.
  bool FailsToConnect(const std::string& aService, std::size_t aListed) const;

  /// Records whether an upstream of a service accepted the connection of a
  /// probe.
  void OnProbed(const std::string& aService, bool aIsReached);
  /// Whether no upstream of a service, of several that were probed, accepts
  /// connections from this daemon. If some do, the others have crashed.
  bool HasLostPath(const std::string& aService) const;

 private:
  /// Time for which this daemon has been cut off from a service.
  struct Outage {
    Instant since{};
    Instant lastConnectedAt{};
    /// Consecutive probes that reached no upstream.
    int failedProbes = 0;
  };

  const Clock& clock;
  Metrics& metrics;
  /// By service; only those that this daemon is cut off from.
  std::map<std::string, Outage> outages;
  /// Upstreams that take requests directly, by service, at the last tick.
  std::map<std::string, std::size_t> listed;
  /// Upstreams in a row to which no connection was established, by service; at
  /// most `kMinFailures` each.
  std::map<std::string, std::vector<std::uint64_t>> failedConnects;
};

}  // namespace zincstep
