#pragma once

#include <optional>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Tells upstreams that are lost from ones that are silent for a common cause,
/// such as a held event loop or a lost path of this daemon.
class SilenceMonitor {
 public:
  /// Records which upstreams of a service are silent; call periodically.
  void Observe(const std::vector<UpstreamPtr>& aUpstreams, Instant aNow);
  /// Whether upstreams are silent that fell silent together with most of the
  /// service. False once they have been silent for so long that they are likely
  /// lost.
  bool HasCommonCause(Instant aNow) const;

 private:
  /// Silent ones of those that fell silent together.
  std::vector<UpstreamPtr> silent;
  Instant since{};
};

}  // namespace zincstep
