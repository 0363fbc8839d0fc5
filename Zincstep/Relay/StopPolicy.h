#pragma once

#include <optional>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of an orderly stop.
struct StopPolicySettings {
  /// Time from the order to stop until the process is killed.
  Micros grace = 8s;
  /// The balancer asks each second and takes a daemon out after two misses;
  /// until then new connections still come.
  Micros balancerNotice = 2600ms;
  /// Time before the kill at which what still runs is ended.
  Micros killMargin = 500ms;
  /// Longest time that a stream usually takes: one that is taken later
  /// would be cut by the kill.
  Micros maxStreamTime = 5s;
  /// The same for a request to a plain service.
  Micros maxServiceTime = 1500ms;
};

/// Says what a daemon that is told to stop still does.
///
/// It is not ready from the order on, serves what it has taken, and takes
/// new work only as long as that can end before the kill.
class StopPolicy {
 public:
  explicit StopPolicy(StopPolicySettings aSettings) : settings(aSettings) {}

  /// The order has come.
  void Begin(Instant aNow) { this->begunAt = aNow; }
  bool IsStopping() const { return this->begunAt.has_value(); }
  /// Whether a new stream (else a request to a plain service) is taken.
  bool Takes(bool aIsStream, Instant aNow) const;
  /// Whether connections without a request are to be closed.
  bool ShouldCloseIdle(Instant aNow) const;
  /// Whether the process may end, with so many requests still running.
  bool CanExit(std::size_t aActive, Instant aNow) const;

 private:
  StopPolicySettings settings;
  std::optional<Instant> begunAt;
};

}  // namespace zincstep
