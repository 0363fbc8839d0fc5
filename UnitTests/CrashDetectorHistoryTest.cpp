// Random histories of lost runs, ends, restarts and questions that are answered
// late or not at all, against what is true of each upstream.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "Zincstep/Core/Random.h"
#include "Zincstep/Relay/CrashDetector.h"

namespace zincstep {
namespace {

/// What is true of an upstream, and how its address behaves.
enum class Truth {
  /// Reports, or holds connections where it gives no reports.
  Alive,
  /// It has ended, and its port is closed.
  Refuses,
  /// It has ended behind a proxy that accepts, and closes on a request.
  Dropped,
  /// It has ended, its machine is gone.
  Dark,
  /// It has ended, and another start answers at its address.
  Succeeded,
};

constexpr int kTruths = 5;

/// Upstreams that answer according to what is true of them, some time later.
class TruthfulControl final : public UpstreamControl {
 public:
  TruthfulControl(const FakeClock& aClock, Random& aRandom)
      : clock(aClock), random(aRandom) {}

  void ProbeConnection(const UpstreamEntry& aUpstream, Micros aTimeout,
                       std::function<void(Reachability)> aDone) override {
    const Reachability reachability = this->ReachabilityOf(aUpstream);
    const bool isSlow = reachability == Reachability::Silent ||
                        reachability == Reachability::Reached;
    this->Later(
        isSlow ? aTimeout : this->Delay(aTimeout),
        [reachability, done = std::move(aDone)] { done(reachability); });
  }

  void Report(const UpstreamEntry& aUpstream, Micros aTimeout,
              Done<UpstreamReport> aDone) override {
    const Truth now = this->truths[aUpstream.id];
    Result<UpstreamReport> report = UpstreamReport{};
    Micros delay = this->Delay(aTimeout);
    if (now == Truth::Refuses) {
      report = Fail(ErrorKind::UpstreamUnreachable, "");
    } else if (now == Truth::Dropped) {
      report = Fail(ErrorKind::ResponseIncomplete, "");
    } else if (now == Truth::Succeeded) {
      report = Fail(ErrorKind::UpstreamEnded, "");
    } else if (now == Truth::Dark || this->random.Below(4) == 0) {
      // One that lives may be slow.
      report = Fail(ErrorKind::DeadlineDuringRun, "");
      delay = aTimeout;
    }
    this->Later(delay, [report, done = std::move(aDone)] { done(report); });
  }

  void Place(const UpstreamEntry&, LayerRange, std::uint64_t, ReleaseMode,
             Done<OrderOutcome>) override {}
  void Reroute(const std::string&, const PoolChain&,
               Done<OrderOutcome>) override {}

  /// Gives the answers that are due.
  void Run() {
    while (!this->open.empty() &&
           this->open.begin()->first <= this->clock.Now()) {
      const auto answer = std::move(this->open.begin()->second);
      this->open.erase(this->open.begin());
      answer();
    }
  }
  bool IsIdle() const { return this->open.empty(); }

  std::map<std::string, Truth> truths;

 private:
  Reachability ReachabilityOf(const UpstreamEntry& aUpstream) {
    switch (this->truths[aUpstream.id]) {
      case Truth::Refuses:
        return Reachability::Refused;
      case Truth::Dark:
        return Reachability::Silent;
      case Truth::Dropped:
        // A proxy may hold a connection open as long as nothing is asked.
        return this->random.Below(2) == 0 ? Reachability::Dropped
                                          : Reachability::Reached;
      default:
        return Reachability::Reached;
    }
  }

  Micros Delay(Micros aMost) {
    return Micros{static_cast<std::int64_t>(
        this->random.Below(static_cast<std::size_t>(aMost.count())))};
  }

  void Later(Micros aAfter, std::function<void()> aAnswer) {
    this->open.emplace(this->clock.Now() + aAfter, std::move(aAnswer));
  }

