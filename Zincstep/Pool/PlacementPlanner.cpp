#include "Zincstep/Pool/PlacementPlanner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Zincstep/Pool/DomainPlan.h"

namespace zincstep {

namespace {

/// Request tokens that fit into the memory that one copy of the model leaves
/// free.
double TokensBesideOneCopy(const ModelShape& aModel,
                           const std::vector<PlacedUpstream>& aUpstreams) {
  double memory = -aModel.layers * aModel.layerMb;
  for (const PlacedUpstream& upstream : aUpstreams) {
    const PoolKind* kind = aModel.FindKind(upstream.kind);
    memory += kind == nullptr ? 0 : kind->memoryMb;
  }
  return aModel.tokenMb > 0 ? std::max(0.0, memory / aModel.tokenMb) : 0;
}

}  // namespace

std::vector<PlacementOrder> PlacementPlanner::Plan(const ModelShape& aModel,
                                                   const PlacementInput& aInput,
                                                   PlanCost* aCost) const {
  std::map<std::string, std::vector<PlacedUpstream>> byDomain;
  for (const PlacedUpstream& upstream : aInput.upstreams) {
    byDomain[upstream.failureDomain].push_back(upstream);
  }
  std::map<std::string, double> tokensByDomain;
  double totalTokens = 0;
  for (const auto& [domain, upstreams] : byDomain) {
    tokensByDomain[domain] = TokensBesideOneCopy(aModel, upstreams);
    totalTokens += tokensByDomain[domain];
  }
  std::vector<PlacementOrder> orders;
  for (auto& [domain, upstreams] : byDomain) {
    // Requests spread over the domains in proportion to their free memory.
    const double domainTokens = tokensByDomain[domain];
    const ObservedDemand observed = aInput.demand.value_or(ObservedDemand{});
    const double demand = std::max(
        totalTokens > 0 ? observed.tokens * domainTokens / totalTokens : 0,
        observed.priorWeight * this->settings.priorShare * domainTokens);
    DomainPlan plan(aModel, this->settings,
                    DomainLayout(aModel, this->settings.layoutScore, demand,
                                 std::move(upstreams)));
    const bool shouldImprove =
        !aInput.domainToImprove || *aInput.domainToImprove == domain;
    const auto domainOrders =
        plan.MakeOrders(shouldImprove, aInput.stableDomains.contains(domain),
                        aInput.passNumber);
    orders.insert(orders.end(), domainOrders.begin(), domainOrders.end());
    if (aCost != nullptr) {
      aCost->steps += plan.Steps();
    }
  }
  return orders;
}

}  // namespace zincstep
