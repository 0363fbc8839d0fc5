#pragma once

#include <vector>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

/// Layers by which a range is grown or shrunk at its ends.
inline constexpr int kMaxShift = 3;

/// Which ranges are tried for an upstream of a layout.
class RangeChoices {
 public:
  RangeChoices(const ModelShape& aModel, const DomainLayout& aLayout)
      : model(aModel), layout(aLayout) {}

  /// Layers at which an upstream's range begins or ends.
  std::vector<int> Edges() const;
  /// Ranges that begin or end at one of `aEdges`.
  std::vector<LayerRange> At(std::size_t aIndex,
                             const std::vector<int>& aEdges) const;
  /// Its own range with either end moved a little.
  std::vector<LayerRange> Near(std::size_t aIndex) const;
  /// Ranges that cover a gap or a part of it.
  std::vector<LayerRange> For(std::size_t aIndex, LayerRange aGap) const;

 private:
  /// Adds a range that the model has and the upstream has memory for.
  void Add(std::vector<LayerRange>& aRanges, std::size_t aIndex,
           LayerRange aRange) const;

  const ModelShape& model;
  const DomainLayout& layout;
};

}  // namespace zincstep
