#pragma once

#include <vector>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

/// Lays out a failure domain whose upstreams hold nothing.
///
/// Upstreams are filled in order of size, one copy of the model after the other
/// and then as much of a last one as their memory allows. So the largest and
/// quickest make up a copy of few members, and their layers, whose loss would
/// take longest to load again, have the most holders. How much memory is kept
/// for requests is tried from little to much, and the layout with the best
/// score is taken. Gives a range for each upstream of `aLayout`, empty where it
/// gets none; all are empty where no copy fits. `aLayout` is as before then.
std::vector<LayerRange> PlanEmptyDomain(const ModelShape& aModel,
                                        DomainLayout& aLayout);

/// Gives each upstream of a layout its range.
void SetAll(DomainLayout& aLayout, const std::vector<LayerRange>& aRanges);

/// The fewest layers that an upstream should hold, however many there are: a
/// chain of such members is as long as chains may be.
int MinLayers(const ModelShape& aModel);

}  // namespace zincstep
