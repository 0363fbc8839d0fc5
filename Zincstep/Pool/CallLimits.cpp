#include "Zincstep/Pool/CallLimits.h"

#include <numeric>

namespace zincstep {

namespace {

/// Between two log lines of the calls to one upstream.
constexpr Micros kLinePause = 1s;

}  // namespace

void CallLimits::OnNotice(const UpstreamPtr& aUpstream,
                          const UpstreamNotice& aNotice) {
  const auto known = this->limited.find(aUpstream->Number());
  if (!aNotice.callsPerSecond) {
    if (known != this->limited.end()) {
      LogInfo("upstream_limit_lifted", {{"upstream", aUpstream->Entry().id}});
      this->limited.erase(known);
    }
    return;
  }
  if (known != this->limited.end() &&
      known->second.callsPerSecond == *aNotice.callsPerSecond) {
    return;
  }
  Limited& limit = this->limited[aUpstream->Number()];
  limit.upstream = aUpstream;
  limit.callsPerSecond = *aNotice.callsPerSecond;
  LogInfo("upstream_limit_named", {{"upstream", aUpstream->Entry().id},
                                   {"calls_per_second", limit.callsPerSecond}});
}

void CallLimits::OnCall(std::uint64_t aUpstream, UpstreamCall aCall) {
  this->metrics.Count(
      "zincstep_upstream_calls_total",
      {{"call", std::string(NameIn(kUpstreamCallNames, aCall))}});
  const auto found = this->limited.find(aUpstream);
  if (found != this->limited.end()) {
    found->second.calls[static_cast<std::size_t>(aCall)] += 1;
  }
}

void CallLimits::Tick() {
  const Instant now = this->clock.Now();
  for (auto& [number, limit] : this->limited) {
    const int sum = std::accumulate(limit.calls.begin(), limit.calls.end(), 0);
    if (now < limit.nextLine || sum == 0) {
      continue;
    }
    const auto count = [&limit = limit](UpstreamCall aCall) {
      return limit.calls[static_cast<std::size_t>(aCall)];
    };
    LogInfo("limited_upstream_calls",
            {{"upstream", limit.upstream->Entry().id},
             {"calls_per_second", limit.callsPerSecond},
             {"requests", count(UpstreamCall::Request)},
             {"reports", count(UpstreamCall::Report)},
             {"orders", count(UpstreamCall::Order)}});
    limit.calls.fill(0);
    limit.nextLine = now + kLinePause;
  }
}

}  // namespace zincstep
