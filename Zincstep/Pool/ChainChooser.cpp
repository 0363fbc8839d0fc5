#include "Zincstep/Pool/ChainChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Mean step time of chains over that of the fastest kind, for the response
/// time before any response.
constexpr double kChainStepFactor = 8;

/// Share of its time that an upstream reads prompts in while it also decodes.
constexpr double kReadShare = 0.5;
/// Age of the counts of requests where none is known: the interval of the
/// reports in a domain of a hundred daemons.
constexpr Micros kUnknownAge = 1s;

/// Merges the stages of an upstream that occurs twice in a chain.
///
/// A cheaper upstream can lie between two stages of another; the other then
/// runs the layers in between as well, since a chain names each upstream only
/// once.
void MergeRepeated(PoolChain& aChain) {
  for (std::size_t i = 0; i < aChain.size(); ++i) {
    for (std::size_t j = aChain.size() - 1; j > i; --j) {
      if (aChain[i].upstream == aChain[j].upstream) {
        aChain[i].layers.last = aChain[j].layers.last;
        aChain.erase(aChain.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                     aChain.begin() + static_cast<std::ptrdiff_t>(j) + 1);
        break;
      }
    }
  }
}

/// State of an upstream as first stage of a domain.
FirstStageState FirstStageOf(const LiveUpstream& aUpstream, bool aIsOwnDomain,
                             const RequestTiming& aTiming, Instant aNow) {
  const auto announced = aUpstream.firstStage.Announced(aNow);
  FirstStageState state;
  state.requests = aUpstream.firstStage.Expected(aTiming.responseSeconds, aNow);
  if (announced && !aIsOwnDomain) {
    // Not all daemons of another domain report to this one. As many requests
    // start there as end, as far as known.
    state.requests = std::max<double>(state.requests,
                                      announced->running + announced->queued);
  }
  state.slots = aUpstream.Entry().slots;
  state.age = announced ? aNow - announced->at : kUnknownAge;
  return state;
}

}  // namespace

double ChainChooser::Capacity(const ModelShape& aModel,
                              const UpstreamEntry& aEntry) {
  const PoolKind* kind = aModel.FindKind(aEntry.kind);
  if (kind == nullptr) {
    return 0;
  }
  return RequestMemory(aModel, *kind, aEntry.layers, aEntry.slots);
}

double ChainChooser::ReadRate(const ModelShape& aModel,
                              const UpstreamEntry& aEntry) {
  const PoolKind* kind = aModel.FindKind(aEntry.kind);
  // A rate of 1 is the default of a configuration that states none.
  if (kind == nullptr || aModel.readTokensPerSecond <= 1 ||
      kind->readFactor <= 0) {
    return 0;
  }
  return kReadShare * aModel.readTokensPerSecond * aModel.layers /
         kind->readFactor;
}

void ChainChooser::Prepare(const ModelShape& aModel,
                           const std::vector<UpstreamPtr>& aUpstreams,
                           double aTokens, Instant aNow, Weights aWeights,
                           Random& aRandom) {
  this->items.clear();
  this->freeTokens.clear();
  const double stepMs = ToSeconds(aModel.stepTime) * kMillisPerSecond;
  for (const UpstreamPtr& upstream : aUpstreams) {
    const UpstreamEntry& entry = upstream->Entry();
    const PoolKind* kind = aModel.FindKind(entry.kind);
    const double slowdown = std::max(1.0, upstream->Slowdown(aNow));
    const double capacity =
        Capacity(aModel, entry) * this->settings.memoryLimit;
    const double required = upstream->Work() + aTokens * entry.layers.Size();
    SearchItem item;
    item.layers = entry.layers;
    if (!upstream->MayCall(aNow)) {
      // Only the upstream of the first layer receives a call; later members
      // receive none.
      item.layers.first = std::max(item.layers.first, 1);
    }
    item.usable = kind != nullptr && item.layers.Size() > 0 &&
                  upstream->IsUsable(aNow) && required <= capacity;
    double freeTokens = 0;
    if (item.usable) {
      // A slow upstream frees memory more slowly by the same factor, so its
      // free memory counts for less; otherwise requests queue behind it.
      freeTokens =
          std::max(1.0, (capacity - required) / entry.layers.Size() / slowdown);
      const double randomFactor = -std::log(1 - aRandom.Unit());
      item.layerCost = stepMs / aModel.layers * kind->stepFactor * slowdown +
                       randomFactor * aWeights.scarcityCost / freeTokens;
      item.fixedCost = aWeights.hopCost;
    }
    this->items.push_back(item);
    this->freeTokens.push_back(freeTokens);
  }
}

