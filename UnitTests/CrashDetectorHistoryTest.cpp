// Checks the crash detector against random histories of lost runs, crashes,
// restarts and probes with late or missing responses, whose true states are
// known.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "Zincstep/Core/Random.h"
#include "Zincstep/Relay/CrashDetector.h"

namespace zincstep {
namespace {

/// True state of an upstream, and how its address behaves.
enum class UpstreamState {
  /// Sends reports, or keeps connections open if it supports no reports.
  Alive,
  /// Crashed, and its port is closed.
  Refusing,
  /// Crashed behind a proxy that accepts connections and closes them on a
  /// request.
  Dropped,
  /// Crashed with its machine; packets are lost.
  Unreachable,
  /// Crashed, and another incarnation responds at its address.
  Replaced,
};

constexpr int kStates = 5;

/// Upstreams that respond after some time, according to their states.
class SimulatedControl final : public UpstreamControl {
 public:
  SimulatedControl(const FakeClock& aClock, Random& aRandom)
      : clock(aClock), random(aRandom) {}

  void ProbeConnection(const UpstreamEntry& aUpstream, Micros aTimeout,
                       std::function<void(Reachability)> aDone) override {
    const Reachability reachability = this->ReachabilityOf(aUpstream);
    const bool isSlow = reachability == Reachability::Silent ||
                        reachability == Reachability::Reached;
    this->Schedule(
        isSlow ? aTimeout : this->Delay(aTimeout),
        [reachability, done = std::move(aDone)] { done(reachability); });
  }

  void Report(const UpstreamEntry& aUpstream, Micros aTimeout,
              Done<UpstreamReport> aDone) override {
    const UpstreamState now = this->states[aUpstream.id];
    Result<UpstreamReport> report = UpstreamReport{};
    Micros delay = this->Delay(aTimeout);
    if (now == UpstreamState::Refusing) {
      report = Fail(ErrorKind::UpstreamUnreachable, "");
    } else if (now == UpstreamState::Dropped) {
      report = Fail(ErrorKind::ResponseIncomplete, "");
    } else if (now == UpstreamState::Replaced) {
      report = Fail(ErrorKind::UpstreamEnded, "");
    } else if (now == UpstreamState::Unreachable ||
               this->random.Below(4) == 0) {
      // A live upstream may be slow.
      report = Fail(ErrorKind::DeadlineDuringRun, "");
      delay = aTimeout;
    }
    this->Schedule(delay, [report, done = std::move(aDone)] { done(report); });
  }

  void Place(const UpstreamEntry&, LayerRange, std::uint64_t, ReleaseMode,
             Done<OrderOutcome>) override {}
  void Reroute(const std::string&, const PoolChain&,
               Done<OrderOutcome>) override {}

  /// Runs the callbacks that are due.
  void Run() {
    while (!this->pending.empty() &&
           this->pending.begin()->first <= this->clock.Now()) {
      const auto callback = std::move(this->pending.begin()->second);
      this->pending.erase(this->pending.begin());
      callback();
    }
  }
  bool IsIdle() const { return this->pending.empty(); }

  std::map<std::string, UpstreamState> states;

 private:
  Reachability ReachabilityOf(const UpstreamEntry& aUpstream) {
    switch (this->states[aUpstream.id]) {
      case UpstreamState::Refusing:
        return Reachability::Refused;
      case UpstreamState::Unreachable:
        return Reachability::Silent;
      case UpstreamState::Dropped:
        // A proxy may keep a connection open until a request arrives.
        return this->random.Below(2) == 0 ? Reachability::Dropped
                                          : Reachability::Reached;
      default:
        return Reachability::Reached;
    }
  }

  Micros Delay(Micros aMax) {
    return Micros{static_cast<std::int64_t>(
        this->random.Below(static_cast<std::size_t>(aMax.count())))};
  }

  void Schedule(Micros aAfter, std::function<void()> aCallback) {
    this->pending.emplace(this->clock.Now() + aAfter, std::move(aCallback));
  }

