#pragma once

#include <optional>

#include "Zincstep/Core/NameTable.h"
#include "Zincstep/Relay/RouteDurations.h"

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
  /// Time before the kill at which the process exits although callers have not
  /// received all of their responses.
  Micros exitMargin = 100ms;
  /// Durations that are expected as long as too few requests of a route are
  /// known: of most streams, and of nearly all requests to a plain service.
  Micros initialStreamTime = 5s;
  Micros initialServiceTime = 1500ms;
};

/// What is known of the time that a new request takes.
struct ExpectedDuration {
  /// Time until its caller or its route gives up.
  Micros maximum{0};
  /// Of recent requests of its route; none if too few are known.
  std::optional<UsualDurations> usual;
  /// Whether it may run again elsewhere if it is ended here.
  bool isRepeatable = false;
  bool isStream = false;
};

/// What the decision on a request of a stopping daemon is based on.
enum class StopBasis {
  /// The time until the caller or the route gives up.
  Deadline,
  /// Recent durations of the route.
  RouteDurations,
  /// Initial durations, as too few requests of the route are known.
  InitialDurations,
};

inline constexpr NameTable<StopBasis, 3> kStopBasisNames{{
    {StopBasis::Deadline, "deadline"},
    {StopBasis::RouteDurations, "route_durations"},
    {StopBasis::InitialDurations, "initial_durations"},
}};

/// Whether a request is accepted, and why.
struct StopDecision {
  bool isAccepted = true;
  StopBasis basis = StopBasis::Deadline;
  /// Time that the request was taken to need.
  Micros expected{0};
};

/// Decides what a daemon still does after its stop signal.
///
/// From the signal on the daemon is not ready. It completes the requests that
/// it accepted, and accepts new ones only while they can end before the kill.
class StopPolicy {
 public:
  explicit StopPolicy(StopPolicySettings aSettings) : settings(aSettings) {}

  /// Records when the stop signal arrived, and since when the daemon is not
  /// ready: later, if the loop was held.
  void Begin(Instant aSignalledAt, Instant aNotReadySince) {
    this->begunAt = aSignalledAt;
    this->notReadySince = aNotReadySince;
  }
  void Begin(Instant aNow) { this->Begin(aNow, aNow); }
  bool IsStopping() const { return this->begunAt.has_value(); }
  /// Whether to accept a new request. One that is not repeatable must end in
  /// any case, and so must a stream after `balancerRemovalDelay`. Until then
  /// most of a route's streams have to end, as their callers may have no other
  /// daemon; those that don't can be resumed. Repeatable requests to a plain
  /// service get a complete response whenever they are ended, so that most of
  /// them, later nearly all, have to end.
  StopDecision Decide(const ExpectedDuration& aExpected, Instant aNow) const;
  bool Accepts(const ExpectedDuration& aExpected, Instant aNow) const {
    return this->Decide(aExpected, aNow).isAccepted;
  }
  /// Whether a run of an accepted request may begin, at an upstream or by way
  /// of another daemon. From `balancerRemovalDelay` on it must end in any case,
  /// unless it is repeatable and no stream: the durations that a request was
  /// accepted by are used up, and other daemons can still take it.
  bool MayBeginRun(const ExpectedDuration& aExpected, Instant aNow) const;
  /// Time since the stop signal; none before it.
  std::optional<Micros> SinceSignal(Instant aNow) const {
    return this->begunAt ? std::optional(aNow - *this->begunAt) : std::nullopt;
  }
  /// Time until all requests have ended; only while stopping.
  Micros TimeLeft(Instant aNow) const { return this->EndOfRequests() - aNow; }
  /// Whether to keep a request until what it waits for may have arrived, for at
  /// most `aWait`; afterwards a request to a plain service still has its time.
  bool MayDefer(Micros aWait, Instant aNow) const {
    return this->CanEnd(aWait + this->settings.initialServiceTime, aNow);
  }
  /// Whether all requests must get their final response now.
  bool MustEndRequests(Instant aNow) const;
  /// Whether to close connections that have no request, as the balancer has
  /// stopped sending.
  bool ShouldCloseIdle(Instant aNow) const;
  /// Whether the process exits whatever is left, as the kill comes next.
  bool MustExit(Instant aNow) const;
  /// Whether the process may exit with `aActive` requests still running and
  /// `aUnsent` bytes of responses that callers have not received yet.
  bool CanExit(std::size_t aActive, std::size_t aUnsent, Instant aNow) const;

 private:
  StopPolicySettings settings;
  UsualDurations InitialDurations(const ExpectedDuration& aExpected) const;
  bool CanEnd(Micros aDuration, Instant aNow) const {
    return !this->begunAt || aNow + aDuration <= this->EndOfRequests();
  }
  /// Time by which all requests have ended; only while stopping.
  Instant EndOfRequests() const {
    return *this->begunAt + this->settings.gracePeriod -
           this->settings.killMargin;
  }

  /// Whether a request that is read now is late: new connections would have
  /// ceased if the daemon had not been ready since the signal.
  bool IsLate(Instant aNow) const {
    return this->begunAt &&
           aNow - *this->begunAt >= this->settings.balancerRemovalDelay;
  }

  std::optional<Instant> begunAt;
  Instant notReadySince{};
};

}  // namespace zincstep
