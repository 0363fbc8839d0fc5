#include "Zincstep/Pool/ChainChooser.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Costs are in milliseconds.
constexpr double kMillisASecond = 1000;
/// A hop of a broken chain that still works costs this share: its cache of
/// the request stays, another upstream would have to build one.
constexpr double kKeptShare = 0.1;

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
  if (kind == nullptr || aModel.tokenMb <= 0) {
    return 0;
  }
  const double freeMb =
      kind->memoryMb - aEntry.layers.Size() * aModel.layerMb;
  return std::max(0.0, freeMb / (aModel.tokenMb / aModel.layers));
}

int ChainChooser::DomainOf(const std::string& aName) {
  const auto found =
      std::find(this->domains.begin(), this->domains.end(), aName);
  if (found != this->domains.end()) {
    return static_cast<int>(found - this->domains.begin());
  }
  this->domains.push_back(aName);
  return static_cast<int>(this->domains.size()) - 1;
}

void ChainChooser::Prepare(const ModelShape& aModel,
                           const std::vector<UpstreamPtr>& aUpstreams,
                           double aTokens, Instant aNow, Random& aRandom) {
  this->items.clear();
  const double stepMs = ToSeconds(aModel.stepTime) * kMillisASecond;
  for (const UpstreamPtr& upstream : aUpstreams) {
    const UpstreamEntry& entry = upstream->Entry();
    const PoolKind* kind = aModel.FindKind(entry.kind);
    const double capacity = Capacity(aModel, entry) * settings.memoryLimit;
    const double wanted = upstream->Work() + aTokens * entry.layers.Size();
    SearchItem item;
    item.layers = entry.layers;
    item.domain = this->DomainOf(entry.failureDomain);
    item.usable = kind != nullptr && entry.layers.Size() > 0 &&
                  upstream->IsUsable(aNow) && wanted <= capacity;
    if (item.usable) {
      const double full = wanted / capacity;
      const double varied =
          1 + this->settings.jitter * (2 * aRandom.Unit() - 1);
      item.layerCost = stepMs / aModel.layers * kind->stepFactor * varied *
                       (1 + this->settings.loadFactor * full * full);
      item.fixedCost = this->settings.hopCost;
    }
    this->items.push_back(item);
  }
}

void ChainChooser::SetLinkCosts() {
  const int count = static_cast<int>(this->domains.size());
  this->search.Reset(this->items, count);
  auto& costs = this->search.LinkCosts();
  for (int from = 0; from < count; ++from) {
    for (int to = 0; to < count; ++to) {
      costs[static_cast<std::size_t>(from * count + to)] =
          from == to ? 0 : this->settings.crossCost;
    }
  }
}

std::optional<PoolChain> ChainChooser::Find(
    const std::vector<UpstreamPtr>& aUpstreams, LayerRange aRange,
    int aFrom) {
  this->SetLinkCosts();
  if (!this->search.Find(this->items, aRange, aFrom)) {
    return std::nullopt;
  }
  PoolChain chain;
  for (const SearchHop& hop : this->search.Hops()) {
    chain.push_back(
        {aUpstreams[static_cast<std::size_t>(hop.item)], hop.layers});
  }
  return chain;
}

std::optional<PoolChain> ChainChooser::Choose(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const std::string& aOwnDomain, double aTokens, Instant aNow,
    Random& aRandom) {
  const int own = this->DomainOf(aOwnDomain);
  this->Prepare(aModel, aUpstreams, aTokens, aNow, aRandom);
  auto chain = this->Find(aUpstreams, LayerRange{0, aModel.layers}, own);
  if (chain) {
    MergeRepeated(*chain);
  }
  return chain;
}

std::optional<PoolChain> ChainChooser::Repair(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    const PoolChain& aChain, double aTokens, Instant aNow, Random& aRandom) {
  const PoolHop& first = aChain.front();
  this->Prepare(aModel, aUpstreams, aTokens, aNow, aRandom);
  for (std::size_t i = 0; i < this->items.size(); ++i) {
    SearchItem& item = this->items[i];
    const auto kept =
        std::find_if(aChain.begin(), aChain.end(), [&](const PoolHop& aHop) {
          return aHop.upstream == aUpstreams[i];
        });
    if (kept == aChain.end()) {
      continue;
    }
    item.usable = kept != aChain.begin() && aUpstreams[i]->IsUsable(aNow);
    item.layers = kept->layers;
    item.layerCost *= kKeptShare;
    item.fixedCost = 0;
  }
  const LayerRange rest{first.layers.last, aModel.layers};
  PoolChain chain{first};
  if (rest.Size() > 0) {
    const int domain = this->DomainOf(first.upstream->Entry().failureDomain);
    auto found = this->Find(aUpstreams, rest, domain);
    if (!found) {
      return std::nullopt;
    }
    MergeRepeated(*found);
    chain.insert(chain.end(), found->begin(), found->end());
  }
  return chain;
}

}  // namespace zincstep