  const FakeClock& clock;
  Random& random;
  std::multimap<Instant, std::function<void()>> pending;
};

class CrashDetectorHistoryTest : public CppUnit::TestFixture,
                                 private CrashListener {
  CPPUNIT_TEST_SUITE(CrashDetectorHistoryTest);
  CPPUNIT_TEST(Histories_AnySeed_RecordOnlyCrashes);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kSeeds = 300;
  static constexpr int kSteps = 120;
  /// Maximum time between two ticks of the daemon.
  static constexpr Micros kMaxTickInterval = 300ms;
  static constexpr std::size_t kUpstreams = 6;
  static constexpr std::size_t kRequests = 3;
  /// Maximum time until a crashed upstream is deregistered.
  static constexpr Micros kMaxDeregistrationDelay = 2s;
  /// Maximum time to detect a crash: the maximum duration of a probe and its
  /// last attempts.
  static constexpr Micros kMaxDetectionTime = 6s;

  struct History {
    explicit History(std::uint64_t aSeed, CrashListener& aListener)
        : random(aSeed),
          control(clock, random),
          detector(tracker, control, clock, aListener) {}

    Random random;
    FakeClock clock;
    SimulatedControl control;
    CrashTracker tracker{CrashTrackerSettings{}};
    CrashDetector detector;
    std::vector<UpstreamPtr> upstreams;
    /// All incarnations, by `LiveUpstream::Number`.
    std::map<std::uint64_t, UpstreamPtr> all;
    /// Lost runs: the request and the incarnation.
    std::set<std::pair<Fingerprint, std::uint64_t>> lost;
    /// Those lost to a crash.
    std::set<std::pair<Fingerprint, std::uint64_t>> ended;

    /// Crashed upstreams, and when they are deregistered.
    std::vector<std::pair<UpstreamPtr, Instant>> deregistering;

    Micros RandomBelow(Micros aMax) {
      return Micros{static_cast<std::int64_t>(
          this->random.Below(static_cast<std::size_t>(aMax.count())))};
    }
    UpstreamState StateOf(std::uint64_t aNumber) {
      return this->control.states[this->all.at(aNumber)->Entry().id];
    }
  };

  std::set<std::pair<Fingerprint, std::uint64_t>> crashes;

  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override {
    for (const UpstreamCrash& crash : aCrashes) {
      crashes.insert({crash.candidate, crash.upstream});
    }
  }
  void OnReportDue(const std::vector<UpstreamCrash>&) override {}
  void OnSuspected(const std::vector<UpstreamCrash>&) override {}
  void OnWithdrawn(const std::vector<UpstreamCrash>&) override {}
  void OnCleared(Fingerprint) override {}
  void OnBlocked(Fingerprint) override {}
  void OnUpstreamSuspected() override {}

  /// Makes the next incarnation of an upstream; half are of a plain service.
  static UpstreamPtr MakeUpstream(History& aHistory, std::size_t aPlace,
                                  std::int64_t aStartTime) {
    UpstreamEntry entry;
    entry.id = std::to_string(aPlace) + "-" + std::to_string(aStartTime);
    entry.kind = aPlace % 2 == 0 ? "k" : "";
    entry.startTimeMs = aStartTime;
    aHistory.control.states[entry.id] = UpstreamState::Alive;
    const auto upstream = std::make_shared<LiveUpstream>(entry);
    aHistory.all[upstream->Number()] = upstream;
    return upstream;
  }

  static void AdvanceAndTick(History& aHistory, Micros aTime) {
    // A busy daemon processes everything that is due late, and at once.
    aHistory.clock.Advance(aTime);
    std::erase_if(aHistory.deregistering, [&](const auto& aOne) {
      const bool isDue = aOne.second <= aHistory.clock.Now();
      if (isDue) {
        aOne.first->SetDeregistered(aHistory.clock.Now());
      }
      return isDue;
    });
    aHistory.control.Run();
    aHistory.detector.Tick();
  }

  /// Loses a run, to a crash of its upstream or without one.
  static void LoseRun(History& aHistory, std::int64_t aStep) {
    const std::size_t place = aHistory.random.Below(kUpstreams);
    const Fingerprint request{1 + aHistory.random.Below(kRequests)};
    UpstreamPtr& upstream = aHistory.upstreams[place];
    if (aHistory.tracker.BlockedFor(request, aHistory.clock.Now()) > 0us) {
      return;
    }
    UpstreamState& state = aHistory.control.states[upstream->Entry().id];
    if (state == UpstreamState::Alive && aHistory.random.Below(3) == 0) {
      state =
          static_cast<UpstreamState>(1 + aHistory.random.Below(kStates - 1));
      aHistory.deregistering.push_back(
          {upstream, aHistory.clock.Now() +
                         aHistory.RandomBelow(kMaxDeregistrationDelay)});
    }
    if (state != UpstreamState::Alive) {
      aHistory.ended.insert({request, upstream->Number()});
    }
    aHistory.lost.insert({request, upstream->Number()});
    aHistory.detector.OnRunLost({request, {}}, upstream);
    if (state != UpstreamState::Alive && aHistory.random.Below(2) == 0) {
      // The list announces the next incarnation.
      upstream->SetEnded(aHistory.clock.Now());
      upstream = MakeUpstream(aHistory, place, aStep);
    }
  }

  void RunHistory(std::uint64_t aSeed) {
    crashes.clear();
    History history(aSeed, *this);
    history.clock.Advance(100s);
    for (std::size_t place = 0; place < kUpstreams; ++place) {
      history.upstreams.push_back(MakeUpstream(history, place, 1));
    }
    for (int step = 2; step < kSteps; ++step) {
      LoseRun(history, step);
      AdvanceAndTick(history, history.RandomBelow(kMaxTickInterval));
    }
    for (Micros passed{0}; passed < kMaxDetectionTime; passed += 10ms) {
      AdvanceAndTick(history, 10ms);
    }
    this->CheckEnd(history);
  }

  void CheckEnd(History& aHistory) {
    CPPUNIT_ASSERT(aHistory.control.IsIdle());
    for (const auto& run : aHistory.ended) {
      CPPUNIT_ASSERT(crashes.contains(run));
    }
    for (const auto& run : crashes) {
      // A run lost just before a crash may be attributed to it, too.
      CPPUNIT_ASSERT(aHistory.lost.contains(run));
      CPPUNIT_ASSERT(aHistory.StateOf(run.second) != UpstreamState::Alive);
    }
    for (std::size_t i = 0; i < kRequests; ++i) {
      const Fingerprint request{1 + i};
      const auto ends = std::count_if(
          crashes.begin(), crashes.end(),
          [&](const auto& aOne) { return aOne.first == request; });
      // Recorded and possible crashes together never exceed the limit of the
      // tracker, as each run began after the previous one was lost.
      CPPUNIT_ASSERT(ends <= 3);
      const Micros blocked =
          aHistory.tracker.BlockedFor(request, aHistory.clock.Now());
      CPPUNIT_ASSERT_EQUAL(ends == 3, blocked > 0us);
    }
  }

 public:
  void Histories_AnySeed_RecordOnlyCrashes() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      try {
        this->RunHistory(seed);
      } catch (CppUnit::Exception& aFailure) {
        aFailure.setMessage(
            CppUnit::Message(aFailure.what(), "seed " + std::to_string(seed)));
        throw;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorHistoryTest);

}  // namespace
}  // namespace zincstep
