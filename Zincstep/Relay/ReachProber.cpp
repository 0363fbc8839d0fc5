#include "Zincstep/Relay/ReachProber.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Interval between probes of a service, which bounds the time to detect that
/// it can be reached again.
constexpr Micros kInterval = 500ms;
/// The same until the loss of the path is known.
constexpr Micros kInitialInterval = 100ms;
/// Timeout of a probe: many round trips.
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
  probe.nextAt =
      now + (this->reach.HasLostPath(aService) ? kInterval : kInitialInterval);
  std::vector<UpstreamPtr> unreachable;
  std::vector<UpstreamPtr> witnesses;
  for (const UpstreamPtr& upstream : aDirectory.OfService(aService)) {
    const bool isUnreachable =
        TakesRequests(*upstream) && upstream->IsSuspect(now);
    (isUnreachable ? unreachable : witnesses).push_back(upstream);
  }
  // One that is not suspect is most likely to be alive.
  const auto firstSuspect = std::stable_partition(
      witnesses.begin(), witnesses.end(),
      [now](const UpstreamPtr& aOne) { return !aOne->IsSuspect(now); });
  if (firstSuspect != witnesses.begin()) {
    witnesses.erase(firstSuspect, witnesses.end());
  }
  const bool asksWitness =
      !witnesses.empty() && (probe.isWitnessNext || unreachable.empty());
  probe.isWitnessNext = !asksWitness;
  const auto& candidates = asksWitness ? witnesses : unreachable;
  if (!candidates.empty()) {
    this->Send(aService, candidates[this->random.Below(candidates.size())],
               aDirectory);
  }
}

void ReachProber::Send(const std::string& aService,
                       const UpstreamPtr& aUpstream,
                       const UpstreamDirectory& aDirectory) {
  this->probes[aService].isPending = true;
  this->control.ProbeConnection(
      aUpstream->Entry(), kTimeout,
      [this, aService, aUpstream, &aDirectory](Reachability aReachability) {
        this->OnResult(aService, aUpstream,
                       aReachability == Reachability::Reached, aDirectory);
      });
}

void ReachProber::OnResult(const std::string& aService,
                           const UpstreamPtr& aUpstream, bool aIsReached,
                           const UpstreamDirectory& aDirectory) {
  Probe& probe = this->probes[aService];
  probe.isPending = false;
  this->reach.OnProbed(aService, aIsReached);
  if (!aIsReached || !TakesRequests(*aUpstream)) {
    return;
  }
  this->reach.OnConnected(aService);
  if (aUpstream->IsSuspect(this->clock.Now())) {
    aUpstream->ClearSuspicion();
    probe.isWitnessNext = false;
    this->Start(aService, aDirectory);
  }
}

}  // namespace zincstep
