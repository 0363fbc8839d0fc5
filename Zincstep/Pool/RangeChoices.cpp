#include "Zincstep/Pool/RangeChoices.h"

#include <algorithm>

#include "Zincstep/Pool/EmptyDomain.h"

namespace zincstep {

namespace {

/// Maximum number of sizes that are tried for an upstream; those of large ones
/// are spread evenly over the possible sizes.
constexpr int kMaxSizes = 16;

}  // namespace

void RangeChoices::Add(std::vector<LayerRange>& aRanges, std::size_t aIndex,
                       LayerRange aRange) const {
  const bool isInside = aRange.first >= 0 &&
                        aRange.last <= this->model.layers && aRange.Size() > 0;
  if (isInside && aRange.Size() <= this->layout.MaxLayers(aIndex)) {
    aRanges.push_back(aRange);
  }
}

std::vector<int> RangeChoices::Edges() const {
  std::vector<int> edges{0, this->model.layers};
  for (const PlacedUpstream& upstream : this->layout.Upstreams()) {
    if (upstream.layers.Size() > 0) {
      edges.push_back(upstream.layers.first);
      edges.push_back(upstream.layers.last);
    }
  }
  std::sort(edges.begin(), edges.end());
  edges.erase(std::unique(edges.begin(), edges.end()), edges.end());
  return edges;
}

std::vector<LayerRange> RangeChoices::AtEdges(
    std::size_t aIndex, const std::vector<int>& aEdges) const {
  std::vector<LayerRange> ranges;
  const int maxLayers = this->layout.MaxLayers(aIndex);
  const int minLayers = std::min(maxLayers, MinLayers(this->model));
  const int step = std::max(1, (maxLayers - minLayers) / kMaxSizes);
  for (int size = maxLayers; size >= minLayers && size > 0; size -= step) {
    for (const int edge : aEdges) {
      this->Add(ranges, aIndex, {edge, edge + size});
      this->Add(ranges, aIndex, {edge - size, edge});
    }
  }
  return ranges;
}

std::vector<LayerRange> RangeChoices::Shifted(std::size_t aIndex) const {
  std::vector<LayerRange> ranges;
  const LayerRange own = this->layout.At(aIndex).layers;
  for (int first = -kMaxShift; first <= kMaxShift; ++first) {
    for (int last = -kMaxShift; last <= kMaxShift; ++last) {
      const LayerRange range{own.first + first, own.last + last};
      if (range != own && range.Size() >= MinLayers(this->model)) {
        this->Add(ranges, aIndex, range);
      }
    }
  }
  return ranges;
}

std::vector<LayerRange> RangeChoices::Covering(std::size_t aIndex,
                                               LayerRange aGap) const {
  auto ranges = this->AtEdges(aIndex, {aGap.first, aGap.last});
  const LayerRange own = this->layout.At(aIndex).layers;
  const int maxLayers = this->layout.MaxLayers(aIndex);
  if (this->layout.Multiplicity() == 1) {
    // The last range of a gap may be smaller than usual; repeated in each part
    // that would make many chains longer.
    this->Add(ranges, aIndex,
              {aGap.first, std::min(aGap.last, aGap.first + maxLayers)});
  }
  // Ranges that retain the present layers and the requests that run there.
  this->Add(ranges, aIndex,
            {own.first, std::min(aGap.last, own.first + maxLayers)});
  this->Add(ranges, aIndex,
            {std::max(aGap.first, own.last - maxLayers), own.last});
  return ranges;
}

}  // namespace zincstep
