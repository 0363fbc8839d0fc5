#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Pool/UpstreamDirectory.h"
#include "Zincstep/Relay/CrashDetector.h"

namespace zincstep {

/// What daemons meet at the address of an upstream that is down.
enum class DownLink {
  Refuses,
  /// Nothing responds: the machine is gone too.
  Silent,
  /// A proxy accepts connections and closes them.
  Drops,
};

/// Daemons that lose their paths to all upstreams for a time.
struct PathCut {
  Micros at{0};
  Micros duration{0};
  /// The first daemons, this many.
  std::size_t daemons = 0;
  DownLink how = DownLink::Refuses;
};

struct ServiceReplaySettings {
  std::size_t daemons = 7;
  std::size_t upstreams = 3;
  std::size_t poisonRequests = 1;
  /// Rate of each poison request; each is sent to two daemons at once.
  double poisonPerSecond = 5;
  DownLink down = DownLink::Refuses;
  /// Time from a crash to the restart at the same address, under a new id.
  Micros restartDelay = 3200ms;
  /// Time from a crash until the store removes the entry.
  Micros entryLifetime = 3600ms;
  /// Maximum delay until a daemon knows of a change in the store.
  Micros maxStoreLag = 800ms;
  Micros maxReportDelay = 5ms;
  /// Sound requests that differ; none: each differs from all others.
  std::optional<std::size_t> soundTargets;
  std::vector<PathCut> cuts;
  /// Daemons whose reports are lost, and who get none.
  std::vector<PathCut> peerCuts;
  /// From then on poison requests are sent to the first daemon alone.
  std::optional<Micros> poisonToFirstFrom;
  std::uint64_t seed = 1;
};

/// Simulates daemons in front of a plain service of few upstreams, with their
/// directories, crash detectors and trackers. Poison requests crash each
/// upstream that runs them; all others are sound.
class CrashedServiceReplay {
 public:
  explicit CrashedServiceReplay(ServiceReplaySettings aSettings);
  ~CrashedServiceReplay();

  void Run(Micros aFor);

  /// Sends of poison requests later than 3 s after their third crash; most of
  /// any.
  int MaxLateSends() const;
  int crashes = 0;
  int sound = 0;
  /// Sound requests that a daemon refused as ones that crash upstreams.
  int refusedSound = 0;
  int completedSound = 0;

 private:
  struct Replica {
    std::string id;
    bool isAlive = false;
    int life = 0;
  };
  struct Request {
    CrashCandidates candidates;
    std::size_t daemon = 0;
    std::optional<std::size_t> poison;
    int runsLeft = 2;
    std::vector<UpstreamPtr> tried;
    /// Attempts that the caller of a sound request has left.
    int attemptsLeft = 3;
  };
  struct Running {
    Request request;
    UpstreamPtr upstream;
    std::size_t replica = 0;
    int life = 0;
    std::uint64_t number = 0;
  };
  struct Event {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator<(const Event& aOther) const {
      return std::pair(aOther.at, aOther.number) <
             std::pair(this->at, this->number);
    }
  };
  struct Poison {
    CrashCandidates candidates;
    std::vector<Instant> crashedAt;
    std::vector<Instant> sentAt;
  };
  class Daemon;

  void ScheduleAfter(Micros aDelay, std::function<void()> aAct);
  Micros RandomBelow(Micros aMax) {
    return FromSeconds(this->random.Unit() * ToSeconds(aMax));
  }
  void ScheduleRequests(Micros aFor);
  void Start(std::size_t aReplica);
  void Crash(std::size_t aReplica, const std::set<std::size_t>& aPoisons);
  /// Informs all daemons of a change in the store, each after a delay.
  void Publish(const std::function<void(Daemon&)>& aChange);
  void Send(Request aRequest);
  /// Sends a sound request again, at any daemon, as its caller does.
  void Repeat(Request aRequest);
  /// Sends a request to an upstream; returns false if it did not run there.
  bool TrySendTo(const UpstreamPtr& aUpstream, const Request& aRequest);
  void Begin(Running aRun);
  /// Crashes the upstream of a poison run, if it still runs there.
  void CrashUnder(const Running& aRun);
  /// Completes a sound run, unless it was lost.
  void Complete(const Running& aRun, Instant aSentAt);
  void EndLost(const Running& aRun);
  /// Loses all runs for which `aIsLost` returns true.
  void LoseRuns(const std::function<bool(const Running&)>& aIsLost);
  /// The cut that separates a daemon from all upstreams now; null if none does.
  const PathCut* CutOf(std::size_t aDaemon) const {
    return this->FindCut(this->settings.cuts, aDaemon);
  }
  const PathCut* FindCut(const std::vector<PathCut>& aCuts,
                         std::size_t aDaemon) const;
  std::size_t ReplicaAt(const std::string& aAddress) const;
  static std::string AddressOf(std::size_t aReplica);
  void Broadcast(std::size_t aFrom, const std::function<void(Daemon&)>& aSend);

  ServiceReplaySettings settings;
  Random random;
  FakeClock clock;
  Instant startedAt{};
  std::vector<Replica> replicas;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Poison> poisons;
  std::vector<Running> running;
  std::priority_queue<Event> events;
  std::uint64_t lastEvent = 0;
  std::uint64_t lastRun = 0;
};

}  // namespace zincstep
