#pragma once

#include <functional>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// What a probe has shown about the probed incarnation of an upstream.
enum class Liveness {
  /// It returned a report under its own id.
  Alive,
  /// Its address refuses connections, or another incarnation responds there.
  Ended,
  /// A connection was established and closed without a response. A link
  /// failure may reset one with all others; several in a row are a crash.
  Dropped,
  /// No response in time. A packet may be lost; several timeouts in a row are
  /// a crash.
  TimedOut,
  /// Inconclusive: a connection stayed open, which proxies and kernels also
  /// do, or this daemon was too busy to notice the timeout when it was due.
  Unknown,
};

/// Probes upstreams and classifies what each result shows.
///
/// Stateless: the caller decides how often to probe and how to combine results.
class LivenessCheck {
 public:
  /// The report is set if the result is `Alive` of `RequestReport`, else null.
  using Callback = std::function<void(Liveness, const UpstreamReport*)>;

  /// A timeout noticed more than `aMaxLateness` late counts as `Unknown`.
  LivenessCheck(UpstreamControl& aControl, const Clock& aClock,
                Micros aMaxLateness)
      : control(aControl), clock(aClock), maxLateness(aMaxLateness) {}

  /// Whether the upstream supports reports and its call limit permits one now.
  bool CanProbe(const LiveUpstream& aUpstream) const {
    return aUpstream.Entry().IsOfModel() &&
           aUpstream.MayCall(this->clock.Now());
  }
  /// Requests a report; the only probe that can show `Alive`.
  void RequestReport(const UpstreamPtr& aUpstream, Micros aTimeout,
                     Callback aDone);
  /// Opens a connection and observes it until `aTimeout`, without a request.
  /// Never shows `Alive`.
  void ProbeConnection(const UpstreamPtr& aUpstream, Micros aTimeout,
                       Callback aDone);
  /// Tests whether an upstream accepts a new connection.
  void ProbePath(const UpstreamPtr& aUpstream, Micros aTimeout,
                 std::function<void(bool)> aDone);

 private:
  /// Result of a probe without response whose timeout had to be noticed by
  /// `aLatest`.
  Liveness TimeoutResult(Instant aLatest) const {
    return this->clock.Now() > aLatest ? Liveness::Unknown : Liveness::TimedOut;
  }

  UpstreamControl& control;
  const Clock& clock;
  Micros maxLateness;
};

}  // namespace zincstep