void ChainChooser::BalanceFirstStages(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    double aResponseSeconds, Instant aNow, Random& aRandom) {
  const double responseSeconds =
      aResponseSeconds > 0
          ? aResponseSeconds
          : ToSeconds(aModel.stepTime) * aModel.usualAnswer * kChainStepFactor;
  this->stageSums.clear();
  this->stages.clear();
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    const LiveUpstream& upstream = *aUpstreams[i];
    const int slots = upstream.Entry().slots;
    // One slot is the value of entries that state none.
    if (!this->items[i].usable || this->items[i].layers.first > 0 ||
        slots <= 1) {
      continue;
    }
    StageSum& sum = this->stageSums[upstream.Entry().failureDomain];
    const double requests = upstream.firstStage.Expected(responseSeconds, aNow);
    // A slow upstream frees its slots more slowly by the same factor.
    const double slowdown = std::max(1.0, upstream.Slowdown(aNow));
    sum.requests += requests;
    sum.slots += slots / slowdown;
    sum.leastShare = std::min(sum.leastShare, requests / slots);
    this->stages.push_back({i, &sum, requests / slots, slowdown});
  }
  for (const Stage& stage : this->stages) {
    double& cost = this->items[stage.item].entryCost;
    const double limit =
        std::max(this->settings.slotLimit,
                 stage.sum->leastShare + this->settings.slotTolerance);
    if (stage.share >= limit) {
      cost = std::numeric_limits<double>::infinity();
      continue;
    }
    const double meanShare = std::max(stage.sum->requests / stage.sum->slots,
                                      this->settings.minBalancedShare);
    const double excess =
        stage.share * stage.slowdown / meanShare - this->settings.balancedRatio;
    const double randomFactor = -std::log(1 - aRandom.Unit());
    cost = std::clamp(randomFactor * this->settings.imbalanceCost * excess, 0.0,
                      this->settings.maxImbalanceCost);
  }
}

std::optional<PoolChain> ChainChooser::FindChain(
    const std::vector<UpstreamPtr>& aUpstreams, const std::string* aDomain,
    LayerRange aRange) {
  this->domainItems.clear();
  this->domainUpstreams.clear();
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    const bool isInScope =
        aDomain == nullptr || aUpstreams[i]->Entry().failureDomain == *aDomain;
    if (this->items[i].usable && isInScope) {
      this->domainItems.push_back(this->items[i]);
      this->domainUpstreams.push_back(i);
    }
  }
  this->search.Reset(this->domainItems, 1);
  if (!this->search.Find(this->domainItems, aRange, -1)) {
    return std::nullopt;
  }
  PoolChain chain;
  for (const SearchHop& hop : this->search.Hops()) {
    const std::size_t upstream =
        this->domainUpstreams[static_cast<std::size_t>(hop.item)];
    chain.push_back({aUpstreams[upstream], hop.layers});
  }
  MergeRepeated(chain);
  return chain;
}

std::optional<PoolChain> ChainChooser::Choose(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const std::string& aOwnDomain, double aTokens, Instant aNow,
    Random& aRandom, const RequestTiming& aTiming) {
  this->Prepare(aModel, aUpstreams, aTokens, aNow,
                {this->settings.hopCost, this->settings.scarcityCost}, aRandom);
  if (this->settings.firstStageBalance != FeatureMode::Off) {
    this->BalanceFirstStages(aModel, aUpstreams, aTiming.responseSeconds, aNow,
                             aRandom);
  }
  for (const RankedDomain& domain : this->RankDomains(
           aModel, aUpstreams, aOwnDomain, aTiming, aNow, aRandom)) {
    auto chain =
        this->FindChain(aUpstreams, &domain.name, LayerRange{0, aModel.layers});
    if (chain) {
      this->lastReason = domain.reason;
      return chain;
    }
  }
  return std::nullopt;
}

std::vector<RankedDomain> ChainChooser::RankDomains(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const std::string& aOwnDomain, const RequestTiming& aTiming, Instant aNow,
    Random& aRandom) const {
  std::map<std::string, std::size_t> indices;
  std::vector<DomainState> domains;
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    const UpstreamEntry& entry = aUpstreams[i]->Entry();
    const auto [index, isNew] =
        indices.try_emplace(entry.failureDomain, domains.size());
    if (isNew) {
      domains.push_back(
          {entry.failureDomain,
           entry.failureDomain == aOwnDomain,
           std::vector<double>(static_cast<std::size_t>(aModel.layers)),
           0,
           0,
           {}});
    }
    DomainState& domain = domains[index->second];
    const LayerRange layers = this->items[i].layers;
    for (int layer = layers.first; layer < std::min(layers.last, aModel.layers);
         ++layer) {
      domain.freeTokens[static_cast<std::size_t>(layer)] += this->freeTokens[i];
    }
    if (this->items[i].usable && layers.first == 0) {
      domain.firstStages.push_back(
          FirstStageOf(*aUpstreams[i], domain.isOwn, aTiming, aNow));
    }
  }
  if (this->knowsOwnCallers) {
    this->AddCallers(aModel, aUpstreams, domains);
  }
  // By name, so that the random draws do not depend on the order of upstreams.
  std::sort(domains.begin(), domains.end(),
            [](const DomainState& aLeft, const DomainState& aRight) {
              return aLeft.name < aRight.name;
            });
  return this->domainChoice.Rank(domains, aTiming, aRandom);
}

