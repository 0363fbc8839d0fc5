#include "Zincstep/Pool/PlacementPlanner.h"

#include <algorithm>
#include <map>

namespace zincstep {

namespace {

/// Share by which the memory kept is lowered until a domain holds a copy.
constexpr double kKeptStep = 0.9;
/// Factor by which it is raised where a domain has room for more.
constexpr double kKeptRise = 1.05;

/// Members of the longest chain that the planner makes for: each adds a wait
/// to each token, and the platform takes 32 at most.
constexpr int kMostHops = 20;
/// From this share of layers with a second holder on, a domain is doubled.
constexpr double kDoubledShare = 0.8;

/// What a layer without a holder is worth, beside memory for requests.
constexpr double kUncoveredWorth = 100;

/// Plans one failure domain.
class DomainPlan {
 public:
  DomainPlan(const ModelShape& aModel, const PlacementSettings& aSettings,
             std::vector<PlacedUpstream> aUpstreams)
      : model(aModel), settings(aSettings), upstreams(std::move(aUpstreams)) {
    this->tokensKept = aSettings.tokensKept;
    while (this->tokensKept > aSettings.fewestTokensKept &&
           this->Room() < this->model.layers) {
      this->tokensKept *= kKeptStep;
    }
    this->SortBySize();
    this->KeepMoreWhereDoubled();
    const auto layers = static_cast<std::size_t>(this->model.layers);
    this->cover.assign(layers, 0);
    this->tokens.assign(layers, 0);
    for (const PlacedUpstream& upstream : this->upstreams) {
      this->Count(upstream, 1);
    }
  }

  std::vector<PlacementOrder> Make() {
    if (this->IsEmpty()) {
      this->LayOut();
    }
    this->PlaceEmpty();
    this->FillGaps();
    this->ExtendIntoGaps();
    this->DoubleFirstLayer();
    return std::move(this->orders);
  }

 private:
  /// Layers that an upstream holds beside memory for `aTokens` tokens.
  int SizeBeside(const PlacedUpstream& aUpstream, double aTokens) const {
    const PoolKind* kind = this->model.FindKind(aUpstream.kind);
    return kind == nullptr
               ? 0
               : std::min(this->model.layers, PlacementPlanner::LayersBeside(
                                                  this->model, *kind, aTokens));
  }

  /// Layers of an upstream that holds them alone.
  int SizeAlone(const PlacedUpstream& aUpstream) const {
    return this->SizeBeside(aUpstream, this->tokensKept);
  }

  /// Layers of an upstream that shares the requests with another holder.
  int SizeShared(const PlacedUpstream& aUpstream) const {
    return this->SizeBeside(
        aUpstream,
        std::max(this->tokensKept / 2, this->settings.fewestTokensKept));
  }

  /// Tokens of requests that an upstream has memory for beside `aSize`.
  double TokensBeside(const PlacedUpstream& aUpstream, int aSize) const {
    const PoolKind* kind = this->model.FindKind(aUpstream.kind);
    if (kind == nullptr || aSize <= 0) {
      return 0;
    }
    const double free = kind->memoryMb - aSize * this->model.layerMb;
    return std::max(0.0,
                    free / (this->model.tokenMb / this->model.layers) / aSize);
  }

  int Room() const {
    int sum = 0;
    for (const PlacedUpstream& upstream : this->upstreams) {
      sum += this->SizeAlone(upstream);
    }
    return sum;
  }

  /// Layers that the smallest upstream holds beside another holder.
  int SmallestShared() const {
    int smallest = this->model.layers;
    for (const PlacedUpstream& upstream : this->upstreams) {
      smallest = std::min(smallest, this->SizeShared(upstream));
    }
    return smallest;
  }

  /// The fewest layers that an upstream should hold, however many there are:
  /// a chain of such members is no longer than `kMostHops`.
  int FewestLayers() const {
    return (this->model.layers + kMostHops - 1) / kMostHops;
  }

