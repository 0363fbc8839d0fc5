#include "Zincstep/Pool/PlacementPlanner.h"

#include <algorithm>
#include <map>

namespace zincstep {

namespace {

/// Share by which the memory kept is lowered until a domain holds a copy.
constexpr double kKeptStep = 0.9;

/// Plans one failure domain.
class DomainPlan {
 public:
  DomainPlan(const ModelShape& aModel, const PlacementSettings& aSettings,
             std::vector<PlacedUpstream> aUpstreams)
      : model(aModel), upstreams(std::move(aUpstreams)) {
    this->tokensKept = aSettings.tokensKept;
    while (this->tokensKept > aSettings.fewestTokensKept &&
           this->Room() < this->model.layers) {
      this->tokensKept *= kKeptStep;
    }
    this->cover.assign(static_cast<std::size_t>(this->model.layers), 0);
    for (const PlacedUpstream& upstream : this->upstreams) {
      this->AddCover(upstream.layers, 1);
    }
  }

  std::vector<PlacementOrder> Make() {
    this->SortBySize();
    this->PlaceEmpty();
    this->FillGaps();
    this->ExtendIntoGaps();
    return std::move(this->orders);
  }

 private:
  int SizeOf(const PlacedUpstream& aUpstream) const {
    const PoolKind* kind = this->model.FindKind(aUpstream.kind);
    return kind == nullptr ? 0
                           : std::min(this->model.layers,
                                      PlacementPlanner::LayersBeside(
                                          this->model, *kind,
                                          this->tokensKept));
  }

  int Room() const {
    int sum = 0;
    for (const PlacedUpstream& upstream : this->upstreams) {
      sum += this->SizeOf(upstream);
    }
    return sum;
  }

  void SortBySize() {
    std::stable_sort(
        this->upstreams.begin(), this->upstreams.end(),
        [this](const PlacedUpstream& aLeft, const PlacedUpstream& aRight) {
          const int left = this->SizeOf(aLeft);
          const int right = this->SizeOf(aRight);
          return left != right ? left > right : aLeft.id < aRight.id;
        });
  }

  void AddCover(LayerRange aRange, int aChange) {
    for (int layer = aRange.first; layer < aRange.last; ++layer) {
      this->cover[static_cast<std::size_t>(layer)] += aChange;
    }
  }

  int CoverOf(int aLayer) const {
    return this->cover[static_cast<std::size_t>(aLayer)];
  }

  void Order(PlacedUpstream& aUpstream, LayerRange aRange) {
    this->AddCover(aUpstream.layers, -1);
    this->AddCover(aRange, 1);
    aUpstream.layers = aRange;
    aUpstream.takesOrders = false;
    this->orders.push_back({aUpstream.id, aRange});
  }

  /// The range of `aSize` layers with the fewest holders; the first of
  /// equal ones, so that ranges join without overlap.
  LayerRange LeastCovered(int aSize) const {
    LayerRange best{0, aSize};
    long bestSum = -1;
    for (int first = 0; first + aSize <= this->model.layers; ++first) {
      long sum = 0;
      for (int layer = first; layer < first + aSize; ++layer) {
        const long holders = this->CoverOf(layer);
        sum += holders * holders;
      }
      if (bestSum < 0 || sum < bestSum) {
        bestSum = sum;
        best = {first, first + aSize};
      }
    }
    return best;
  }

  /// Gives each empty upstream the layers with the fewest holders.
  void PlaceEmpty() {
    for (PlacedUpstream& upstream : this->upstreams) {
      const int size = this->SizeOf(upstream);
      if (!upstream.takesOrders || upstream.layers.Size() > 0 || size == 0) {
        continue;
      }
      this->Order(upstream, this->TrimToGap(this->LeastCovered(size)));
    }
  }

  /// Shortens a range that reaches over the end of a gap into covered
  /// layers, where it holds the gap's end: less to load, more memory.
  LayerRange TrimToGap(LayerRange aRange) const {
    if (this->CoverOf(aRange.first) != 0) {
      while (aRange.Size() > 1 && this->CoverOf(aRange.first) > 0 &&
             this->CoverOf(aRange.last - 1) == 0) {
        ++aRange.first;
      }
    }
    return aRange;
  }

