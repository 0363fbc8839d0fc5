#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "Zincstep/Relay/ServiceCapacity.h"

namespace zincstep {

inline constexpr int kReplayPriorities = 3;

/// Loads and faults of a replay.
struct PriorityLoad {
  int daemons = 3;
  Micros length = 24s;
  /// Requests per second over the rate that the domain can run.
  double load = 0.95;
  /// Parts of the arrivals by priority.
  std::array<double, kReplayPriorities> mix{0.4, 0.3, 0.3};
  /// Factor on the arrivals of priority 0 within the burst.
  double burstFactor = 1.9;
  Micros burstAt = 12s;
  Micros burstLength = 4s;
  /// Latency objectives by priority.
  std::array<Micros, kReplayPriorities> objectives{500ms, 500ms, 500ms};
  /// Factor on the arrivals of organisation 0, and their part without it.
  double organisationFactor = 1;
  int organisations = 24;
  /// Share of the callers that retry at once, whatever Retry-After they get.
  double earlyShare = 0;
  /// Whether the daemons schedule by priority.
  bool isOn = true;
  /// Daemons up to this number are cut off from the reports of the others from
  /// the burst on.
  int partitioned = 0;
  /// Daemons up to this number restart, without their state, at the burst.
  int restarted = 0;
  /// Share of the reports that are lost.
  double lostReports = 0;
};

/// Requests of one kind of callers and what became of them.
struct PriorityOutcome {
  int requests = 0;
  /// First event within the objective of an attempt.
  int inTime = 0;
  int late = 0;
  int refused = 0;

  double InTimeShare() const {
    return requests > 0 ? static_cast<double>(inTime) / requests : 1;
  }
};

/// Outcome of a replay.
struct PriorityReplayResult {
  /// By priority, over the whole time and of the requests within the burst.
  std::array<PriorityOutcome, kReplayPriorities> all;
  std::array<PriorityOutcome, kReplayPriorities> burst;
  /// Requests of organisation 0 and of all others.
  PriorityOutcome firstOrganisation;
  PriorityOutcome otherOrganisations;
  /// Requests whose callers retry at once and those that wait as told, counted
  /// from their first refusal on.
  PriorityOutcome early;
  PriorityOutcome patient;
  /// Attempts that an upstream refused.
  int rejected = 0;
  /// Most requests that waited in one daemon.
  std::size_t mostWaiting = 0;
  /// Most requests that an upstream had beyond its slots.
  int mostQueued = 0;
};

/// Simulates the daemons of one failure domain and its upstreams, each of which
/// holds all layers.
///
/// Time is simulated. A daemon knows its own requests at once and those of the
/// others from reports, which are sent periodically and arrive with a delay.
class PriorityReplay {
 public:
  PriorityReplay(PriorityLoad aLoad, std::uint64_t aSeed);

  PriorityReplayResult Run();

 private:
  struct Request {
    int priority = 0;
    int organisation = 0;
    double tokens = 0;
    Instant arrivedAt;
    bool isInBurst = false;
    bool returnsEarly = false;
    bool wasRefused = false;
    int attempts = 0;
    std::size_t daemon = 0;
    /// Number of the daemon's start that took the attempt.
    int daemonStart = 0;
    Instant attemptAt;
    std::size_t upstream = 0;
    int sends = 0;
  };
  struct SimulatedUpstream {
    int running = 0;
    double used = 0;
    /// Waiting requests by priority.
    std::array<std::deque<std::size_t>, kReplayPriorities> queued;

    int Queued() const;
  };
  struct PeerReport {
    std::vector<int> counts;
    Instant at;
  };
  struct Daemon {
    std::string name;
    int start = 0;
    std::vector<UpstreamPtr> view;
    PeerWork peerWork;
    std::map<std::string, PeerReport> peers;
    std::unique_ptr<ServiceCapacity> capacity;
  };
  struct Event {
    Instant at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator>(const Event& aOther) const {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->sequence > aOther.sequence;
    }
  };

  void At(Instant aAt, std::function<void()> aRun);
  bool IsInBurst() const;
  void Restart(std::size_t aDaemon);
  void ScheduleArrival(int aPriority);
  void OnArrival(int aPriority);
  void Attempt(std::size_t aRequest);
  CapacityInput InputOf(std::size_t aDaemon) const;
  void RunPass(std::size_t aDaemon);
  bool TryStart(std::size_t aRequest,
                const std::vector<UpstreamPtr>& aUpstreams);
  void OnSent(std::size_t aRequest);
  void Run(std::size_t aRequest);
  void OnRejected(std::size_t aRequest);
  void OnStreamEnd(std::size_t aRequest);
  /// Removes the request from its daemon's counts.
  void Release(std::size_t aRequest, bool aWasStarted);
  void Refuse(std::size_t aRequest, bool aIsKnownToQueue);
  void Finish(std::size_t aRequest, int PriorityOutcome::*aOutcome);
  void SendReport(std::size_t aDaemon);
  void ApplyReport(std::size_t aDaemon, const std::string& aSender,
                   const std::vector<std::pair<double, int>>& aWorks,
                   const std::vector<PriorityDemand>& aDemands,
                   const std::vector<OrganisationDemand>& aOrganisations);
  static void RevertReport(Daemon& aDaemon, const PeerReport& aReport);
  Micros ReportInterval() const;

  PriorityLoad load;
  ModelShape model;
  Random random;
  ChainChooser chooser{ChainChooserSettings{}};
  std::string domain = "d";
  double requestsPerSecond = 0;
  std::vector<SimulatedUpstream> upstreams;
  std::vector<Daemon> daemons;
  std::vector<Request> requests;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t lastSequence = 0;
  Instant begin{Micros{100s}};
  Instant now{Micros{100s}};
  PriorityReplayResult result;
};

}  // namespace zincstep
