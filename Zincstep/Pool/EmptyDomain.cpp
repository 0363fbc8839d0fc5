#include "Zincstep/Pool/EmptyDomain.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace zincstep {

namespace {

/// Factor between successive trials of the memory reserved for requests.
constexpr double kReservedTokensFactor = 1.1;
/// Maximum members of a planned chain: each adds a wait to each token, and the
/// platform accepts 32 at most.
constexpr int kMaxHops = 20;
/// Maximum copies of the model in a domain that are tried: a layer with more
/// holders does not lose them all at once.
constexpr int kMaxCopies = 16;

/// Fills upstreams with copies of the model, the largest first.
class CopyFiller {
 public:
  CopyFiller(const ModelShape& aModel, const DomainLayout& aLayout,
             double aReservedTokens)
      : model(aModel),
        layout(aLayout),
        reservedTokens(aReservedTokens),
        minLayers(MinLayers(aModel)) {
    this->order.resize(aLayout.Count());
    std::iota(this->order.begin(), this->order.end(), std::size_t{0});
    std::stable_sort(this->order.begin(), this->order.end(),
                     [this](std::size_t aLeft, std::size_t aRight) {
                       return this->IsBefore(aLeft, aRight);
                     });
  }

  /// Returns ranges with as many holders of each layer as possible; none if no
  /// copy fits.
  std::optional<std::vector<LayerRange>> Fill() const {
    std::optional<std::vector<LayerRange>> best;
    for (int copies = 1; copies <= kMaxCopies; ++copies) {
      bool fits = false;
      for (int extraLayers = this->model.layers - 1; extraLayers >= 0 && !fits;
           --extraLayers) {
        auto ranges = this->FillCopies(copies, extraLayers);
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

  /// Whether the smallest upstream would hold too few layers. With a single
  /// copy few upstreams are that small; with one copy in each part many would
  /// be.
  bool HasTooSmallRange() const {
    const int holders = this->layout.Multiplicity() > 1 ? 1 : 2;
    return std::any_of(this->order.begin(), this->order.end(),
                       [this, holders](std::size_t aIndex) {
                         return this->LayersWith(aIndex, holders) <
                                this->minLayers;
                       });
  }

 private:
  int MaxLayersOf(std::size_t aIndex, double aTokens) const {
    const PoolKind* kind = this->layout.KindOf(aIndex);
    return kind == nullptr ? 0 : MaxLayersBeside(this->model, *kind, aTokens);
  }
  /// Layers of an upstream that shares the requests with `aHolders` holders in
  /// all.
  int LayersWith(std::size_t aIndex, int aHolders) const {
    const double share = this->reservedTokens / aHolders;
    return this->MaxLayersOf(
        aIndex, aHolders > 1 ? std::max(share, kMinReservedTokens) : share);
  }

  bool IsBefore(std::size_t aLeft, std::size_t aRight) const {
    const int left = this->LayersWith(aLeft, 1);
    const int right = this->LayersWith(aRight, 1);
    return left != right
               ? left > right
               : this->layout.At(aLeft).id < this->layout.At(aRight).id;
  }

  /// Returns ranges in which each layer has `aCopies` holders, and the first
  /// `aExtraLayers` layers one more; none if they do not fit.
  std::optional<std::vector<LayerRange>> FillCopies(int aCopies,
                                                    int aExtraLayers) const {
    std::vector<LayerRange> ranges(this->layout.Count());
    int next = 0;
    int copy = 0;
    for (const std::size_t index : this->order) {
      const bool isPartialCopy = copy == aCopies;
      if (isPartialCopy && next >= aExtraLayers) {
        break;
      }
      // An upstream across the end of the partial copy holds some of its layers
      // with one holder fewer.
      const int seamLayers =
          std::min(this->LayersWith(index, aCopies + 1), aExtraLayers - next);
      const int end = isPartialCopy ? aExtraLayers : this->model.layers;
      const int last = std::min(
          next + std::max(this->LayersWith(index, aCopies), seamLayers), end);
      // The last upstream of a copy overlaps the one before it instead of
      // holding only a few layers, because each member adds a wait to each
      // token. With a single copy the memory for requests is needed more.
      const bool extendsBack =
          last == end && (aCopies > 1 || this->layout.Multiplicity() > 1);
      const int first = extendsBack
                            ? std::max(0, std::min(next, end - this->minLayers))
                            : next;
      ranges[index] = {first, last};
      next = last;
      if (!isPartialCopy && next == this->model.layers) {
        copy += 1;
        next = 0;
      }
    }
    return copy == aCopies && next >= aExtraLayers ? std::optional(ranges)
                                                   : std::nullopt;
  }

  const ModelShape& model;
  const DomainLayout& layout;
  double reservedTokens;
  /// Minimum number of layers of an upstream.
  int minLayers;
  /// Indices of the upstreams in descending order of size.
  std::vector<std::size_t> order;
};

}  // namespace

void SetAll(DomainLayout& aLayout, const std::vector<LayerRange>& aRanges) {
  for (std::size_t i = 0; i < aRanges.size(); ++i) {
    aLayout.Set(i, aRanges[i]);
  }
}

int MinLayers(const ModelShape& aModel) {
  return (aModel.layers + kMaxHops - 1) / kMaxHops;
}

std::vector<LayerRange> PlanEmptyDomain(const ModelShape& aModel,
                                        DomainLayout& aLayout) {
  const std::vector<LayerRange> emptyRanges(aLayout.Count());
  std::vector<LayerRange> best = emptyRanges;
  LayoutScore bestScore{aModel.layers, 0};
  double tokens = kMinReservedTokens;
  while (true) {
    const CopyFiller filler(aModel, aLayout, tokens);
    const auto ranges = filler.Fill();
    const bool isFirst = bestScore.gaps > 0;
    if (!ranges || (!isFirst && filler.HasTooSmallRange())) {
      break;
    }
    SetAll(aLayout, *ranges);
    const LayoutScore score = aLayout.Score();
    if (score.IsBetterThan(bestScore)) {
      best = *ranges;
      bestScore = score;
    }
    tokens *= kReservedTokensFactor;
  }
  SetAll(aLayout, emptyRanges);
  return best;
}

}  // namespace zincstep
