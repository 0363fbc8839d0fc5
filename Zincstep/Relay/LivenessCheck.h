#pragma once

#include <functional>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// What a question to an upstream has shown of the incarnation that was meant.
enum class Liveness {
  /// It has answered a question that was asked under its name.
  Alive,
  /// Nobody accepts connections at its address, or another one answers there.
  Ended,
  /// A connection came up and was closed without an answer. One may be reset
  /// with all others of a link; several in a row are an end.
  Dropped,
  /// No answer of its own has come in time. A packet may be lost; several in a
  /// row are an end.
  Silent,
  /// Neither: somebody holds a connection open, which proxies and kernels do
  /// too, or this daemon was too busy to notice the time-out when it was due.
  Unknown,
};

/// Asks upstreams whether they live, and says what each answer proves.
///
/// Keeps no state: who asks decides how often, and what to believe.
class LivenessCheck {
 public:
  /// The report comes with `Alive` where one was asked for, else null.
  using Done = std::function<void(Liveness, const UpstreamReport*)>;

  /// A time-out that is noticed later than by `aLateness` proves nothing.
  LivenessCheck(UpstreamControl& aControl, const Clock& aClock,
                Micros aLateness)
      : control(aControl), clock(aClock), lateness(aLateness) {}

  /// Whether an upstream gives reports, and takes a call now.
  bool MayAsk(const LiveUpstream& aUpstream) const {
    return aUpstream.Entry().IsOfModel() &&
           aUpstream.MayCall(this->clock.Now());
  }
  /// Asks for a report, which alone shows life.
  void Ask(const UpstreamPtr& aUpstream, Micros aTimeout, Done aDone);
  /// Watches a connection for as long, without a request; shows ends only.
  void Connect(const UpstreamPtr& aUpstream, Micros aTimeout, Done aDone);

 private:
  /// No answer came until now, of a question that had time until `aLatest`.
  Liveness SilenceAt(Instant aLatest) const {
    return this->clock.Now() > aLatest ? Liveness::Unknown : Liveness::Silent;
  }

  UpstreamControl& control;
  const Clock& clock;
  Micros lateness;
};

}  // namespace zincstep
