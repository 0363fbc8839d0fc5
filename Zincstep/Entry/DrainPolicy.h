#pragma once

#include <algorithm>
#include <optional>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// Whether a stopping daemon accepts a request, and the times it was decided
/// by.
struct DrainDecision {
  bool isAccepted = false;
  /// Time since the stop signal.
  Micros sinceStop{0};
  /// Time until all requests must have ended; negative after that.
  Micros left{0};
  /// Time within which the request ends for certain; none if it is unknown.
  std::optional<Micros> bound;
};

/// Decides what an entry daemon still does after its stop signal.
///
/// A request is accepted if it ends before the drain limit for certain, which
/// only its deadline shows: durations of earlier requests promise nothing to a
/// single one.
class DrainPolicy {
 public:
  /// `aGrace` is the time in which requests are still accepted, `aLimit` the
  /// time by which all have ended, both from the stop signal on.
  DrainPolicy(Micros aGrace, Micros aLimit) : grace(aGrace), limit(aLimit) {}

  /// Records the time of the stop signal.
  void Begin(Instant aNow) { this->begunAt = aNow; }
  bool IsStopping() const { return this->begunAt.has_value(); }
  /// Whether to accept a new request that ends at `aDeadline` at the latest;
  /// only while stopping.
  DrainDecision Decide(std::optional<Instant> aDeadline, Instant aNow) const;
  /// Whether all new requests are refused.
  bool RefusesAll(Instant aNow) const {
    return this->IsStopping() &&
           aNow - *this->begunAt >= std::min(this->grace, this->limit);
  }
  /// Whether all requests must get their final response now.
  bool MustEndRequests(Instant aNow) const {
    return this->IsStopping() && aNow - *this->begunAt >= this->limit;
  }

 private:
  Micros grace;
  Micros limit;
  std::optional<Instant> begunAt;
};

}  // namespace zincstep
