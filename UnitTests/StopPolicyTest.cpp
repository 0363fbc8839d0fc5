#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Relay/StopPolicy.h"

namespace zincstep {
namespace {

class StopPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopPolicyTest);
  CPPUNIT_TEST(Takes_NotStopping_TakesAll);
  CPPUNIT_TEST(Takes_LateStream_IsRefused);
  CPPUNIT_TEST(Takes_ServiceWhileItCanEnd_IsTaken);
  CPPUNIT_TEST(ClosesResting_AfterTheBalancersNotice_IsTrue);
  CPPUNIT_TEST(MayEnd_RequestsLeft_WaitsForTheGrace);
  CPPUNIT_TEST(MayEnd_BeforeTheBalancersNotice_IsFalse);
  CPPUNIT_TEST_SUITE_END();

  StopPolicy policy{StopPolicySettings{}};
  Instant start{Micros{100s}};

 public:
  void Takes_NotStopping_TakesAll() {
    CPPUNIT_ASSERT(policy.Takes(true, start));
    CPPUNIT_ASSERT(!policy.IsStopping());
  }

  // darovna-ops, trouble-2: a stream that came 6.6 s after SIGTERM was
  // taken, and cut by the end of the grace.
  void Takes_LateStream_IsRefused() {
    policy.Begin(start);
    CPPUNIT_ASSERT(policy.Takes(true, start + 1s));
    CPPUNIT_ASSERT(!policy.Takes(true, start + 6600ms));
  }

  void Takes_ServiceWhileItCanEnd_IsTaken() {
    policy.Begin(start);
    CPPUNIT_ASSERT(policy.Takes(false, start + 5s));
    CPPUNIT_ASSERT(!policy.Takes(false, start + 7s));
  }

  void ClosesResting_AfterTheBalancersNotice_IsTrue() {
    CPPUNIT_ASSERT(!policy.ShouldCloseIdle(start));
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.ShouldCloseIdle(start + 1s));
    CPPUNIT_ASSERT(policy.ShouldCloseIdle(start + 3s));
  }

  void MayEnd_RequestsLeft_WaitsForTheGrace() {
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.CanExit(1, start + 7s));
    CPPUNIT_ASSERT(policy.CanExit(1, start + 7500ms));
  }

  void MayEnd_BeforeTheBalancersNotice_IsFalse() {
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.CanExit(0, start + 1s));
    CPPUNIT_ASSERT(policy.CanExit(0, start + 3s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopPolicyTest);

}  // namespace
}  // namespace zincstep
