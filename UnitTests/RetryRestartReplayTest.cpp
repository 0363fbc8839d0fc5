#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <vector>

#include "Zincstep/Edge/EdgeComponents.h"

namespace zincstep {
namespace {

constexpr double kRatio = 0.2;
constexpr double kRequestsPerSecond = 9;
constexpr int kStepsPerSecond = 10;
constexpr int kSeconds = 60;
constexpr int kWindow = 10 * kStepsPerSecond;

/// Retries and requests of all daemons in one step.
struct ReplayStep {
  int retries = 0;
  double requests = 0;
};

/// Daemons of which each acquires every retry that its window permits, as if
/// upstreams failed all that they run.
class RetryReplay {
 public:
  RetryReplay(std::size_t aDaemons, double aSlack) : slack(aSlack) {
    this->daemons.resize(aDaemons, this->NewProcess(true));
  }

  /// Replaces a daemon's process, as a kill does.
  void Restart(std::size_t aDaemon) {
    this->daemons[aDaemon] = this->NewProcess(false);
  }

  /// Ends the last daemons; the others know of it at once.
  void Leave(std::size_t aCount) {
    this->daemons.resize(this->daemons.size() - aCount,
                         this->NewProcess(false));
  }

  std::size_t Daemons() const { return this->daemons.size(); }

  void Step() {
    ReplayStep step;
    this->arrivals += kRequestsPerSecond / kStepsPerSecond;
    for (std::size_t rank = 0; rank < this->daemons.size(); ++rank) {
      RetryWindow& retries = this->daemons[rank].retries;
      retries.SetBurst(this->daemons[rank].shares.Update(
          RetryShare(this->slack, {this->daemons.size(), rank}), this->now));
      for (double due = this->arrivals; due >= 1; due -= 1) {
        retries.OnRequest(this->now);
        step.requests += 1;
      }
      while (retries.TryAcquireRetry(this->now)) {
        step.retries += 1;
      }
    }
    this->arrivals -= static_cast<int>(this->arrivals);
    this->steps.push_back(step);
    this->now += Micros{1s} / kStepsPerSecond;
  }

  /// Returns by how many retries the worst window exceeds the limit; the
  /// requests of the window itself count alone.
  double MaxExcess() const {
    double worst = -this->slack;
    for (std::size_t end = kWindow; end <= this->steps.size(); ++end) {
      double excess = -this->slack;
      for (std::size_t i = end - kWindow; i < end; ++i) {
        excess += this->steps[i].retries - kRatio * this->steps[i].requests;
      }
      worst = std::max(worst, excess);
    }
    return worst;
  }

  int Retries() const {
    int all = 0;
    for (const ReplayStep& step : this->steps) {
      all += step.retries;
    }
    return all;
  }

 private:
  struct Process {
    RetryWindow retries;
    RetryShareHistory shares;
  };

  Process NewProcess(bool aIsFirstStart) const {
    EdgeSettings settings;
    settings.retryRatio = kRatio;
    settings.retrySlack = this->slack;
    settings.isFirstStart = aIsFirstStart;
    const RetryWindowSettings limit =
        MakeRelaySettings(settings, this->now).retries;
    return {RetryWindow(limit), RetryShareHistory(limit.window)};
  }

  double slack;
  Instant now{Micros{100s}};
  std::vector<Process> daemons;
  std::vector<ReplayStep> steps;
  double arrivals = 0;
};

/// Sizes of deployments with the slack that their operators grant.
struct Deployment {
  std::size_t daemons;
  double slack;
};

constexpr std::array kDeployments{Deployment{7, 198}, Deployment{26, 314},
                                  Deployment{87, 358}, Deployment{295, 1040}};

class RetryRestartReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryRestartReplayTest);
  CPPUNIT_TEST(Retries_NoRestart_UseMostOfTheSlack);
  CPPUNIT_TEST(Retries_AllRestartInOneWindow_StayWithinLimit);
  CPPUNIT_TEST(Retries_AllRestartEverySecond_StayWithinLimit);
  CPPUNIT_TEST(Retries_RollingRestart_StayWithinLimit);
  CPPUNIT_TEST(Retries_DaemonsLeave_StayWithinLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Retries_NoRestart_UseMostOfTheSlack() {
    for (const Deployment& deployment : kDeployments) {
      RetryReplay replay(deployment.daemons, deployment.slack);
      replay.Step();
      CPPUNIT_ASSERT(replay.Retries() >= 0.5 * deployment.slack);
      for (int step = 1; step < kSeconds * kStepsPerSecond; ++step) {
        replay.Step();
      }
      CPPUNIT_ASSERT(replay.MaxExcess() <= 0);
    }
  }

  void Retries_AllRestartInOneWindow_StayWithinLimit() {
    this->Play([](RetryReplay& aReplay, std::size_t aDaemons, int aStep) {
      if (aStep == 5 * kStepsPerSecond || aStep == 30 * kStepsPerSecond) {
        RestartAll(aReplay, aDaemons);
      }
    });
  }

  void Retries_AllRestartEverySecond_StayWithinLimit() {
    this->Play([](RetryReplay& aReplay, std::size_t aDaemons, int aStep) {
      if (aStep % kStepsPerSecond == 0) {
        RestartAll(aReplay, aDaemons);
      }
    });
  }

  void Retries_RollingRestart_StayWithinLimit() {
    this->Play([](RetryReplay& aReplay, std::size_t aDaemons, int aStep) {
      aReplay.Restart(static_cast<std::size_t>(aStep) % aDaemons);
    });
  }

  void Retries_DaemonsLeave_StayWithinLimit() {
    this->Play([](RetryReplay& aReplay, std::size_t, int aStep) {
      if (aStep % (2 * kStepsPerSecond) == 0 && aReplay.Daemons() > 8) {
        aReplay.Leave(aReplay.Daemons() / 3);
      }
    });
  }

 private:
  static void RestartAll(RetryReplay& aReplay, std::size_t aDaemons) {
    for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
      aReplay.Restart(daemon);
    }
  }

  template <class Fault>
  void Play(const Fault& aFault) {
    for (const Deployment& deployment : kDeployments) {
      RetryReplay replay(deployment.daemons, deployment.slack);
      for (int step = 0; step < kSeconds * kStepsPerSecond; ++step) {
        if (step > 0) {
          aFault(replay, deployment.daemons, step);
        }
        replay.Step();
      }
      CPPUNIT_ASSERT(replay.MaxExcess() <= 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryRestartReplayTest);

}  // namespace
}  // namespace zincstep
