#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/CrashDetector.h"

namespace zincstep {
namespace {

constexpr RequestFingerprint kGuilty{1};
constexpr RequestFingerprint kOther{2};

/// The watch with attempts to connect that the test ends.
class CrashDetectorTest : public CppUnit::TestFixture, private CrashListener {
  CPPUNIT_TEST_SUITE(CrashDetectorTest);
  CPPUNIT_TEST(Loss_UpstreamRefuses_IsItsEnd);
  CPPUNIT_TEST(Loss_UpstreamAccepts_ProvesNothing);
  CPPUNIT_TEST(Loss_SilentOnce_IsAskedAgain);
  CPPUNIT_TEST(Loss_SilenceNoticedLate_ProvesNothing);
  CPPUNIT_TEST(Loss_WhileAQuestionIsOpen_IsAskedForAnew);
  CPPUNIT_TEST(Loss_WhileNothingIsKnown_IsOfTheSameQuestion);
  CPPUNIT_TEST(Loss_UpstreamAccepts_IsAskedAboutAgain);
  CPPUNIT_TEST(Loss_SilenceNoticedLate_IsAskedAboutAgain);
  CPPUNIT_TEST(Loss_ConnectionsDropped_IsAnEndOnceInARow);
  CPPUNIT_TEST(Loss_UpstreamReports_Lives);
  CPPUNIT_TEST(Loss_AnotherOneReports_IsItsEnd);
  CPPUNIT_TEST(Loss_ReportsDroppedTwice_IsItsEnd);
  CPPUNIT_TEST(Loss_AcceptsAndReportsNothing_IsAskedAboutAgain);
  CPPUNIT_TEST(Loss_UpstreamThatTakesNoCall_IsNotAskedForAReport);
  CPPUNIT_TEST(Loss_NothingKnownForLong_IsNobodysEnd);
  CPPUNIT_TEST(Loss_NothingKnownAndOffTheList_IsItsEnd);
  CPPUNIT_TEST(Loss_LateInAnOpenQuestion_HasAsMuchTime);
  CPPUNIT_TEST(Loss_UpstreamStartsAgain_IsItsEndAtOnce);
  CPPUNIT_TEST(Loss_AfterTheUpstreamStartedAgain_IsItsEndUnasked);
  CPPUNIT_TEST(Answer_ToARequestSentAfterTheLoss_ShowsLife);
  CPPUNIT_TEST(Answer_WhereStartsAreToldApart_ShowsNoLife);
  CPPUNIT_TEST(Request_WithThreeOpenQuestions_IsHeldBack);
  CPPUNIT_TEST(Answer_OfABlamedRequest_IsToldOnce);
  CPPUNIT_TEST(Answer_BeforeTheCrash_IsBlamedByNobody);
  CPPUNIT_TEST(Cleared_ElsewhereAndBlamedHere_IsToldOn);
  CPPUNIT_TEST(Blamed_ManyRequests_AreForgottenWithTheLedger);
  CPPUNIT_TEST_SUITE_END();

  /// Longer than the first pause between questions.
  static constexpr Micros kPause = 100ms;

  /// A plain one, which gives no reports.
  static UpstreamPtr MakeUpstream(const char* aId, const char* aKind = "") {
    UpstreamEntry entry;
    entry.id = aId;
    entry.kind = aKind;
    return std::make_shared<LiveUpstream>(entry);
  }

  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override {
    found.insert(found.end(), aCrashes.begin(), aCrashes.end());
  }
  void OnCleared(RequestFingerprint) override { cleared += 1; }
  void OnBlocked(RequestFingerprint) override { blocked += 1; }
  void OnUpstreamSuspected() override { suspicions += 1; }

  FakeClock clock;
  ScriptedControl control;
  CrashTracker ledger{CrashTrackerSettings{}};
  CrashDetector watch{ledger, control, clock, *this};
  UpstreamPtr upstream = MakeUpstream("i1");
  /// Holds layers, and gives reports.
  UpstreamPtr member = MakeUpstream("m1", "h100");
  std::vector<UpstreamCrash> found;
  int cleared = 0;
  int blocked = 0;
  int suspicions = 0;

  void Pass(Micros aTime) {
    clock.Advance(aTime);
    watch.Tick();
  }

  /// Each try finds that connections are accepted; for longer than a question
  /// is kept open where nothing else is said.
  void KeepUnknown(Micros aFor = 4s) {
    for (Micros passed{0}; passed < aFor; passed += kPause) {
      if (control.HasPendingConnect()) {
        control.FinishConnect(Reachability::Reached);
      }
      this->Pass(kPause);
    }
  }

