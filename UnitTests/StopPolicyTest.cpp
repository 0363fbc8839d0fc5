#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Relay/StopPolicy.h"

namespace zincstep {
namespace {

class StopPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopPolicyTest);
  CPPUNIT_TEST(Accepts_NotStopping_IsTrue);
  CPPUNIT_TEST(Accepts_LateStream_IsFalse);
  CPPUNIT_TEST(Accepts_ServiceRequestThatCanComplete_IsTrue);
  CPPUNIT_TEST(Accepts_OrderOfLongTimeout_OnlyIfItEndsInAnyCase);
  CPPUNIT_TEST(Accepts_RepeatableRequest_ByUsualDuration);
  CPPUNIT_TEST(MayBeginRun_LateStreamOrOrder_OnlyIfItEndsInAnyCase);
  CPPUNIT_TEST(ShouldCloseIdle_AfterBalancerRemoval_IsTrue);
  CPPUNIT_TEST(ShouldCloseIdle_SignalSeenLate_CountsFromNotReady);
  CPPUNIT_TEST(CanExit_ActiveRequests_WaitsForKill);
  CPPUNIT_TEST(CanExit_BeforeBalancerRemoval_IsFalse);
  CPPUNIT_TEST(CanExit_ResponseNotSent_WaitsForKill);
  CPPUNIT_TEST_SUITE_END();

  StopPolicy policy{StopPolicySettings{}};
  Instant start{Micros{100s}};

  static ExpectedDuration Stream() { return {20s, std::nullopt, true, true}; }
  static ExpectedDuration Request(std::optional<UsualDurations> aUsual) {
    return {6s, aUsual, true, false};
  }
  static ExpectedDuration Order(Micros aTimeout) {
    return {aTimeout, UsualDurations{20ms, 30ms}, false, false};
  }

 public:
  void Accepts_NotStopping_IsTrue() {
    CPPUNIT_ASSERT(policy.Accepts(Stream(), start));
    CPPUNIT_ASSERT(policy.Accepts(Order(60s), start));
    CPPUNIT_ASSERT(!policy.IsStopping());
  }

  // Guards against accepting a stream too late: one that arrived 6.6 s after
  // SIGTERM was truncated at the end of the grace period.
  void Accepts_LateStream_IsFalse() {
    policy.Begin(start);
    CPPUNIT_ASSERT(policy.Accepts(Stream(), start + 1s));
    CPPUNIT_ASSERT(!policy.Accepts(Stream(), start + 6600ms));
  }

  void Accepts_ServiceRequestThatCanComplete_IsTrue() {
    policy.Begin(start);
    CPPUNIT_ASSERT(policy.Accepts(Request({}), start + 5s));
    CPPUNIT_ASSERT(!policy.Accepts(Request({}), start + 7s));
  }

  // Guards against a fixed time for all requests: an order that took 1.9 s of
  // its 2 s was accepted 1.5 s before the end.
  void Accepts_OrderOfLongTimeout_OnlyIfItEndsInAnyCase() {
    policy.Begin(start);
    for (const Micros timeout : {200ms, 2000ms, 7400ms, 20000ms}) {
      for (Micros since{0}; since < 8s; since += 100ms) {
        const bool canEnd = since + timeout <= 7500ms;
        CPPUNIT_ASSERT_EQUAL(canEnd,
                             policy.Accepts(Order(timeout), start + since));
      }
    }
  }

  void Accepts_RepeatableRequest_ByUsualDuration() {
    policy.Begin(start);
    const UsualDurations fast{20ms, 100ms};
    CPPUNIT_ASSERT(policy.Accepts(Request(fast), start + 7300ms));
    CPPUNIT_ASSERT(!policy.Accepts(Request(fast), start + 7450ms));
    const UsualDurations slow{4s, 5s};
    // As long as the balancer sends new connections, most have to end.
    CPPUNIT_ASSERT(policy.Accepts(Request(slow), start + 2500ms));
    CPPUNIT_ASSERT(!policy.Accepts(Request(slow), start + 2700ms));
    // Its deadline ends it earlier than usual.
    CPPUNIT_ASSERT(
        policy.Accepts(Request(UsualDurations{60s, 90s}), start + 1s));
  }

  // Guards against a run that was begun by a decision taken at the admission,
  // seconds before, and was truncated at the exit.
  void MayBeginRun_LateStreamOrOrder_OnlyIfItEndsInAnyCase() {
    CPPUNIT_ASSERT(policy.MayBeginRun(Stream(), start));
    policy.Begin(start);
    for (const ExpectedDuration& bound : {Stream(), Order(20s)}) {
      CPPUNIT_ASSERT(policy.MayBeginRun(bound, start + 2500ms));
      CPPUNIT_ASSERT(!policy.MayBeginRun(bound, start + 2600ms));
    }
    CPPUNIT_ASSERT(policy.MayBeginRun(Order(1s), start + 6500ms));
    CPPUNIT_ASSERT(!policy.MayBeginRun(Order(1s), start + 6501ms));
    CPPUNIT_ASSERT(policy.MayBeginRun(Request({}), start + 7400ms));
  }

  void ShouldCloseIdle_AfterBalancerRemoval_IsTrue() {
    CPPUNIT_ASSERT(!policy.ShouldCloseIdle(start));
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.ShouldCloseIdle(start + 1s));
    CPPUNIT_ASSERT(policy.ShouldCloseIdle(start + 3s));
  }

  // Guards against closing connections that the balancer still uses, as it
  // counts from the first check that failed, and against accepting late what a
  // kill that counts from the signal would cut.
  void ShouldCloseIdle_SignalSeenLate_CountsFromNotReady() {
    const Micros held = 2s;
    policy.Begin(start, start + held);
    CPPUNIT_ASSERT(!policy.ShouldCloseIdle(start + 2600ms));
    CPPUNIT_ASSERT(!policy.CanExit(0, 0, start + 2600ms));
    CPPUNIT_ASSERT(policy.ShouldCloseIdle(start + held + 2600ms));
    CPPUNIT_ASSERT(!policy.Accepts(Stream(), start + 2600ms));
    CPPUNIT_ASSERT(policy.MustEndRequests(start + 7500ms));
    CPPUNIT_ASSERT(policy.MustExit(start + 7900ms));
  }

  // Guards against exiting before a request that was just handed over is ended.
  void CanExit_ActiveRequests_WaitsForKill() {
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.CanExit(1, 0, start + 7s));
    CPPUNIT_ASSERT(!policy.CanExit(1, 0, start + 7500ms));
    CPPUNIT_ASSERT(policy.CanExit(0, 0, start + 7500ms));
    CPPUNIT_ASSERT(!policy.CanExit(1, 0, start + 7899ms));
    CPPUNIT_ASSERT(policy.CanExit(1, 0, start + 7900ms));
  }

  void CanExit_BeforeBalancerRemoval_IsFalse() {
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.CanExit(0, 0, start + 1s));
    CPPUNIT_ASSERT(policy.CanExit(0, 0, start + 3s));
  }

  void CanExit_ResponseNotSent_WaitsForKill() {
    policy.Begin(start);
    CPPUNIT_ASSERT(!policy.CanExit(0, 1, start + 3s));
    CPPUNIT_ASSERT(!policy.CanExit(1, 1, start + 7500ms));
    CPPUNIT_ASSERT(policy.CanExit(1, 1, start + 7900ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopPolicyTest);

}  // namespace
}  // namespace zincstep
