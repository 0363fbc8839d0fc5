#include "Zincstep/Cluster/SilenceMonitor.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Two upstreams may crash at the same time.
constexpr std::size_t kMinSuspects = 3;
/// Time after most became suspect for which a common cause is assumed. A first
/// suspicion ends after 2 s, and the entry of an ended upstream is removed by
/// then.
constexpr Micros kMaxCommonSilence = 2500ms;

/// Whether an upstream is listed as ready and holds layers.
bool IsHolder(const LiveUpstream& aUpstream) {
  return !aUpstream.IsDeregistered() && !aUpstream.IsDraining() &&
         aUpstream.Entry().layers.Size() > 0;
}

}  // namespace

void SilenceMonitor::Observe(const std::vector<UpstreamPtr>& aUpstreams,
                             Instant aNow) {
  std::size_t holders = 0;
  std::vector<UpstreamPtr> current;
  for (const UpstreamPtr& upstream : aUpstreams) {
    if (IsHolder(*upstream)) {
      holders += 1;
      if (upstream->IsSuspect(aNow)) {
        current.push_back(upstream);
      }
    }
  }
  const bool wereMostSuspect = this->areMostSuspect;
  this->areMostSuspect =
      current.size() >= kMinSuspects && 2 * current.size() > holders;
  if (!this->areMostSuspect) {
    std::erase_if(this->suspects, [aNow](const UpstreamPtr& aOne) {
      return !IsHolder(*aOne) || !aOne->IsSuspect(aNow);
    });
    return;
  }
  if (!wereMostSuspect) {
    this->since = aNow;
  }
  this->suspects = std::move(current);
}

bool SilenceMonitor::HasCommonCause(Instant aNow) const {
  return !this->suspects.empty() && aNow - this->since < kMaxCommonSilence;
}

}  // namespace zincstep
