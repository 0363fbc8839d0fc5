#pragma once

#include <map>
#include <string>

#include "Zincstep/Relay/UpstreamProber.h"

namespace zincstep {

/// Detects that a partitioned failure domain can be reached again.
///
/// While a domain is partitioned, each upstream of it that a request tries
/// becomes suspect, for a longer time on each failure. After the partition
/// heals, none of them would be tried for up to 16 s, and a daemon whose own
/// domain lacks upstreams for some layers would have no chain at all. So the
/// monitor probes one suspect periodically and, once it responds, clears the
/// suspicions of the whole domain. Upstreams that are down for other reasons
/// become suspect again when they do not respond.
class DomainRecoveryMonitor {
 public:
  DomainRecoveryMonitor(UpstreamProber& aProber, const Clock& aClock,
                        Random& aRandom)
      : prober(aProber), clock(aClock), random(aRandom) {}

  /// Sends due probes and clears suspicions; call several times per second.
  void Tick(const UpstreamDirectory& aDirectory);

 private:
  /// Last probe that was sent to a domain.
  struct LastProbe {
    UpstreamPtr upstream;
    Instant sentAt;
  };
  /// Upstreams of models in one domain.
  struct Members {
    std::vector<UpstreamPtr> suspects;
    std::size_t all = 0;
  };

  void ClearSuspicions(const std::string& aDomain, const Members& aMembers);
  void ProbeSuspect(LastProbe& aLastProbe, const Members& aMembers);

  UpstreamProber& prober;
  const Clock& clock;
  Random& random;
  /// Keyed by failure domain.
  std::map<std::string, LastProbe> lastProbes;
};

}  // namespace zincstep
