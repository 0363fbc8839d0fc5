#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// Settings of the load survey.
struct LoadSurveySettings {
  /// Time after the start from which daemons other than the domain's leader
  /// request reports: the leader's results arrive from it by then.
  Micros othersDelay = 300ms;
  /// Time after the start within which an upstream may be asked for the first
  /// time. Later, responses and peers tell the load.
  Micros period = 1s;
  /// Time after which reports are requested again.
  Micros repeatDelay = 500ms;
  /// Share of its slots from which an upstream counts as loaded, so that its
  /// report is requested again.
  double loadedShare = 0.5;
  /// Maximum number of reports that are requested; each one is charged for.
  std::size_t maxReports = 16;
  /// Age of a report's figures when the upstream sends it.
  Micros reportAge = 200ms;
};

/// Position of a daemon among those of its failure domain.
struct SurveyRank {
  /// Number of daemons that rank higher.
  std::size_t rank = 0;
  /// Whether it is known that none ranks higher. A daemon that knows no peers
  /// yet cannot tell.
  bool isLeader = false;
};

/// Decides which upstreams a daemon that has just started requests the load of.
///
/// After all daemons of a domain were killed, the upstreams still run requests
/// of the former processes, which no daemon counts. Without their load the
/// first requests of all new daemons go to the same first stages.
class LoadSurvey {
 public:
  LoadSurvey(LoadSurveySettings aSettings, Instant aStartedAt)
      : settings(aSettings), startedAt(aStartedAt) {}

  /// Returns the upstreams to request a report from now; each one counts as
  /// requested. `aUpstreams` are those of the daemon's failure domain.
  std::vector<UpstreamPtr> Next(const std::vector<UpstreamPtr>& aUpstreams,
                                SurveyRank aRank, Instant aNow);
  /// Records the load that a requested report states.
  void OnReport(LiveUpstream& aUpstream, int aRunning, int aQueued,
                Instant aNow);
  /// Records that a requested report did not arrive.
  void OnNoReport(const LiveUpstream& aUpstream);

  /// Returns whether no report is requested any more.
  bool IsOver(Instant aNow) const;
  /// Returns whether a requested report is neither recorded nor missing yet.
  bool IsPending() const { return this->pending > 0; }
  /// Number of reports requested so far.
  std::size_t Requested() const { return this->requested; }

 private:
  struct Request {
    Instant sentAt{};
    bool isRepeated = false;
    bool isPending = true;
    /// Whether a report has arrived, and whether it said that more than the
    /// loaded share of the slots is taken.
    bool hasReport = false;
    bool isLoaded = false;
    /// Time of the load in the report.
    Instant loadAt{};
  };

  /// Returns whether an upstream may be asked at all.
  static bool IsCandidate(const LiveUpstream& aUpstream, Instant aNow);
  bool IsFirstDue(SurveyRank aRank, Instant aNow) const;
  /// Returns whether an upstream that was asked before is asked again.
  bool IsRepeatDue(const LiveUpstream& aUpstream, const Request& aRequest,
                   Instant aNow) const;
  Request* PendingRequest(const LiveUpstream& aUpstream);

  LoadSurveySettings settings;
  Instant startedAt;
  std::size_t requested = 0;
  std::size_t pending = 0;
  /// By upstream number.
  std::unordered_map<std::uint64_t, Request> requests;
};

}  // namespace zincstep
