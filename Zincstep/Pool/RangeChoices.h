#pragma once

#include <vector>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

/// Maximum number of layers by which either end of a range is moved.
inline constexpr int kMaxShift = 3;

/// Candidate ranges for the upstreams of a layout.
class RangeChoices {
 public:
  RangeChoices(const ModelShape& aModel, const DomainLayout& aLayout)
      : model(aModel), layout(aLayout) {}

  /// Returns the layers at which the range of any upstream begins or ends.
  std::vector<int> Edges() const;
  /// Returns ranges that begin or end at one of `aEdges`.
  std::vector<LayerRange> AtEdges(std::size_t aIndex,
                                  const std::vector<int>& aEdges) const;
  /// Returns its present range with either end moved by up to `kMaxShift`
  /// layers.
  std::vector<LayerRange> Shifted(std::size_t aIndex) const;
  /// Returns ranges that cover a gap or a part of it.
  std::vector<LayerRange> Covering(std::size_t aIndex, LayerRange aGap) const;

 private:
  /// Adds a range if it lies inside the model and fits into the upstream's
  /// memory.
  void Add(std::vector<LayerRange>& aRanges, std::size_t aIndex,
           LayerRange aRange) const;

  const ModelShape& model;
  const DomainLayout& layout;
};

}  // namespace zincstep
