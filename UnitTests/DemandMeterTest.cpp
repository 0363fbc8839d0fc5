#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

class DemandMeterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandMeterTest);
  CPPUNIT_TEST(Tokens_SteadyArrivals_AreRateTimesResponseTime);
  CPPUNIT_TEST(Tokens_AllRefused_StillShowDemand);
  CPPUNIT_TEST(Tokens_FewResponses_AreUnknown);
  CPPUNIT_TEST(UsualFirstEvent_QueuedRequests_AreLeftOut);
  CPPUNIT_TEST(UsualFirstEvent_OneLateRequest_RaisesItLittle);
  CPPUNIT_TEST(Peak_ManyDaemons_IsTheirSum);
  CPPUNIT_TEST(Peak_NewLeader_IsUnknownAtFirst);
  CPPUNIT_TEST(Peak_DemandFalls_DecaysSlowly);
  CPPUNIT_TEST(Peak_DaemonWithoutReports_IsDropped);
  CPPUNIT_TEST(ByDomain_ReportsWithDomains_AreSummedByDomain);
  CPPUNIT_TEST(ByDomain_OlderDaemonAmongReporters_IsUnknown);
  CPPUNIT_TEST(ByDomain_CallersMove_KeepsDecayingPeak);
  CPPUNIT_TEST(ByDomain_DemandGrows_HasTrend);
  CPPUNIT_TEST(ByDomain_DaemonJoins_IsNoTrend);
  CPPUNIT_TEST(ByDomain_FormerLeader_CollectsAgain);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  DemandMeter meter;
  DemandSum sum;

  /// Ten requests per second of 900 tokens each, completed after three seconds
  /// if `aAreCompleted`.
  void Run(int aSeconds, bool aAreCompleted) {
    for (int i = 0; i < aSeconds * 10; ++i) {
      clock.Advance(100ms);
      meter.OnRequest(900, clock.Now());
      if (aAreCompleted) {
        meter.OnCompleted(3s);
      }
    }
  }

  /// Reports that demand once per second.
  void Report(const std::string& aDaemon, double aTokens, int aSeconds) {
    for (int i = 0; i < aSeconds; ++i) {
      clock.Advance(1s);
      sum.Update(aDaemon, aTokens, clock.Now());
    }
  }

  /// One report of each of two daemons, in the domains `x` and `y`.
  void ReportBoth(double aTokensOfX, double aTokensOfY) {
    clock.Advance(1s);
    sum.Update("a", aTokensOfX, clock.Now(), "x");
    sum.Update("b", aTokensOfY, clock.Now(), "y");
  }

  std::map<std::string, DomainDemand> ByDomain() {
    return sum.Peak(clock.Now()).value_or(ObservedDemand{}).byDomain;
  }

 public:
  // Guards against counting the queue twice: once in the usual time, once in
  // the expected wait.
  void UsualFirstEvent_QueuedRequests_AreLeftOut() {
    for (int i = 0; i < 20; ++i) {
      meter.OnFirstEvent(100ms, 0ms);
      meter.OnFirstEvent(700ms, 600ms);
    }
    CPPUNIT_ASSERT(meter.UsualFirstEvent() == Micros{100ms});
  }

  void UsualFirstEvent_OneLateRequest_RaisesItLittle() {
    CPPUNIT_ASSERT(meter.UsualFirstEvent() == Micros{0});
    for (int i = 0; i < 40; ++i) {
      meter.OnFirstEvent(100ms, 0ms);
    }
    meter.OnFirstEvent(5s, 0ms);
    CPPUNIT_ASSERT(meter.UsualFirstEvent() < Micros{115ms});
  }

  void Tokens_SteadyArrivals_AreRateTimesResponseTime() {
    this->Run(10, true);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(27'000, meter.Tokens(clock.Now()).value(),
                                 2'000);
    this->Run(10, true);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(27'000, meter.Tokens(clock.Now()).value(),
                                 2'000);
  }

  void Tokens_AllRefused_StillShowDemand() {
    this->Run(10, true);
    this->Run(10, false);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(27'000, meter.Tokens(clock.Now()).value(),
                                 2'000);
  }

  void Tokens_FewResponses_AreUnknown() {
    this->Run(10, false);
    CPPUNIT_ASSERT(!meter.Tokens(clock.Now()));
  }

  void Peak_ManyDaemons_IsTheirSum() {
    for (int i = 0; i < 4; ++i) {
      clock.Advance(1s);
      sum.Update("a", 1000, clock.Now());
      sum.Update("b", 500, clock.Now());
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1500, sum.Peak(clock.Now())->tokens, 1e-6);
  }

  // A new leader has not received the reports of all other daemons.
  void Peak_NewLeader_IsUnknownAtFirst() {
    CPPUNIT_ASSERT(!sum.Peak(clock.Now()));
    this->Report("a", 1000, 1);
    CPPUNIT_ASSERT(!sum.Peak(clock.Now()));
    this->Report("a", 1000, 3);
    CPPUNIT_ASSERT(sum.Peak(clock.Now()).has_value());
  }

  void Peak_DemandFalls_DecaysSlowly() {
    this->Report("a", 1000, 4);
    CPPUNIT_ASSERT(sum.Peak(clock.Now()).has_value());
    this->Report("a", 100, 20);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, sum.Peak(clock.Now())->tokens, 20);
  }

  void Peak_DaemonWithoutReports_IsDropped() {
    this->Report("a", 1000, 4);
    clock.Advance(120s);
    this->Report("b", 10, 4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, sum.Peak(clock.Now())->tokens, 1);
  }

  void ByDomain_ReportsWithDomains_AreSummedByDomain() {
    for (int i = 0; i < 4; ++i) {
      this->ReportBoth(1000, 200);
      sum.Update("c", 500, clock.Now(), "x");
    }
    const auto byDomain = this->ByDomain();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, byDomain.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1500, byDomain.at("x").current, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1500, byDomain.at("x").peak, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, byDomain.at("y").peak, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1700, sum.Peak(clock.Now())->tokens, 1e-6);
  }

  // Guards against planning for a part of the callers during an update of the
  // daemons: those of an older version would seem to have no demand.
  void ByDomain_OlderDaemonAmongReporters_IsUnknown() {
    for (int i = 0; i < 4; ++i) {
      this->ReportBoth(1000, 200);
      sum.Update("old", 500, clock.Now());
    }
    CPPUNIT_ASSERT(this->ByDomain().empty());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1700, sum.Peak(clock.Now())->tokens, 1e-6);
    for (int i = 0; i < 4; ++i) {
      this->ReportBoth(1000, 200);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->ByDomain().size());
  }

  // Callers that move to another domain may return within seconds.
  void ByDomain_CallersMove_KeepsDecayingPeak() {
    for (int i = 0; i < 4; ++i) {
      this->ReportBoth(1000, 200);
    }
    CPPUNIT_ASSERT(!this->ByDomain().empty());
    for (int i = 0; i < 4; ++i) {
      this->ReportBoth(400, 800);
    }
    const auto byDomain = this->ByDomain();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(870, byDomain.at("x").peak, 10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(400, byDomain.at("x").current, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(800, byDomain.at("y").peak, 1e-6);
  }

  void ByDomain_DemandGrows_HasTrend() {
    for (int i = 0; i < 8; ++i) {
      this->ReportBoth(1000 + 100 * i, 900 - 50 * i);
    }
    const auto byDomain = this->ByDomain();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, byDomain.at("x").trend, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(-50, byDomain.at("y").trend, 1e-6);
  }

  // Guards against a trend from reports that begin: after the start of a leader
  // or of a daemon the sum grows, and the demand does not.
  void ByDomain_DaemonJoins_IsNoTrend() {
    for (int i = 0; i < 6; ++i) {
      this->ReportBoth(1000, 200);
      if (i >= 3) {
        sum.Update("new", 700, clock.Now(), "x");
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, this->ByDomain().at("x").trend, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1700, this->ByDomain().at("x").current, 1e-6);
  }

  // Guards against targets from the first few reports: a daemon that becomes
  // the leader again has collected reports before, but none meanwhile.
  void ByDomain_FormerLeader_CollectsAgain() {
    for (int i = 0; i < 4; ++i) {
      this->ReportBoth(1000, 200);
    }
    CPPUNIT_ASSERT(!this->ByDomain().empty());
    clock.Advance(60s);
    sum.Update("a", 1000, clock.Now(), "x");
    CPPUNIT_ASSERT(this->ByDomain().empty());
    for (int i = 0; i < 3; ++i) {
      this->ReportBoth(1000, 200);
    }
    CPPUNIT_ASSERT(!this->ByDomain().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandMeterTest);

}  // namespace
}  // namespace zincstep