void ChainChooser::SetReadCost(SearchItem& aItem, double aFreeTokens,
                               const ModelShape& aModel,
                               const LiveUpstream& aUpstream, double aTokens,
                               Instant aNow, Random& aRandom) const {
  const double rate =
      ReadRate(aModel, aUpstream.Entry()) / aUpstream.Slowdown(aNow);
  if (rate <= 0) {
    return;
  }
  // All streams of a lost member choose at the same instant. With a cost drawn
  // from an exponential distribution each upstream gets a share of them in
  // inverse proportion to its read time.
  const double factor = -std::log(1 - aRandom.Unit());
  const double memoryFactor = 1 + aTokens / aFreeTokens;
  aItem.layerCost = factor * memoryFactor * aTokens / rate * kMillisPerSecond;
  aItem.fixedCost =
      factor * ToSeconds(aUpstream.ReadWait(aNow)) * kMillisPerSecond +
      this->settings.repairReadHopCost;
}

std::optional<PoolChain> ChainChooser::ChooseByReadTime(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const std::string& aDomain, double aTokens, Instant aNow, Random& aRandom) {
  this->Prepare(aModel, aUpstreams, aTokens, aNow,
                {this->settings.hopCost, this->settings.scarcityCost}, aRandom);
  for (std::size_t i = 0; i < this->items.size(); ++i) {
    if (this->items[i].usable) {
      this->SetReadCost(this->items[i], this->freeTokens[i], aModel,
                        *aUpstreams[i], aTokens, aNow, aRandom);
    }
  }
  return this->FindChain(aUpstreams, &aDomain, LayerRange{0, aModel.layers});
}

void ChainChooser::AddCallers(const ModelShape& aModel,
                              const std::vector<UpstreamPtr>& aUpstreams,
                              std::vector<DomainState>& aDomains) const {
  const auto own =
      std::find_if(aDomains.begin(), aDomains.end(),
                   [](const DomainState& aDomain) { return aDomain.isOwn; });
  if (own == aDomains.end()) {
    return;
  }
  std::vector<double> capacities(static_cast<std::size_t>(aModel.layers));
  for (const UpstreamPtr& upstream : aUpstreams) {
    const UpstreamEntry& entry = upstream->Entry();
    own->callersTokens += upstream->Work() / aModel.layers;
    if (entry.failureDomain != own->name || entry.layers.Size() == 0) {
      continue;
    }
    const double tokens = this->settings.memoryLimit * Capacity(aModel, entry) /
                          entry.layers.Size();
    for (int layer = entry.layers.first;
         layer < std::min(entry.layers.last, aModel.layers); ++layer) {
      capacities[static_cast<std::size_t>(layer)] += tokens;
    }
  }
  own->capacity = *std::min_element(capacities.begin(), capacities.end());
}

std::optional<PoolChain> ChainChooser::Repair(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const PoolChain& aChain, const std::vector<UpstreamPtr>& aAtFault,
    double aTokens, Instant aNow, Random& aRandom, RepairCost aCost,
    RepairScope aScope) {
  const PoolHop& first = aChain.front();
  this->Prepare(
      aModel, aUpstreams, aTokens, aNow,
      {this->settings.repairHopCost, this->settings.repairScarcityCost},
      aRandom);
  for (std::size_t i = 0; i < this->items.size(); ++i) {
    SearchItem& item = this->items[i];
    const auto member = std::find_if(
        aChain.begin(), aChain.end(),
        [&](const PoolHop& aHop) { return aHop.upstream == aUpstreams[i]; });
    const bool isAtFault = std::find(aAtFault.begin(), aAtFault.end(),
                                     aUpstreams[i]) != aAtFault.end();
    if (member == aChain.end()) {
      item.usable = item.usable && !isAtFault;
      if (item.usable && aCost == RepairCost::ReadTime) {
        this->SetReadCost(item, this->freeTokens[i], aModel, *aUpstreams[i],
                          aTokens, aNow, aRandom);
      }
      continue;
    }
    const UpstreamEntry& entry = aUpstreams[i]->Entry();
    item.usable = member != aChain.begin() && !isAtFault &&
                  entry.state == Availability::Ready &&
                  !aUpstreams[i]->IsSuspect(aNow) &&
                  entry.layers.Covers(member->layers);
    // A retained member is free: it still has the request's cache.
    item.layers = member->layers;
    item.layerCost = 0;
    item.fixedCost = 0;
  }
  const LayerRange remainingLayers{first.layers.last, aModel.layers};
  PoolChain chain{first};
  if (remainingLayers.Size() > 0) {
    const bool isInFirstDomain = aScope == RepairScope::FirstDomain;
    auto found = this->FindChain(
        aUpstreams,
        isInFirstDomain ? &first.upstream->Entry().failureDomain : nullptr,
        remainingLayers);
    if (!found) {
      return std::nullopt;
    }
    chain.insert(chain.end(), found->begin(), found->end());
  }
  return chain;
}

}  // namespace zincstep
