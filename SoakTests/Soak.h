#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "SoakTests/DaemonProcess.h"
#include "SoakTests/SoakCaller.h"
#include "SoakTests/SoakRun.h"
#include "SoakTests/SoakUpstream.h"
#include "SoakTests/StopOutcomes.h"
#include "Zincstep/Core/Random.h"

namespace zincstep::soak {

/// How long a revoked key may still be accepted, as set for the daemons.
inline constexpr Micros kKeyRevocation = 5s;
/// How long callers wait for a response.
inline constexpr Micros kCallerTimeout = 4s;

/// Returns the operators' configuration: two plain routes, one to a service of
/// few upstreams, and a split model of four layers, two of which fit on one
/// upstream.
/// `aHasBoth`: with the route of `kBothPath`.
std::string Configuration(int aVersion, bool aHasOther, bool aHasBoth);

/// What distinguishes a request from the usual ones of its kind.
struct RequestExtras {
  const char* path = nullptr;
  /// Parts of the prompt before its last one.
  std::string parts;
  /// Number of events of its stream; 0: as its id gives it.
  int events = 0;
  /// The last event that its caller has of its stream; 0: none.
  int after = 0;
  /// Bytes of its body beside the usual ones.
  std::size_t bodyBytes = 0;
  /// Whether it has the key of the organisation that versions of the
  /// configuration add and remove.
  bool isGuest = false;
  /// Name under which its connection rests, if it is one that does.
  std::string connection;
  /// Called when it has ended, with whether its connection was reused.
  std::function<void(bool)> done;
};

/// A caller's connection that rests between requests.
struct RestingConnection {
  std::size_t daemon = 0;
  std::string name;
  /// Time for which it rests at least.
  Micros minRest{0};
  Instant restsSince{};
  /// Connections opened in its place.
  int opened = 0;
  bool isBusy = false;
};

/// Faults of the daemons while upstreams fail.
enum class DaemonFaults {
  None,
  /// All are killed several times within a retry window.
  Kills,
  /// Of all kinds, at random daemons.
  Drawn,
};

/// One run: daemon processes, stand-ins, callers, faults and checks, all on one
/// event loop.
class Soak {
 public:
  explicit Soak(const SoakSettings& aSettings);

  SoakOutcome Run();

 private:
  struct Daemon {
    std::unique_ptr<FaultProxy> storeLink;
    std::unique_ptr<DaemonProcess> process;
    TcpEndpoint address;
    /// All addresses that it listens on.
    std::vector<TcpEndpoint> listening;
    /// Signals without a meaning that it is still to be sent, one each tick.
    std::uint64_t signals = 0;
    /// When it was sent its stop signal, until it may start again; recorded for
    /// stops under load.
    std::optional<Instant> signalledAt;
    /// Set while a fault keeps it down; the fault's end clears this.
    bool isDown = false;
    /// Whether it is partitioned from all upstreams.
    bool isPartitioned = false;
    /// Request kinds completed since the last call of `WaitUntilServed`.
    std::array<bool, 3> completed{};
  };
  /// A request as its caller sent it first.
  struct FirstAttempt {
    std::string id;
    /// Whether its daemon was partitioned from all upstreams.
    bool isPartitioned = false;
  };
  struct Heal {
    Instant at;
    std::function<void()> action;
  };

