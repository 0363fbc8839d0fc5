#pragma once

#include <vector>

#include "Zincstep/Routing/Fleet.h"

namespace zincstep {

/// An upstream, or a group of equal ones, that can run a range of layers.
struct SearchItem {
  LayerRange layers;
  int domain = 0;
  /// Cost per layer that it runs.
  double layerCost = 0;
  /// Cost of using it, independent of the number of layers.
  double fixedCost = 0;
  /// Additional cost of using it for the first layer of all; infinite if it may
  /// not be used for that.
  double entryCost = 0;
  /// Whether the search may use it.
  bool usable = true;
};

/// One hop of a cover: an item and the layers that it runs.
struct SearchHop {
  int item = 0;
  LayerRange layers;
};

/// Finds the cheapest cover of a layer range by items and links.
///
/// Shortest path over layer boundaries. A state is (boundary, domain of the
/// last item); an edge runs layers [x, y) on one item that holds them. Only the
/// ends of the items' ranges can be boundaries of a cheapest cover, as costs
/// are linear between them. Buffers are reused, so that searches don't allocate
/// once these have grown.
class LayeredSearch {
 public:
  /// Sets the items' ranges and domains. Their costs may change between
  /// searches.
  void Reset(const std::vector<SearchItem>& aItems, int aDomains);

  /// Sets the link costs in row-major order, by sending domain.
  void SetLinkCosts(std::vector<double> aCosts) {
    this->linkCosts = std::move(aCosts);
  }
  /// Mutable link costs, for updates between searches.
  std::vector<double>& LinkCosts() { return this->linkCosts; }

  /// Finds the cheapest cover of `aRange`; returns false if there is none.
  ///
  /// `aFrom` is the domain of the hop before the range, or -1.
  bool Find(const std::vector<SearchItem>& aItems, LayerRange aRange,
            int aFrom);

  /// Cost of the last found cover.
  double Cost() const { return this->cost; }

  /// Hops of the last found cover, in order of layers.
  const std::vector<SearchHop>& Hops() const { return this->hops; }

 private:
  struct State {
    double cost = 0;
    int item = -1;
    int fromBoundary = -1;
    int fromDomain = -1;
  };

  State& At(int aBoundary, int aDomain) {
    return this
        ->states[static_cast<std::size_t>(aBoundary * this->domains + aDomain)];
  }
  void CollectBoundaries(const std::vector<SearchItem>& aItems,
                         LayerRange aRange);
  void ComputeEntryCosts(int aBoundary, int aFrom);
  void RelaxEdges(const std::vector<SearchItem>& aItems, int aBoundary);
  bool CollectHops(int aLastBoundary);

  int domains = 0;
  std::vector<int> rangeEnds;
  std::vector<int> boundaries;
  std::vector<double> linkCosts;
  std::vector<State> states;
  std::vector<double> entryCost;
  std::vector<int> entryDomain;
  std::vector<SearchHop> hops;
  double cost = 0;
};

}  // namespace zincstep
