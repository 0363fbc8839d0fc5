#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/UpstreamProber.h"

namespace zincstep {
namespace {

class UpstreamProberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamProberTest);
  CPPUNIT_TEST(Ask_NoAnswerTwice_Suspects);
  CPPUNIT_TEST(Ask_LostOnce_DoesNotSuspect);
  CPPUNIT_TEST(Ask_LateAnswer_EndsTheSuspicion);
  CPPUNIT_TEST(Ask_AgainAtOnce_IsPassedOver);
  CPPUNIT_TEST(Ask_AnsweringUpstream_IsAskedMoreAndMoreSeldom);
  CPPUNIT_TEST(Ask_ManyUpstreams_IsBounded);
  CPPUNIT_TEST(Tick_SlowUpstream_IsAskedUntilItIsQuick);
  CPPUNIT_TEST(Pace_OutOfDate_IsOne);
  CPPUNIT_TEST(Ask_TimeoutNoticedLate_ProvesNothing);
  CPPUNIT_TEST(Verify_UpstreamThatAnswers_IsNotSuspected);
  CPPUNIT_TEST(Verify_UpstreamThatIsSilent_WasTold);
  CPPUNIT_TEST(Verify_PlainService_IsNotAsked);
  CPPUNIT_TEST(Ask_AtRestAndAcceptsConnections_StaysSuspect);
  CPPUNIT_TEST(Ask_AtRestAndAcceptsNoConnections_Suspects);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  ScriptedControl control;
  std::vector<Provenance> suspicions;
  UpstreamProberSettings settings;
  UpstreamProber probe{settings, control, clock,
                       [this](Provenance aProvenance) {
                         this->suspicions.push_back(aProvenance);
                       }};
  UpstreamPtr upstream = Make("i1");

  static UpstreamPtr Make(const std::string& aId) {
    UpstreamEntry entry;
    entry.id = aId;
    entry.kind = "h100";
    return std::make_shared<LiveUpstream>(entry);
  }

 public:
  void setUp() override { clock.Advance(60s); }

  void Ask_NoAnswerTwice_Suspects() {
    probe.Ask(upstream);
    control.TimeOutReport();
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    control.TimeOutReport();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspicions.size());
    CPPUNIT_ASSERT(suspicions.front() == Provenance::Observed);
  }

  void Ask_LostOnce_DoesNotSuspect() {
    probe.Ask(upstream);
    control.TimeOutReport();
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(upstream->LastResponseAt() == clock.Now());
  }

  void Ask_LateAnswer_EndsTheSuspicion() {
    probe.Ask(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    clock.Advance(100ms);
    CPPUNIT_ASSERT(upstream->IsNewlySuspect(clock.Now()));
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
  }

  void Ask_AgainAtOnce_IsPassedOver() {
    probe.Ask(upstream);
    probe.Ask(upstream);
    control.Answer(1);
    probe.Ask(upstream);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  void Ask_AnsweringUpstream_IsAskedMoreAndMoreSeldom() {
    int asked = 0;
    for (int i = 0; i < 100; ++i) {
      const std::size_t before = control.probed.size();
      probe.Ask(upstream);
      if (control.probed.size() > before) {
        control.Answer(1);
        asked += 1;
      }
      clock.Advance(100ms);
    }
    // 10 s: after 0.2, 0.4, 0.8 and then each 1.6 s.
    CPPUNIT_ASSERT(asked <= 10);
    CPPUNIT_ASSERT(asked >= 6);
  }

  void Ask_ManyUpstreams_IsBounded() {
    for (int i = 0; i < 500; ++i) {
      probe.Ask(Make("many" + std::to_string(i)));
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(settings.maxBurst),
                         control.probed.size());
  }

  void Tick_SlowUpstream_IsAskedUntilItIsQuick() {
    probe.Ask(upstream);
    control.Answer(5);
    CPPUNIT_ASSERT(upstream->IsSlow(clock.Now()));
    clock.Advance(1s);
    probe.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSlow(clock.Now()));
    clock.Advance(1s);
    probe.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
  }

  void Pace_OutOfDate_IsOne() {
    upstream->SetSlowdown(6, clock.Now(), Provenance::Reported);
    CPPUNIT_ASSERT_EQUAL(6.0, upstream->Slowdown(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(1.0, upstream->ObservedSlowdown(clock.Now()));
    clock.Advance(3s);
    CPPUNIT_ASSERT_EQUAL(1.0, upstream->Slowdown(clock.Now()));
  }

  // tavua-orders-grown, trouble-3: daemons that were slow themselves took
  // all upstreams of their domain for lost.
  void Ask_TimeoutNoticedLate_ProvesNothing() {
    probe.Ask(upstream);
    clock.Advance(settings.timeout + settings.latestTimeout + 1ms);
    control.TimeOutReport();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(suspicions.empty());
  }

  // tavua-orders-grown, trouble-3: one daemon's failed call to a plain service
  // was proved by a probe that such a service never answers, at each daemon in
  // turn and again and again; from second 29 on two thirds of its servers were
  // out of use until all daemons were killed.
  void Verify_PlainService_IsNotAsked() {
    UpstreamEntry entry;
    entry.id = "plain";
    const auto plain = std::make_shared<LiveUpstream>(entry);
    probe.Verify(plain);
    CPPUNIT_ASSERT(control.probed.empty());
    CPPUNIT_ASSERT(!plain->IsSuspect(clock.Now()));
  }

  // Sweep at 300 machines: each of a hundred daemons that proved what it had
  // been told told all others at once.
  void Verify_UpstreamThatIsSilent_WasTold() {
    probe.Verify(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(suspicions.front() == Provenance::Reported);
    control.Answer(1);
    clock.Advance(5s);
    probe.Ask(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    CPPUNIT_ASSERT(suspicions.back() == Provenance::Observed);
  }

  // The kernel accepts connections for a process that is stopped: its
  // suspicion was taken back, and new streams were sent to it.
  void Ask_AtRestAndAcceptsConnections_StaysSuspect() {
    upstream->BackOffUntil(clock.Now() + 10s);
    upstream->Suspect(clock.Now());
    clock.Advance(1ms);
    probe.Ask(upstream);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(upstream->LastResponseAt() == Instant{});
    CPPUNIT_ASSERT(control.probed.empty());
  }

  void Ask_AtRestAndAcceptsNoConnections_Suspects() {
    upstream->BackOffUntil(clock.Now() + 10s);
    probe.Ask(upstream);
    control.FinishConnect(Reachability::Refused);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
  }

  // The same day: their peers believed them, and the domain's layers were
  // placed anew.
  void Verify_UpstreamThatAnswers_IsNotSuspected() {
    probe.Verify(upstream);
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    clock.Advance(settings.firstPause);
    probe.Verify(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamProberTest);

}  // namespace
}  // namespace zincstep