  const FakeClock& clock;
  Random& random;
  std::multimap<Instant, std::function<void()>> open;
};

class CrashDetectorHistoryTest : public CppUnit::TestFixture,
                                 private CrashListener {
  CPPUNIT_TEST_SUITE(CrashDetectorHistoryTest);
  CPPUNIT_TEST(Histories_AnySeed_BlameEndsAndNobodyElse);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kSeeds = 300;
  static constexpr int kSteps = 120;
  /// Longest time in which the daemon does not look.
  static constexpr Micros kLongestLook = 300ms;
  static constexpr std::size_t kUpstreams = 6;
  static constexpr std::size_t kRequests = 3;
  /// Time after which the entry of one that has ended is off the list.
  static constexpr Micros kGoneWithin = 2s;
  /// An end is known by then: the longest question and its last tries.
  static constexpr Micros kKnownWithin = 6s;

  struct History {
    explicit History(std::uint64_t aSeed, CrashListener& aListener)
        : random(aSeed),
          control(clock, random),
          watch(ledger, control, clock, aListener) {}

    Random random;
    FakeClock clock;
    TruthfulControl control;
    CrashTracker ledger{CrashTrackerSettings{}};
    CrashDetector watch;
    std::vector<UpstreamPtr> upstreams;
    /// All incarnations that there were, by number.
    std::map<std::uint64_t, UpstreamPtr> all;
    /// Runs that broke off: the request and the incarnation.
    std::set<std::pair<RequestFingerprint, std::uint64_t>> lost;
    /// Those that were broken off by an end.
    std::set<std::pair<RequestFingerprint, std::uint64_t>> ended;

    /// Upstreams that have ended, and when their entries go.
    std::vector<std::pair<UpstreamPtr, Instant>> leaving;

    Micros UpTo(Micros aMost) {
      return Micros{static_cast<std::int64_t>(
          this->random.Below(static_cast<std::size_t>(aMost.count())))};
    }
    Truth TruthOf(std::uint64_t aNumber) {
      return this->control.truths[this->all.at(aNumber)->Entry().id];
    }
  };

  std::set<std::pair<RequestFingerprint, std::uint64_t>> found;

  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override {
    for (const UpstreamCrash& crash : aCrashes) {
      found.insert({crash.request, crash.upstream});
    }
  }
  void OnCleared(RequestFingerprint) override {}
  void OnBlocked(RequestFingerprint) override {}
  void OnUpstreamSuspected() override {}

  /// The next start of an upstream; half of them are of a plain service.
  static UpstreamPtr MakeUpstream(History& aHistory, std::size_t aPlace,
                                  std::int64_t aBorn) {
    UpstreamEntry entry;
    entry.id = std::to_string(aPlace) + "-" + std::to_string(aBorn);
    entry.kind = aPlace % 2 == 0 ? "k" : "";
    entry.startTimeMs = aBorn;
    aHistory.control.truths[entry.id] = Truth::Alive;
    const auto upstream = std::make_shared<LiveUpstream>(entry);
    aHistory.all[upstream->Number()] = upstream;
    return upstream;
  }

  static void Pass(History& aHistory, Micros aTime) {
    // A daemon that is busy looks late, and at all that is due at once.
    aHistory.clock.Advance(aTime);
    std::erase_if(aHistory.leaving, [&](const auto& aOne) {
      const bool isDue = aOne.second <= aHistory.clock.Now();
      if (isDue) {
        aOne.first->SetDeregistered(aHistory.clock.Now());
      }
      return isDue;
    });
    aHistory.control.Run();
    aHistory.watch.Tick();
  }

  /// A run breaks off, as its upstream ends or by itself.
  static void LoseRun(History& aHistory, std::int64_t aStep) {
    const std::size_t place = aHistory.random.Below(kUpstreams);
    const RequestFingerprint request{1 + aHistory.random.Below(kRequests)};
    UpstreamPtr& upstream = aHistory.upstreams[place];
    if (aHistory.ledger.BlockedFor(request, aHistory.clock.Now()) > 0us) {
      return;
    }
    Truth& truth = aHistory.control.truths[upstream->Entry().id];
    if (truth == Truth::Alive && aHistory.random.Below(3) == 0) {
      truth = static_cast<Truth>(1 + aHistory.random.Below(kTruths - 1));
      aHistory.leaving.push_back(
          {upstream, aHistory.clock.Now() + aHistory.UpTo(kGoneWithin)});
    }
    if (truth != Truth::Alive) {
      aHistory.ended.insert({request, upstream->Number()});
    }
    aHistory.lost.insert({request, upstream->Number()});
    aHistory.watch.OnRunLost(request, upstream);
    if (truth != Truth::Alive && aHistory.random.Below(2) == 0) {
      // The list tells of a next start.
      upstream->SetEnded(aHistory.clock.Now());
      upstream = MakeUpstream(aHistory, place, aStep);
    }
  }

  void Play(std::uint64_t aSeed) {
    found.clear();
    History history(aSeed, *this);
    history.clock.Advance(100s);
    for (std::size_t place = 0; place < kUpstreams; ++place) {
      history.upstreams.push_back(MakeUpstream(history, place, 1));
    }
    for (int step = 2; step < kSteps; ++step) {
      LoseRun(history, step);
      Pass(history, history.UpTo(kLongestLook));
    }
    for (Micros passed{0}; passed < kKnownWithin; passed += 10ms) {
      Pass(history, 10ms);
    }
    this->CheckEnd(history);
  }

  void CheckEnd(History& aHistory) {
    CPPUNIT_ASSERT(aHistory.control.IsIdle());
    for (const auto& run : aHistory.ended) {
      CPPUNIT_ASSERT(found.contains(run));
    }
    for (const auto& run : found) {
      // One that broke off just before an end may be blamed for it, too.
      CPPUNIT_ASSERT(aHistory.lost.contains(run));
      CPPUNIT_ASSERT(aHistory.TruthOf(run.second) != Truth::Alive);
    }
    for (std::size_t i = 0; i < kRequests; ++i) {
      const RequestFingerprint request{1 + i};
      const auto ends = std::count_if(
          found.begin(), found.end(),
          [&](const auto& aOne) { return aOne.first == request; });
      // Ended and open together never make more than the ledger allows, as
      // each run here began after the one before had broken off.
      CPPUNIT_ASSERT(ends <= 3);
      const Micros blocked =
          aHistory.ledger.BlockedFor(request, aHistory.clock.Now());
      CPPUNIT_ASSERT_EQUAL(ends == 3, blocked > 0us);
    }
  }

 public:
  void Histories_AnySeed_BlameEndsAndNobodyElse() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      try {
        this->Play(seed);
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
