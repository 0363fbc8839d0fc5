#pragma once

#include <string>
#include <vector>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

/// Indices of the upstreams of a domain that are planned together, grouped by
/// kind.
using DomainPart = std::vector<std::size_t>;

/// Splits upstreams into parts of about `aPartSize` each with nearly the same
/// kinds. Parts with the same kinds in the same order can use the same layout.
std::vector<DomainPart> SplitEvenly(const DomainLayout& aLayout,
                                    std::vector<std::size_t> aUpstreams,
                                    std::size_t aPartSize);

/// Identifies the kinds and slots of a part in their order.
std::string CompositionOf(const DomainLayout& aLayout, const DomainPart& aPart);

}  // namespace zincstep
