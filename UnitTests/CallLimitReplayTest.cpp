// Many daemons that hear of a limit late, lose some words of it, and are
// restarted, send an upstream more together than it takes.

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

class ReplayClock final : public Clock {
 public:
  Instant Now() const override { return this->now; }
  void Pass(Micros aTime) { this->now += aTime; }

 private:
  Instant now{1h};
};

class CallLimitReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallLimitReplayTest);
  CPPUNIT_TEST(Calls_OfAnyNumberOfDaemons_StayBelowTheLimit);
  CPPUNIT_TEST(Calls_AtASteadyLimit_UseMostOfIt);
  CPPUNIT_TEST(Calls_AfterTheLimitHasEnded_AreUnlimitedAtAll);
  CPPUNIT_TEST(Calls_WhereThoseThatShareItHaveEnded_AreMadeByTheNext);
  CPPUNIT_TEST(Upstream_BackAfterItsLimitWasForgotten_MayBeCalled);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kStep = 20ms;
  static constexpr Micros kWindow = 4s;
  /// Time in which all daemons hear of a limit.
  static constexpr Micros kContact = 3s;
  static constexpr Micros kLongestLag = 300ms;
  static constexpr double kTolerance = 1.5;
  static constexpr double kSpare = 5;
  /// Share of the words between daemons that are lost.
  static constexpr double kLostWords = 0.05;
  static constexpr int kDomains = 3;

  struct Word {
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
  std::deque<Word> words;
  std::vector<Instant> calls;
  /// What the upstream names now.
  std::optional<double> named;

  static std::string DomainOf(std::size_t aDaemon) {
    return std::string(1, static_cast<char>('a' + aDaemon % kDomains));
  }

  void Begin(std::size_t aDaemon) {
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
    this->words.clear();
    this->calls.clear();
    this->named.reset();
    this->daemons.clear();
    for (std::size_t i = 0; i < aCount; ++i) {
      this->daemons.push_back(
          {"d" + std::to_string(i), DomainOf(i), nullptr, nullptr});
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      this->Begin(i);
    }
  }

  Micros Lag() {
    return Micros{static_cast<std::int64_t>(
        this->random.Below(static_cast<std::size_t>(kLongestLag.count())))};
  }

  void Broadcast(std::size_t aFrom, const std::vector<LimitNotice>& aNotices) {
    for (std::size_t to = 0; to < this->daemons.size(); ++to) {
      for (const LimitNotice& notice : aNotices) {
        if (to != aFrom && this->random.Unit() >= kLostWords) {
          this->words.push_back(
              {aFrom, to, notice, this->clock.Now() + this->Lag()});
        }
      }
    }
  }

  void Deliver() {
    std::deque<Word> later;
    std::deque<Word> all;
    all.swap(this->words);
    for (const Word& word : all) {
      Daemon& to = this->daemons[word.to];
      if (word.at > this->clock.Now()) {
        later.push_back(word);
      } else if (!to.isDown) {
        to.limits->OnPeerReport(to.upstream, word.notice,
                                this->daemons[word.from].name);
      }
    }
    this->words.insert(this->words.begin(), later.begin(), later.end());
  }

  /// Each daemon calls whenever it may; the answer comes within the step.
  void CallAll() {
    for (Daemon& daemon : this->daemons) {
      if (daemon.isDown || !daemon.upstream->MayCall(this->clock.Now())) {
        continue;
      }
      daemon.limits->OnCall(*daemon.upstream, UpstreamCall::Request);
      this->calls.push_back(this->clock.Now());
      daemon.limits->OnNotice(daemon.upstream, {this->named},
                              this->clock.Now() - 1ms);
    }
  }

  void Run(Micros aTime) {
    constexpr int kStepsATick = 12;
    const Instant end = this->clock.Now() + aTime;
    for (int step = 0; this->clock.Now() < end; ++step) {
      this->clock.Pass(kStep);
      this->Deliver();
      this->CallAll();
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const bool isDue =
            (static_cast<std::size_t>(step) + i) % kStepsATick == 0;
        if (isDue && !this->daemons[i].isDown) {
          this->daemons[i].limits->Tick();
        }
      }
    }
  }

  /// Most calls in any window that lies behind `aSince`.
  double MostCalls(Instant aSince) const {
    std::size_t most = 0;
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
        most = std::max(most, i - first + 1);
      }
    }
    return static_cast<double>(most);
  }

  static double Allowed(double aLimit) {
    return kTolerance * aLimit * ToSeconds(kWindow) + kSpare;
  }

 public:
  void Calls_OfAnyNumberOfDaemons_StayBelowTheLimit() {
    for (const std::size_t count : {3, 24, 73, 295}) {
      for (const double limit : {0.2, 1.0, 1.5, 8.0}) {
        this->Start(count);
        this->Run(200ms);
        this->named = limit;
        this->Run(kContact);
        const Instant since = this->clock.Now();
        this->Run(6s);
        // One daemon in eight begins anew and knows of nothing.
        for (std::size_t i = 0; i < count; i += 8) {
          this->Begin(i);
        }
        const Instant restarted = this->clock.Now();
        CPPUNIT_ASSERT(this->MostCalls(since) <= Allowed(limit));
        this->Run(kContact);
        const Instant again = this->clock.Now();
        this->Run(6s);
        CPPUNIT_ASSERT(again > restarted);
        CPPUNIT_ASSERT(this->MostCalls(again) <= Allowed(limit));
      }
    }
  }

  void Calls_AtASteadyLimit_UseMostOfIt() {
    constexpr double kUsed = 0.6;
    for (const std::size_t count : {3, 24, 295}) {
      for (const double limit : {1.0, 8.0}) {
        this->Start(count);
        this->named = limit;
        this->Run(kContact);
        const std::size_t before = this->calls.size();
        this->Run(20s);
        CPPUNIT_ASSERT(static_cast<double>(this->calls.size() - before) >=
                       kUsed * limit * 20);
      }
    }
  }

  void Calls_AfterTheLimitHasEnded_AreUnlimitedAtAll() {
    for (const std::size_t count : {3, 24, 295}) {
      this->Start(count);
      this->named = 1;
      this->Run(kContact);
      this->named.reset();
      // Those whose word of it was lost find out by their own calls, or by the
      // next word.
      this->Run(20s);
      const auto limited = std::count_if(
          this->daemons.begin(), this->daemons.end(), [&](const Daemon& aOne) {
            return !aOne.upstream->MayCall(this->clock.Now());
          });
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, limited);
    }
  }

  void Calls_WhereThoseThatShareItHaveEnded_AreMadeByTheNext() {
    for (const std::size_t count : {6, 24, 73}) {
      this->Start(count);
      this->named = 1;
      this->Run(kContact);
      // Whoever has called since may call it: these end, and stay listed.
      const Instant now = this->clock.Now();
      for (Daemon& daemon : this->daemons) {
        daemon.isDown = daemon.upstream->CallWait(now) < 5s;
      }
      const Instant since = this->clock.Now();
      this->Run(10s);
      const std::size_t before = this->calls.size();
      this->Run(20s);
      CPPUNIT_ASSERT(this->MostCalls(since) <= Allowed(1));
      // The next in line call it in their stead, where there are any.
      const bool hasNext = std::any_of(
          this->daemons.begin(), this->daemons.end(), [](const Daemon& aOne) {
            return !aOne.isDown && aOne.domain == "a";
          });
      CPPUNIT_ASSERT(!hasNext || this->calls.size() - before >= 10);
    }
  }

  void Upstream_BackAfterItsLimitWasForgotten_MayBeCalled() {
    this->Start(24);
    this->named = 1;
    this->Run(kContact);
    const UpstreamPtr upstream = this->daemons.back().upstream;
    CPPUNIT_ASSERT(!upstream->MayCall(this->clock.Now()));
    for (Daemon& daemon : this->daemons) {
      daemon.isDown = true;
    }
    upstream->SetDeregistered(this->clock.Now());
    this->clock.Pass(1min);
    this->daemons.back().limits->Tick();
    upstream->SetReregistered();
    CPPUNIT_ASSERT(upstream->MayCall(this->clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallLimitReplayTest);

}  // namespace
}  // namespace zincstep
