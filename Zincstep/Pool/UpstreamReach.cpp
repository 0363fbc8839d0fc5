#include "Zincstep/Pool/UpstreamReach.h"

#include <algorithm>

namespace zincstep {

bool TakesRequests(const LiveUpstream& aUpstream) {
  const UpstreamEntry& entry = aUpstream.Entry();
  const bool isReady =
      !aUpstream.IsDeregistered() && entry.state == Availability::Ready;
  const bool isFirst = entry.layers.first == 0 && entry.layers.Size() > 0;
  return isReady && (!entry.IsOfModel() || isFirst);
}

UpstreamReach ReachOf(const std::vector<UpstreamPtr>& aUpstreams,
                      Instant aNow) {
  UpstreamReach reach;
  for (const UpstreamPtr& upstream : aUpstreams) {
    if (TakesRequests(*upstream)) {
      reach.listed += 1;
      reach.unreachable += upstream->IsSuspect(aNow) ? 1 : 0;
      reach.lastResponseAt =
          std::max(reach.lastResponseAt, upstream->LastResponseAt());
    }
  }
  return reach;
}

}  // namespace zincstep
