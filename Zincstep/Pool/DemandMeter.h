#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Pool/Placement.h"

namespace zincstep {

/// Estimates how much memory the requests of a daemon's callers need.
///
/// By Little's law the tokens in flight, if all requests were served, are the
/// tokens that arrive per second times the response time in seconds. The tokens
/// actually in flight would be too low while requests are refused for lack of
/// memory, and too high while answers are stalled.
class DemandMeter {
 public:
  /// Records the arrival of a request, whether it is served or not.
  void OnRequest(double aTokens, Instant aNow);
  /// Records a request that completed successfully within `aResponseTime`.
  void OnCompleted(Micros aResponseTime);
  /// Returns the estimate, in tokens in flight; none until requests have
  /// arrived and completed for some time.
  std::optional<double> Tokens(Instant aNow) const;
  /// Records the time from a request's send to its first event, if the request
  /// was expected to be queued for `aExpectedWait`.
  void OnFirstEvent(Micros aDelay, Micros aExpectedWait);
  /// The usual time from a request's send to its first event, without the time
  /// in the first stage's queue; 0 before the first one.
  Micros UsualFirstEvent() const {
    return FromSeconds(this->firstEventSeconds);
  }
  /// Average duration of a response, in seconds; 0 before the first one.
  double ResponseSeconds() const { return this->responseSeconds; }

 private:
  std::optional<Instant> firstAt;
  /// Tokens that arrived, with exponential decay by their age.
  double decayedTokens = 0;
  Instant decayedAt{};
  /// Average response time, in seconds.
  double responseSeconds = 0;
  int responses = 0;
  /// Average time to the first event of requests that were not expected to be
  /// queued, in seconds.
  double firstEventSeconds = 0;
  int firstEvents = 0;
};

/// Sums the reported demand of all daemons and keeps a decaying peak, because
/// the memory has to cover the peaks of the traffic. Both are kept in total and
/// by failure domain of the daemons.
class DemandSum {
 public:
  /// Time over which the trend is measured: as long as the averaging time of
  /// the reports, since a shorter one would measure their noise.
  static constexpr Micros kTrendSpan = 4s;

  /// Records a daemon's own estimate, in tokens. `aDomain` is the failure
  /// domain of its callers; empty if the daemon does not report it.
  void Update(const std::string& aDaemon, double aTokens, Instant aNow,
              const std::string& aDomain = "");
  /// Returns the peak of the sum; none until reports were collected for some
  /// time, so that a daemon that has just become leader of the placement does
  /// not plan for a part of the traffic.
  std::optional<ObservedDemand> Peak(Instant aNow);

 private:
  struct Sample {
    double tokens = 0;
    Instant at;
  };
  /// Reports of one daemon within `kTrendSpan`, at least the newest one.
  struct Reports {
    std::string domain;
    std::deque<Sample> samples;

    /// Rate of change, in tokens per second.
    double Trend() const;
  };

  /// Returns the demand by domain, or nothing if it is not known completely.
  std::map<std::string, DomainDemand> ByDomain(Instant aNow);

  std::map<std::string, Reports> byDaemon;
  std::optional<Instant> firstAt;
  /// Start of the present series of reports: a former leader gets none for a
  /// while, and its first ones are from a part of the daemons.
  Instant seriesAt{};
  Instant lastReportAt{};
  double peak = 0;
  Instant peakAt{};
  struct DomainPeak {
    double tokens = 0;
    Instant at;
  };
  std::map<std::string, DomainPeak> domainPeaks;
};

}  // namespace zincstep
