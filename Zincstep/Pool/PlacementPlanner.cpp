#include "Zincstep/Pool/PlacementPlanner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Zincstep/Pool/DemandTargets.h"
#include "Zincstep/Pool/DomainPlan.h"

namespace zincstep {

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
  const ObservedDemand observed = aInput.demand.value_or(ObservedDemand{});
  std::vector<PlacementOrder> orders;
  for (auto& [domain, upstreams] : byDomain) {
    const double domainTokens = tokensByDomain[domain];
    const auto target = aInput.targets.find(domain);
    double required = 0;
    if (target != aInput.targets.end()) {
      required = target->second;
    } else if (totalTokens > 0) {
      // Demand that is not known by domain spreads over the domains in
      // proportion to their free memory.
      required = observed.tokens * domainTokens / totalTokens;
    }
    const double demand =
        std::max(required, observed.priorWeight * this->settings.priorShare *
                               domainTokens);
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
