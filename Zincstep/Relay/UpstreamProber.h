#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "Zincstep/Relay/LivenessCheck.h"

namespace zincstep {

/// Settings of `UpstreamProber`.
struct UpstreamProberSettings {
  /// Timeout of one attempt. A live upstream reports within 2 ms, also from
  /// another failure domain.
  Micros timeout = 25ms;
  /// Attempts per probe: a lost packet is retransmitted only after the timeout,
  /// so a second attempt is made.
  int maxAttempts = 2;
  /// A timeout noticed later than this is ignored, as this daemon was slow,
  /// rather than the upstream.
  Micros maxTimeoutLateness = 15ms;
  /// Timeout of the second probe of an upstream that has just become suspect:
  /// it may only be slow.
  Micros confirmTimeout = 150ms;
  /// Minimum time between probes of an upstream. Doubles with each probe up to
  /// `maxBackoff`, and is reset after three times `maxBackoff` without one.
  Micros initialBackoff = 200ms;
  Micros maxBackoff = 1600ms;
  /// Interval of probes of an upstream that reported a slowdown.
  Micros slowInterval = 1s;
  /// Probes per second of this daemon. Each is charged for, and costs CPU time
  /// on a daemon that may itself be overloaded.
  double maxPerSecond = 12;
  /// Probes in a burst: the members of three chains.
  double maxBurst = 40;
};

/// Probes upstreams for liveness and slowdown.
///
/// A stalled stream shows that a member of its chain is lost, but not which.
/// The report of its first upstream names the member, but some hundred
/// milliseconds late; a dead member refuses a connection at once.
class UpstreamProber {
 public:
  /// Called when an upstream becomes suspect: observed by this daemon, or
  /// reported by a peer and confirmed by this daemon.
  using OnSuspicion = std::function<void(Provenance)>;

  UpstreamProber(UpstreamProberSettings aSettings, UpstreamControl& aControl,
                 const Clock& aClock, OnSuspicion aOnSuspicion);

  /// Probes an upstream, unless its backoff or the rate limit forbids it. Marks
  /// it as suspect if it does not respond.
  void Probe(const UpstreamPtr& aUpstream);
  /// Probes an upstream that a peer suspects, even within its backoff. A peer
  /// that suspects many upstreams may itself be slow or partitioned, so its
  /// report alone is not trusted. Plain services do not respond to probes;
  /// peers' reports of them are ignored, and each daemon relies on its own
  /// calls.
  void Verify(const UpstreamPtr& aUpstream);
  /// Probes again the upstreams that reported a slowdown.
  void Tick();

 private:
  /// Probe state of one upstream.
  struct Record {
    UpstreamPtr upstream;
    Instant probedAt{};
    Instant nextAt{};
    Micros backoff{0};
    bool isPending = false;
    /// Whether this daemon or a peer suspected it first.
    Provenance evidence = Provenance::Observed;
  };

  bool TryAcquireToken(Instant aNow);
  void StartProbe(Record& aRecord, const UpstreamPtr& aUpstream, Instant aNow);
  void StartAttempt(const UpstreamPtr& aUpstream, int aAttemptsLeft);
  /// Requests a report, or only opens a connection if the call limit permits no
  /// call now; that can show a loss, but not that the upstream is alive.
  void SendProbe(const UpstreamPtr& aUpstream, Micros aTimeout,
                 std::function<void(Liveness)> aDone);
  void OnReport(const UpstreamPtr& aUpstream, const UpstreamReport& aReport);
  void OnNoResponse(const UpstreamPtr& aUpstream);
  void Recheck(const UpstreamPtr& aUpstream);
  void FinishProbe(const UpstreamPtr& aUpstream);

  UpstreamProberSettings settings;
  const Clock& clock;
  LivenessCheck check;
  OnSuspicion onSuspicion;
  /// Keyed by `LiveUpstream::Number`.
  std::unordered_map<std::uint64_t, Record> records;
  TokenBucket tokens;
};

}  // namespace zincstep
