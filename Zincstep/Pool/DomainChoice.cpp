#include "Zincstep/Pool/DomainChoice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace zincstep {

namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

double DomainChoice::MemoryCost(const DomainState& aDomain) const {
  double cost = aDomain.isOwn ? 0 : this->settings.remoteCost;
  for (const double tokens : aDomain.freeTokens) {
    cost += tokens > 0 ? this->settings.scarcityCost / tokens
                       : std::numeric_limits<double>::infinity();
  }
  return cost;
}

double DomainChoice::CallersFactor(const DomainState& aDomain,
                                   Random& aRandom) const {
  const double held = this->settings.heldShare * aDomain.capacity;
  if (this->settings.expectedLoad == FeatureMode::Off || held <= 0 ||
      aDomain.callersTokens <= held) {
    return 1;
  }
  const double leavingShare = 1 - held / aDomain.callersTokens;
  return aRandom.Unit() < leavingShare ? this->settings.leaveFactor
                                       : this->settings.stayFactor;
}

FirstStageState DomainChoice::Total(
    const std::vector<FirstStageState>& aStages) const {
  FirstStageState total;
  for (const FirstStageState& stage : aStages) {
    const double usableSlots =
        std::max(1.0, this->settings.usableSlotShare * stage.slots);
    total.requests += std::max(0.0, stage.requests + 1 - usableSlots);
    total.slots += stage.slots;
    total.age += stage.age / static_cast<std::int64_t>(aStages.size());
  }
  return total;
}

double DomainChoice::WaitCost(const DomainState& aDomain,
                              const RequestTiming& aTiming,
                              Random& aRandom) const {
  if (this->settings.expectedLoad == FeatureMode::Off) {
    return 0;
  }
  const FirstStageState stages = this->Total(aDomain.firstStages);
  const double waitMs = stages.slots > 0
                            ? stages.requests / stages.slots *
                                  aTiming.responseSeconds * kMillisPerSecond
                            : 0;
  if (waitMs <= 0) {
    return 0;
  }
  if (!aDomain.isOwn) {
    // Spreads the requests of several daemons over several other domains.
    return waitMs * (1 + aRandom.Unit());
  }
  const double objectiveMs = ToSeconds(aTiming.objective) * kMillisPerSecond;
  // `remoteCost` is part of the preference.
  const double preferenceMs =
      std::max(0.0, this->settings.ownPreference * objectiveMs -
                        this->settings.remoteCost);
  const double variationMs =
      ToSeconds(this->settings.waitVariation + stages.age) * kMillisPerSecond;
  return std::max(0.0,
                  waitMs - preferenceMs - 2 * variationMs * aRandom.Unit());
}

std::vector<RankedDomain> DomainChoice::Rank(
    const std::vector<DomainState>& aDomains, const RequestTiming& aTiming,
    Random& aRandom) const {
  std::vector<RankedDomain> ranked;
  double ownMemoryCost = std::numeric_limits<double>::infinity();
  for (const DomainState& domain : aDomains) {
    const double jitterFactor =
        1 + this->settings.jitter * (2 * aRandom.Unit() - 1);
    const double memoryCost = this->MemoryCost(domain) * jitterFactor *
                              this->CallersFactor(domain, aRandom);
    if (!std::isfinite(memoryCost)) {
      continue;
    }
    ownMemoryCost = domain.isOwn ? memoryCost : ownMemoryCost;
    ranked.push_back({domain.name, memoryCost,
                      this->WaitCost(domain, aTiming, aRandom),
                      domain.isOwn ? DomainReason::Own : DomainReason::NoRoom});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedDomain& aLeft, const RankedDomain& aRight) {
              const double left = aLeft.Cost();
              const double right = aRight.Cost();
              return std::tie(left, aLeft.name) < std::tie(right, aRight.name);
            });
  // A domain that ranks after the own one is used only if no chain of the own
  // one has room.
  for (RankedDomain& domain : ranked) {
    if (domain.reason == DomainReason::Own || !std::isfinite(ownMemoryCost)) {
      break;
    }
    domain.reason = domain.memoryCost < ownMemoryCost ? DomainReason::Scarce
                                                      : DomainReason::Queue;
  }
  return ranked;
}

}  // namespace zincstep
