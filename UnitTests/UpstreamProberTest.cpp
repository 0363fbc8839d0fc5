#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/UpstreamProber.h"

namespace zincstep {
namespace {

class UpstreamProberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamProberTest);
  CPPUNIT_TEST(Probe_TwoTimeouts_Suspects);
  CPPUNIT_TEST(Probe_OneTimeout_DoesNotSuspect);
  CPPUNIT_TEST(Probe_LateReport_ClearsSuspicion);
  CPPUNIT_TEST(Probe_DuringBackoff_IsSkipped);
  CPPUNIT_TEST(Probe_LiveUpstream_BacksOff);
  CPPUNIT_TEST(Probe_ManyUpstreams_IsBounded);
  CPPUNIT_TEST(Tick_SlowUpstream_IsProbedUntilFast);
  CPPUNIT_TEST(Slowdown_Outdated_IsOne);
  CPPUNIT_TEST(Probe_TimeoutNoticedLate_IsInconclusive);
  CPPUNIT_TEST(Verify_UpstreamResponds_IsNotSuspected);
  CPPUNIT_TEST(Verify_NoResponse_IsSuspectedAsReported);
  CPPUNIT_TEST(Verify_PlainService_IsNotProbed);
  CPPUNIT_TEST(Probe_BackingOffAndAcceptsConnections_StaysSuspect);
  CPPUNIT_TEST(Probe_BackingOffAndRefusesConnections_Suspects);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  ScriptedControl control;
  std::vector<Provenance> suspicions;
  UpstreamProberSettings settings;
  UpstreamProber prober{settings, control, clock,
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

  void Probe_TwoTimeouts_Suspects() {
    prober.Probe(upstream);
    control.TimeOutReport();
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    control.TimeOutReport();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspicions.size());
    CPPUNIT_ASSERT(suspicions.front() == Provenance::Observed);
  }

  void Probe_OneTimeout_DoesNotSuspect() {
    prober.Probe(upstream);
    control.TimeOutReport();
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(upstream->LastResponseAt() == clock.Now());
  }

  void Probe_LateReport_ClearsSuspicion() {
    prober.Probe(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    clock.Advance(100ms);
    CPPUNIT_ASSERT(upstream->IsNewlySuspect(clock.Now()));
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
  }

  void Probe_DuringBackoff_IsSkipped() {
    prober.Probe(upstream);
    prober.Probe(upstream);
    control.Answer(1);
    prober.Probe(upstream);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  void Probe_LiveUpstream_BacksOff() {
    int asked = 0;
    for (int i = 0; i < 100; ++i) {
      const std::size_t before = control.probed.size();
      prober.Probe(upstream);
      if (control.probed.size() > before) {
        control.Answer(1);
        asked += 1;
      }
      clock.Advance(100ms);
    }
    // In 10 s: after 0.2, 0.4 and 0.8 s, then every 1.6 s.
    CPPUNIT_ASSERT(asked <= 10);
    CPPUNIT_ASSERT(asked >= 6);
  }

  void Probe_ManyUpstreams_IsBounded() {
    for (int i = 0; i < 500; ++i) {
      prober.Probe(Make("many" + std::to_string(i)));
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(settings.maxBurst),
                         control.probed.size());
  }

  void Tick_SlowUpstream_IsProbedUntilFast() {
    prober.Probe(upstream);
    control.Answer(5);
    CPPUNIT_ASSERT(upstream->IsSlow(clock.Now()));
    clock.Advance(1s);
    prober.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSlow(clock.Now()));
    clock.Advance(1s);
    prober.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
  }

  void Slowdown_Outdated_IsOne() {
    upstream->SetSlowdown(6, clock.Now(), Provenance::Reported);
    CPPUNIT_ASSERT_EQUAL(6.0, upstream->Slowdown(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(1.0, upstream->ObservedSlowdown(clock.Now()));
    clock.Advance(3s);
    CPPUNIT_ASSERT_EQUAL(1.0, upstream->Slowdown(clock.Now()));
  }

  // Guards against slow daemons suspecting all upstreams of their domain.
  void Probe_TimeoutNoticedLate_IsInconclusive() {
    prober.Probe(upstream);
    clock.Advance(settings.timeout + settings.maxTimeoutLateness + 1ms);
    control.TimeOutReport();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(suspicions.empty());
  }

  // Guards against verifying a report about a plain service by a probe, to
  // which such a service never responds. One failed call made all daemons
  // suspect the upstream again and again, and after 29 s two thirds of its
  // upstreams were unused until all daemons were killed.
  void Verify_PlainService_IsNotProbed() {
    UpstreamEntry entry;
    entry.id = "plain";
    const auto plain = std::make_shared<LiveUpstream>(entry);
    prober.Verify(plain);
    CPPUNIT_ASSERT(control.probed.empty());
    CPPUNIT_ASSERT(!plain->IsSuspect(clock.Now()));
  }

  // Guards against daemons broadcasting a suspicion that a peer reported: at
  // 300 machines, each of a hundred daemons that confirmed it did so at once.
  void Verify_NoResponse_IsSuspectedAsReported() {
    prober.Verify(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(suspicions.front() == Provenance::Reported);
    control.Answer(1);
    clock.Advance(5s);
    prober.Probe(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    CPPUNIT_ASSERT(suspicions.back() == Provenance::Observed);
  }

  // Guards against treating an accepted connection as a sign of life: the
  // kernel accepts them for a stopped process, whose suspicion was cleared, and
  // new streams were sent to it.
  void Probe_BackingOffAndAcceptsConnections_StaysSuspect() {
    upstream->BackOffUntil(clock.Now() + 10s);
    upstream->Suspect(clock.Now());
    clock.Advance(1ms);
    prober.Probe(upstream);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(upstream->LastResponseAt() == Instant{});
    CPPUNIT_ASSERT(control.probed.empty());
  }

  void Probe_BackingOffAndRefusesConnections_Suspects() {
    upstream->BackOffUntil(clock.Now() + 10s);
    prober.Probe(upstream);
    control.FinishConnect(Reachability::Refused);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
  }

  // Guards against trusting reports of slow daemons: their peers did, and
  // placed the layers of the domain anew.
  void Verify_UpstreamResponds_IsNotSuspected() {
    prober.Verify(upstream);
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    clock.Advance(settings.initialBackoff);
    prober.Verify(upstream);
    control.TimeOutReport();
    control.TimeOutReport();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamProberTest);

}  // namespace
}  // namespace zincstep
