#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Relay/StopPolicy.h"

namespace zincstep {
namespace {

class StopPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopPolicyTest);
  CPPUNIT_TEST(Accepts_NotStopping_IsTrue);
  CPPUNIT_TEST(Accepts_LateStream_IsFalse);
  CPPUNIT_TEST(Accepts_ServiceRequestThatCanComplete_IsTrue);
  CPPUNIT_TEST(ShouldCloseIdle_AfterBalancerRemoval_IsTrue);
  CPPUNIT_TEST(CanExit_ActiveRequests_WaitsForGracePeriod);
  CPPUNIT_TEST(CanExit_BeforeBalancerRemoval_IsFalse);
  CPPUNIT_TEST_SUITE_END();

  StopPolicy policy{StopPolicySettings{}};
  Instant start{Micros{100s}};

 public:
  void Accepts_NotStopping_IsTrue() {
    CPPUNIT_ASSERT(policy.Accepts(true, start));
    CPPUNIT_ASSERT(!policy.IsStopping());
  }

  // Guards against accepting a stream too late: one that arrived 6.6 s after
  // SIGTERM was truncated at the end of the grace period.
  void Accepts_LateStream_IsFalse() {
    policy.Begin(start);
    CPPUNIT_ASSERT(policy.Accepts(true, start + 1s));
    CPPUNIT_ASSERT(!policy.Accepts(true, start + 6600ms));
  }

  void Accepts_ServiceRequestThatCanComplete_IsTrue() {
    policy.Begin(start);
    CPPUNIT_ASSERT(policy.Accepts(false, start + 5s));
    CPPUNIT_ASSERT(!policy.Accepts(false, start + 7s));
  }

  void ShouldCloseIdle_AfterBalancerRemoval_IsTrue() {
    CPPUNIT_ASSERT(!policy.ShouldCloseIdle(start));
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.ShouldCloseIdle(start + 1s));
    CPPUNIT_ASSERT(policy.ShouldCloseIdle(start + 3s));
  }

  void CanExit_ActiveRequests_WaitsForGracePeriod() {
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.CanExit(1, start + 7s));
    CPPUNIT_ASSERT(policy.CanExit(1, start + 7500ms));
  }

  void CanExit_BeforeBalancerRemoval_IsFalse() {
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.CanExit(0, start + 1s));
    CPPUNIT_ASSERT(policy.CanExit(0, start + 3s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopPolicyTest);

}  // namespace
}  // namespace zincstep
