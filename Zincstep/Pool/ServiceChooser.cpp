#include "Zincstep/Pool/ServiceChooser.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Relative random variation of expected times, so that equal upstreams share
/// the load.
constexpr double kJitter = 0.1;

}  // namespace

double ServiceChooser::ExpectedSeconds(const LiveUpstream& aUpstream,
                                       const std::string& aOwnDomain,
                                       Instant aNow) const {
  const double slots = std::max(1, aUpstream.Entry().slots);
  const double response = aUpstream.responseSeconds > 0
                              ? aUpstream.responseSeconds
                              : this->settings.initialResponseSeconds;
  const bool isQueueKnown =
      aNow - aUpstream.queueReportedAt < this->settings.queueMaxAge;
  const double waiting = std::max(isQueueKnown ? aUpstream.queuedRequests : 0,
                                  std::max(0.0, aUpstream.Work() + 1 - slots));
  const double remoteSeconds = aUpstream.Entry().failureDomain == aOwnDomain
                                   ? 0
                                   : this->settings.remoteDomainSeconds;
  return response * (1 + waiting / slots) +
         response * aUpstream.Work() / slots / 2 + remoteSeconds;
}

UpstreamPtr ServiceChooser::Choose(const std::vector<UpstreamPtr>& aUpstreams,
                                   const std::string& aOwnDomain,
                                   const std::vector<UpstreamPtr>& aTried,
                                   Instant aNow, Random& aRandom) const {
  UpstreamPtr best;
  double bestSeconds = 0;
  for (const UpstreamPtr& upstream : aUpstreams) {
    const bool wasTried =
        std::find(aTried.begin(), aTried.end(), upstream) != aTried.end();
    if (wasTried || !upstream->IsUsable(aNow) || !upstream->MayCall(aNow)) {
      continue;
    }
    if (upstream->IsCallOverdue(aNow)) {
      // Old response times may rate it as slow as long as others are idle, and
      // the end of its limit would never be discovered.
      return upstream;
    }
    const double seconds = this->ExpectedSeconds(*upstream, aOwnDomain, aNow) *
                           (1 + kJitter * aRandom.Unit());
    if (!best || seconds < bestSeconds) {
      best = upstream;
      bestSeconds = seconds;
    }
  }
  return best;
}

void ServiceChooser::OnResponse(LiveUpstream& aUpstream,
                                Micros aResponseTime) const {
  const double seconds = ToSeconds(aResponseTime);
  const double weight =
      aUpstream.responseSeconds > 0 ? this->settings.responseWeight : 1;
  aUpstream.responseSeconds += weight * (seconds - aUpstream.responseSeconds);
}

}  // namespace zincstep
