#pragma once

#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// How many of a service's upstreams this daemon's own calls reach.
///
/// Counts the upstreams that take requests directly: those of a plain service,
/// or those that hold a model's first layers.
struct UpstreamReach {
  /// Listed as ready.
  std::size_t listed = 0;
  /// Listed as ready and suspect, as they did not respond to this daemon.
  std::size_t unreachable = 0;
  /// Time of the last response of any of them.
  Instant lastResponseAt{};

  bool operator==(const UpstreamReach&) const = default;
  /// Whether this daemon reaches at most half of them, so that its own path may
  /// be the cause; a crash of as many looks the same.
  bool IsCutOff() const {
    return this->unreachable > 0 && 2 * this->unreachable >= this->listed;
  }
};

/// Whether a ready upstream takes requests directly.
bool TakesRequests(const LiveUpstream& aUpstream);
/// Returns the reach of a service's upstreams.
UpstreamReach ReachOf(const std::vector<UpstreamPtr>& aUpstreams, Instant aNow);

}  // namespace zincstep
