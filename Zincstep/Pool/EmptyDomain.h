#pragma once

#include <vector>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

/// Plans a failure domain whose upstreams hold nothing.
///
/// Upstreams are filled in descending order of size, one copy of the model
/// after the other and then as much of a last copy as their memory allows. The
/// largest and fastest ones form a copy with few members, and their layers,
/// which take longest to reload after a loss, have the most holders. The memory
/// reserved for requests is raised from little to much, and the layout with the
/// best score is selected. Returns a range for each upstream of `aLayout`,
/// empty if it gets none; all are empty if no copy fits. `aLayout` is restored
/// to its empty state.
std::vector<LayerRange> PlanEmptyDomain(const ModelShape& aModel,
                                        DomainLayout& aLayout);

/// Assigns each upstream of a layout its range.
void SetAll(DomainLayout& aLayout, const std::vector<LayerRange>& aRanges);

/// Minimum number of layers of an upstream, whatever the number of upstreams: a
/// chain of members of this size has the maximum length.
int MinLayers(const ModelShape& aModel);

}  // namespace zincstep
