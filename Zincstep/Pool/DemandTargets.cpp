#include "Zincstep/Pool/DemandTargets.h"

#include <algorithm>

#include "Zincstep/Pool/DemandMeter.h"
#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

namespace {

/// Share of a domain's room that it can hold without refusals: with memory for
/// 1.5 times the demand 4 in 100 requests find none, with less more do
/// (`DomainLayout`), and callers are served better in another domain.
constexpr double kHeldShare = 1 / 1.5;

/// Demand of a domain's callers when a load that is ordered now is complete.
double ExpectedDemand(const ModelShape& aModel, const DomainDemand& aDemand) {
  // A trend is not extrapolated beyond the time over which it was observed, nor
  // beyond twice the present demand.
  const double horizon =
      ToSeconds(std::min(aModel.loadTime, DemandSum::kTrendSpan));
  const double growth =
      std::clamp(aDemand.trend * horizon, 0.0, std::max(0.0, aDemand.current));
  return std::max(aDemand.peak, aDemand.current + growth);
}

/// Tokens that each domain can hold without refusals, and their sum.
struct HeldTokens {
  std::map<std::string, double> byDomain;
  double total = 0;
};

HeldTokens HeldOf(const std::map<std::string, double>& aRoom) {
  HeldTokens held;
  for (const auto& [domain, room] : aRoom) {
    held.byDomain[domain] = kHeldShare * room;
    held.total += kHeldShare * room;
  }
  return held;
}

/// Raises targets so that the other domains can replace any one that is lost.
///
/// The layout's score covers the loss of a domain by a fixed factor on the
/// demand (`domainLossDemandFactor`), which suffices for domains of equal
/// demand. Where a larger one can be lost the target has to be raised.
void CoverLosses(std::map<std::string, DomainTarget>& aTargets,
                 const HeldTokens& aHeld) {
  const auto count = static_cast<double>(aTargets.size());
  std::map<std::string, double> covered;
  for (const auto& [lost, lostTarget] : aTargets) {
    const double remaining = aHeld.total - aHeld.byDomain.at(lost);
    for (const auto& [domain, target] : aTargets) {
      if (domain != lost && remaining > 0) {
        const double moved =
            lostTarget.target * aHeld.byDomain.at(domain) / remaining;
        covered[domain] = std::max(
            covered[domain], (target.target + moved) * (count - 1) / count);
      }
    }
  }
  for (auto& [domain, target] : aTargets) {
    target.target = std::max(
        target.target, std::min(covered[domain], aHeld.byDomain.at(domain)));
  }
}

}  // namespace

double TokensBesideOneCopy(const ModelShape& aModel,
                           const std::vector<PlacedUpstream>& aUpstreams) {
  double memory = -aModel.layers * aModel.layerMb;
  for (const PlacedUpstream& upstream : aUpstreams) {
    const PoolKind* kind = aModel.FindKind(upstream.kind);
    memory += kind == nullptr ? 0 : kind->memoryMb;
  }
  return aModel.tokenMb > 0 ? std::max(0.0, memory / aModel.tokenMb) : 0;
}

std::map<std::string, DomainTarget> ShareDemand(
    const std::map<std::string, double>& aOwn,
    const std::map<std::string, double>& aRoom) {
  const HeldTokens held = HeldOf(aRoom);
  std::map<std::string, DomainTarget> targets;
  double excess = 0;
  double totalLeft = held.total;
  for (const auto& [domain, room] : aRoom) {
    targets[domain] = {};
  }
  for (const auto& [domain, own] : aOwn) {
    const auto target = targets.find(domain);
    if (target == targets.end()) {
      excess += own;
      continue;
    }
    target->second.own = own;
    target->second.target = std::min(own, held.byDomain.at(domain));
    excess += own - target->second.target;
    totalLeft -= target->second.target;
  }
  const double placed = std::min(excess, std::max(0.0, totalLeft));
  const double unplaced = excess - placed;
  for (auto& [domain, target] : targets) {
    const double domainHeld = held.byDomain.at(domain);
    if (totalLeft > 0) {
      target.takenOver = placed * (domainHeld - target.target) / totalLeft;
    }
    target.target += target.takenOver;
    if (held.total > 0) {
      target.target = std::min(
          aRoom.at(domain), target.target + unplaced * domainHeld / held.total);
    }
  }
  CoverLosses(targets, held);
  return targets;
}

std::vector<std::string> DemandTargets::Update(
    const ModelShape& aModel, const std::vector<PlacedUpstream>& aUpstreams,
    const ObservedDemand& aDemand, Instant aNow) {
  if (aDemand.byDomain.empty()) {
    this->Clear();
    return {};
  }
  std::map<std::string, double> own;
  for (const auto& [domain, demand] : aDemand.byDomain) {
    own[domain] = ExpectedDemand(aModel, demand);
  }
  std::map<std::string, std::vector<PlacedUpstream>> upstreams;
  for (const PlacedUpstream& upstream : aUpstreams) {
    upstreams[upstream.failureDomain].push_back(upstream);
  }
  std::map<std::string, double> room;
  for (const auto& [domain, ofDomain] : upstreams) {
    room[domain] = TokensBesideOneCopy(aModel, ofDomain);
  }
  const auto required = ShareDemand(own, room);
  std::erase_if(this->states, [&required](const auto& aState) {
    return !required.contains(aState.first);
  });
  std::vector<std::string> changed;
  for (const auto& [domain, target] : required) {
    const auto [state, isNew] =
        this->states.try_emplace(domain, State{target, target, aNow});
    if (isNew || Apply(state->second, target, aNow)) {
      changed.push_back(domain);
    }
  }
  return changed;
}

bool DemandTargets::Apply(State& aState, const DomainTarget& aRequired,
                          Instant aNow) {
  // Each layout reserves `kMinReservedTokens`, whatever the target.
  const double minChange =
      kMinChange * std::max(aState.present.target, kMinReservedTokens);
  if (aRequired.target > aState.present.target + minChange) {
    aState = {aRequired, aRequired, aNow};
    return true;
  }
  if (aRequired.target > aState.highest.target) {
    aState.highest = aRequired;
  }
  if (aNow - aState.since < kHoldTime) {
    return false;
  }
  const bool falls = aState.highest.target < aState.present.target - minChange;
  if (falls) {
    aState.present = aState.highest;
  }
  aState.highest = aRequired;
  aState.since = aNow;
  return falls;
}

std::map<std::string, DomainTarget> DemandTargets::Targets() const {
  std::map<std::string, DomainTarget> targets;
  for (const auto& [domain, state] : this->states) {
    targets[domain] = state.present;
  }
  return targets;
}

}  // namespace zincstep
