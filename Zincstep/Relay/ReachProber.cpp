#include "Zincstep/Relay/ReachProber.h"

namespace zincstep {

namespace {

/// Interval between probes of a service, which bounds the time to detect that
/// it can be reached again.
constexpr Micros kInterval = 500ms;
/// Many round trips.
constexpr Micros kTimeout = 60ms;

}  // namespace

void ReachProber::Tick(const RouteTable& aTable,
                       const UpstreamDirectory& aDirectory) {
  const Instant now = this->clock.Now();
  std::erase_if(this->probes, [&](const auto& aProbe) {
    return !aProbe.second.isPending && !this->reach.IsCutOff(aProbe.first);
  });
  for (const RoutedService& service : aTable.Configuration().services) {
    if (!this->reach.IsCutOff(service.name)) {
      continue;
    }
    Probe& probe = this->probes[service.name];
    if (!probe.isPending && now >= probe.nextAt) {
      this->Start(service.name, aDirectory);
    }
  }
}

void ReachProber::Start(const std::string& aService,
                        const UpstreamDirectory& aDirectory) {
  const Instant now = this->clock.Now();
  Probe& probe = this->probes[aService];
  probe.nextAt = now + kInterval;
  std::vector<UpstreamPtr> direct;
  std::vector<UpstreamPtr> unreachable;
  for (const UpstreamPtr& upstream : aDirectory.OfService(aService)) {
    if (TakesRequests(*upstream)) {
      direct.push_back(upstream);
      if (upstream->IsSuspect(now)) {
        unreachable.push_back(upstream);
      }
    }
  }
  const auto& candidates = unreachable.empty() ? direct : unreachable;
  if (candidates.empty() || (unreachable.empty() && probe.wasReached)) {
    probe.wasReached = false;
    return;
  }
  const UpstreamPtr upstream =
      candidates[this->random.Below(candidates.size())];
  probe.isPending = true;
  this->control.ProbeConnection(
      upstream->Entry(), kTimeout,
      [this, aService, upstream, &aDirectory](Reachability aReachability) {
        this->OnResult(aService, upstream, aReachability, aDirectory);
      });
}

void ReachProber::OnResult(const std::string& aService,
                           const UpstreamPtr& aUpstream,
                           Reachability aReachability,
                           const UpstreamDirectory& aDirectory) {
  Probe& probe = this->probes[aService];
  probe.isPending = false;
  probe.wasReached = aReachability == Reachability::Reached;
  if (!probe.wasReached) {
    return;
  }
  this->reach.OnConnected(aService);
  aUpstream->ClearSuspicion();
  this->Start(aService, aDirectory);
}

}  // namespace zincstep
