#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "Zincstep/Relay/MemberProbe.h"

namespace zincstep {
namespace {

/// Upstreams whose reports a test answers.
class ScriptedControl final : public UpstreamControl {
 public:
  void Report(const UpstreamEntry& aUpstream, Micros,
              Done<UpstreamReport> aDone) override {
    this->asked.push_back(aUpstream.id);
    this->open.push_back(std::move(aDone));
  }
  void Place(const UpstreamEntry&, LayerRange, std::uint64_t, GiveUp,
             Done<OrderOutcome>) override {}
  void Repath(const std::string&, const PoolChain&,
              Done<OrderOutcome>) override {}

  void Answer(double aPace) {
    UpstreamReport report;
    report.pace = aPace;
    this->Finish(report);
  }
  void StaySilent() { this->Finish(Fail(ErrorKind::AnswerIncomplete, "")); }

  std::vector<std::string> asked;

 private:
  void Finish(Result<UpstreamReport> aReport) {
    CPPUNIT_ASSERT(!this->open.empty());
    const auto done = std::move(this->open.front());
    this->open.pop_front();
    done(std::move(aReport));
  }

  std::deque<Done<UpstreamReport>> open;
};

class MemberProbeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberProbeTest);
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
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  ScriptedControl control;
  int suspicions = 0;
  MemberProbeSettings settings;
  MemberProbe probe{settings, control, clock,
                    [this] { this->suspicions += 1; }};
  UpstreamPtr upstream = Make("i1");

  static UpstreamPtr Make(const std::string& aId) {
    UpstreamEntry entry;
    entry.id = aId;
    return std::make_shared<LiveUpstream>(entry);
  }

 public:
  void setUp() override { clock.Advance(60s); }

  void Ask_NoAnswerTwice_Suspects() {
    probe.Ask(upstream);
    control.StaySilent();
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    control.StaySilent();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(1, suspicions);
  }

  void Ask_LostOnce_DoesNotSuspect() {
    probe.Ask(upstream);
    control.StaySilent();
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(upstream->AnsweredAt() == clock.Now());
  }

  void Ask_LateAnswer_EndsTheSuspicion() {
    probe.Ask(upstream);
    control.StaySilent();
    control.StaySilent();
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
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.asked.size());
  }

  void Ask_AnsweringUpstream_IsAskedMoreAndMoreSeldom() {
    int asked = 0;
    for (int i = 0; i < 100; ++i) {
      const std::size_t before = control.asked.size();
      probe.Ask(upstream);
      if (control.asked.size() > before) {
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
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(settings.mostAtOnce),
                         control.asked.size());
  }

  void Tick_SlowUpstream_IsAskedUntilItIsQuick() {
    probe.Ask(upstream);
    control.Answer(5);
    CPPUNIT_ASSERT(upstream->IsSlow(clock.Now()));
    clock.Advance(1s);
    probe.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.asked.size());
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSlow(clock.Now()));
    clock.Advance(1s);
    probe.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.asked.size());
  }

  void Pace_OutOfDate_IsOne() {
    upstream->SetPace(6, clock.Now(), Evidence::Told);
    CPPUNIT_ASSERT_EQUAL(6.0, upstream->Pace(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(1.0, upstream->FoundPace(clock.Now()));
    clock.Advance(3s);
    CPPUNIT_ASSERT_EQUAL(1.0, upstream->Pace(clock.Now()));
  }

  // tavua-orders-grown, trouble-3: daemons that were slow themselves took
  // all upstreams of their domain for lost.
  void Ask_TimeoutNoticedLate_ProvesNothing() {
    probe.Ask(upstream);
    clock.Advance(settings.timeout + settings.latestTimeout + 1ms);
    control.StaySilent();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.asked.size());
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(0, suspicions);
  }

  // The same day: their peers believed them, and the domain's layers were
  // placed anew.
  void Verify_UpstreamThatAnswers_IsNotSuspected() {
    probe.Verify(upstream);
    control.Answer(1);
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    clock.Advance(settings.firstPause);
    probe.Verify(upstream);
    control.StaySilent();
    control.StaySilent();
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberProbeTest);

}  // namespace
}  // namespace zincstep
