// Simulates a pool with crashing upstreams, whose daemons receive each other's
// reports late. A crash is attributed to all requests that ran without an
// event, and unrelated streams that are truncated together are also retried
// together. Counts how often a poison request, which crashes upstreams, is sent
// after its third crash, and how many unrelated requests are refused.

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <queue>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {
namespace {

/// Discrete-event simulation of a pool and its daemons.
class CrashReplay {
 public:
  CrashReplay(std::size_t aDaemons, std::uint64_t aSeed)
      : random(aSeed), upSince(aDaemons, Instant{}) {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      this->trackers.emplace_back(CrashTrackerSettings{});
    }
  }

  /// Sends unrelated streams, `aPerSecond` to each daemon.
  void SendUnrelated(double aPerSecond, Micros aFor) {
    for (std::size_t daemon = 0; daemon < this->trackers.size(); ++daemon) {
      const auto count = static_cast<std::size_t>(aPerSecond * ToSeconds(aFor));
      for (std::size_t i = 0; i < count; ++i) {
        this->lastRequest += 1;
        const Fingerprint request{this->lastRequest};
        this->ScheduleAfter(this->RandomBelow(aFor), [this, request, daemon] {
          this->Send({request, daemon, kRuns, kAttempts, false});
        });
      }
    }
  }

  /// Sends the poison request, each time to a random daemon.
  void SendPoison(double aPerSecond, Micros aFor) {
    const auto count = static_cast<std::size_t>(aPerSecond * ToSeconds(aFor));
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t daemon = this->random.Below(this->trackers.size());
      this->ScheduleAfter(this->RandomBelow(aFor), [this, daemon] {
        this->Send({kPoison, daemon, kRuns, 1, true});
      });
    }
  }

  /// Crashes a share of the upstreams at once, not caused by a request.
  void CrashShare(double aShare, Micros aAt) {
    this->ScheduleAfter(aAt, [this, aShare] {
      for (std::size_t one = 0; one < this->upSince.size(); ++one) {
        if (this->random.Unit() < aShare) {
          this->CrashUpstream(one);
        }
      }
    });
  }

  void Run(Micros aUntil) {
    while (!this->events.empty() && this->events.top().at <= Instant{aUntil}) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.act();
    }
  }

  /// Unrelated attempts that were refused as blocked, and all of them.
  int refusedCount = 0;
  int unrelatedCount = 0;
  int poisonCrashes = 0;
  /// Sends of the poison request after all daemons knew of its third crash.
  int sentAfterBlock = 0;

 private:
  static constexpr Fingerprint kPoison{0};
  static constexpr int kRuns = 2;
  static constexpr int kAttempts = 3;
  static constexpr Micros kMaxReportDelay = 400ms;

  struct Request {
    Fingerprint fingerprint{};
    std::size_t daemon = 0;
    int runsLeft = 0;
    int attemptsLeft = 0;
    bool isPoison = false;
  };
  struct Running {
    Request request;
    std::size_t upstream = 0;
    Instant firstEventAt;
    bool isDone = false;
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

  Micros RandomBelow(Micros aMax) {
    return Micros{static_cast<std::int64_t>(this->random.Unit() *
                                            static_cast<double>(aMax.count()))};
  }
  void ScheduleAfter(Micros aDelay, std::function<void()> aAct) {
    this->events.push({this->now + aDelay, ++this->lastEvent, std::move(aAct)});
  }

  void Send(Request aRequest) {
    CrashTracker& tracker = this->trackers[aRequest.daemon];
    this->unrelatedCount += aRequest.isPoison ? 0 : 1;
    if (tracker.BlockedFor(aRequest.fingerprint, this->now) > Micros{0}) {
      this->refusedCount += aRequest.isPoison ? 0 : 1;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < this->upSince.size(); ++i) {
      if (this->upSince[i] <= this->now) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    if (aRequest.isPoison && this->blockedAt && this->now > *this->blockedAt) {
      this->sentAfterBlock += 1;
    }
    const std::size_t upstream = up[this->random.Below(up.size())];
    aRequest.runsLeft -= 1;
    const std::size_t number = this->running.size();
    this->running.push_back({aRequest, upstream,
                             this->now + 50ms + this->RandomBelow(200ms),
                             false});
    if (aRequest.isPoison) {
      this->ScheduleAfter(60ms, [this, number, upstream] {
        if (!this->running[number].isDone) {
          this->poisonCrashes += 1;
          this->CrashUpstream(upstream);
        }
      });
      return;
    }
    this->ScheduleAfter(1s + this->RandomBelow(4s),
                        [this, number] { this->Complete(number); });
  }

  void Complete(std::size_t aNumber) {
    Running& run = this->running[aNumber];
    if (run.isDone) {
      return;
    }
    run.isDone = true;
    const Fingerprint request = run.request.fingerprint;
    if (this->trackers[run.request.daemon].OnCompleted(request, this->now)) {
      this->Broadcast(run.request.daemon,
                      [request](CrashTracker& aTracker, Instant) {
                        aTracker.Clear(request);
                      });
    }
  }

  void CrashUpstream(std::size_t aUpstream) {
    if (this->upSince[aUpstream] > this->now) {
      return;
    }
    this->upSince[aUpstream] = this->now + 3s;
    this->incarnation += 1;
    for (std::size_t i = 0; i < this->running.size(); ++i) {
      Running& run = this->running[i];
      if (run.isDone || run.upstream != aUpstream) {
        continue;
      }
      run.isDone = true;
      if (this->now < run.firstEventAt) {
        this->RecordCrash({run.request.fingerprint, this->incarnation},
                          run.request.daemon);
      }
      this->Retry(run.request);
    }
  }

  void Retry(Request aRequest) {
    if (aRequest.runsLeft > 0) {
      this->ScheduleAfter(20ms, [this, aRequest] { this->Send(aRequest); });
    } else if (aRequest.attemptsLeft > 1) {
      aRequest.attemptsLeft -= 1;
      aRequest.runsLeft = kRuns;
      aRequest.daemon = this->random.Below(this->trackers.size());
      this->ScheduleAfter(400ms, [this, aRequest] { this->Send(aRequest); });
    }
  }

  void RecordCrash(const UpstreamCrash& aCrash, std::size_t aDaemon) {
    this->ScheduleAfter(5ms, [this, aCrash, aDaemon] {
      this->trackers[aDaemon].OnCrash(aCrash, this->now);
      if (aCrash.candidate == kPoison && this->poisonCrashes >= 3 &&
          !this->blockedAt) {
        this->blockedAt = this->now + kMaxReportDelay;
      }
      this->Broadcast(aDaemon, [aCrash](CrashTracker& aTracker, Instant aNow) {
        aTracker.OnCrash(aCrash, aNow);
      });
    });
  }

  void Broadcast(std::size_t aFrom,
                 const std::function<void(CrashTracker&, Instant)>& aUpdate) {
    for (std::size_t to = 0; to < this->trackers.size(); ++to) {
      if (to != aFrom) {
        this->ScheduleAfter(
            this->RandomBelow(kMaxReportDelay),
            [this, to, aUpdate] { aUpdate(this->trackers[to], this->now); });
      }
    }
  }

  Random random;
  Instant now{};
  std::vector<Instant> upSince;
  std::deque<CrashTracker> trackers;
  std::deque<Running> running;
  std::priority_queue<Event> events;
  std::uint64_t lastEvent = 0;
  std::uint64_t lastRequest = 0;
  std::uint64_t incarnation = 0;
  std::optional<Instant> blockedAt;
};

class CrashReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashReplayTest);
  CPPUNIT_TEST(Unrelated_BesidePoisonRequest_AreServed);
  CPPUNIT_TEST(Unrelated_WhenAThirdOfThePoolCrashes_AreServed);
  CPPUNIT_TEST(Poison_OnceBlocked_IsNotSent);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kTime = 20s;
  static constexpr double kPerSecond = 4;

  /// Checks that fewer than one in a thousand attempts is refused.
  static void CheckUnrelated(const CrashReplay& aReplay) {
    CPPUNIT_ASSERT(aReplay.unrelatedCount > 0);
    CPPUNIT_ASSERT(aReplay.refusedCount * 1000 < aReplay.unrelatedCount);
  }

 public:
  void Unrelated_BesidePoisonRequest_AreServed() {
    for (const std::size_t daemons : {6, 60, 300}) {
      CrashReplay replay(daemons, daemons);
      replay.SendUnrelated(kPerSecond, kTime);
      replay.SendPoison(4, kTime);
      replay.Run(kTime);
      CPPUNIT_ASSERT(replay.poisonCrashes >= 3);
      CheckUnrelated(replay);
    }
  }

  void Unrelated_WhenAThirdOfThePoolCrashes_AreServed() {
    for (const std::size_t daemons : {6, 60, 300}) {
      CrashReplay replay(daemons, daemons);
      replay.SendUnrelated(kPerSecond, kTime);
      for (const Micros at : {5s, 8s, 11s, 14s}) {
        replay.CrashShare(0.33, at);
      }
      replay.Run(kTime);
      CheckUnrelated(replay);
    }
  }

  void Poison_OnceBlocked_IsNotSent() {
    for (const std::size_t daemons : {6, 60, 300}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CrashReplay replay(daemons, seed);
        replay.SendPoison(8, kTime);
        replay.Run(kTime);
        CPPUNIT_ASSERT(replay.poisonCrashes >= 3);
        CPPUNIT_ASSERT_EQUAL(0, replay.sentAfterBlock);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReplayTest);

}  // namespace
}  // namespace zincstep
