#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/CrashDetector.h"

namespace zincstep {
namespace {

constexpr Fingerprint kPoison{1};
constexpr Fingerprint kUnrelated{2};

/// Runs the detector with probes whose results the test chooses.
class CrashDetectorTest : public CppUnit::TestFixture, private CrashListener {
  CPPUNIT_TEST_SUITE(CrashDetectorTest);
  CPPUNIT_TEST(RunLost_ConnectionRefused_IsCrash);
  CPPUNIT_TEST(RunLost_ConnectionAccepted_IsInconclusive);
  CPPUNIT_TEST(RunLost_FirstConnectionTimesOut_IsProbedAgain);
  CPPUNIT_TEST(RunLost_TimeoutNoticedLate_IsInconclusive);
  CPPUNIT_TEST(RunLost_WhileReportIsPending_IsProbedAnew);
  CPPUNIT_TEST(RunLost_WhileInconclusive_SharesTheProbe);
  CPPUNIT_TEST(RunLost_ConnectionAccepted_IsProbedAgain);
  CPPUNIT_TEST(RunLost_TimeoutNoticedLate_IsProbedAgain);
  CPPUNIT_TEST(RunLost_ConnectionsDroppedInARow_IsCrash);
  CPPUNIT_TEST(RunLost_ReportReceived_IsNoCrash);
  CPPUNIT_TEST(RunLost_AnotherIncarnationReports_IsCrash);
  CPPUNIT_TEST(RunLost_ReportsDroppedTwice_IsCrash);
  CPPUNIT_TEST(RunLost_AcceptsWithoutReport_IsProbedAgain);
  CPPUNIT_TEST(RunLost_UpstreamBackingOff_GetsNoReportQuery);
  CPPUNIT_TEST(RunLost_InconclusiveForLong_IsNoCrash);
  CPPUNIT_TEST(RunLost_InconclusiveAndDeregistered_IsCrash);
  CPPUNIT_TEST(RunLost_LateInPendingProbe_HasFullDuration);
  CPPUNIT_TEST(RunLost_UpstreamRestarts_IsCrashAtOnce);
  CPPUNIT_TEST(RunLost_AfterUpstreamRestarted_IsCrashWithoutProbe);
  CPPUNIT_TEST(Response_ToRequestSentAfterLoss_ShowsAlive);
  CPPUNIT_TEST(Response_WithStartTimeInEntry_IsInconclusive);
  CPPUNIT_TEST(Request_WithThreePendingProbes_IsBlocked);
  CPPUNIT_TEST(Completion_OfRequestWithCrash_IsReportedOnce);
  CPPUNIT_TEST(Completion_BeforeTheCrash_RecordsNoCrash);
  CPPUNIT_TEST(Cleared_ByPeerWithLocalCrash_IsForwarded);
  CPPUNIT_TEST(Crash_Observed_IsReportedAgainUntilCleared);
  CPPUNIT_TEST(Crashes_OfManyRequests_AreRemovedWithTheTracker);
  CPPUNIT_TEST_SUITE_END();

  /// At least the delay between the first two attempts of a probe.
  static constexpr Micros kRetryDelay = 100ms;

  /// Makes an upstream; without a kind, that of a plain service, which supports
  /// no reports.
  static UpstreamPtr MakeUpstream(const char* aId, const char* aKind = "") {
    UpstreamEntry entry;
    entry.id = aId;
    entry.kind = aKind;
    return std::make_shared<LiveUpstream>(entry);
  }

  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override {
    crashes.insert(crashes.end(), aCrashes.begin(), aCrashes.end());
  }
  void OnReportDue(const std::vector<UpstreamCrash>& aCrashes) override {
    repeated.insert(repeated.end(), aCrashes.begin(), aCrashes.end());
  }
  void OnSuspected(const std::vector<UpstreamCrash>& aCrashes) override {
    suspected.insert(suspected.end(), aCrashes.begin(), aCrashes.end());
  }
  void OnWithdrawn(const std::vector<UpstreamCrash>& aCrashes) override {
    withdrawn.insert(withdrawn.end(), aCrashes.begin(), aCrashes.end());
  }
  void OnCleared(Fingerprint) override { cleared += 1; }
  void OnBlocked(Fingerprint) override { blocked += 1; }
  void OnUpstreamSuspected() override { suspicions += 1; }

