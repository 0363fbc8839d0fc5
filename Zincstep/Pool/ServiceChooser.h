#pragma once

#include <string>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// Settings of the upstream selection for plain services.
struct ServiceChooserSettings {
  /// Additional cost of an upstream in another failure domain, in seconds: some
  /// round trips and billed traffic.
  double remoteDomainSeconds = 0.02;
  /// Response time that is assumed before the first response, in seconds.
  double initialResponseSeconds = 0.05;
  /// Weight of a new response in the average.
  double responseWeight = 0.2;
  /// Maximum age of the queue length that an upstream reported.
  Micros queueMaxAge = 1s;
};

/// Selects upstreams of a plain service: the one with the lowest expected
/// response time, by its requests in flight and its past response times.
class ServiceChooser {
 public:
  explicit ServiceChooser(ServiceChooserSettings aSettings)
      : settings(aSettings) {}

  /// Returns the best upstream that is usable, may be called and is not in
  /// `aTried`, or null.
  UpstreamPtr Choose(const std::vector<UpstreamPtr>& aUpstreams,
                     const std::string& aOwnDomain,
                     const std::vector<UpstreamPtr>& aTried, Instant aNow,
                     Random& aRandom) const;
  /// Records the response time of a request.
  void OnResponse(LiveUpstream& aUpstream, Micros aResponseTime) const;

 private:
  double ExpectedSeconds(const LiveUpstream& aUpstream,
                         const std::string& aOwnDomain, Instant aNow) const;

  ServiceChooserSettings settings;
};

}  // namespace zincstep
