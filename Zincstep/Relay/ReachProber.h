#pragma once

#include <map>
#include <string>

#include "Zincstep/Relay/ReachMonitor.h"

namespace zincstep {

/// Detects that upstreams which this daemon is cut off from can be reached
/// again.
///
/// Meanwhile their requests are forwarded to other daemons, so that no request
/// would show it. Probes open a new connection without a request: open ones may
/// have worked all along, and plain services answer no reports.
class ReachProber {
 public:
  ReachProber(ReachMonitor& aReach, UpstreamControl& aControl,
              const Clock& aClock, Random& aRandom)
      : reach(aReach), control(aControl), clock(aClock), random(aRandom) {}

  /// Sends the probes that are due; call several times per second.
  void Tick(const RouteTable& aTable, const UpstreamDirectory& aDirectory);

 private:
  struct Probe {
    bool isPending = false;
    /// Whether the last one reached its upstream, so that the next one follows
    /// at once.
    bool wasReached = false;
    Instant nextAt{};
  };

  /// Probes one unreachable upstream of a service, or any if there is none.
  void Start(const std::string& aService, const UpstreamDirectory& aDirectory);
  void OnResult(const std::string& aService, const UpstreamPtr& aUpstream,
                Reachability aReachability,
                const UpstreamDirectory& aDirectory);

  ReachMonitor& reach;
  UpstreamControl& control;
  const Clock& clock;
  Random& random;
  /// By service.
  std::map<std::string, Probe> probes;
};

}  // namespace zincstep