  /// Raises the memory kept while two copies of the model fit beside it.
  void KeepMoreWhereDoubled() {
    double fitting = this->tokensKept;
    while (!this->RangesWith(this->model.layers).empty() &&
           this->SmallestShared() >= this->FewestLayers()) {
      fitting = this->tokensKept;
      this->tokensKept *= kKeptRise;
    }
    this->tokensKept = fitting;
  }

  bool IsEmpty() const {
    return std::all_of(this->upstreams.begin(), this->upstreams.end(),
                       [](const PlacedUpstream& aUpstream) {
                         return aUpstream.layers.Size() == 0 &&
                                aUpstream.takesOrders;
                       });
  }

  void SortBySize() {
    std::stable_sort(
        this->upstreams.begin(), this->upstreams.end(),
        [this](const PlacedUpstream& aLeft, const PlacedUpstream& aRight) {
          const int left = this->SizeAlone(aLeft);
          const int right = this->SizeAlone(aRight);
          return left != right ? left > right : aLeft.id < aRight.id;
        });
  }

  void Count(const PlacedUpstream& aUpstream, int aChange) {
    const double held = this->TokensBeside(aUpstream, aUpstream.layers.Size());
    for (int layer = aUpstream.layers.first; layer < aUpstream.layers.last;
         ++layer) {
      this->cover[static_cast<std::size_t>(layer)] += aChange;
      this->tokens[static_cast<std::size_t>(layer)] += aChange * held;
    }
  }

  int CoverOf(int aLayer) const {
    return this->cover[static_cast<std::size_t>(aLayer)];
  }

  void Order(PlacedUpstream& aUpstream, LayerRange aRange) {
    this->Count(aUpstream, -1);
    aUpstream.layers = aRange;
    this->Count(aUpstream, 1);
    aUpstream.takesOrders = false;
    this->orders.push_back({aUpstream.id, aRange});
  }

  /// Ranges for an empty domain in which the first `aDoubled` layers have
  /// two holders; empty where the upstreams do not suffice.
  std::vector<LayerRange> RangesWith(int aDoubled) const {
    std::vector<LayerRange> ranges;
    int next = 0;
    bool isSecondCopy = false;
    for (const PlacedUpstream& upstream : this->upstreams) {
      if (isSecondCopy && next >= aDoubled) {
        break;
      }
      // An upstream across the seam holds some of its layers alone.
      const int alone = this->SizeAlone(upstream);
      const int shared = std::min(this->SizeShared(upstream), aDoubled - next);
      const int end = isSecondCopy ? aDoubled : this->model.layers;
      const int last = std::min(next + std::max(alone, shared), end);
      ranges.push_back({next, last});
      next = last;
      if (!isSecondCopy && next == this->model.layers) {
        isSecondCopy = true;
        next = 0;
      }
    }
    const bool isWhole = isSecondCopy && next >= aDoubled;
    return isWhole ? ranges : std::vector<LayerRange>{};
  }

  /// Lays an empty domain out with as many layers doubled as possible.
  void LayOut() {
    for (int doubled = this->model.layers; doubled >= 0; --doubled) {
      const std::vector<LayerRange> ranges = this->RangesWith(doubled);
      if (ranges.empty()) {
        continue;
      }
      for (std::size_t i = 0; i < ranges.size(); ++i) {
        if (ranges[i].Size() > 0) {
          this->Order(this->upstreams[i], ranges[i]);
        }
      }
      return;
    }
  }

  /// What holding a range would add: holders where there is none or one,
  /// and memory for requests where there is too little.
  double WorthOf(const PlacedUpstream& aUpstream, LayerRange aRange) const {
    const double added = this->TokensBeside(aUpstream, aRange.Size());
    double worth = 0;
    for (int layer = aRange.first; layer < aRange.last; ++layer) {
      const double held = this->tokens[static_cast<std::size_t>(layer)];
      worth += std::min(added, std::max(0.0, this->tokensKept - held));
      if (this->CoverOf(layer) == 0) {
        worth += kUncoveredWorth * this->tokensKept;
      } else if (this->CoverOf(layer) == 1) {
        worth += this->settings.secondHolderShare * this->tokensKept;
      }
    }
    return worth;
  }