  FakeClock clock;
  ScriptedControl control;
  CrashTracker tracker{CrashTrackerSettings{}};
  CrashDetector detector{tracker, control, clock, *this};
  UpstreamPtr upstream = MakeUpstream("i1");
  /// Holds layers and supports reports.
  UpstreamPtr member = MakeUpstream("m1", "h100");
  std::vector<UpstreamCrash> crashes;
  std::vector<UpstreamCrash> repeated;
  std::vector<UpstreamCrash> suspected;
  std::vector<UpstreamCrash> withdrawn;
  int cleared = 0;
  int blocked = 0;
  int suspicions = 0;

  void AdvanceAndTick(Micros aTime) {
    clock.Advance(aTime);
    detector.Tick();
  }

  /// Lets each attempt end with an accepted connection, which is inconclusive.
  /// The default time exceeds the maximum duration of a probe.
  void KeepInconclusive(Micros aFor = 4s) {
    for (Micros passed{0}; passed < aFor; passed += kRetryDelay) {
      if (control.HasPendingConnect()) {
        control.FinishConnect(Reachability::Reached);
      }
      this->AdvanceAndTick(kRetryDelay);
    }
  }

 public:
  void setUp() override { clock.Advance(100s); }

  void RunLost_ConnectionRefused_IsCrash() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT_EQUAL(upstream->Number(), crashes[0].upstream);
    CPPUNIT_ASSERT(tracker.HasCrashes(kPoison));
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(1, suspicions);
    for (const char* id : {"i2", "i3"}) {
      detector.OnRunLost({kPoison, {}}, MakeUpstream(id));
      control.FinishConnect(Reachability::Refused);
    }
    CPPUNIT_ASSERT_EQUAL(1, blocked);
  }

  void RunLost_ConnectionAccepted_IsInconclusive() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(crashes.empty() && tracker.IsEmpty());
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
  }

