#include "Zincstep/Pool/ChainChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

namespace {

/// Costs are in milliseconds.
constexpr double kMillisASecond = 1000;
/// Keeps one part of an upstream that a cover uses twice.
///
/// A cheaper upstream can lie between two parts of another; the other then
/// runs the layers between as well, since a chain names each only once.
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

}  // namespace

double ChainChooser::Capacity(const ModelShape& aModel,
                              const UpstreamEntry& aEntry) {
  const PoolKind* kind = aModel.FindKind(aEntry.kind);
  if (kind == nullptr) {
    return 0;
  }
  return RequestMemory(aModel, *kind, aEntry.layers, aEntry.slots);
}

void ChainChooser::Prepare(const ModelShape& aModel,
                           const std::vector<UpstreamPtr>& aUpstreams,
                           double aTokens, Instant aNow, Weights aWeights,
                           Random& aRandom) {
  this->items.clear();
  this->freeTokens.clear();
  const double stepMs = ToSeconds(aModel.stepTime) * kMillisASecond;
  for (const UpstreamPtr& upstream : aUpstreams) {
    const UpstreamEntry& entry = upstream->Entry();
    const PoolKind* kind = aModel.FindKind(entry.kind);
    const double pace = std::max(1.0, upstream->Slowdown(aNow));
    const double capacity =
        Capacity(aModel, entry) * this->settings.memoryLimit;
    const double wanted = upstream->Work() + aTokens * entry.layers.Size();
    SearchItem item;
    item.layers = entry.layers;
    if (!upstream->MayCall(aNow)) {
      // Whoever runs the first layer gets the call; any other member gets none.
      item.layers.first = std::max(item.layers.first, 1);
    }
    item.usable = kind != nullptr && item.layers.Size() > 0 &&
                  upstream->IsUsable(aNow) && wanted <= capacity;
    double freeTokens = 0;
    if (item.usable) {
      // One that takes so many times longer works off as many times less: the
      // same room there is worth less, or those behind it wait.
      freeTokens =
          std::max(1.0, (capacity - wanted) / entry.layers.Size() / pace);
      const double drawn = -std::log(1 - aRandom.Unit());
      item.layerCost = stepMs / aModel.layers * kind->stepFactor * pace +
                       drawn * aWeights.scarcityCost / freeTokens;
      item.fixedCost = aWeights.hopCost;
    }
    this->items.push_back(item);
    this->freeTokens.push_back(freeTokens);
  }
}

std::optional<PoolChain> ChainChooser::FindIn(
    const std::vector<UpstreamPtr>& aUpstreams, const std::string& aDomain,
    LayerRange aRange) {
  this->domainItems.clear();
  this->domainUpstreams.clear();
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    if (this->items[i].usable &&
        aUpstreams[i]->Entry().failureDomain == aDomain) {
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
    Random& aRandom) {
  this->Prepare(aModel, aUpstreams, aTokens, aNow,
                {this->settings.hopCost, this->settings.scarcityCost}, aRandom);
  for (const std::string& domain :
       this->RankDomains(aModel, aUpstreams, aOwnDomain, aRandom)) {
    auto chain = this->FindIn(aUpstreams, domain, LayerRange{0, aModel.layers});
    if (chain) {
      return chain;
    }
  }
  return std::nullopt;
}

std::vector<std::string> ChainChooser::RankDomains(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const std::string& aOwnDomain, Random& aRandom) const {
  std::map<std::string, std::vector<double>> roomByDomain;
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    const LayerRange layers = this->items[i].layers;
    auto& room = roomByDomain[aUpstreams[i]->Entry().failureDomain];
    room.resize(static_cast<std::size_t>(aModel.layers));
    for (int layer = layers.first; layer < std::min(layers.last, aModel.layers);
         ++layer) {
      room[static_cast<std::size_t>(layer)] += this->freeTokens[i];
    }
  }
  std::vector<std::pair<double, std::string>> ranked;
  for (const auto& [domain, room] : roomByDomain) {
    double cost = domain == aOwnDomain ? 0 : this->settings.awayCost;
    for (const double tokens : room) {
      cost += tokens > 0 ? this->settings.domainScarcityCost / tokens
                         : std::numeric_limits<double>::infinity();
    }
    const double varied =
        1 + this->settings.domainJitter * (2 * aRandom.Unit() - 1);
    if (std::isfinite(cost)) {
      ranked.emplace_back(cost * varied, domain);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> domains;
  for (auto& [cost, domain] : ranked) {
    domains.push_back(std::move(domain));
  }
  return domains;
}

std::optional<PoolChain> ChainChooser::Repair(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const PoolChain& aChain, const std::vector<UpstreamPtr>& aBlamed,
    double aTokens, Instant aNow, Random& aRandom) {
  const PoolHop& first = aChain.front();
  this->Prepare(
      aModel, aUpstreams, aTokens, aNow,
      {this->settings.repairHopCost, this->settings.repairScarcityCost},
      aRandom);
  for (std::size_t i = 0; i < this->items.size(); ++i) {
    SearchItem& item = this->items[i];
    const auto kept = std::find_if(
        aChain.begin(), aChain.end(),
        [&](const PoolHop& aHop) { return aHop.upstream == aUpstreams[i]; });
    const bool isBlamed = std::find(aBlamed.begin(), aBlamed.end(),
                                    aUpstreams[i]) != aBlamed.end();
    if (kept == aChain.end()) {
      item.usable = item.usable && !isBlamed;
      continue;
    }
    const UpstreamEntry& entry = aUpstreams[i]->Entry();
    item.usable = kept != aChain.begin() && !isBlamed &&
                  entry.state == Availability::Ready &&
                  !aUpstreams[i]->IsSuspect(aNow) &&
                  entry.layers.Covers(kept->layers);
    // One that stays costs nothing: its cache of the request stays too.
    item.layers = kept->layers;
    item.layerCost = 0;
    item.fixedCost = 0;
  }
  const LayerRange rest{first.layers.last, aModel.layers};
  PoolChain chain{first};
  if (rest.Size() > 0) {
    auto found =
        this->FindIn(aUpstreams, first.upstream->Entry().failureDomain, rest);
    if (!found) {
      return std::nullopt;
    }
    chain.insert(chain.end(), found->begin(), found->end());
  }
  return chain;
}

}  // namespace zincstep