  void AddUpstream(const std::string& aService, const std::string& aDomain,
                   int aNumber);
  /// Adds the service whose upstreams one request can crash all at once.
  void AddFewUpstreams();
  void AddDaemons();
  void Tick();
  /// Sends all requests that are due.
  void SendDue(Instant aNow);
  void SendNext();
  std::string Send(Daemon& aDaemon, RequestKind aKind, bool aIsOther,
                   Micros aTimeout = kCallerTimeout,
                   const RequestExtras& aExtras = {});
  /// Sends a stream to either kind of service, of which its caller has the
  /// first events.
  void SendResumed(Daemon& aDaemon);
  /// `aAfter`: the last event that the caller of a stream had before.
  void OnResponse(const std::string& aId, RequestKind aKind, int aAfter,
                  Daemon& aDaemon, const Result<HttpResponse>& aResponse);
  void Inject();
  void InjectAtDaemon(Daemon& aDaemon);
  void InjectAtUpstream(SoakUpstream& aUpstream);
  void InjectAtStore();
  /// Blackholes all open connections to the store and to upstreams at once.
  void BlackholeOpenConnections();
  /// Kills a live upstream of the model; returns false if there is none.
  bool KillModelUpstream();
  /// Starts streams at the first few daemons, lets them run for
  /// `kStreamRunTime` and returns their ids.
  std::vector<std::string> StartStreams();
  /// Checks that a daemon that is stopped truncates no response to a request
  /// that an upstream has started.
  void CheckPlannedStop();
  /// Stops two daemons one after the other while plain upstreams take most of
  /// the grace period; checks that each order that was read has an answer.
  void CheckOverlappingStops();
  /// The same with all daemons, which have just started without the store.
  void CheckStopsWithoutConfiguration();
  /// Stops the first `aCount` daemons, `aGap` apart, while callers send them
  /// requests of all kinds until the processes have exited.
  void StopUnderLoad(std::size_t aCount, Micros aGap);
  void SendToDaemons(std::size_t aCount);
  /// Stops one daemon, two, and all of them beside streams of mixed lengths
  /// whose deadline is after the grace period; checks that none that was sent
  /// late in it is truncated.
  void CheckStopsBesideStreams();
  /// Changes the configuration in storms and slowly, beside one stop, two
  /// overlapping ones, SIGHUP and upstreams that fall silent; checks that each
  /// request that was sent has an answer.
  void CheckChanges();
  void TickChanges(Instant aNow);
  /// Checks by the daemons' logs that they closed no connection as idle on
  /// which a request had arrived. Callers cannot tell these from requests that
  /// were under way at the close, which are excused for 0.2 s.
  void CheckIdleCloses();
  /// Writes a version with other limits, time-outs, routes and keys.
  void ChangeConfiguration(Instant aNow);
  /// Silences an upstream that sends a stream.
  void SilenceUpstream(Instant aNow);
  /// Sends requests on connections that have rested for long enough, and on new
  /// ones in place of those that no version permits any more.
  void SendOnResting(Instant aNow);
  void SendOn(RestingConnection& aConnection);
  /// Sends a stream to the daemon, and a long one in a few of a hundred cases.
  void SendMixedStream(Daemon& aDaemon);
  /// Sends requests at the rate of a deployment while upstreams fail most of
  /// them; faults of the daemons overlap. Callers repeat at once.
  void CheckFailingUpstreams();
  void SendWhileFailing(UpstreamFailure aFailure, DaemonFaults aFaults);
  /// Sends requests at the rate of a deployment while upstreams are stopped:
  /// the kernel keeps what is sent to them until they continue.
  void CheckStoppedUpstreams();
  void SendWhileStopped(double aShare);
  /// Sends one request: a stream in nine of ten cases.
  void SendAsDeployment();
  void FailUpstreams(UpstreamFailure aFailure, double aShare);
  /// Kills, stops, pauses or partitions from the store a share of the daemons.
  void InjectAtManyDaemons();
  /// Sends the request of a caller again that repeats at once.
  void RepeatFailed(RequestKind aKind, const Result<HttpResponse>& aResponse);
  /// Checks that streams complete although all open connections are
  /// blackholed while they run.
  void CheckBlackholedStreams();
  /// Checks that service recovers when an upstream is lost as all open
  /// connections are blackholed, and that a draining upstream gets no new work
  /// after the notice period.
  void CheckBlackholedLoss();
  /// Repeats a request that crashes each upstream that runs it, at random
  /// daemons, also after all daemons have been killed.
  void CheckCrashingRequest();
  void SendCrashing(Micros aFor);
  /// Sends requests that share one part of their prompts, no two alike, which
  /// crash each upstream that runs them, beside sound ones that share another
  /// part with them. Checks the number of the first, and that the others are
  /// served; also after all daemons have been killed.
  void CheckCrashingPart();
  /// Sends sound requests, and beside them crashing ones if `aIsCrashing`.
  std::vector<std::string> SendParts(Micros aFor, bool aIsCrashing);
  /// Repeats a request that crashes each upstream of a service of few, beside
  /// sound ones, at random daemons. Checks the number of the first, and that
  /// the others are served again.
  void CheckCrashingService();
  /// Completes a sound request to the service of few at each daemon.
  void ServeFewFromAll();
  /// Starts the faults beside the request that crashes the service of few.
  void BeginServiceFaults();
  void PauseFirstDaemon(Micros aFor);
  /// Kills this many daemons, which are restarted.
  void KillDaemons(std::size_t aFirst, std::size_t aCount);
  /// Share of the requests that were completed.
  double CompletedShare(const std::vector<std::string>& aIds) const;
  /// Checks that upstreams that set a rate limit get no more calls than that
  /// from all daemons together, and are used again once the limit is removed.
  void CheckLimits();
  void CheckLimitsLifted(const std::vector<SoakUpstream*>& aLimited);
  /// Checks that upstreams that send Retry-After get no calls and that their
  /// load moves to `aOther`, which does not send it and had a limit before.
  void CheckRetryAfter(const SoakUpstream& aOther);
  /// Sets a limit at one upstream of each service and returns these.
  std::vector<SoakUpstream*> SetLimits();
  /// Gives each daemon a link of its own to each upstream.
  void AddDaemonLinks();
  /// Draws the daemons to partition: some, a whole failure domain, or all but
  /// one.
  std::vector<Daemon*> DrawPartitioned();
  void InjectPartition(Instant aNow);
  void PartitionFromUpstreams(const std::vector<Daemon*>& aDaemons);
  void EndPartition(const std::vector<Daemon*>& aDaemons);
  /// Checks that daemons without a path to upstreams serve first attempts
  /// nearly as often as the others.
  void CheckPartitionedDaemons();
  /// Kills all daemons at once; they are restarted.
  void KillAllDaemons();
  /// Partitions all daemons from the store for longer than a revoked key may
  /// still be accepted, so that none learns of the revocation.
  void PartitionAllFromStore();
  /// Starts a daemon unless it is running; with faults of processes, under
  /// conditions drawn for this start, and with signals from its first output
  /// on.
  bool StartDaemon(Daemon& aDaemon);
  /// Sends the signals that are due and injects a fault of processes.
  void TickProcessFaults(Instant aNow);
  /// Takes a port of a daemon that is down, or that it kills, by a listener or
  /// as the local end of a connection.
  void TakePort(Daemon& aDaemon);
  /// Writes, changes or removes an entry that is no one's beside the real ones.
  void WriteOddEntry();
  std::string DrawOddEntry();
  void RecordFault(const std::string& aFault);
  void ScheduleHeal(std::function<void()> aAction);
  void HealAll();
  /// Runs the loop until every daemon has completed a request of every kind;
  /// returns false on timeout.
  bool WaitUntilServed();
  static Micros DrawFrom(Random& aRandom, Micros aMin, Micros aSpread) {
    return aMin + Micros{static_cast<std::int64_t>(aRandom.Below(
                      static_cast<std::size_t>(aSpread.count())))};
  }
  Micros Draw(Micros aMin, Micros aSpread) {
    return DrawFrom(this->random, aMin, aSpread);
  }
  Micros DrawBlackholeInterval();
  /// Takes the store down for a moment and restores it from a backup.
  void RestoreStore();

