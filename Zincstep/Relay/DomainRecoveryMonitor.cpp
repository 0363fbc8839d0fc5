#include "Zincstep/Relay/DomainRecoveryMonitor.h"

#include <algorithm>
#include <iterator>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Interval between probes of one domain, which bounds the time to detect the
/// end of a partition. Costs up to three attempts per probe.
constexpr Micros kDomainProbeInterval = 500ms;
/// Fewer suspects are treated as crashes of single upstreams.
constexpr std::size_t kMinSuspects = 3;
/// Share of suspects in a domain at which the domain may be partitioned. It is
/// low, as only the upstreams that requests tried become suspect.
constexpr double kLostShare = 0.25;

}  // namespace

void DomainRecoveryMonitor::Tick(const UpstreamDirectory& aDirectory) {
  const Instant now = this->clock.Now();
  for (const auto& [domain, all] : aDirectory.ModelsByDomain()) {
    Members members;
    members.all = all.size();
    std::copy_if(
        all.begin(), all.end(), std::back_inserter(members.suspects),
        [now](const UpstreamPtr& aOne) { return aOne->IsSuspect(now); });
    const bool isLost = members.suspects.size() >= kMinSuspects &&
                        static_cast<double>(members.suspects.size()) >=
                            kLostShare * static_cast<double>(members.all);
    if (!isLost) {
      this->lastProbes.erase(domain);
      continue;
    }
    LastProbe& lastProbe = this->lastProbes[domain];
    if (lastProbe.upstream &&
        lastProbe.upstream->LastResponseAt() >= lastProbe.sentAt) {
      this->ClearSuspicions(domain, members);
      this->lastProbes.erase(domain);
    } else if (!lastProbe.upstream ||
               now - lastProbe.sentAt >= kDomainProbeInterval) {
      this->ProbeSuspect(lastProbe, members);
    }
  }
}

void DomainRecoveryMonitor::ProbeSuspect(LastProbe& aLastProbe,
                                         const Members& aMembers) {
  // Not the same one as last time, as that may have crashed.
  const std::size_t count = aMembers.suspects.size();
  const std::size_t pick = this->random.Below(count);
  aLastProbe.upstream = aMembers.suspects[pick] == aLastProbe.upstream
                            ? aMembers.suspects[(pick + 1) % count]
                            : aMembers.suspects[pick];
  aLastProbe.sentAt = this->clock.Now();
  this->prober.Verify(aLastProbe.upstream);
}

void DomainRecoveryMonitor::ClearSuspicions(const std::string& aDomain,
                                            const Members& aMembers) {
  LogInfo("domain_answers_again", {{"failure_domain", aDomain},
                                   {"suspects", aMembers.suspects.size()},
                                   {"members", aMembers.all}});
  for (const UpstreamPtr& upstream : aMembers.suspects) {
    upstream->ClearSuspicion();
    this->prober.Verify(upstream);
  }
}

}  // namespace zincstep
