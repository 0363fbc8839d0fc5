#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"
#include "Zincstep/Pool/UpstreamCall.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// The state of an upstream's call limit, as daemons send it to each other.
struct LimitNotice {
  /// As `Incarnation::Number`.
  std::uint64_t upstream = 0;
  /// In calls per second for all daemons together; none: the limit has ended.
  std::optional<double> callsPerSecond;
  /// Age of the response that stated it.
  Micros age{0};
};

/// Settings of the call limits that upstreams state.
struct CallLimitSettings {
  std::string ownName;
  std::string ownDomain;
  /// Lower bound in calls per second, also for an upstream that accepts fewer:
  /// these calls discover that its limit has ended.
  double minCallsPerSecond = 0.05;
  /// Daemons that share a limit, per call per second and beyond the first one.
  /// Each of them may accumulate one call.
  double sharersPerCall = 2;
  /// The daemons that may call an upstream renew its limit with the others at
  /// this interval.
  Micros renewalInterval = 2s;
  /// Number of daemons per upstream that send renewals.
  std::size_t renewers = 3;
  /// Without a renewal for this long, the daemons that share the limit are
  /// regarded as stopped or partitioned: the next group of its domain takes
  /// over, after twice this time the group after that, and so on.
  Micros renewalTimeout = 5s;
  /// How long an ended limit is remembered, so that older notices are ignored.
  Micros endedLimitTtl = 30s;
};

/// Call limits of upstreams and this daemon's share of each, and the backoff
/// that upstreams request from this daemon.
///
/// An upstream states one limit for all daemons together. A few daemons of the
/// upstream's failure domain, selected by rendezvous hashing of the upstream's
/// number, share it equally; the others send it no calls while the limit is
/// active. This keeps shares large enough to be usable and the accumulated
/// calls below what the upstream can absorb at once, whatever the number of
/// daemons.
class CallLimits {
 public:
  using Broadcast = std::function<void(const std::vector<LimitNotice>&)>;

  CallLimits(CallLimitSettings aSettings, const Clock& aClock,
             Metrics& aMetrics, Broadcast aBroadcast)
      : settings(std::move(aSettings)),
        clock(aClock),
        metrics(aMetrics),
        broadcast(std::move(aBroadcast)) {}

  /// Sets the other daemons: names and their failure domains.
  void SetDaemons(std::map<std::string, std::string> aDomainByName) {
    this->daemons = std::move(aDomainByName);
  }
  /// Processes the notice in the head of a response to a call that was sent at
  /// `aSentAt`.
  void OnNotice(const UpstreamPtr& aUpstream, const UpstreamNotice& aNotice,
                Instant aSentAt);
  /// Applies the notice about `aUpstream` that the daemon `aReporter` sent.
  /// Returns the notice to send back if this daemon has more recent
  /// information, else none.
  std::optional<LimitNotice> OnPeerReport(const UpstreamPtr& aUpstream,
                                          const LimitNotice& aNotice,
                                          const std::string& aReporter);
  /// Records that a call to an upstream starts.
  void OnCall(LiveUpstream& aUpstream, UpstreamCall aCall);
  /// Recomputes the shares, sends renewals and logs the calls; call several
  /// times per second.
  void Tick();

 private:
  struct Limit {
    UpstreamPtr upstream;
    /// In calls per second; none: the limit has ended.
    std::optional<double> callsPerSecond;
    /// When the response that stated it arrived, here or at another daemon.
    Instant statedAt;
    /// When a higher-ranked daemon last renewed it.
    Instant renewedAt;
    Instant nextRenewal{};
    std::array<int, kUpstreamCallNames.size()> calls{};
    Instant nextLogAt{};
  };

  /// This daemon's share of a limit.
  struct Share {
    double perSecond = 0;
    bool isRenewer = false;
  };

  /// A daemon's position among those that may share a limit, in an order that
  /// is the same on all daemons.
  struct Ranking {
    std::size_t daemons = 0;
    /// Number of daemons that rank before it.
    std::size_t rank = 0;
    /// Whether the daemon is one of the candidates.
    bool isCandidate = false;
  };

  /// Stops calls from this daemon to the upstream for `aBackoff`. Other daemons
  /// are not notified, since the upstream tells each of them itself.
  void ApplyBackoff(LiveUpstream& aUpstream, Micros aBackoff, Instant aNow);
  LimitNotice NoticeOf(const Limit& aLimit) const;
  Ranking RankingOf(const LiveUpstream& aUpstream,
                    const std::string& aDaemon) const;
  /// Number of daemons that share the limit, of `aDaemons` candidates.
  std::size_t SharerCount(const Limit& aLimit, std::size_t aDaemons) const;
  bool IsHigherRanked(const Limit& aLimit, const std::string& aReporter) const;
  Share ShareOf(const Limit& aLimit, Instant aNow) const;
  void Apply(Limit& aLimit, Instant aNow);
  /// Whether the record of an ended limit can be removed; clears the upstream's
  /// call rate if so.
  bool IsExpired(const Limit& aLimit, Instant aNow) const;
  void LogChange(const Limit& aLimit, Provenance aProvenance) const;
  void LogCalls(Limit& aLimit, Instant aNow) const;

  CallLimitSettings settings;
  const Clock& clock;
  Metrics& metrics;
  Broadcast broadcast;
  std::map<std::string, std::string> daemons;
  /// By upstream number.
  std::unordered_map<std::uint64_t, Limit> limits;
};

}  // namespace zincstep