  /// Daemons up to which the rate of requests does not depend on their number.
  static constexpr int kBaselineDaemons = 4;
  static constexpr int kPlainUpstreams = 2;
  /// Upstreams send one event of each stream in it.
  static constexpr Micros kTickInterval = 10ms;

  SoakSettings settings;
  asio::io_context loop{1};
  SystemClock clock;
  Random random;
  /// A separate generator, so that the other faults of a seed do not change.
  Random blackholeRandom;
  /// The same for restores of the store.
  Random restoreRandom;
  /// The same for delayed resets and quick restarts.
  Random linkRandom;
  /// The same for partitions from upstreams.
  Random partitionRandom;
  /// The same for faults of processes.
  Random processRandom;
  /// The same for lengths of streams beside stops.
  Random streamRandom;
  /// The same for changes of the configuration and what goes on beside them.
  Random changeRandom;
  Random resumeRandom;
  SoakStore store;
  SoakCaller callers;
  SoakCaller restingCallers;
  InvariantChecker checker;
  StopOutcomes stopOutcomes = StopOutcomes::BySignal();
  StopOutcomes changeOutcomes = StopOutcomes::ByChange();
  UpstreamsByAddress byAddress;
  std::vector<std::unique_ptr<SoakUpstream>> upstreams;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Heal> heals;
  asio::steady_timer timer;
  Instant startedAt = this->clock.Now();
  Instant nextRequest{};
  Instant nextFault{};
  Instant nextBlackhole{};
  Instant nextRestore{};
  Instant nextPartition{};
  Instant nextProcessFault{};
  /// Set while first attempts are recorded.
  std::optional<std::vector<FirstAttempt>> firstAttempts;
  bool isInjecting = false;
  /// Whether callers repeat at once what fails.
  bool repeatsFailed = false;
  /// Whether the configuration changes, and how often.
  bool isChanging = false;
  Micros changeInterval{0};
  Instant nextChange{};
  Instant nextSilence{};
  Instant nextHangup{};
  Instant lastChangeAt{};
  Instant lastTickAt{};
  /// Idle times of the newest version and of the one before it.
  Micros idleTime = 15s;
  Micros formerIdleTime = 15s;
  std::vector<RestingConnection> resting;
  /// Requests on connections that had rested for some seconds.
  int longRests = 0;
  int version = 1;
  /// Whether the key of organisation `other` has been revoked.
  bool isRevoked = false;
  int lastRequest = 0;
  SoakOutcome outcome;
};

}  // namespace zincstep::soak
