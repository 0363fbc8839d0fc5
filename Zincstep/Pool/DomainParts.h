#pragma once

#include <string>
#include <vector>

#include "Zincstep/Pool/DomainLayout.h"

namespace zincstep {

/// Upstreams of a domain that are laid out together: their indices, those of
/// one kind behind one another.
using DomainPart = std::vector<std::size_t>;

/// Splits upstreams into parts of some `aPartSize` each with nearly the same
/// kinds. Parts with the same kinds in the same order can be laid out alike.
std::vector<DomainPart> SplitEvenly(const DomainLayout& aLayout,
                                    std::vector<std::size_t> aUpstreams,
                                    std::size_t aPartSize);

/// Stands for the kinds of a part in their order.
std::string CompositionOf(const DomainLayout& aLayout, const DomainPart& aPart);

}  // namespace zincstep
