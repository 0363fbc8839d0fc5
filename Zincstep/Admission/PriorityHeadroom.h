#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Admission/DecayedRate.h"
#include "Zincstep/Admission/PriorityDemand.h"
#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Room for requests in a failure domain.
struct CapacityRoom {
  /// Tokens that fit into the layer with the least memory.
  double tokens = 0;
  /// Requests that first stages can start.
  double starts = 0;
};

/// Free and total room of a failure domain.
struct DomainCapacity {
  CapacityRoom free;
  CapacityRoom total;
  /// Tokens of running requests that end per second.
  double endingTokens = 0;
};

/// A request that asks for room.
struct RoomRequest {
  /// 0 is the most urgent.
  int priority = 0;
  double tokens = 0;
  /// Whether its organisation uses more than its fair share; it then leaves
  /// room for the other organisations of its own priority as well.
  bool isOverShare = false;
  /// Tokens per second that its organisation requests in the domain at this
  /// priority, if `isOverShare`.
  double organisationRate = 0;
};

/// Settings of the headroom.
struct PriorityHeadroomSettings {
  /// Time until a burst of one priority is noticed by daemons that have a part
  /// of its requests each.
  Micros noticeTime = 1s;
  /// Window of the measured rates.
  Micros rateWindow = 1s;
  /// Window of the average that a burst exceeds; longer than the bursts that
  /// callers make.
  Micros averageWindow = 10s;
  /// Maximum headroom as a share of the total room: less urgent priorities are
  /// delayed, not starved.
  double maxShare = 0.5;
  /// Headroom as a share of the total room until the first report of a peer or
  /// until `startPeriod` has passed.
  double startShare = 0.2;
  Micros startPeriod = 2s;
  /// Report intervals after which a peer without report is not counted.
  int maxMissedIntervals = 4;
};

/// Decides how much of a domain's free room less urgent requests leave for more
/// urgent ones, for one service.
///
/// All daemons of a domain fill the same upstreams, each on a view that is as
/// old as the last reports. The requests that more urgent callers send
/// meanwhile need room when they arrive; without headroom, less urgent requests
/// that arrived earlier have taken it.
class PriorityHeadroom {
 public:
  explicit PriorityHeadroom(PriorityHeadroomSettings aSettings)
      : settings(aSettings) {}

  /// Sets the number of daemons in the domain, with this one, and the interval
  /// between their reports.
  void SetDomain(std::size_t aDaemons, Micros aReportInterval) {
    this->daemons = aDaemons;
    this->reportInterval = aReportInterval;
  }
  /// Records a request of this daemon's callers, served or not.
  void OnRequest(int aPriority, double aTokens, Instant aNow);
  /// Replaces the demand that a peer of the domain reported.
  void OnReport(const std::string& aPeer,
                const std::vector<PriorityDemand>& aDemands, Instant aNow);

  /// Tokens per second that this daemon's callers request at a priority.
  double OwnRate(int aPriority, Instant aNow) const;
  /// Priorities of the requests that this daemon's callers have sent.
  std::vector<int> Priorities() const;
  /// Returns the room that a request must leave free, without the bounds that
  /// depend on the domain's total room.
  ///
  /// It covers the more urgent requests that arrive within the age of the
  /// reports and the excess of a burst until all daemons have noticed it, less
  /// what ends meanwhile (`aEndingTokens` per second); the variation of their
  /// number; and those that wait at peers.
  CapacityRoom Headroom(const RoomRequest& aRequest, double aEndingTokens,
                        Instant aNow);
  /// Tokens per second that the domain's callers request at the priorities that
  /// are more urgent than `aPriority`.
  double MoreUrgentRate(int aPriority, Instant aNow);
  /// Returns the room that a request must leave free in a domain.
  CapacityRoom BoundedHeadroom(const RoomRequest& aRequest,
                               const DomainCapacity& aDomain, Instant aNow);
  /// Whether a request may start in a domain now.
  bool MayStart(const RoomRequest& aRequest, const DomainCapacity& aDomain,
                Instant aNow);

 private:
  struct Level {
    explicit Level(const PriorityHeadroomSettings& aSettings)
        : own(aSettings.rateWindow) {}

    DecayedRate own;
    /// Mean tokens of a request; 0 before the first one.
    double meanTokens = 0;
    /// Average rate of the domain, and the time that it covers.
    double average = 0;
    Micros averagedFor{0};
    /// Values as of the last `Refresh`: the domain's rate, and the tokens that
    /// arrive before this daemon knows of them.
    double rate = 0;
    double unseenTokens = 0;
    /// Tokens that wait at peers, and the excess of a burst.
    double waitingTokens = 0;
    double excessTokens = 0;
  };
  struct Report {
    /// Demand by priority.
    std::map<int, PriorityDemand> demands;
    Instant at;
  };

  Level& LevelOf(int aPriority);
  /// Updates the rates; at most once per `kRefreshInterval`.
  void Refresh(Instant aNow);
  /// Whether nothing is known of the other daemons yet.
  bool IsStarting(Instant aNow) const;

  PriorityHeadroomSettings settings;
  std::size_t daemons = 1;
  Micros reportInterval = 400ms;
  /// By priority.
  std::map<int, Level> levels;
  std::map<std::string, Report> reports;
  std::optional<Instant> startedAt;
  bool hasReports = false;
  Instant refreshedAt{};
};

}  // namespace zincstep
