#include "Zincstep/Pool/PlacementPlanner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Zincstep/Pool/DomainPlan.h"

namespace zincstep {

namespace {

/// Tokens of requests that one copy of the model leaves memory for.
double RoomBesideOneCopy(const ModelShape& aModel,
                         const std::vector<PlacedUpstream>& aUpstreams) {
  double memory = -aModel.layers * aModel.layerMb;
  for (const PlacedUpstream& upstream : aUpstreams) {
    const PoolKind* kind = aModel.FindKind(upstream.kind);
    memory += kind == nullptr ? 0 : kind->memoryMb;
  }
  return aModel.tokenMb > 0 ? std::max(0.0, memory / aModel.tokenMb) : 0;
}

}  // namespace

std::vector<PlacementOrder> PlacementPlanner::Plan(
    const ModelShape& aModel, const PlacementInput& aSituation,
    PlanCost* aEffort) const {
  std::map<std::string, std::vector<PlacedUpstream>> byDomain;
  for (const PlacedUpstream& upstream : aSituation.upstreams) {
    byDomain[upstream.failureDomain].push_back(upstream);
  }
  std::map<std::string, double> rooms;
  double allRoom = 0;
  for (const auto& [domain, upstreams] : byDomain) {
    rooms[domain] = RoomBesideOneCopy(aModel, upstreams);
    allRoom += rooms[domain];
  }
  std::vector<PlacementOrder> orders;
  for (auto& [domain, upstreams] : byDomain) {
    // Requests go where there is room for them.
    const double room = rooms[domain];
    const ObservedDemand seen = aSituation.demand.value_or(ObservedDemand{});
    const double demand =
        std::max(allRoom > 0 ? seen.tokens * room / allRoom : 0,
                 seen.priorLeft * this->settings.priorShare * room);
    DomainPlan plan(aModel, this->settings,
                    DomainLayout(aModel, this->settings.layoutScore, demand,
                                 std::move(upstreams)));
    const bool improves =
        !aSituation.domainToImprove || *aSituation.domainToImprove == domain;
    const auto made =
        plan.Make(improves, aSituation.stableDomains.contains(domain),
                  aSituation.passNumber);
    orders.insert(orders.end(), made.begin(), made.end());
    if (aEffort != nullptr) {
      aEffort->steps += plan.Steps();
    }
  }
  return orders;
}

}  // namespace zincstep
