#pragma once

#include <map>
#include <string>

#include "Zincstep/Relay/UpstreamProber.h"

namespace zincstep {

/// Finds out that a failure domain that was cut off can be reached again.
///
/// While a domain is cut off, each of its upstreams that a request tries comes
/// under suspicion, for longer each time. When the cut ends nobody would try
/// them for up to 16 s, and a daemon whose own domain is not whole yet has no
/// chain at all. So one of them is asked now and then, and once it answers
/// the suspicions of the whole domain are taken back; who is dead for other
/// reasons is found again by its silence.
class DomainRecoveryMonitor {
 public:
  DomainRecoveryMonitor(UpstreamProber& aProbe, const Clock& aClock,
                        Random& aRandom)
      : probe(aProbe), clock(aClock), random(aRandom) {}

  /// Asks and takes back where it is time; to be called several times a second.
  void Tick(const UpstreamDirectory& aDirectory);

 private:
  /// The last upstream of a domain that was asked.
  struct Question {
    UpstreamPtr asked;
    Instant at;
  };
  /// Upstreams of models in one domain.
  struct Members {
    std::vector<UpstreamPtr> suspects;
    std::size_t all = 0;
  };

  void TakeBack(const std::string& aDomain, const Members& aMembers);
  void Ask(Question& aQuestion, const Members& aMembers);

  UpstreamProber& probe;
  const Clock& clock;
  Random& random;
  std::map<std::string, Question> questions;
};

}  // namespace zincstep