  void RunLost_FirstConnectionTimesOut_IsProbedAgain() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT(crashes.empty());
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_TimeoutNoticedLate_IsInconclusive() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Silent);
    clock.Advance(1s);
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT(crashes.empty() && tracker.IsEmpty());
  }

  void RunLost_WhileReportIsPending_IsProbedAnew() {
    // The pending report may have been sent before the crash.
    detector.OnRunLost({kUnrelated, {}}, member);
    detector.OnRunLost({kPoison, {}}, member);
    control.Answer(1);
    CPPUNIT_ASSERT(tracker.IsEmpty());
    control.FailReport(ErrorKind::UpstreamUnreachable);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(tracker.HasCrashes(kPoison) &&
                   !tracker.HasCrashes(kUnrelated));
  }

  void RunLost_WhileInconclusive_SharesTheProbe() {
    // The accepted connection clears neither request.
    detector.OnRunLost({kUnrelated, {}}, upstream);
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(tracker.IsEmpty());
    this->AdvanceAndTick(kRetryDelay);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(tracker.HasCrashes(kPoison) &&
                   tracker.HasCrashes(kUnrelated));
  }

  void Completion_OfRequestWithCrash_IsReportedOnce() {
    detector.OnCrash({kPoison, 1}, Provenance::Reported);
    detector.OnRequestCompleted({kUnrelated, {}});
    CPPUNIT_ASSERT_EQUAL(0, cleared);
    detector.OnRequestCompleted({kPoison, {}});
    detector.OnRequestCompleted({kPoison, {}});
    CPPUNIT_ASSERT_EQUAL(1, cleared);
  }

  void Completion_BeforeTheCrash_RecordsNoCrash() {
    detector.OnRequestCompleted({kUnrelated, {}});
    detector.OnRunLost({kUnrelated, {}}, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(crashes.empty() && tracker.IsEmpty());
    // The upstream has crashed nevertheless.
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(detector.OnCrash({kUnrelated, 2}, Provenance::Reported) ==
                   CrashVerdict::Ignored);
  }

  void Cleared_ByPeerWithLocalCrash_IsForwarded() {
    detector.OnRunLost({kUnrelated, {}}, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(detector.OnClearedByPeer(kUnrelated));
    CPPUNIT_ASSERT(!tracker.HasCrashes(kUnrelated));
    CPPUNIT_ASSERT(!detector.OnClearedByPeer(kUnrelated));
    detector.OnCrash({kPoison, 1}, Provenance::Reported);
    CPPUNIT_ASSERT(!detector.OnClearedByPeer(kPoison));
  }

  void RunLost_ConnectionAccepted_IsProbedAgain() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Reached);
    detector.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.connected.size());
    this->AdvanceAndTick(kRetryDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.connected.size());
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_TimeoutNoticedLate_IsProbedAgain() {
    detector.OnRunLost({kPoison, {}}, upstream);
    clock.Advance(1s);
    control.FinishConnect(Reachability::Silent);
    this->AdvanceAndTick(kRetryDelay);
    control.FinishConnect(Reachability::Silent);
    control.FinishConnect(Reachability::Silent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_ConnectionsDroppedInARow_IsCrash() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Dropped);
    control.FinishConnect(Reachability::Reached);
    this->AdvanceAndTick(kRetryDelay);
    control.FinishConnect(Reachability::Dropped);
    CPPUNIT_ASSERT(crashes.empty());
    control.FinishConnect(Reachability::Dropped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_ReportReceived_IsNoCrash() {
    detector.OnRunLost({kPoison, {}}, member);
    CPPUNIT_ASSERT(control.connected.empty());
    control.Answer(1);
    this->AdvanceAndTick(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
    CPPUNIT_ASSERT(crashes.empty() && !tracker.MayBlock());
  }

  void RunLost_AnotherIncarnationReports_IsCrash() {
    detector.OnRunLost({kPoison, {}}, member);
    control.FailReport(ErrorKind::UpstreamEnded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT(control.connected.empty());
  }

  // A proxy in front of a crashed upstream accepts connections, and closes them
  // on a request.
  void RunLost_ReportsDroppedTwice_IsCrash() {
    detector.OnRunLost({kPoison, {}}, member);
    control.FailReport(ErrorKind::ResponseIncomplete);
    CPPUNIT_ASSERT(crashes.empty());
    control.FailReport(ErrorKind::ResponseIncomplete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  // The kernel accepts connections for a stopped process, which may continue.
  void RunLost_AcceptsWithoutReport_IsProbedAgain() {
    detector.OnRunLost({kPoison, {}}, member);
    control.FailReport(ErrorKind::DeadlineDuringRun);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT(crashes.empty());
    this->AdvanceAndTick(kRetryDelay);
    control.Answer(1);
    CPPUNIT_ASSERT(crashes.empty() && !tracker.MayBlock());
  }

  void RunLost_UpstreamBackingOff_GetsNoReportQuery() {
    member->BackOffUntil(clock.Now() + 1s);
    detector.OnRunLost({kPoison, {}}, member);
    CPPUNIT_ASSERT(control.probed.empty());
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_InconclusiveForLong_IsNoCrash() {
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepInconclusive();
    CPPUNIT_ASSERT(crashes.empty() && !tracker.MayBlock());
  }

  void RunLost_InconclusiveAndDeregistered_IsCrash() {
    detector.OnRunLost({kPoison, {}}, upstream);
    upstream->SetDeregistered(clock.Now());
    this->KeepInconclusive();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  // Guards against expiring a later loss together with an earlier one although
  // the upstream crashed in between.
  void RunLost_LateInPendingProbe_HasFullDuration() {
    detector.OnRunLost({kUnrelated, {}}, upstream);
    this->KeepInconclusive(2900ms);
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepInconclusive(1s);
    upstream->SetDeregistered(clock.Now());
    this->KeepInconclusive(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT(tracker.HasCrashes(kPoison) &&
                   !tracker.HasCrashes(kUnrelated));
  }

  void RunLost_UpstreamRestarts_IsCrashAtOnce() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Reached);
    upstream->SetEnded(clock.Now());
    detector.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_AfterUpstreamRestarted_IsCrashWithoutProbe() {
    member->SetEnded(clock.Now());
    detector.OnRunLost({kPoison, {}}, member);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT(control.probed.empty() && control.connected.empty());
  }

  void Response_ToRequestSentAfterLoss_ShowsAlive() {
    detector.OnRunLost({kPoison, {}}, upstream);
    const Instant lostAt = clock.Now();
    control.FinishConnect(Reachability::Reached);
    detector.OnUpstreamResponded(*upstream, lostAt - 1ms);
    CPPUNIT_ASSERT(tracker.MayBlock());
    detector.OnUpstreamResponded(*upstream, lostAt + 1ms);
    CPPUNIT_ASSERT(!tracker.MayBlock());
  }

  // The response may be from the next incarnation, which has the same id.
  void Response_WithStartTimeInEntry_IsInconclusive() {
    UpstreamEntry entry;
    entry.id = "i1";
    entry.startTimeMs = 7;
    const auto startTimeMs = std::make_shared<LiveUpstream>(entry);
    detector.OnRunLost({kPoison, {}}, startTimeMs);
    control.FinishConnect(Reachability::Reached);
    detector.OnUpstreamResponded(*startTimeMs, clock.Now() + 1ms);
    CPPUNIT_ASSERT(tracker.MayBlock());
  }

  void Request_WithThreePendingProbes_IsBlocked() {
    for (const char* id : {"i1", "i2", "i3"}) {
      CPPUNIT_ASSERT(tracker.BlockedFor(kPoison, clock.Now()) == 0us);
      detector.OnRunLost({kPoison, {}}, MakeUpstream(id));
      control.FinishConnect(Reachability::Reached);
    }
    CPPUNIT_ASSERT(tracker.BlockedFor(kPoison, clock.Now()) > 0us);
    CPPUNIT_ASSERT(tracker.BlockedFor(kUnrelated, clock.Now()) == 0us);
    CPPUNIT_ASSERT_EQUAL(0, blocked);
  }

  void Crash_Observed_IsReportedAgainUntilCleared() {
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Refused);
    for (int i = 0; i < 300; ++i) {
      this->AdvanceAndTick(100ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, repeated.size());
    CPPUNIT_ASSERT(repeated[9].candidate == kPoison);
    CPPUNIT_ASSERT_EQUAL(upstream->Number(), repeated[9].upstream);
    repeated.clear();
    detector.OnRunLost({kUnrelated, {}}, MakeUpstream("i2"));
    control.FinishConnect(Reachability::Refused);
    detector.OnClearedByPeer(kUnrelated);
    this->AdvanceAndTick(10s);
    CPPUNIT_ASSERT(repeated.empty());
  }

  // Guards against unbounded memory when callers send new requests each time.
  void Crashes_OfManyRequests_AreRemovedWithTheTracker() {
    constexpr std::uint64_t kMany = 20'000;
    for (std::uint64_t i = 0; i < kMany; ++i) {
      clock.Advance(1us);
      detector.OnCrash({Fingerprint{1000 + i}, i}, Provenance::Observed);
    }
    CPPUNIT_ASSERT(!detector.OnClearedByPeer(Fingerprint{1000}));
    CPPUNIT_ASSERT(detector.OnClearedByPeer(Fingerprint{1000 + kMany - 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);

}  // namespace
}  // namespace zincstep
