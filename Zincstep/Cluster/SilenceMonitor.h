#pragma once

#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Tells when most upstreams of a service are suspect at once, so that a held
/// event loop or a lost path of this daemon is likelier than their loss.
class SilenceMonitor {
 public:
  /// Records which upstreams of a service are suspect; call periodically. Only
  /// those that hold layers count.
  void Observe(const std::vector<UpstreamPtr>& aUpstreams, Instant aNow);
  /// Whether an upstream is still suspect that was while most were. False from
  /// some time after most became suspect on, as they are likely lost then.
  bool HasCommonCause(Instant aNow) const;

 private:
  /// Those that were suspect while most were and still are.
  std::vector<UpstreamPtr> suspects;
  bool areMostSuspect = false;
  /// When most became suspect last.
  Instant since{};
};

}  // namespace zincstep
