#pragma once

#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

#include "UnitTests/StopDesigns.h"
#include "Zincstep/Core/Core.h"
#include "Zincstep/Relay/RouteDurations.h"
#include "Zincstep/Relay/StopPolicy.h"

namespace zincstep {

/// Settings of a replay of stops.
struct StopReplaySettings {
  std::size_t daemons = 26;
  /// Daemons that are signalled together, and the time between such groups.
  std::size_t together = 1;
  Micros apart = 600ms;
  /// Time from the start until the first signal. Before the start there are no
  /// requests, so that no durations are known.
  Micros warmUp = 4s;
  /// Time from the first signal in which others are given.
  Micros signalsWithin = 12s;
  /// Number of times that all this happens; each begins when the daemons of the
  /// one before are back.
  int rounds = 1;
  Micros streamDeadline = 20s;
  /// Of the lengths of all streams.
  double lengthFactor = 1;
  StopDesign design = AcceptsAsBuilt;
  std::uint64_t seed = 1;
};

/// What became of the requests that ran at the first signal or were sent later.
struct StopCounts {
  int streams = 0;
  int servedAtFirst = 0;
  int served = 0;
  int plain = 0;
  int plainServed = 0;
  /// Attempts of streams that no daemon accepted.
  int refused = 0;
  /// Of these, while the balancer had no other daemon in.
  int refusedAlone = 0;
  /// Streams and plain requests that were refused again when they came back.
  int refusedTwice = 0;
  /// Of these, while the balancer had at least half of the other daemons in.
  int refusedTwiceBesideOthers = 0;
  /// Truncated streams, by when they were read: before the signal, until the
  /// balancer's removal delay, and later.
  int truncatedBefore = 0;
  int truncatedEarly = 0;
  int truncatedLate = 0;
  /// Streams that were accepted after the balancer's removal delay.
  int acceptedLate = 0;
  /// Attempts that the balancer sent to a stopping daemon that it had in.
  int sentWhileStoppingAndIn = 0;
  int stops = 0;
  Micros stopTime{0};

  StopCounts& operator+=(const StopCounts& aOther);
};

/// Simulates callers, a balancer and daemons that are stopped and restarted, on
/// a virtual clock. Accepting, ending and exiting are decided by `StopPolicy`
/// and `RouteDurations`.
class StopReplay {
 public:
  explicit StopReplay(StopReplaySettings aSettings);

  StopCounts Run();

 private:
  enum class EventKind {
    Arrival,
    /// A request is sent again.
    Return,
    RequestEnd,
    ReadinessCheck,
    Signal,
    /// The removal delay or the time of requests is over.
    StopStep,
    Restart,
  };
  struct Event {
    Instant at{};
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::Arrival;
    /// Index of the daemon or request.
    std::size_t subject = 0;
    /// Attempt of the request, or run of the daemon.
    int attempt = 0;
    bool operator<(const Event& aOther) const {
      return std::tie(aOther.at, aOther.sequence) <
             std::tie(this->at, this->sequence);
    }
  };
  struct Request {
    std::size_t route = 0;
    Micros remaining{0};
    int attempts = 0;
    bool wasRefused = false;
    bool wasTruncated = false;
    std::size_t daemon = 0;
    Instant readAt{};
  };
  struct Daemon {
    StopPolicy policy{StopPolicySettings{}};
    RouteDurations durations{RouteDurationsSettings{}};
    /// Of the streams of all routes, for `StopQuestion::longest`.
    RouteDurations streams;
    std::set<std::size_t> running;
    Instant signalledAt{};
    bool isUp = true;
    /// Whether the balancer sends requests here, and its failed checks.
    bool isIn = true;
    int misses = 0;
    int run = 0;
    Daemon();
  };

  void Schedule(Micros aDelay, EventKind aKind, std::size_t aSubject = 0,
                int aAttempt = 0);
  /// Schedules one signal to each daemon, from `aFrom` after now on.
  void ScheduleSignals(Micros aFrom);
  void Handle(const Event& aEvent);
  void OnArrival();
  void OnReadinessCheck(std::size_t aDaemon);
  void OnSignal(std::size_t aDaemon);
  void OnStopStep(std::size_t aDaemon);
  void OnRestart(std::size_t aDaemon);
  void OnRequestEnd(std::size_t aRequest);

  /// Draws a request and returns its index.
  std::size_t NewRequest(bool aIsStream);
  void Send(std::size_t aRequest);
  bool Accepts(const Daemon& aDaemon, const Request& aRequest) const;
  /// `aDaemon` is none if no daemon accepts connections.
  void Refuse(Request& aRequest, std::size_t aIndex,
              std::optional<std::size_t> aDaemon);
  /// Ends a request that runs when its daemon has to exit.
  void EndForExit(std::size_t aRequest);
  void ExitIfDone(std::size_t aDaemon);
  /// Updates which daemons the balancer sends requests to: those that are in,
  /// or, if they are fewer than half, all that accept connections.
  void UpdateTargets();
  static bool IsStream(const Request& aRequest);
  void CountSent(const Request& aRequest);
  void CountServed(const Request& aRequest);
  void CountTruncated(const Request& aRequest);

  StopReplaySettings settings;
  Random arrivals;
  Random choices;
  FakeClock clock;
  std::vector<Daemon> daemons;
  std::vector<Request> requests;
  std::priority_queue<Event> events;
  std::uint64_t sequence = 0;
  std::vector<std::size_t> targets;
  std::size_t inCount = 0;
  /// When the last requests are sent.
  Instant endAt{};
  /// Requests that run or come back.
  std::size_t openRequests = 0;
  /// From the first signal on.
  bool isCounting = false;
  StopCounts counts;
};

}  // namespace zincstep
