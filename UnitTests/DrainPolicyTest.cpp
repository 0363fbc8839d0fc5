#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Entry/DrainPolicy.h"

namespace zincstep {
namespace {

/// Guards against a stopping daemon that accepts a request which may outlast
/// its drain limit.
class DrainPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainPolicyTest);
  CPPUNIT_TEST(Decide_DeadlineAtLimit_IsAccepted);
  CPPUNIT_TEST(Decide_DeadlineAfterLimit_IsRefused);
  CPPUNIT_TEST(Decide_EndUnknown_IsRefused);
  CPPUNIT_TEST(Decide_GraceIsOver_IsRefused);
  CPPUNIT_TEST(RefusesAll_LimitBeforeGrace_FromLimitOn);
  CPPUNIT_TEST(MustEndRequests_Serving_IsNever);
  CPPUNIT_TEST(MustEndRequests_Stopping_FromLimitOn);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  DrainPolicy policy{5s, 30s};

  Instant After(Micros aTime) const { return this->clock.Now() + aTime; }

 public:
  void setUp() override { this->policy.Begin(this->clock.Now()); }

  void Decide_DeadlineAtLimit_IsAccepted() {
    const DrainDecision decision =
        this->policy.Decide(this->After(30s), this->After(2s));
    CPPUNIT_ASSERT(decision.isAccepted);
    CPPUNIT_ASSERT(decision.sinceStop == 2s);
    CPPUNIT_ASSERT(decision.left == 28s);
    CPPUNIT_ASSERT(decision.bound == Micros{28s});
  }

  void Decide_DeadlineAfterLimit_IsRefused() {
    CPPUNIT_ASSERT(!this->policy.Decide(this->After(30s + 1us), this->After(2s))
                        .isAccepted);
  }

  void Decide_EndUnknown_IsRefused() {
    const DrainDecision decision =
        this->policy.Decide(std::nullopt, this->After(0s));
    CPPUNIT_ASSERT(!decision.isAccepted);
    CPPUNIT_ASSERT(!decision.bound);
  }

  void Decide_GraceIsOver_IsRefused() {
    const Instant deadline = this->After(6s);
    CPPUNIT_ASSERT(
        this->policy.Decide(deadline, this->After(5s - 1us)).isAccepted);
    CPPUNIT_ASSERT(!this->policy.Decide(deadline, this->After(5s)).isAccepted);
  }

  // With a grace over the limit, requests were accepted until its end.
  void RefusesAll_LimitBeforeGrace_FromLimitOn() {
    DrainPolicy shortLimit{5s, 3s};
    CPPUNIT_ASSERT(!shortLimit.RefusesAll(this->After(10s)));
    shortLimit.Begin(this->clock.Now());
    CPPUNIT_ASSERT(!shortLimit.RefusesAll(this->After(3s - 1us)));
    CPPUNIT_ASSERT(shortLimit.RefusesAll(this->After(3s)));
  }

  void MustEndRequests_Serving_IsNever() {
    const DrainPolicy serving{5s, 30s};
    CPPUNIT_ASSERT(!serving.MustEndRequests(this->After(60s)));
  }

  void MustEndRequests_Stopping_FromLimitOn() {
    CPPUNIT_ASSERT(!this->policy.MustEndRequests(this->After(30s - 1us)));
    CPPUNIT_ASSERT(this->policy.MustEndRequests(this->After(30s)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainPolicyTest);

}  // namespace
}  // namespace zincstep
