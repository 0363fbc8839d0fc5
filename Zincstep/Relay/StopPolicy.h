#pragma once

#include <optional>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of an orderly stop.
struct StopPolicySettings {
  /// Time from the stop signal until the process is killed.
  Micros gracePeriod = 8s;
  /// Time until new connections cease: the load balancer checks readiness each
  /// second and removes a daemon after two failures.
  Micros balancerRemovalDelay = 2600ms;
  /// Time before the kill at which all requests get their final response.
  Micros killMargin = 500ms;
  /// Usual maximum duration of a stream; the kill would truncate one accepted
  /// later than this before it.
  Micros maxStreamTime = 5s;
  /// Usual maximum duration of a request to a plain service.
  Micros maxServiceTime = 1500ms;
};

/// Decides what a daemon still does after its stop signal.
///
/// From the signal on the daemon is not ready. It completes the requests that
/// it accepted, and accepts new ones only while they can end before the kill.
class StopPolicy {
 public:
  explicit StopPolicy(StopPolicySettings aSettings) : settings(aSettings) {}

  /// Records the time of the stop signal.
  void Begin(Instant aNow) { this->begunAt = aNow; }
  bool IsStopping() const { return this->begunAt.has_value(); }
  /// Whether to accept a new request: a stream, or one to a plain service.
  bool Accepts(bool aIsStream, Instant aNow) const;
  /// Whether to keep a request until what it waits for may have arrived, for at
  /// most `aWait`; afterwards a request to a plain service still has its time.
  bool MayDefer(Micros aWait, Instant aNow) const {
    return this->Accepts(false, aNow + aWait);
  }
  /// Whether all requests must get their final response now.
  bool MustEndRequests(Instant aNow) const;
  /// Whether to close connections that have no request.
  bool ShouldCloseIdle(Instant aNow) const;
  /// Whether the process may exit with `aActive` requests still running.
  bool CanExit(std::size_t aActive, Instant aNow) const;

 private:
  StopPolicySettings settings;
  /// Time by which all requests have ended; only while stopping.
  Instant EndOfRequests() const {
    return *this->begunAt + this->settings.gracePeriod -
           this->settings.killMargin;
  }

  std::optional<Instant> begunAt;
};

}  // namespace zincstep
