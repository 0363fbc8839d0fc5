#include "Zincstep/Relay/ReachMonitor.h"

#include <algorithm>

namespace zincstep {

namespace {

/// A single upstream may have crashed.
constexpr std::size_t kMinFailures = 2;
/// Consecutive probes without a connection that show a lost path.
constexpr int kMinFailedProbes = 4;

}  // namespace

void ReachMonitor::OnConnected(const std::string& aService) {
  this->failedConnects.erase(aService);
  const auto outage = this->outages.find(aService);
  if (outage != this->outages.end()) {
    outage->second.lastConnectedAt = this->clock.Now();
  }
}

void ReachMonitor::OnNotConnected(const std::string& aService,
                                  const LiveUpstream& aUpstream) {
  std::vector<std::uint64_t>& failed = this->failedConnects[aService];
  const bool isKnown = std::find(failed.begin(), failed.end(),
                                 aUpstream.Number()) != failed.end();
  if (!isKnown && failed.size() < kMinFailures) {
    failed.push_back(aUpstream.Number());
  }
}

bool ReachMonitor::FailsToConnect(const std::string& aService,
                                  std::size_t aListed) const {
  const auto found = this->failedConnects.find(aService);
  return found != this->failedConnects.end() &&
         found->second.size() >= std::min(kMinFailures, aListed);
}

void ReachMonitor::OnProbed(const std::string& aService, bool aIsReached) {
  const auto outage = this->outages.find(aService);
  if (outage != this->outages.end()) {
    int& failed = outage->second.failedProbes;
    failed = aIsReached ? 0 : failed + 1;
  }
}

std::map<std::string, std::size_t> ReachMonitor::CutOffFrom(
    const std::map<std::string, std::size_t>& aUnreachable) const {
  std::map<std::string, std::size_t> services;
  for (const auto& [service, unreachable] : aUnreachable) {
    const auto found = this->listed.find(service);
    if (found != this->listed.end() &&
        UpstreamReach{found->second, unreachable, {}}.IsCutOff()) {
      services[service] = unreachable;
    }
  }
  return services;
}

bool ReachMonitor::HasLostPath(const std::string& aService) const {
  const auto outage = this->outages.find(aService);
  return outage != this->outages.end() &&
         outage->second.failedProbes >= kMinFailedProbes;
}

void ReachMonitor::Tick(const RouteTable& aTable,
                        const UpstreamDirectory& aDirectory) {
  const Instant now = this->clock.Now();
  std::map<std::string, Outage> current;
  this->listed.clear();
  for (const RoutedService& service : aTable.Configuration().services) {
    const UpstreamReach reach =
        ReachOf(aDirectory.OfService(service.name), now);
    this->listed[service.name] = reach.listed;
    this->metrics.Set("zincstep_unreachable_upstreams",
                      static_cast<double>(reach.unreachable),
                      {{"service", service.name}});
    const auto known = this->outages.find(service.name);
    const bool wasCutOff = known != this->outages.end();
    // A suspicion that has expired does not show that the upstream responds.
    const bool hasContact =
        wasCutOff &&
        std::max(reach.lastResponseAt, known->second.lastConnectedAt) >
            known->second.since;
    const bool isCutOff = reach.IsCutOff() ||
                          this->FailsToConnect(service.name, reach.listed) ||
                          (wasCutOff && reach.listed > 0 && !hasContact);
    if (isCutOff) {
      current[service.name] = wasCutOff ? known->second : Outage{now, {}, 0};
    }
    if (isCutOff && !wasCutOff) {
      LogWarning("service_unreachable", {{"service", service.name},
                                         {"unreachable", reach.unreachable},
                                         {"listed", reach.listed}});
    } else if (!isCutOff && wasCutOff) {
      LogInfo("service_reachable",
              {{"service", service.name},
               {"after_ms", (now - known->second.since) / 1ms},
               {"unreachable", reach.unreachable},
               {"listed", reach.listed}});
    }
  }
  this->outages = std::move(current);
}

}  // namespace zincstep