 public:
  void setUp() override { clock.Advance(100s); }

  void Loss_UpstreamRefuses_IsItsEnd() {
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT_EQUAL(upstream->Number(), found[0].upstream);
    CPPUNIT_ASSERT(ledger.HasCrashes(kGuilty));
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(1, suspicions);
    for (const char* id : {"i2", "i3"}) {
      watch.OnRunLost(kGuilty, MakeUpstream(id));
      control.FinishConnect(Reachability::Refused);
    }
    CPPUNIT_ASSERT_EQUAL(1, blocked);
  }

  void Loss_UpstreamAccepts_ProvesNothing() {
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(found.empty() && ledger.IsEmpty());
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
  }

  void Loss_SilentOnce_IsAskedAgain() {
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT(found.empty());
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  void Loss_SilenceNoticedLate_ProvesNothing() {
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Silent);
    clock.Advance(1s);
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT(found.empty() && ledger.IsEmpty());
  }

  void Loss_WhileAQuestionIsOpen_IsAskedForAnew() {
    // The open question may have come before the crash.
    watch.OnRunLost(kOther, member);
    watch.OnRunLost(kGuilty, member);
    control.Answer(1);
    CPPUNIT_ASSERT(ledger.IsEmpty());
    control.FailReport(ErrorKind::UpstreamUnreachable);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(ledger.HasCrashes(kGuilty) && !ledger.HasCrashes(kOther));
  }

  void Loss_WhileNothingIsKnown_IsOfTheSameQuestion() {
    // That a connection was accepted between the two clears neither.
    watch.OnRunLost(kOther, upstream);
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(ledger.IsEmpty());
    this->Pass(kPause);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(ledger.HasCrashes(kGuilty) && ledger.HasCrashes(kOther));
  }

  void Answer_OfABlamedRequest_IsToldOnce() {
    watch.Take({kGuilty, 1}, Provenance::Reported);
    watch.OnAnswered(kOther);
    CPPUNIT_ASSERT_EQUAL(0, cleared);
    watch.OnAnswered(kGuilty);
    watch.OnAnswered(kGuilty);
    CPPUNIT_ASSERT_EQUAL(1, cleared);
  }

