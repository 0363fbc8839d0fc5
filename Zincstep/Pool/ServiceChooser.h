#pragma once

#include <string>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// Settings of the choice among a plain service's upstreams.
struct ServiceChooserSettings {
  /// An upstream in another failure domain costs this much more, in
  /// seconds: some round trips, and bytes that are paid for.
  double otherDomainSeconds = 0.02;
  /// Time of an answer that is assumed before the first one, in seconds.
  double firstAnswerSeconds = 0.05;
  /// Weight of a new answer in the average.
  double average = 0.2;
  /// What an upstream tells of its queue counts for so long.
  Micros queueMemory = 1s;
};

/// Chooses upstreams of a plain service: the one where an answer is
/// expected soonest, by requests in flight and its answers so far.
class ServiceChooser {
 public:
  explicit ServiceChooser(ServiceChooserSettings aSettings)
      : settings(aSettings) {}

  /// The best of those that are usable, may be called and are not in `aTried`,
  /// or null.
  UpstreamPtr Choose(const std::vector<UpstreamPtr>& aUpstreams,
                     const std::string& aOwnDomain,
                     const std::vector<UpstreamPtr>& aTried, Instant aNow,
                     Random& aRandom) const;
  /// An upstream has answered a request after `aTaken`.
  void OnResponse(LiveUpstream& aUpstream, Micros aTaken) const;

 private:
  double ExpectedSeconds(const LiveUpstream& aUpstream,
                         const std::string& aOwnDomain, Instant aNow) const;

  ServiceChooserSettings settings;
};

}  // namespace zincstep
