#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "Zincstep/Relay/LivenessCheck.h"

namespace zincstep {

/// Settings of probes.
struct UpstreamProberSettings {
  /// An upstream that lives reports within two milliseconds, from another
  /// failure domain too; one that is dark says nothing.
  Micros timeout = 25ms;
  /// A lost packet comes again later than that, so one more is asked for.
  int tries = 2;
  /// A time-out that is noticed this much too late tells more of this
  /// daemon, which was slow, than of the upstream.
  Micros latestTimeout = 15ms;
  /// Time for the report of one that has just come under suspicion: it may
  /// only be slow.
  Micros confirmTimeout = 150ms;
  /// Pause before one that answered is asked again; it doubles while it
  /// answers, up to the longest, and begins anew after three of these.
  Micros firstPause = 200ms;
  Micros longestPause = 1600ms;
  /// One that reported to be slow is asked again after this.
  Micros slowPause = 1s;
  /// Probes of this daemon, a second; each is paid for, and costs processor
  /// time where the daemon itself may be what is slow.
  double maxPerSecond = 12;
  /// Probes that may be asked at once: the members of three chains.
  double maxBurst = 40;
};

/// Asks upstreams whether they live, and how quick they are.
///
/// A stream that stands still tells that one of its members is lost, not
/// which. The report of its first upstream tells, yet is some hundred
/// milliseconds old; a dead member refuses the connection at once.
class UpstreamProber {
 public:
  /// Called when an upstream comes under suspicion: found here, or told by
  /// another daemon and proved here.
  using OnSuspicion = std::function<void(Provenance)>;

  UpstreamProber(UpstreamProberSettings aSettings, UpstreamControl& aControl,
                 const Clock& aClock, OnSuspicion aOnSuspicion);

  /// Asks an upstream unless it was asked a moment ago. It comes under
  /// suspicion where it does not answer.
  void Ask(const UpstreamPtr& aUpstream);
  /// Asks an upstream that somebody else suspects, even if it answered a moment
  /// ago. Whoever suspects many may be slow or cut off itself, so that nobody
  /// takes its word for it. Plain services answer no probes: nobody is believed
  /// there, and each daemon finds out by its own calls.
  void Verify(const UpstreamPtr& aUpstream);
  /// Asks anew those that reported to be slow.
  void Tick();

 private:
  /// One upstream's probes.
  struct Record {
    UpstreamPtr upstream;
    Instant askedAt{};
    Instant nextAt{};
    Micros pause{0};
    bool isOpen = false;
    /// Who suspected it first.
    Provenance evidence = Provenance::Observed;
  };

  bool TryAcquireToken(Instant aNow);
  void Start(Record& aRecord, const UpstreamPtr& aUpstream, Instant aNow);
  void Send(const UpstreamPtr& aUpstream, int aTriesLeft);
  /// Asks for a report, or only connects where the upstream takes no call now:
  /// then it may prove to be lost, and never to live.
  void Question(const UpstreamPtr& aUpstream, Micros aTimeout,
                std::function<void(Liveness)> aDone);
  void OnAnswer(const UpstreamPtr& aUpstream, const UpstreamReport& aReport);
  void OnSilence(const UpstreamPtr& aUpstream);
  void Confirm(const UpstreamPtr& aUpstream);
  void Close(const UpstreamPtr& aUpstream);

  UpstreamProberSettings settings;
  const Clock& clock;
  LivenessCheck check;
  OnSuspicion onSuspicion;
  /// By the numbers of the upstreams.
  std::unordered_map<std::uint64_t, Record> records;
  TokenBucket tokens;
};

}  // namespace zincstep
