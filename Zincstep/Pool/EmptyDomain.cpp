#include "Zincstep/Pool/EmptyDomain.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace zincstep {

namespace {

/// Factor from one try of the memory kept for requests to the next.
constexpr double kTokensStep = 1.1;
/// Members of the longest chain that is planned for: each adds a wait to each
/// token, and the platform takes 32 at most.
constexpr int kMostHops = 20;
/// Copies of the model in a domain that are tried at most: more holders of a
/// layer than that are not all lost together.
constexpr int kMostCopies = 16;

/// Fills upstreams in the order of their size.
class Filling {
 public:
  Filling(const ModelShape& aModel, const DomainLayout& aLayout,
          double aTokensKept)
      : model(aModel),
        layout(aLayout),
        tokensKept(aTokensKept),
        fewest(MinLayers(aModel)) {
    this->order.resize(aLayout.Count());
    std::iota(this->order.begin(), this->order.end(), std::size_t{0});
    std::stable_sort(this->order.begin(), this->order.end(),
                     [this](std::size_t aLeft, std::size_t aRight) {
                       return this->IsBefore(aLeft, aRight);
                     });
  }

  /// Ranges with as many holders of each layer as possible; none where no copy
  /// fits.
  std::optional<std::vector<LayerRange>> Make() const {
    std::optional<std::vector<LayerRange>> best;
    for (int copies = 1; copies <= kMostCopies; ++copies) {
      bool fits = false;
      for (int more = this->model.layers - 1; more >= 0 && !fits; --more) {
        auto ranges = this->MakeWith(copies, more);
        if (ranges) {
          best = std::move(ranges);
          fits = true;
        }
      }
      if (!fits) {
        break;
      }
    }
    return best;
  }

  /// Whether the smallest upstream would hold too few layers. Of one copy few
  /// upstreams are that thin; of one in each part many would be.
  bool IsTooThin() const {
    const int holders = this->layout.Times() > 1 ? 1 : 2;
    return std::any_of(this->order.begin(), this->order.end(),
                       [this, holders](std::size_t aIndex) {
                         return this->Shared(aIndex, holders) < this->fewest;
                       });
  }

 private:
  int SizeBeside(std::size_t aIndex, double aTokens) const {
    const PoolKind* kind = this->layout.KindOf(aIndex);
    return kind == nullptr ? 0 : LayersBeside(this->model, *kind, aTokens);
  }
  /// Layers of an upstream that shares the requests with other holders.
  int Shared(std::size_t aIndex, int aHolders) const {
    const double share = this->tokensKept / aHolders;
    return this->SizeBeside(
        aIndex, aHolders > 1 ? std::max(share, kMinReservedTokens) : share);
  }

  bool IsBefore(std::size_t aLeft, std::size_t aRight) const {
    const int left = this->Shared(aLeft, 1);
    const int right = this->Shared(aRight, 1);
    return left != right
               ? left > right
               : this->layout.At(aLeft).id < this->layout.At(aRight).id;
  }

  /// Ranges in which each layer has `aCopies` holders, and the first `aMore`
  /// layers one more.
  std::optional<std::vector<LayerRange>> MakeWith(int aCopies,
                                                  int aMore) const {
    std::vector<LayerRange> ranges(this->layout.Count());
    int next = 0;
    int copy = 0;
    for (const std::size_t index : this->order) {
      const bool isLast = copy == aCopies;
      if (isLast && next >= aMore) {
        break;
      }
      // An upstream across the seam holds some of its layers with fewer others.
      const int shared =
          std::min(this->Shared(index, aCopies + 1), aMore - next);
      const int end = isLast ? aMore : this->model.layers;
      const int last =
          std::min(next + std::max(this->Shared(index, aCopies), shared), end);
      // The last of a copy runs back into the one before rather than hold a
      // few layers only: each member adds a wait to each token. Where there is
      // one copy its memory for requests is needed more.
      const bool runsBack =
          last == end && (aCopies > 1 || this->layout.Times() > 1);
      const int first =
          runsBack ? std::max(0, std::min(next, end - this->fewest)) : next;
      ranges[index] = {first, last};
      next = last;
      if (!isLast && next == this->model.layers) {
        copy += 1;
        next = 0;
      }
    }
    return copy == aCopies && next >= aMore ? std::optional(ranges)
                                            : std::nullopt;
  }

  const ModelShape& model;
  const DomainLayout& layout;
  double tokensKept;
  /// The fewest layers that an upstream should hold.
  int fewest;
  /// Indices of the upstreams, the largest first.
  std::vector<std::size_t> order;
};

}  // namespace

void SetAll(DomainLayout& aLayout, const std::vector<LayerRange>& aRanges) {
  for (std::size_t i = 0; i < aRanges.size(); ++i) {
    aLayout.Set(i, aRanges[i]);
  }
}

int MinLayers(const ModelShape& aModel) {
  return (aModel.layers + kMostHops - 1) / kMostHops;
}

std::vector<LayerRange> PlanEmptyDomain(const ModelShape& aModel,
                                        DomainLayout& aLayout) {
  const std::vector<LayerRange> none(aLayout.Count());
  std::vector<LayerRange> best = none;
  LayoutScore bestScore{aModel.layers, 0};
  double tokens = kMinReservedTokens;
  while (true) {
    const Filling filling(aModel, aLayout, tokens);
    const auto ranges = filling.Make();
    const bool isFirst = bestScore.gaps > 0;
    if (!ranges || (!isFirst && filling.IsTooThin())) {
      break;
    }
    SetAll(aLayout, *ranges);
    const LayoutScore score = aLayout.Score();
    if (score.IsBetterThan(bestScore)) {
      best = *ranges;
      bestScore = score;
    }
    tokens *= kTokensStep;
  }
  SetAll(aLayout, none);
  return best;
}

}  // namespace zincstep