  /// The range of an upstream that is worth most; the first of equal ones.
  LayerRange BestRange(const PlacedUpstream& aUpstream) const {
    LayerRange best;
    double bestWorth = 0;
    const int most = this->SizeShared(aUpstream);
    for (int size = 1; size <= most; ++size) {
      for (int first = 0; first + size <= this->model.layers; ++first) {
        const LayerRange range{first, first + size};
        const double worth = this->WorthOf(aUpstream, range);
        if (worth > bestWorth) {
          best = range;
          bestWorth = worth;
        }
      }
    }
    return best;
  }

  /// The range of `aSize` layers with the least memory for requests.
  LayerRange ScarcestRange(int aSize) const {
    LayerRange best;
    double least = 0;
    for (int first = 0; first + aSize <= this->model.layers; ++first) {
      double sum = 0;
      for (int layer = first; layer < first + aSize; ++layer) {
        sum += this->tokens[static_cast<std::size_t>(layer)];
      }
      if (best.Size() == 0 || sum < least) {
        best = {first, first + aSize};
        least = sum;
      }
    }
    return best;
  }

  /// Gives each empty upstream the range that is worth most; where nothing
  /// is short any more, it adds to what is scarcest.
  void PlaceEmpty() {
    for (PlacedUpstream& upstream : this->upstreams) {
      const int size = this->SizeAlone(upstream);
      if (!upstream.takesOrders || upstream.layers.Size() > 0 || size == 0) {
        continue;
      }
      const LayerRange needed =
          IsDoubled(this->cover) ? LayerRange{} : this->BestRange(upstream);
      this->Order(upstream, needed.Size() > 0
                                ? needed
                                : this->ScarcestRange(std::min(
                                      std::max(size, this->FewestLayers()),
                                      this->SizeShared(upstream))));
    }
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

  /// Whether one spare upstream suits a gap better than another.
  ///
  /// It should cover the gap, and have little work to end before.
  bool SuitsBetter(const PlacedUpstream& aOne, const PlacedUpstream& aOther,
                   LayerRange aGap) const {
    const int one = std::min(this->SizeShared(aOne), aGap.Size());
    const int other = std::min(this->SizeShared(aOther), aGap.Size());
    if (one != other) {
      return one > other;
    }
    return aOne.work < aOther.work;
  }

  /// The spare upstream that suits a gap best, or null.
  PlacedUpstream* BestSpare(LayerRange aGap) {
    PlacedUpstream* best = nullptr;
    for (PlacedUpstream& upstream : this->upstreams) {
      const bool isSpare = upstream.takesOrders && upstream.layers.Size() > 0 &&
                           this->SizeShared(upstream) > 0 &&
                           this->IsSpare(upstream);
      if (isSpare &&
          (best == nullptr || this->SuitsBetter(upstream, *best, aGap))) {
        best = &upstream;
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
      const int size = std::min(this->SizeShared(*spare), gap.Size());
      this->Order(*spare, {gap.first, gap.first + size});
    }
  }

  /// Moves one upstream to the first layers where a domain that holds the
  /// others twice has a single upstream there: its slots bound the requests
  /// of the whole domain, which those of later members do not.
  void DoubleFirstLayer() {
    if (this->CoverOf(0) != 1 || !IsDoubled(this->cover)) {
      return;
    }
    PlacedUpstream* spare = this->BestSpare({0, this->model.layers});
    if (spare != nullptr) {
      this->Order(*spare, {0, this->SizeShared(*spare)});
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
          this->model, *kind, this->settings.fewestTokensKept);
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
  const PlacementSettings& settings;
  std::vector<PlacedUpstream> upstreams;
  double tokensKept = 0;
  /// Holders of each layer.
  std::vector<int> cover;
  /// Tokens of requests that the holders of each layer have memory for.
  std::vector<double> tokens;
  std::vector<PlacementOrder> orders;
};

}  // namespace

bool IsDoubled(const std::vector<int>& aHolders) {
  const auto doubled = std::count_if(aHolders.begin(), aHolders.end(),
                                     [](int aCount) { return aCount > 1; });
  return static_cast<double>(doubled) >=
         kDoubledShare * static_cast<double>(aHolders.size());
}

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
