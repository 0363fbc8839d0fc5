#include "Zincstep/Routing/LayeredSearch.h"

#include <algorithm>
#include <limits>

namespace zincstep {

namespace {

constexpr double kUnreached = std::numeric_limits<double>::infinity();

}  // namespace

void LayeredSearch::Reset(const std::vector<SearchItem>& aItems, int aDomains) {
  this->domains = aDomains;
  this->rangeEnds.clear();
  for (const SearchItem& item : aItems) {
    this->rangeEnds.push_back(item.layers.first);
    this->rangeEnds.push_back(item.layers.last);
  }
  std::sort(this->rangeEnds.begin(), this->rangeEnds.end());
  this->rangeEnds.erase(
      std::unique(this->rangeEnds.begin(), this->rangeEnds.end()),
      this->rangeEnds.end());
  this->linkCosts.assign(static_cast<std::size_t>(aDomains * aDomains), 0.0);
  this->entryCost.assign(static_cast<std::size_t>(aDomains), kUnreached);
  this->entryDomain.assign(static_cast<std::size_t>(aDomains), -1);
}

void LayeredSearch::CollectBoundaries(const std::vector<SearchItem>&,
                                      LayerRange aRange) {
  this->boundaries.clear();
  this->boundaries.push_back(aRange.first);
  for (const int end : this->rangeEnds) {
    if (end > aRange.first && end < aRange.last) {
      this->boundaries.push_back(end);
    }
  }
  this->boundaries.push_back(aRange.last);
  const std::size_t count =
      this->boundaries.size() * static_cast<std::size_t>(this->domains);
  this->states.assign(count, State{kUnreached, -1, -1, -1});
}

void LayeredSearch::ComputeEntryCosts(int aBoundary, int aFrom) {
  for (int to = 0; to < this->domains; ++to) {
    const auto slot = static_cast<std::size_t>(to);
    this->entryCost[slot] = kUnreached;
    this->entryDomain[slot] = -1;
    if (aBoundary == 0) {
      const bool hasFrom = aFrom >= 0;
      this->entryCost[slot] = hasFrom
                                  ? this->linkCosts[static_cast<std::size_t>(
                                        aFrom * this->domains + to)]
                                  : 0.0;
      continue;
    }
    for (int from = 0; from < this->domains; ++from) {
      const double reached =
          this->At(aBoundary, from).cost +
          this->linkCosts[static_cast<std::size_t>(from * this->domains + to)];
      if (reached < this->entryCost[slot]) {
        this->entryCost[slot] = reached;
        this->entryDomain[slot] = from;
      }
    }
  }
}

void LayeredSearch::RelaxEdges(const std::vector<SearchItem>& aItems,
                               int aBoundary) {
  const int start = this->boundaries[static_cast<std::size_t>(aBoundary)];
  const int count = static_cast<int>(this->boundaries.size());
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const SearchItem& item = aItems[i];
    const bool canRun =
        item.layers.first <= start && start < item.layers.last && item.usable;
    const double entry = this->entryCost[static_cast<std::size_t>(item.domain)];
    if (!canRun || entry == kUnreached) {
      continue;
    }
    const double startCost = start == 0 ? item.entryCost : 0;
    for (int next = aBoundary + 1; next < count; ++next) {
      const int end = this->boundaries[static_cast<std::size_t>(next)];
      if (end > item.layers.last) {
        break;
      }
      const double reached =
          entry + startCost + item.fixedCost + item.layerCost * (end - start);
      State& state = this->At(next, item.domain);
      if (reached < state.cost) {
        state = {reached, static_cast<int>(i), aBoundary,
                 this->entryDomain[static_cast<std::size_t>(item.domain)]};
      }
    }
  }
}

bool LayeredSearch::CollectHops(int aLastBoundary) {
  this->hops.clear();
  int domain = 0;
  for (int other = 1; other < this->domains; ++other) {
    if (this->At(aLastBoundary, other).cost <
        this->At(aLastBoundary, domain).cost) {
      domain = other;
    }
  }
  this->cost = this->At(aLastBoundary, domain).cost;
  if (this->cost == kUnreached) {
    return false;
  }
  int boundary = aLastBoundary;
  while (boundary > 0) {
    const State state = this->At(boundary, domain);
    const LayerRange layers{
        this->boundaries[static_cast<std::size_t>(state.fromBoundary)],
        this->boundaries[static_cast<std::size_t>(boundary)]};
    this->hops.push_back({state.item, layers});
    boundary = state.fromBoundary;
    domain = state.fromDomain;
  }
  std::reverse(this->hops.begin(), this->hops.end());
  return true;
}

bool LayeredSearch::Find(const std::vector<SearchItem>& aItems,
                         LayerRange aRange, int aFrom) {
  this->hops.clear();
  if (this->domains == 0 || aRange.Size() <= 0) {
    return false;
  }
  this->CollectBoundaries(aItems, aRange);
  const int last = static_cast<int>(this->boundaries.size()) - 1;
  for (int boundary = 0; boundary < last; ++boundary) {
    this->ComputeEntryCosts(boundary, aFrom);
    this->RelaxEdges(aItems, boundary);
  }
  return this->CollectHops(last);
}

}  // namespace zincstep
