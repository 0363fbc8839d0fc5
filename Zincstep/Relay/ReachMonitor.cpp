#include "Zincstep/Relay/ReachMonitor.h"

namespace zincstep {

void ReachMonitor::Tick(const RouteTable& aTable,
                        const UpstreamDirectory& aDirectory) {
  const Instant now = this->clock.Now();
  std::map<std::string, Instant> cutOff;
  for (const RoutedService& service : aTable.Configuration().services) {
    const UpstreamReach reach =
        ReachOf(aDirectory.OfService(service.name), now);
    this->metrics.Set("zincstep_unreachable_upstreams",
                      static_cast<double>(reach.unreachable),
                      {{"service", service.name}});
    const auto known = this->cutOffSince.find(service.name);
    const bool wasCutOff = known != this->cutOffSince.end();
    // A suspicion that has expired does not show that the upstream responds.
    const bool isCutOff =
        reach.IsCutOff() || (wasCutOff && reach.listed > 0 &&
                             reach.lastResponseAt <= known->second);
    if (isCutOff) {
      cutOff[service.name] = wasCutOff ? known->second : now;
    }
    if (isCutOff && !wasCutOff) {
      LogWarning("service_unreachable", {{"service", service.name},
                                         {"unreachable", reach.unreachable},
                                         {"listed", reach.listed}});
    } else if (!isCutOff && wasCutOff) {
      LogInfo("service_reachable", {{"service", service.name},
                                    {"after_ms", (now - known->second) / 1ms},
                                    {"unreachable", reach.unreachable},
                                    {"listed", reach.listed}});
    }
  }
  this->cutOffSince = std::move(cutOff);
}

}  // namespace zincstep
