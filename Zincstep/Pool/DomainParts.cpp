#include "Zincstep/Pool/DomainParts.h"

#include <algorithm>
#include <tuple>

namespace zincstep {

std::vector<DomainPart> SplitEvenly(const DomainLayout& aLayout,
                                    std::vector<std::size_t> aUpstreams,
                                    std::size_t aPartSize) {
  std::sort(aUpstreams.begin(), aUpstreams.end(),
            [&aLayout](std::size_t aLeft, std::size_t aRight) {
              const PlacedUpstream& left = aLayout.At(aLeft);
              const PlacedUpstream& right = aLayout.At(aRight);
              return std::tie(left.kind, left.slots, left.id) <
                     std::tie(right.kind, right.slots, right.id);
            });
  const std::size_t count =
      std::max<std::size_t>(1, aUpstreams.size() / aPartSize);
  std::vector<DomainPart> parts(count);
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    parts[i % count].push_back(aUpstreams[i]);
  }
  return parts;
}

std::string CompositionOf(const DomainLayout& aLayout,
                          const DomainPart& aPart) {
  std::string text;
  for (const std::size_t index : aPart) {
    const PlacedUpstream& upstream = aLayout.At(index);
    text += upstream.kind + ":" + std::to_string(upstream.slots) + ",";
  }
  return text;
}

}  // namespace zincstep
