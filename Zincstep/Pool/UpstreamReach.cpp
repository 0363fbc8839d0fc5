#include "Zincstep/Pool/UpstreamReach.h"

#include <algorithm>

namespace zincstep {

UpstreamReach ReachOf(const std::vector<UpstreamPtr>& aUpstreams,
                      Instant aNow) {
  UpstreamReach reach;
  for (const UpstreamPtr& upstream : aUpstreams) {
    const UpstreamEntry& entry = upstream->Entry();
    const bool isReady =
        !upstream->IsDeregistered() && entry.state == Availability::Ready;
    const bool takesRequests = !entry.IsOfModel() || (entry.layers.first == 0 &&
                                                      entry.layers.Size() > 0);
    if (isReady && takesRequests) {
      reach.listed += 1;
      reach.unreachable += upstream->IsSuspect(aNow) ? 1 : 0;
      reach.lastResponseAt =
          std::max(reach.lastResponseAt, upstream->LastResponseAt());
    }
  }
  return reach;
}

}  // namespace zincstep
