#pragma once

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep::soak {

/// How a request may be repeated and how its response arrives.
enum class RequestKind { Safe, Unsafe, Stream };

/// The outcome of a request as reported to its caller.
enum class ReportedOutcome {
  /// No response, or an incomplete one.
  Unknown,
  Completed,
  /// The request has not run and never will.
  NotRun,
};

/// A request that has reached an upstream, which may refuse it.
struct UpstreamArrival {
  std::string request;
  Instant at;
  /// The time that the upstream was given, if any.
  std::optional<Micros> timeout;
  /// Whether it may have been sent long before.
  bool isHeldUp = false;
};

/// Records what callers and upstreams observe and checks invariants on it.
class InvariantChecker {
 public:
  /// Opens the file for events: one JSON line each, in the format and with the
  /// clock of the daemons' logs.
  void OpenEventLog(const std::string& aPath) { this->events.open(aPath); }
  /// Writes an event that a stand-in observed or caused.
  void WriteEvent(const char* aEvent, nlohmann::json aFields);
  /// Records that a caller sends a request with an API key of
  /// `aOrganisation`.
  void OnRequestSent(const std::string& aId, RequestKind aKind,
                     const std::string& aOrganisation, Instant aAt);
  /// Records that an upstream starts to run the request.
  void OnRequestRun(const std::string& aId, const std::string& aOrganisation);
  /// Sets how long the caller of the request waits.
  void SetTimeout(const std::string& aId, Micros aTimeout) {
    this->requests.at(aId).timeout = aTimeout;
  }
  /// Records for how long the daemon had been stopping when the request was
  /// sent to it.
  void SetSinceSignal(const std::string& aId, Micros aSinceSignal) {
    this->requests.at(aId).sinceSignal = aSinceSignal;
  }
  void OnArrival(const UpstreamArrival& aArrival);
  /// Sets the most upstreams that may run one request of a kind.
  void SetMaxRuns(RequestKind aKind, int aRuns) {
    this->maxRuns[aKind] = aRuns;
  }
  /// Limits the arrivals beyond the first of their request to a share of the
  /// requests and a slack, for each service in any window.
  void SetRetryLimit(double aRatio, double aSlack, Micros aWindow);
  /// Records the outcome that the caller received.
  void OnRequestEnd(const std::string& aId, ReportedOutcome aReported);
  /// Records that the caller's connection broke before the response was
  /// complete, and for how long its daemon had been stopping by then.
  void OnResponseTruncated(const std::string& aId, Instant aAt,
                           std::optional<Micros> aSinceSignal = std::nullopt) {
    this->truncated.push_back({aId, aAt, aSinceSignal});
  }
  void ClearTruncated() { this->truncated.clear(); }
  /// Records that the soak's own loop, and with it all callers and upstreams,
  /// was held until `aEnd`.
  void OnLoopDelayed(Instant aEnd, Micros aDelay) {
    this->delays.emplace_back(aEnd - aDelay, aEnd);
  }
  /// Checks that no request that ran was truncated since `ClearTruncated`;
  /// `aCause` names, for the message, what must not truncate responses.
  void CheckTruncated(const std::string& aCause);
  /// The same, also for requests that had been sent for some time: the daemon
  /// must have read these. Streams may be truncated.
  void CheckAnswered(const std::string& aCause);
  /// The same for streams that were sent later than `aAge` after the stop
  /// signal of their daemon.
  void CheckLateStreams(Micros aAge);
  /// The same for all streams, unless one was sent before `aAge` after the stop
  /// signal of its daemon and outlasted the grace period, which ends requests
  /// at `aEnd` after the signal.
  void CheckStreams(Micros aAge, Micros aEnd, const std::string& aCause);
  /// Record that the crashing request has reached an upstream, and that it has
  /// crashed one.
  void OnCrashingRequestSent(Instant aAt) {
    this->crashingSends.push_back(aAt);
  }
  void OnUpstreamCrash(Instant aAt) { this->crashes.push_back(aAt); }
  /// Forgets the crashes and the crashing requests so far.
  void ClearCrashes();
  /// Returns how often crashing requests were sent later than `aDetectionTime`
  /// after the crash of number `aCrashes`.
  std::size_t SendsAfterDetection(std::size_t aCrashes,
                                  Micros aDetectionTime) const;
  /// When the crash of that number, from 1, happened; the last one if there
  /// were fewer, none if there was none.
  std::optional<Instant> CrashedAt(std::size_t aNumber) const;
  std::size_t Crashes() const { return this->crashes.size(); }
  /// Requests with keys of that organisation must not run if they are sent
  /// after `aNotAfter`.
  void OnKeyRevoked(const std::string& aOrganisation, Instant aNotAfter) {
    this->revoked[aOrganisation] = aNotAfter;
  }
  /// Records that an invariant was violated.
  void AddViolation(const std::string& aWhat) {
    this->violations.push_back(aWhat);
  }
  /// Checks what can only be checked at the end and returns all violations, one
  /// line each.
  std::vector<std::string> Close();

  std::size_t Requests() const { return this->requests.size(); }
  /// Returns one line with what `Close` compares with the limits.
  std::string RetrySummary() const;
  std::size_t CompletedRequests() const;
  bool IsCompleted(const std::string& aId) const {
    return this->requests.at(aId).reported == ReportedOutcome::Completed;
  }

 private:
  struct Record {
    RequestKind kind = RequestKind::Safe;
    std::string organisation;
    Instant sentAt;
    int runs = 0;
    int arrivals = 0;
    Micros timeout{0};
    std::optional<Micros> sinceSignal;
    Instant firstArrival{};
    /// End of the time that the first upstream was given.
    Instant firstEnd{};
    ReportedOutcome reported = ReportedOutcome::Unknown;
  };

  struct Truncated {
    std::string id;
    Instant at;
    std::optional<Micros> sinceSignal;
  };

  /// Requests to one service, and arrivals beyond their first, in the order of
  /// time.
  struct ServiceArrivals {
    std::vector<Instant> sent;
    std::vector<Instant> repeated;
  };

  /// Returns for how long a request had been sent when its connection broke,
  /// as far as shown: callers see a close late by the time that they were held.
  Micros MinAge(const Truncated& aTruncated) const;
  /// Adds a violation if the request ran or must have been read.
  void CheckAnswered(const Truncated& aTruncated, const std::string& aCause);
  static std::string ServiceOf(RequestKind aKind) {
    return aKind == RequestKind::Stream ? "model" : "plain";
  }
  /// Counts an arrival whose upstream was given more time than its caller
  /// waits.
  void CountTime(Record& aRecord, const UpstreamArrival& aArrival);
  /// Requests to and repeated arrivals at one service in the window that is
  /// nearest to its limit, or furthest above it.
  struct RetryLoad {
    double sent = 0;
    double repeated = 0;
    double limit = 0;
  };
  RetryLoad MaxRetryLoad(const ServiceArrivals& aTimes) const;
  /// Checks the limit in the windows that end at a repeated arrival.
  void CheckRetries();
  void CheckTimes();
  int ExcessRequests() const;

  double retryRatio = 0;
  double retrySlack = 0;
  Micros retryWindow{0};
  std::map<std::string, ServiceArrivals> arrivals;
  std::map<RequestKind, int> maxRuns;
  /// Arrivals of requests that are no streams: those late after the first one,
  /// and those whose upstream was given too much time.
  int lateRepeats = 0;
  int excessTimes = 0;
  std::ofstream events;
  std::map<std::string, Record> requests;
  std::vector<Truncated> truncated;
  /// Start and end of delays of the soak's own loop.
  std::vector<std::pair<Instant, Instant>> delays;
  std::map<std::string, Instant> revoked;
  std::vector<std::string> violations;
  std::vector<Instant> crashingSends;
  std::vector<Instant> crashes;
};

}  // namespace zincstep::soak