  void Answer_BeforeTheCrash_IsBlamedByNobody() {
    watch.OnAnswered(kOther);
    watch.OnRunLost(kOther, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(found.empty() && ledger.IsEmpty());
    // The upstream has ended all the same.
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(watch.Take({kOther, 2}, Provenance::Reported) ==
                   CrashVerdict::Ignored);
  }

  void Cleared_ElsewhereAndBlamedHere_IsToldOn() {
    watch.OnRunLost(kOther, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(watch.OnClearedByPeer(kOther));
    CPPUNIT_ASSERT(!ledger.HasCrashes(kOther));
    CPPUNIT_ASSERT(!watch.OnClearedByPeer(kOther));
    watch.Take({kGuilty, 1}, Provenance::Reported);
    CPPUNIT_ASSERT(!watch.OnClearedByPeer(kGuilty));
  }

  void Loss_UpstreamAccepts_IsAskedAboutAgain() {
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Reached);
    watch.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.connected.size());
    this->Pass(kPause);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.connected.size());
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  void Loss_SilenceNoticedLate_IsAskedAboutAgain() {
    watch.OnRunLost(kGuilty, upstream);
    clock.Advance(1s);
    control.FinishConnect(Reachability::Silent);
    this->Pass(kPause);
    control.FinishConnect(Reachability::Silent);
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  void Loss_ConnectionsDropped_IsAnEndOnceInARow() {
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Dropped);
    control.FinishConnect(Reachability::Reached);
    this->Pass(kPause);
    control.FinishConnect(Reachability::Dropped);
    CPPUNIT_ASSERT(found.empty());
    control.FinishConnect(Reachability::Dropped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  void Loss_UpstreamReports_Lives() {
    watch.OnRunLost(kGuilty, member);
    CPPUNIT_ASSERT(control.connected.empty());
    control.Answer(1);
    this->Pass(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
    CPPUNIT_ASSERT(found.empty() && !ledger.MayBlock());
  }

  void Loss_AnotherOneReports_IsItsEnd() {
    watch.OnRunLost(kGuilty, member);
    control.FailReport(ErrorKind::UpstreamEnded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT(control.connected.empty());
  }

  // A proxy in front of one that has ended accepts, and closes on a request.
  void Loss_ReportsDroppedTwice_IsItsEnd() {
    watch.OnRunLost(kGuilty, member);
    control.FailReport(ErrorKind::ResponseIncomplete);
    CPPUNIT_ASSERT(found.empty());
    control.FailReport(ErrorKind::ResponseIncomplete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  // The kernel accepts for one that is stopped, which may go on.
  void Loss_AcceptsAndReportsNothing_IsAskedAboutAgain() {
    watch.OnRunLost(kGuilty, member);
    control.FailReport(ErrorKind::DeadlineDuringRun);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(found.empty());
    this->Pass(kPause);
    control.Answer(1);
    CPPUNIT_ASSERT(found.empty() && !ledger.MayBlock());
  }

  void Loss_UpstreamThatTakesNoCall_IsNotAskedForAReport() {
    member->BackOffUntil(clock.Now() + 1s);
    watch.OnRunLost(kGuilty, member);
    CPPUNIT_ASSERT(control.probed.empty());
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  void Loss_NothingKnownForLong_IsNobodysEnd() {
    watch.OnRunLost(kGuilty, upstream);
    this->KeepUnknown();
    CPPUNIT_ASSERT(found.empty() && !ledger.MayBlock());
  }

  void Loss_NothingKnownAndOffTheList_IsItsEnd() {
    watch.OnRunLost(kGuilty, upstream);
    upstream->SetDeregistered(clock.Now());
    this->KeepUnknown();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  // Of two losses the second one was settled with the first, though the
  // upstream had ended in between.
  void Loss_LateInAnOpenQuestion_HasAsMuchTime() {
    watch.OnRunLost(kOther, upstream);
    this->KeepUnknown(2900ms);
    watch.OnRunLost(kGuilty, upstream);
    this->KeepUnknown(1s);
    upstream->SetDeregistered(clock.Now());
    this->KeepUnknown(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT(ledger.HasCrashes(kGuilty) && !ledger.HasCrashes(kOther));
  }

  void Loss_UpstreamStartsAgain_IsItsEndAtOnce() {
    watch.OnRunLost(kGuilty, upstream);
    control.FinishConnect(Reachability::Reached);
    upstream->SetEnded(clock.Now());
    watch.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  void Loss_AfterTheUpstreamStartedAgain_IsItsEndUnasked() {
    member->SetEnded(clock.Now());
    watch.OnRunLost(kGuilty, member);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT(control.probed.empty() && control.connected.empty());
  }

  void Answer_ToARequestSentAfterTheLoss_ShowsLife() {
    watch.OnRunLost(kGuilty, upstream);
    const Instant lostAt = clock.Now();
    control.FinishConnect(Reachability::Reached);
    watch.OnUpstreamAnswered(*upstream, lostAt - 1ms);
    CPPUNIT_ASSERT(ledger.MayBlock());
    watch.OnUpstreamAnswered(*upstream, lostAt + 1ms);
    CPPUNIT_ASSERT(!ledger.MayBlock());
  }

  // It may be the next start's, which has the same id.
  void Answer_WhereStartsAreToldApart_ShowsNoLife() {
    UpstreamEntry entry;
    entry.id = "i1";
    entry.startTimeMs = 7;
    const auto startTimeMs = std::make_shared<LiveUpstream>(entry);
    watch.OnRunLost(kGuilty, startTimeMs);
    control.FinishConnect(Reachability::Reached);
    watch.OnUpstreamAnswered(*startTimeMs, clock.Now() + 1ms);
    CPPUNIT_ASSERT(ledger.MayBlock());
  }

  void Request_WithThreeOpenQuestions_IsHeldBack() {
    for (const char* id : {"i1", "i2", "i3"}) {
      CPPUNIT_ASSERT(ledger.BlockedFor(kGuilty, clock.Now()) == 0us);
      watch.OnRunLost(kGuilty, MakeUpstream(id));
      control.FinishConnect(Reachability::Reached);
    }
    CPPUNIT_ASSERT(ledger.BlockedFor(kGuilty, clock.Now()) > 0us);
    CPPUNIT_ASSERT(ledger.BlockedFor(kOther, clock.Now()) == 0us);
    CPPUNIT_ASSERT_EQUAL(0, blocked);
  }

  // A caller that makes a new request each time is remembered no longer.
  void Blamed_ManyRequests_AreForgottenWithTheLedger() {
    constexpr std::uint64_t kMany = 20'000;
    for (std::uint64_t i = 0; i < kMany; ++i) {
      clock.Advance(1us);
      watch.Take({RequestFingerprint{1000 + i}, i}, Provenance::Observed);
    }
    CPPUNIT_ASSERT(!watch.OnClearedByPeer(RequestFingerprint{1000}));
    CPPUNIT_ASSERT(watch.OnClearedByPeer(RequestFingerprint{1000 + kMany - 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);

}  // namespace
}  // namespace zincstep