  /// First range without a holder, or an empty one.
  LayerRange FirstGap(int aFrom) const {
    LayerRange gap{this->model.layers, this->model.layers};
    for (int layer = aFrom; layer < this->model.layers; ++layer) {
      if (this->CoverOf(layer) == 0) {
        gap.first = std::min(gap.first, layer);
        gap.last = layer + 1;
      } else if (gap.first < layer) {
        break;
      }
    }
    if (gap.first == this->model.layers) {
      gap.last = gap.first;
    }
    return gap;
  }

  /// Whether others hold all of its layers.
  bool IsSpare(const PlacedUpstream& aUpstream) const {
    for (int layer = aUpstream.layers.first; layer < aUpstream.layers.last;
         ++layer) {
      if (this->CoverOf(layer) < 2) {
        return false;
      }
    }
    return true;
  }

  /// The spare upstream that covers most of a gap, or null.
  PlacedUpstream* BestSpare(LayerRange aGap) {
    PlacedUpstream* best = nullptr;
    int bestSize = 0;
    for (PlacedUpstream& upstream : this->upstreams) {
      const int size = std::min(this->SizeOf(upstream), aGap.Size());
      if (upstream.takesOrders && upstream.layers.Size() > 0 &&
          this->IsSpare(upstream) && size >= bestSize && size > 0) {
        best = &upstream;
        bestSize = size;
      }
    }
    return best;
  }

  /// Moves upstreams whose layers others hold as well into the gaps.
  void FillGaps() {
    int from = 0;
    while (true) {
      const LayerRange gap = this->FirstGap(from);
      if (gap.Size() == 0) {
        return;
      }
      PlacedUpstream* spare = this->BestSpare(gap);
      if (spare == nullptr) {
        from = gap.last;
        continue;
      }
      const int size = std::min(this->SizeOf(*spare), gap.Size());
      this->Order(*spare, {gap.first, gap.first + size});
    }
  }

  /// Grows upstreams beside a gap into it where their memory allows.
  void ExtendIntoGaps() {
    for (PlacedUpstream& upstream : this->upstreams) {
      const PoolKind* kind = this->model.FindKind(upstream.kind);
      if (!upstream.takesOrders || upstream.layers.Size() == 0 ||
          kind == nullptr) {
        continue;
      }
      const int most = PlacementPlanner::LayersBeside(
          this->model, *kind, PlacementSettings{}.fewestTokensKept);
      LayerRange grown = upstream.layers;
      while (grown.Size() < most && grown.last < this->model.layers &&
             this->CoverOf(grown.last) == 0) {
        ++grown.last;
      }
      while (grown.Size() < most && grown.first > 0 &&
             this->CoverOf(grown.first - 1) == 0) {
        --grown.first;
      }
      if (grown.Size() > upstream.layers.Size()) {
        this->Order(upstream, grown);
      }
    }
  }

  const ModelShape& model;
  std::vector<PlacedUpstream> upstreams;
  double tokensKept = 0;
  /// Holders of each layer.
  std::vector<int> cover;
  std::vector<PlacementOrder> orders;
};

}  // namespace

int PlacementPlanner::LayersBeside(const ModelShape& aModel,
                                   const PoolKind& aKind, double aTokens) {
  const double tokenLayerMb = aModel.tokenMb / aModel.layers;
  return static_cast<int>(aKind.memoryMb /
                          (aModel.layerMb + aTokens * tokenLayerMb));
}

std::vector<PlacementOrder> PlacementPlanner::Plan(
    const ModelShape& aModel,
    const std::vector<PlacedUpstream>& aUpstreams) const {
  std::map<std::string, std::vector<PlacedUpstream>> byDomain;
  for (const PlacedUpstream& upstream : aUpstreams) {
    byDomain[upstream.failureDomain].push_back(upstream);
  }
  std::vector<PlacementOrder> orders;
  for (auto& [domain, upstreams] : byDomain) {
    DomainPlan plan(aModel, this->settings, std::move(upstreams));
    const auto made = plan.Make();
    orders.insert(orders.end(), made.begin(), made.end());
  }
  return orders;
}

}  // namespace zincstep
