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
    /// Whether the next one goes to an upstream that is not known to be
    /// unreachable.
    bool isWitnessNext = false;
    Instant nextAt{};
  };

  /// Probes one of a service's unreachable upstreams, or another as a witness.
  void Start(const std::string& aService, const UpstreamDirectory& aDirectory);
  void Send(const std::string& aService, const UpstreamPtr& aUpstream,
            const UpstreamDirectory& aDirectory);
  void OnResult(const std::string& aService, const UpstreamPtr& aUpstream,
                bool aIsReached, const UpstreamDirectory& aDirectory);

  ReachMonitor& reach;
  UpstreamControl& control;
  const Clock& clock;
  Random& random;
  /// By service.
  std::map<std::string, Probe> probes;
};

}  // namespace zincstep
