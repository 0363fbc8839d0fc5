#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Relay/RouteDurations.h"

namespace zincstep {
namespace {

class RouteDurationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteDurationsTest);
  CPPUNIT_TEST(Usual_FewRequests_IsNotKnown);
  CPPUNIT_TEST(Usual_ManyRequests_IsUpperQuantile);
  CPPUNIT_TEST(Usual_OldRequests_AreForgotten);
  CPPUNIT_TEST(Usual_BeyondAxis_IsUnbounded);
  CPPUNIT_TEST(Routes_BeyondMaximum_AreNotTracked);
  CPPUNIT_TEST_SUITE_END();

  RouteDurations durations{RouteDurationsSettings{}};
  Instant now{Micros{100s}};

  void Record(int aCount, Micros aDuration, const std::string& aRoute = "r") {
    for (int i = 0; i < aCount; ++i) {
      durations.OnEnded(aRoute, aDuration, now);
    }
  }

 public:
  void Usual_FewRequests_IsNotKnown() {
    this->Record(19, 100ms);
    CPPUNIT_ASSERT(!durations.Usual("r", now));
    this->Record(1, 100ms);
    CPPUNIT_ASSERT(durations.Usual("r", now));
    CPPUNIT_ASSERT(!durations.Usual("other", now));
  }

  void Usual_ManyRequests_IsUpperQuantile() {
    this->Record(985, 20ms);
    this->Record(15, 1900ms);
    const UsualDurations usual = durations.Usual("r", now).value();
    CPPUNIT_ASSERT(usual.nearlyAll >= 1900ms);
    CPPUNIT_ASSERT(usual.nearlyAll <= 1900ms * 6 / 5);
    CPPUNIT_ASSERT(usual.most >= 20ms);
    CPPUNIT_ASSERT(usual.most <= 24ms);
    this->Record(1000, 20ms);
    CPPUNIT_ASSERT(durations.Usual("r", now)->nearlyAll <= 24ms);
  }

  void Usual_OldRequests_AreForgotten() {
    this->Record(50, 1900ms);
    now += 29s;
    this->Record(50, 20ms);
    CPPUNIT_ASSERT(durations.Usual("r", now)->nearlyAll >= 1900ms);
    now += 29s;
    CPPUNIT_ASSERT(durations.Usual("r", now)->nearlyAll >= 1900ms);
    now += 3s;
    CPPUNIT_ASSERT(!durations.Usual("r", now));
    this->Record(50, 20ms);
    CPPUNIT_ASSERT(durations.Usual("r", now)->nearlyAll <= 24ms);
  }

  void Usual_BeyondAxis_IsUnbounded() {
    this->Record(50, 300s);
    CPPUNIT_ASSERT(durations.Usual("r", now)->nearlyAll == Micros::max());
    this->Record(50, Micros{10}, "fast");
    CPPUNIT_ASSERT(durations.Usual("fast", now)->nearlyAll <= 1ms);
  }

  void Routes_BeyondMaximum_AreNotTracked() {
    for (int route = 0; route < 1024; ++route) {
      this->Record(20, 20ms, "r" + std::to_string(route));
    }
    this->Record(20, 20ms, "late");
    CPPUNIT_ASSERT(!durations.Usual("late", now));
    now += 61s;
    this->Record(20, 20ms, "late");
    CPPUNIT_ASSERT(durations.Usual("late", now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteDurationsTest);

}  // namespace
}  // namespace zincstep
