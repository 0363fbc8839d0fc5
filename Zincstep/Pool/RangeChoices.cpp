#include "Zincstep/Pool/RangeChoices.h"

#include <algorithm>

#include "Zincstep/Pool/EmptyDomain.h"

namespace zincstep {

namespace {

/// Sizes that are tried for an upstream, at most: those of large ones are
/// spread over what they may hold.
constexpr int kMostSizes = 16;

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

std::vector<LayerRange> RangeChoices::At(std::size_t aIndex,
                                         const std::vector<int>& aEdges) const {
  std::vector<LayerRange> ranges;
  const int most = this->layout.MaxLayers(aIndex);
  const int fewest = std::min(most, MinLayers(this->model));
  const int step = std::max(1, (most - fewest) / kMostSizes);
  for (int size = most; size >= fewest && size > 0; size -= step) {
    for (const int edge : aEdges) {
      this->Add(ranges, aIndex, {edge, edge + size});
      this->Add(ranges, aIndex, {edge - size, edge});
    }
  }
  return ranges;
}

std::vector<LayerRange> RangeChoices::Near(std::size_t aIndex) const {
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

std::vector<LayerRange> RangeChoices::For(std::size_t aIndex,
                                          LayerRange aGap) const {
  auto ranges = this->At(aIndex, {aGap.first, aGap.last});
  const LayerRange own = this->layout.At(aIndex).layers;
  const int most = this->layout.MaxLayers(aIndex);
  if (this->layout.Times() == 1) {
    // The last of a gap may be smaller than upstreams usually are; repeated
    // in each part that would make many chains longer.
    this->Add(ranges, aIndex,
              {aGap.first, std::min(aGap.last, aGap.first + most)});
  }
  // It may keep its own, and with them the requests that run there.
  this->Add(ranges, aIndex, {own.first, std::min(aGap.last, own.first + most)});
  this->Add(ranges, aIndex, {std::max(aGap.first, own.last - most), own.last});
  return ranges;
}

}  // namespace zincstep
