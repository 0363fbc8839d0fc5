// Guards against a group of daemons that together send an upstream more calls
// than its limit allows, because notices of the limit arrive late or are lost,
// or daemons restart.

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

class ReplayClock final : public Clock {
 public:
  Instant Now() const override { return this->now; }
  void Advance(Micros aTime) { this->now += aTime; }

 private:
  Instant now{1h};
};

class CallLimitReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallLimitReplayTest);
  CPPUNIT_TEST(Calls_AnyNumberOfDaemons_StayBelowLimit);
  CPPUNIT_TEST(Calls_SteadyLimit_UseMostOfIt);
  CPPUNIT_TEST(Calls_LimitEnded_AreUnlimitedOnAllDaemons);
  CPPUNIT_TEST(Calls_SharersStopped_AreMadeByNextGroup);
  CPPUNIT_TEST(MayCall_ReregisteredAfterLimitExpired_IsTrue);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kStep = 20ms;
  static constexpr Micros kWindow = 4s;
  /// Time within which all daemons learn of a limit.
  static constexpr Micros kPropagationTime = 3s;
  static constexpr Micros kMaxLag = 300ms;
  static constexpr double kTolerance = 1.5;
  static constexpr double kMarginCalls = 5;
  /// Share of the messages between daemons that are lost.
  static constexpr double kLostMessageShare = 0.05;
  static constexpr int kDomains = 3;

  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    LimitNotice notice;
    Instant at;
  };

  struct Daemon {
    std::string name;
    std::string domain;
    UpstreamPtr upstream;
    std::unique_ptr<CallLimits> limits;
    bool isDown = false;
  };

  ReplayClock clock;
  Random random{5};
  Metrics metrics;
  std::vector<Daemon> daemons;
  std::deque<Message> messages;
  std::vector<Instant> calls;
  /// Limit that the upstream states now, in calls per second.
  std::optional<double> statedLimit;

  static std::string DomainOf(std::size_t aDaemon) {
    return std::string(1, static_cast<char>('a' + aDaemon % kDomains));
  }

  void StartDaemon(std::size_t aDaemon) {
    Daemon& daemon = this->daemons[aDaemon];
    UpstreamEntry entry;
    entry.id = "limited";
    entry.failureDomain = "a";
    daemon.upstream = std::make_shared<LiveUpstream>(entry);
    CallLimitSettings settings;
    settings.ownName = daemon.name;
    settings.ownDomain = daemon.domain;
    daemon.limits = std::make_unique<CallLimits>(
        settings, this->clock, this->metrics,
        [this, aDaemon](const std::vector<LimitNotice>& aNotices) {
          this->Broadcast(aDaemon, aNotices);
        });
    std::map<std::string, std::string> others;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (i != aDaemon) {
        others[this->daemons[i].name] = DomainOf(i);
      }
    }
    daemon.limits->SetDaemons(std::move(others));
  }

  void Start(std::size_t aCount) {
    this->messages.clear();
    this->calls.clear();
    this->statedLimit.reset();
    this->daemons.clear();
    for (std::size_t i = 0; i < aCount; ++i) {
      this->daemons.push_back(
          {"d" + std::to_string(i), DomainOf(i), nullptr, nullptr});
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      this->StartDaemon(i);
    }
  }

  Micros Lag() {
    return Micros{static_cast<std::int64_t>(
        this->random.Below(static_cast<std::size_t>(kMaxLag.count())))};
  }

  void Broadcast(std::size_t aFrom, const std::vector<LimitNotice>& aNotices) {
    for (std::size_t to = 0; to < this->daemons.size(); ++to) {
      for (const LimitNotice& notice : aNotices) {
        if (to != aFrom && this->random.Unit() >= kLostMessageShare) {
          this->messages.push_back(
              {aFrom, to, notice, this->clock.Now() + this->Lag()});
        }
      }
    }
  }

  void Deliver() {
    std::deque<Message> later;
    std::deque<Message> all;
    all.swap(this->messages);
    for (const Message& message : all) {
      Daemon& to = this->daemons[message.to];
      if (message.at > this->clock.Now()) {
        later.push_back(message);
      } else if (!to.isDown) {
        to.limits->OnPeerReport(to.upstream, message.notice,
                                this->daemons[message.from].name);
      }
    }
    this->messages.insert(this->messages.begin(), later.begin(), later.end());
  }

  /// Each daemon calls whenever it may; the response arrives within the same
  /// step.
  void CallAll() {
    for (Daemon& daemon : this->daemons) {
      if (daemon.isDown || !daemon.upstream->MayCall(this->clock.Now())) {
        continue;
      }
      daemon.limits->OnCall(*daemon.upstream, UpstreamCall::Request);
      this->calls.push_back(this->clock.Now());
      daemon.limits->OnNotice(daemon.upstream, {this->statedLimit},
                              this->clock.Now() - 1ms);
    }
  }

  void Run(Micros aTime) {
    constexpr int kStepsPerTick = 12;
    const Instant end = this->clock.Now() + aTime;
    for (int step = 0; this->clock.Now() < end; ++step) {
      this->clock.Advance(kStep);
      this->Deliver();
      this->CallAll();
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const bool isDue =
            (static_cast<std::size_t>(step) + i) % kStepsPerTick == 0;
        if (isDue && !this->daemons[i].isDown) {
          this->daemons[i].limits->Tick();
        }
      }
    }
  }

  /// Maximum number of calls in any window that starts after `aSince`.
  double MaxCalls(Instant aSince) const {
    std::size_t maxCalls = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < this->calls.size(); ++i) {
      while (this->calls[first] <= this->calls[i] - kWindow ||
             this->calls[first] < aSince) {
        if (first == i) {
          break;
        }
        first += 1;
      }
      if (this->calls[i] >= aSince) {
        maxCalls = std::max(maxCalls, i - first + 1);
      }
    }
    return static_cast<double>(maxCalls);
  }

  static double Allowed(double aLimit) {
    return kTolerance * aLimit * ToSeconds(kWindow) + kMarginCalls;
  }

 public:
  void Calls_AnyNumberOfDaemons_StayBelowLimit() {
    for (const std::size_t count : {3, 24, 73, 295}) {
      for (const double limit : {0.2, 1.0, 1.5, 8.0}) {
        this->Start(count);
        this->Run(200ms);
        this->statedLimit = limit;
        this->Run(kPropagationTime);
        const Instant since = this->clock.Now();
        this->Run(6s);
        // One daemon in eight restarts without any state.
        for (std::size_t i = 0; i < count; i += 8) {
          this->StartDaemon(i);
        }
        const Instant restarted = this->clock.Now();
        CPPUNIT_ASSERT(this->MaxCalls(since) <= Allowed(limit));
        this->Run(kPropagationTime);
        const Instant again = this->clock.Now();
        this->Run(6s);
        CPPUNIT_ASSERT(again > restarted);
        CPPUNIT_ASSERT(this->MaxCalls(again) <= Allowed(limit));
      }
    }
  }

  void Calls_SteadyLimit_UseMostOfIt() {
    constexpr double kMinUsedShare = 0.6;
    for (const std::size_t count : {3, 24, 295}) {
      for (const double limit : {1.0, 8.0}) {
        this->Start(count);
        this->statedLimit = limit;
        this->Run(kPropagationTime);
        const std::size_t before = this->calls.size();
        this->Run(20s);
        CPPUNIT_ASSERT(static_cast<double>(this->calls.size() - before) >=
                       kMinUsedShare * limit * 20);
      }
    }
  }

  void Calls_LimitEnded_AreUnlimitedOnAllDaemons() {
    for (const std::size_t count : {3, 24, 295}) {
      this->Start(count);
      this->statedLimit = 1;
      this->Run(kPropagationTime);
      this->statedLimit.reset();
      // Daemons that lost the notice learn of it by their own calls or by the
      // next notice.
      this->Run(20s);
      const auto limited = std::count_if(
          this->daemons.begin(), this->daemons.end(), [&](const Daemon& aOne) {
            return !aOne.upstream->MayCall(this->clock.Now());
          });
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, limited);
    }
  }

  void Calls_SharersStopped_AreMadeByNextGroup() {
    for (const std::size_t count : {6, 24, 73}) {
      this->Start(count);
      this->statedLimit = 1;
      this->Run(kPropagationTime);
      // Daemons that may call the upstream stop, and remain in the list of
      // daemons.
      const Instant now = this->clock.Now();
      for (Daemon& daemon : this->daemons) {
        daemon.isDown = daemon.upstream->CallWait(now) < 5s;
      }
      const Instant since = this->clock.Now();
      this->Run(10s);
      const std::size_t before = this->calls.size();
      this->Run(20s);
      CPPUNIT_ASSERT(this->MaxCalls(since) <= Allowed(1));
      // The next group of daemons takes over if there is one.
      const bool hasNext = std::any_of(
          this->daemons.begin(), this->daemons.end(), [](const Daemon& aOne) {
            return !aOne.isDown && aOne.domain == "a";
          });
      CPPUNIT_ASSERT(!hasNext || this->calls.size() - before >= 10);
    }
  }

  void MayCall_ReregisteredAfterLimitExpired_IsTrue() {
    this->Start(24);
    this->statedLimit = 1;
    this->Run(kPropagationTime);
    const UpstreamPtr upstream = this->daemons.back().upstream;
    CPPUNIT_ASSERT(!upstream->MayCall(this->clock.Now()));
    for (Daemon& daemon : this->daemons) {
      daemon.isDown = true;
    }
    upstream->SetDeregistered(this->clock.Now());
    this->clock.Advance(1min);
    this->daemons.back().limits->Tick();
    upstream->SetReregistered();
    CPPUNIT_ASSERT(upstream->MayCall(this->clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallLimitReplayTest);

}  // namespace
}  // namespace zincstep
