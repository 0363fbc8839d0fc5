#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

class DemandMeterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandMeterTest);
  CPPUNIT_TEST(Tokens_SteadyArrivals_AreRateTimesAnswerTime);
  CPPUNIT_TEST(Tokens_AllRefused_StillShowTheDemand);
  CPPUNIT_TEST(Tokens_FewAnswers_AreUnknown);
  CPPUNIT_TEST(Peak_ManyDaemons_IsTheirSum);
  CPPUNIT_TEST(Peak_NewHolder_IsUnknownAtFirst);
  CPPUNIT_TEST(Peak_DemandFalls_DecaysSlowly);
  CPPUNIT_TEST(Peak_SilentDaemon_IsForgotten);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  DemandMeter meter;
  DemandSum sum;

  /// Ten requests a second of 900 tokens, answered after three seconds.
  void Run(int aSeconds, bool aAnswered) {
    for (int i = 0; i < aSeconds * 10; ++i) {
      clock.Advance(100ms);
      meter.OnRequest(900, clock.Now());
      if (aAnswered) {
        meter.OnCompleted(3s);
      }
    }
  }

  /// Tells that much each second.
  void Tell(const std::string& aDaemon, double aTokens, int aSeconds) {
    for (int i = 0; i < aSeconds; ++i) {
      clock.Advance(1s);
      sum.Update(aDaemon, aTokens, clock.Now());
    }
  }

 public:
  void Tokens_SteadyArrivals_AreRateTimesAnswerTime() {
    this->Run(10, true);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(27'000, meter.Tokens(clock.Now()).value(),
                                 2'000);
    this->Run(10, true);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(27'000, meter.Tokens(clock.Now()).value(),
                                 2'000);
  }

  void Tokens_AllRefused_StillShowTheDemand() {
    this->Run(10, true);
    this->Run(10, false);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(27'000, meter.Tokens(clock.Now()).value(),
                                 2'000);
  }

  void Tokens_FewAnswers_AreUnknown() {
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

  // A daemon that has just taken the duty has not heard of all others.
  void Peak_NewHolder_IsUnknownAtFirst() {
    CPPUNIT_ASSERT(!sum.Peak(clock.Now()));
    this->Tell("a", 1000, 1);
    CPPUNIT_ASSERT(!sum.Peak(clock.Now()));
    this->Tell("a", 1000, 3);
    CPPUNIT_ASSERT(sum.Peak(clock.Now()).has_value());
  }

  void Peak_DemandFalls_DecaysSlowly() {
    this->Tell("a", 1000, 4);
    CPPUNIT_ASSERT(sum.Peak(clock.Now()).has_value());
    this->Tell("a", 100, 20);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, sum.Peak(clock.Now())->tokens, 20);
  }

  void Peak_SilentDaemon_IsForgotten() {
    this->Tell("a", 1000, 4);
    clock.Advance(120s);
    this->Tell("b", 10, 4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, sum.Peak(clock.Now())->tokens, 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandMeterTest);

}  // namespace
}  // namespace zincstep
