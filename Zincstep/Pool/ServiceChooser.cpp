#include "Zincstep/Pool/ServiceChooser.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Expected times are varied by this share, so that equal upstreams share.
constexpr double kJitter = 0.1;

}  // namespace

double ServiceChooser::ExpectedSeconds(const LiveUpstream& aUpstream,
                                       const std::string& aOwnDomain,
                                       Instant aNow) const {
  const double slots = std::max(1, aUpstream.Entry().slots);
  const double answer = aUpstream.responseSeconds > 0
                            ? aUpstream.responseSeconds
                            : this->settings.firstAnswerSeconds;
  const bool remembers =
      aNow - aUpstream.queueReportedAt < this->settings.queueMemory;
  const double waiting = std::max(remembers ? aUpstream.queuedRequests : 0,
                                  std::max(0.0, aUpstream.Work() + 1 - slots));
  const double away = aUpstream.Entry().failureDomain == aOwnDomain
                          ? 0
                          : this->settings.otherDomainSeconds;
  return answer * (1 + waiting / slots) +
         answer * aUpstream.Work() / slots / 2 + away;
}

UpstreamPtr ServiceChooser::Choose(const std::vector<UpstreamPtr>& aUpstreams,
                                   const std::string& aOwnDomain,
                                   const std::vector<UpstreamPtr>& aTried,
                                   Instant aNow, Random& aRandom) const {
  UpstreamPtr best;
  double bestSeconds = 0;
  for (const UpstreamPtr& upstream : aUpstreams) {
    const bool tried =
        std::find(aTried.begin(), aTried.end(), upstream) != aTried.end();
    if (tried || !upstream->IsUsable(aNow) || !upstream->MayCall(aNow)) {
      continue;
    }
    if (upstream->IsCallOverdue(aNow)) {
      // Old answer times may say it is slow for as long as others are idle, and
      // the end of its limit would never be found out.
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

void ServiceChooser::OnResponse(LiveUpstream& aUpstream, Micros aTaken) const {
  const double taken = ToSeconds(aTaken);
  const double share =
      aUpstream.responseSeconds > 0 ? this->settings.average : 1;
  aUpstream.responseSeconds += share * (taken - aUpstream.responseSeconds);
}

}  // namespace zincstep
