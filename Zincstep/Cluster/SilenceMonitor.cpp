#include "Zincstep/Cluster/SilenceMonitor.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Two upstreams may crash at the same time.
constexpr std::size_t kMinSilent = 3;
/// Silence of several upstreams that is taken for a common cause at most. A
/// first suspicion ends after 2 s, and the entry of an ended upstream is
/// removed by then.
constexpr Micros kMaxCommonSilence = 2500ms;

/// Whether an upstream is listed as ready.
bool IsListed(const LiveUpstream& aUpstream) {
  return !aUpstream.IsDeregistered() && !aUpstream.IsDraining();
}

}  // namespace

void SilenceMonitor::Observe(const std::vector<UpstreamPtr>& aUpstreams,
                             Instant aNow) {
  std::erase_if(this->silent, [aNow](const UpstreamPtr& aOne) {
    return !IsListed(*aOne) || !aOne->IsSuspect(aNow);
  });
  std::size_t listed = 0;
  std::vector<UpstreamPtr> suspect;
  for (const UpstreamPtr& upstream : aUpstreams) {
    if (IsListed(*upstream)) {
      listed += 1;
      if (upstream->IsSuspect(aNow)) {
        suspect.push_back(upstream);
      }
    }
  }
  if (suspect.size() >= kMinSilent && 2 * suspect.size() > listed) {
    this->since = this->silent.empty() ? aNow : this->since;
    this->silent = std::move(suspect);
  }
}

bool SilenceMonitor::HasCommonCause(Instant aNow) const {
  return !this->silent.empty() && aNow - this->since < kMaxCommonSilence;
}

}  // namespace zincstep
