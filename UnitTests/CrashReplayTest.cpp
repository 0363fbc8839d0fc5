// Whoever was on an upstream as it ended may be blamed, guilty or not, and
// innocent streams that are cut together are sent on together. This replays a
// pool whose members end, with daemons that hear of each other's finds late,
// and counts what callers get: how often a request that ends upstreams is sent
// after its third crash, and how many innocent ones are refused for it.

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <queue>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {
namespace {

/// One pool with its daemons, event by event.
class CrashReplay {
 public:
  CrashReplay(std::size_t aDaemons, std::uint64_t aSeed)
      : random(aSeed), upAt(aDaemons, Instant{}) {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      this->ledgers.emplace_back(CrashTrackerSettings{});
    }
  }

  /// Streams of callers, `aPerSecond` at each daemon.
  void SendInnocent(double aPerSecond, Micros aFor) {
    for (std::size_t daemon = 0; daemon < this->ledgers.size(); ++daemon) {
      const auto count = static_cast<std::size_t>(aPerSecond * ToSeconds(aFor));
      for (std::size_t i = 0; i < count; ++i) {
        this->lastRequest += 1;
        const RequestFingerprint request{this->lastRequest};
        this->At(this->Draw(aFor), [this, request, daemon] {
          this->Send({request, daemon, kRuns, kAttempts, false});
        });
      }
    }
  }

  /// A request that ends upstreams, at any daemon.
  void SendGuilty(double aPerSecond, Micros aFor) {
    const auto count = static_cast<std::size_t>(aPerSecond * ToSeconds(aFor));
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t daemon = this->random.Below(this->ledgers.size());
      this->At(this->Draw(aFor), [this, daemon] {
        this->Send({kGuilty, daemon, kRuns, 1, true});
      });
    }
  }

  /// A share of the upstreams ends at one instant, for no request's sake.
  void EndShare(double aShare, Micros aAt) {
    this->At(aAt, [this, aShare] {
      for (std::size_t one = 0; one < this->upAt.size(); ++one) {
        if (this->random.Unit() < aShare) {
          this->End(one);
        }
      }
    });
  }

  void Run(Micros aUntil) {
    while (!this->steps.empty() && this->steps.top().at <= Instant{aUntil}) {
      const Step step = this->steps.top();
      this->steps.pop();
      this->now = step.at;
      step.act();
    }
  }

  /// Innocent attempts that were refused as blocked, and all of them.
  int refused = 0;
  int innocent = 0;
  int guiltyCrashes = 0;
  /// Sends of the guilty request after all daemons knew of its third crash.
  int sentInSpite = 0;

 private:
  static constexpr RequestFingerprint kGuilty{0};
  static constexpr int kRuns = 2;
  static constexpr int kAttempts = 3;
  static constexpr Micros kLongestTold = 400ms;

  struct Request {
    RequestFingerprint fingerprint{};
    std::size_t daemon = 0;
    int runsLeft = 0;
    int attemptsLeft = 0;
    bool isGuilty = false;
  };
  struct Running {
    Request request;
    std::size_t upstream = 0;
    Instant firstEventAt;
    bool isOver = false;
  };
  struct Step {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator<(const Step& aOther) const {
      return std::pair(aOther.at, aOther.number) <
             std::pair(this->at, this->number);
    }
  };

  Micros Draw(Micros aMost) {
    return Micros{static_cast<std::int64_t>(
        this->random.Unit() * static_cast<double>(aMost.count()))};
  }
  void At(Micros aDelay, std::function<void()> aAct) {
    this->steps.push({this->now + aDelay, ++this->lastStep, std::move(aAct)});
  }

  void Send(Request aRequest) {
    CrashTracker& ledger = this->ledgers[aRequest.daemon];
    this->innocent += aRequest.isGuilty ? 0 : 1;
    if (ledger.BlockedFor(aRequest.fingerprint, this->now) > Micros{0}) {
      this->refused += aRequest.isGuilty ? 0 : 1;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < this->upAt.size(); ++i) {
      if (this->upAt[i] <= this->now) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    if (aRequest.isGuilty && this->knownAt && this->now > *this->knownAt) {
      this->sentInSpite += 1;
    }
    const std::size_t upstream = up[this->random.Below(up.size())];
    aRequest.runsLeft -= 1;
    const std::size_t number = this->running.size();
    this->running.push_back(
        {aRequest, upstream, this->now + 50ms + this->Draw(200ms), false});
    if (aRequest.isGuilty) {
      this->At(60ms, [this, number, upstream] {
        if (!this->running[number].isOver) {
          this->guiltyCrashes += 1;
          this->End(upstream);
        }
      });
      return;
    }
    this->At(1s + this->Draw(4s), [this, number] { this->Complete(number); });
  }

  void Complete(std::size_t aNumber) {
    Running& run = this->running[aNumber];
    if (run.isOver) {
      return;
    }
    run.isOver = true;
    const RequestFingerprint request = run.request.fingerprint;
    if (this->ledgers[run.request.daemon].OnCompleted(request, this->now)) {
      this->Tell(run.request.daemon, [request](CrashTracker& aLedger, Instant) {
        aLedger.Clear(request);
      });
    }
  }

  void End(std::size_t aUpstream) {
    if (this->upAt[aUpstream] > this->now) {
      return;
    }
    this->upAt[aUpstream] = this->now + 3s;
    this->incarnation += 1;
    for (std::size_t i = 0; i < this->running.size(); ++i) {
      Running& run = this->running[i];
      if (run.isOver || run.upstream != aUpstream) {
        continue;
      }
      run.isOver = true;
      if (this->now < run.firstEventAt) {
        this->Blame({run.request.fingerprint, this->incarnation},
                    run.request.daemon);
      }
      this->SendOn(run.request);
    }
  }

  void SendOn(Request aRequest) {
    if (aRequest.runsLeft > 0) {
      this->At(20ms, [this, aRequest] { this->Send(aRequest); });
    } else if (aRequest.attemptsLeft > 1) {
      aRequest.attemptsLeft -= 1;
      aRequest.runsLeft = kRuns;
      aRequest.daemon = this->random.Below(this->ledgers.size());
      this->At(400ms, [this, aRequest] { this->Send(aRequest); });
    }
  }

  void Blame(const UpstreamCrash& aCrash, std::size_t aDaemon) {
    this->At(5ms, [this, aCrash, aDaemon] {
      this->ledgers[aDaemon].OnCrash(aCrash, this->now);
      if (aCrash.request == kGuilty && this->guiltyCrashes >= 3 &&
          !this->knownAt) {
        this->knownAt = this->now + kLongestTold;
      }
      this->Tell(aDaemon, [aCrash](CrashTracker& aLedger, Instant aNow) {
        aLedger.OnCrash(aCrash, aNow);
      });
    });
  }

  void Tell(std::size_t aFrom,
            const std::function<void(CrashTracker&, Instant)>& aWhat) {
    for (std::size_t to = 0; to < this->ledgers.size(); ++to) {
      if (to != aFrom) {
        this->At(this->Draw(kLongestTold),
                 [this, to, aWhat] { aWhat(this->ledgers[to], this->now); });
      }
    }
  }

  Random random;
  Instant now{};
  std::vector<Instant> upAt;
  std::deque<CrashTracker> ledgers;
  std::deque<Running> running;
  std::priority_queue<Step> steps;
  std::uint64_t lastStep = 0;
  std::uint64_t lastRequest = 0;
  std::uint64_t incarnation = 0;
  std::optional<Instant> knownAt;
};

class CrashReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashReplayTest);
  CPPUNIT_TEST(Innocent_BesideAGuiltyRequest_AreServed);
  CPPUNIT_TEST(Innocent_BesideAThirdOfThePoolThatEnds_AreServed);
  CPPUNIT_TEST(Guilty_OnceKnown_IsSentNoMore);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kTime = 20s;
  static constexpr double kPerSecond = 4;

  /// Of a thousand attempts fewer than one is refused.
  static void CheckInnocent(const CrashReplay& aReplay) {
    CPPUNIT_ASSERT(aReplay.innocent > 0);
    CPPUNIT_ASSERT(aReplay.refused * 1000 < aReplay.innocent);
  }

 public:
  void Innocent_BesideAGuiltyRequest_AreServed() {
    for (const std::size_t daemons : {6, 60, 300}) {
      CrashReplay replay(daemons, daemons);
      replay.SendInnocent(kPerSecond, kTime);
      replay.SendGuilty(4, kTime);
      replay.Run(kTime);
      CPPUNIT_ASSERT(replay.guiltyCrashes >= 3);
      CheckInnocent(replay);
    }
  }

  void Innocent_BesideAThirdOfThePoolThatEnds_AreServed() {
    for (const std::size_t daemons : {6, 60, 300}) {
      CrashReplay replay(daemons, daemons);
      replay.SendInnocent(kPerSecond, kTime);
      for (const Micros at : {5s, 8s, 11s, 14s}) {
        replay.EndShare(0.33, at);
      }
      replay.Run(kTime);
      CheckInnocent(replay);
    }
  }

  void Guilty_OnceKnown_IsSentNoMore() {
    for (const std::size_t daemons : {6, 60, 300}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CrashReplay replay(daemons, seed);
        replay.SendGuilty(8, kTime);
        replay.Run(kTime);
        CPPUNIT_ASSERT(replay.guiltyCrashes >= 3);
        CPPUNIT_ASSERT_EQUAL(0, replay.sentInSpite);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReplayTest);

}  // namespace
}  // namespace zincstep
