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

/// What a daemon tells the others of an upstream's limit.
struct LimitNotice {
  /// The upstream's number.
  std::uint64_t upstream = 0;
  /// None: it names no limit any more.
  std::optional<double> callsPerSecond;
  /// Age of the answer that says so.
  Micros age{0};
};

/// Settings of the limits that upstreams name.
struct CallLimitSettings {
  std::string ownName;
  std::string ownDomain;
  /// Calls a second to an upstream that takes fewer: they find out when its
  /// limit ends.
  double minPerSecond = 0.05;
  /// Daemons that share a limit, for each call a second, beside the first one.
  /// Each of them may save one call up.
  double sharersPerCall = 2;
  /// Whoever may call an upstream tells the others this often that its limit
  /// stands.
  Micros renewalPause = 2s;
  /// Daemons of each upstream that do so.
  std::size_t renewers = 3;
  /// Without such word for so long the daemons that may call it have ended or
  /// are cut off: the next of its domain call it in their stead, after twice
  /// this those behind them, and so on.
  Micros renewalLife = 5s;
  /// For so long it is remembered that a limit has ended, so that older word of
  /// it is not believed.
  Micros endedLife = 30s;
};

/// Which upstreams name a limit of calls for all daemons together, and this
/// daemon's part of each; and which want a rest from this daemon.
///
/// A limit is kept by few daemons of the upstream's failure domain, drawn by
/// the upstream's number, with equal parts; the others send no calls there
/// while it stands. So parts are large enough to be used, and what all of them
/// save up stays below what the upstream bears at once, whatever their number.
class CallLimits {
 public:
  using Tell = std::function<void(const std::vector<LimitNotice>&)>;

  CallLimits(CallLimitSettings aSettings, const Clock& aClock,
             Metrics& aMetrics, Tell aBroadcast)
      : settings(std::move(aSettings)),
        clock(aClock),
        metrics(aMetrics),
        broadcast(std::move(aBroadcast)) {}

  /// The other daemons: their names with their failure domains.
  void SetDaemons(std::map<std::string, std::string> aDomainByName) {
    this->daemons = std::move(aDomainByName);
  }
  /// The head of an answer has come, of a call that was sent at `aSentAt`.
  void OnNotice(const UpstreamPtr& aUpstream, const UpstreamNotice& aNotice,
                Instant aSentAt);
  /// The daemon `aReporter` tells of `aUpstream`; gives what it should hear
  /// back where more recent word is known here.
  std::optional<LimitNotice> OnPeerReport(const UpstreamPtr& aUpstream,
                                          const LimitNotice& aNotice,
                                          const std::string& aReporter);
  /// A call to an upstream begins.
  void OnCall(LiveUpstream& aUpstream, UpstreamCall aCall);
  /// Sets the parts anew, tells the others and logs the calls; to be called
  /// several times a second.
  void Tick();

 private:
  struct Limit {
    UpstreamPtr upstream;
    /// None: it has ended.
    std::optional<double> callsPerSecond;
    /// When the answer that says so came, here or elsewhere.
    Instant answeredAt;
    /// When a daemon that comes before this one last said so.
    Instant renewedAt;
    Instant nextRenewal{};
    std::array<int, kUpstreamCallNames.size()> calls{};
    Instant nextLogAt{};
  };

  /// This daemon's part of a limit.
  struct Part {
    double perSecond = 0;
    bool isRenewer = false;
  };

  /// A daemon's place among those that may share a limit, in an order that all
  /// of them agree on.
  struct Place {
    std::size_t daemons = 0;
    /// How many come before it.
    std::size_t rank = 0;
    /// Whether it is among them.
    bool isListed = false;
  };

  /// An upstream wants no calls from this daemon for a time. Others are not
  /// told: it says so to each of them.
  void ApplyBackoff(LiveUpstream& aUpstream, Micros aRest, Instant aNow);
  LimitNotice NoticeOf(const Limit& aLimit) const;
  Place PlaceOf(const LiveUpstream& aUpstream,
                const std::string& aDaemon) const;
  /// How many of them share it.
  std::size_t Sharers(const Limit& aLimit, std::size_t aDaemons) const;
  bool ComesBefore(const Limit& aLimit, const std::string& aReporter) const;
  Part PartOf(const Limit& aLimit, Instant aNow) const;
  void Apply(Limit& aLimit, Instant aNow);
  /// Whether a limit is of no interest any more; then its upstream may be
  /// called freely.
  bool IsForgotten(const Limit& aLimit, Instant aNow) const;
  void LogChange(const Limit& aLimit, Provenance aProvenance) const;
  void LogCalls(Limit& aLimit, Instant aNow) const;

  CallLimitSettings settings;
  const Clock& clock;
  Metrics& metrics;
  Tell broadcast;
  std::map<std::string, std::string> daemons;
  /// By the numbers of the upstreams.
  std::unordered_map<std::uint64_t, Limit> limits;
};

}  // namespace zincstep
