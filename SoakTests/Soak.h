#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "SoakTests/DaemonProcess.h"
#include "SoakTests/SoakCaller.h"
#include "SoakTests/SoakRun.h"
#include "SoakTests/SoakUpstream.h"
#include "Zincstep/Core/Random.h"

namespace zincstep::soak {

/// The operators' bound on withdrawn keys, as the daemons get it.
inline constexpr Micros kKeyRevocation = 5s;
/// How long callers wait.
inline constexpr Micros kCallerPatience = 4s;

/// The operators' configuration: two plain routes and a split model of four
/// layers, two of which fit an upstream.
std::string Configuration(int aVersion, bool aHasOther);

/// One run: daemons as processes, stand-ins, callers, faults and checks, all on
/// one loop.
class Soak {
 public:
  explicit Soak(const SoakSettings& aSettings);

  SoakOutcome Run();

 private:
  struct Daemon {
    std::unique_ptr<FaultProxy> storeLink;
    std::unique_ptr<DaemonProcess> process;
    TcpEndpoint address;
    /// It is started again by whoever heals the fault.
    bool isDown = false;
    /// Kinds that it has answered since the last `Served`.
    std::array<bool, 3> answered{};
  };
  struct Heal {
    Instant at;
    std::function<void()> act;
  };

  void AddUpstream(const std::string& aService, const std::string& aDomain,
                   int aNumber);
  void AddDaemons();
  void Tick();
  /// Sends as many requests as it is time for.
  void SendDue(Instant aNow);
  void SendNext();
  std::string Send(Daemon& aDaemon, RequestKind aKind, bool aIsOther,
                   Micros aPatience = kCallerPatience,
                   const char* aPath = nullptr);
  void OnAnswer(const std::string& aId, RequestKind aKind, Daemon& aDaemon,
                const Result<HttpResponse>& aAnswer);
  void Inject();
  void InjectAtDaemon(Daemon& aDaemon);
  void InjectAtUpstream(SoakUpstream& aUpstream);
  void InjectAtStore();
  /// All open connections to the store and to upstreams fall silent at once.
  void SilenceOpenConnections();
  /// Kills an upstream of the model that lives; false: none does.
  bool LoseModelUpstream();
  /// Streams at each daemon that have run for a moment.
  std::vector<std::string> StartStreams();
  /// A daemon that is stopped cuts off nothing that an upstream has begun.
  void CheckPlannedStop();
  /// Streams that run when all connections fall silent are finished.
  void CheckSilentStreams();
  /// When an upstream is lost at that instant all is served again, and one that
  /// announces its end gets no new work long after.
  void CheckSilentLoss();
  /// A request that crashes who runs it comes again and again, at any daemon,
  /// also after all daemons have been killed.
  void CheckCrashingRequest();
  void SendCrashing(Micros aFor);
  /// Upstreams that name a limit get no more than that, from all daemons
  /// together, and are used again once they name none.
  void CheckLimits();
  void CheckLimitsLifted(const std::vector<SoakUpstream*>& aLimited);
  /// Upstreams that ask for rest are left alone, and `aOther`, the one that
  /// does not and has named a limit before, gets what they would.
  void CheckRest(const SoakUpstream& aOther);
  /// One upstream of each service names a limit.
  std::vector<SoakUpstream*> NameLimits();
  /// Kills all daemons at one instant; they start again.
  void KillAllDaemons();
  /// Nobody hears that a key is withdrawn, for longer than it may still run.
  void CutAllFromStore();
  void Note(const std::string& aFault);
  void Later(std::function<void()> aAct);
  void HealAll();
  /// Runs until every daemon has answered every kind; false: not in time.
  bool WaitUntilServed();
  static Micros DrawFrom(Random& aRandom, Micros aShortest, Micros aSpread) {
    return aShortest + Micros{static_cast<std::int64_t>(aRandom.Below(
                           static_cast<std::size_t>(aSpread.count())))};
  }
  Micros Draw(Micros aShortest, Micros aSpread) {
    return DrawFrom(this->random, aShortest, aSpread);
  }
  Micros DrawSilencePause();
  /// The store goes away for a moment and comes back from a copy.
  void RestoreStore();

  static constexpr int kPlainUpstreams = 2;
  static constexpr int kModelUpstreams = 5;

  SoakSettings settings;
  asio::io_context loop{1};
  SystemClock clock;
  Random random;
  /// Of its own, so that a seed's other faults stay what they were.
  Random silenceRandom;
  /// The same for returns of the store from a copy.
  Random restoreRandom;
  /// The same for links that reset late and upstreams that are back at once.
  Random linkRandom;
  SoakStore store;
  SoakCaller callers;
  Ledger ledger;
  UpstreamsByAddress byAddress;
  std::vector<std::unique_ptr<SoakUpstream>> upstreams;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Heal> heals;
  asio::steady_timer timer;
  Instant startedAt = this->clock.Now();
  Instant nextRequest{};
  Instant nextFault{};
  Instant nextSilence{};
  Instant nextRestore{};
  bool injects = false;
  int version = 1;
  /// The other organisation's key has been withdrawn.
  bool isRevoked = false;
  int lastRequest = 0;
  SoakOutcome outcome;
};

}  // namespace zincstep::soak
