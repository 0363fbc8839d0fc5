#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/CrashDetector.h"

namespace zincstep {
namespace {

constexpr Fingerprint kPoison{1};
/// At least the delay between the first two attempts of a probe.
constexpr Micros kRetryDelay = 100ms;

/// Runs the detector where a crash has to be told from a lost path, by
/// connections to other upstreams.
class CrashWitnessTest : public CppUnit::TestFixture, private CrashListener {
  CPPUNIT_TEST_SUITE(CrashWitnessTest);
  CPPUNIT_TEST(RunLost_OtherUpstreamUnreachableToo_IsInconclusive);
  CPPUNIT_TEST(RunLost_OtherUpstreamAccepts_IsCrash);
  CPPUNIT_TEST(RunLost_OtherUpstreamUnreachableForLong_IsNoCrash);
  CPPUNIT_TEST(RunLost_FirstWitnessUnreachable_AsksAnother);
  CPPUNIT_TEST(RunLost_NoWitness_IsReportedUntilItIsResolved);
  CPPUNIT_TEST(RunLost_NoWitnessAndEntryLapsesLate_IsCrash);
  CPPUNIT_TEST(RunLost_NoWitnessAndSuccessorListed_IsCrash);
  CPPUNIT_TEST(RunLost_AcceptedAfterRefusal_StaysOpenUntilLapse);
  CPPUNIT_TEST(Suspicion_CompletedElsewhere_IsCleared);
  CPPUNIT_TEST(RunLost_RegistryOutdatedForLong_IsCheckedAfterwards);
  CPPUNIT_TEST(Suspicion_StillPending_IsReportedAgain);
  CPPUNIT_TEST(ListedSuspicion_SuccessorIsRegistered_IsCrash);
  CPPUNIT_TEST(ListedSuspicion_UpstreamUnregisteredForLong_IsCrash);
  CPPUNIT_TEST(ListedSuspicion_UpstreamRegistered_IsNoCrash);
  CPPUNIT_TEST_SUITE_END();

  static UpstreamPtr MakeUpstream(const char* aId) {
    UpstreamEntry entry;
    entry.id = aId;
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
  void OnCleared(Fingerprint) override {}
  void OnBlocked(Fingerprint) override {}
  void OnUpstreamSuspected() override {}

  FakeClock clock;
  ScriptedControl control;
  CrashTracker tracker{CrashTrackerSettings{}};
  CrashDetector detector{tracker, control, clock, *this};
  UpstreamPtr upstream = MakeUpstream("i1");
  std::vector<UpstreamCrash> crashes;
  std::vector<UpstreamCrash> repeated;
  std::vector<UpstreamCrash> suspected;
  std::vector<UpstreamCrash> withdrawn;
  std::vector<UpstreamPtr> registered;

  void AdvanceAndTick(Micros aTime) {
    clock.Advance(aTime);
    detector.Tick();
  }

  /// Lists other upstreams of the service besides `upstream`.
  void List(const std::vector<UpstreamPtr>& aOthers) {
    std::vector<UpstreamPtr> all{upstream};
    all.insert(all.end(), aOthers.begin(), aOthers.end());
    detector.SetUpstreams([all](const std::string&) { return all; });
  }

  /// Lets each attempt fail, at the upstream and at its witnesses.
  void KeepRefusing(Micros aFor) {
    for (Micros passed{0}; passed < aFor; passed += kRetryDelay) {
      while (control.HasPendingConnect()) {
        control.FinishConnect(Reachability::Refused);
      }
      this->AdvanceAndTick(kRetryDelay);
    }
  }

 public:
  void setUp() override { clock.Advance(100s); }

  void RunLost_OtherUpstreamUnreachableToo_IsInconclusive() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.connected.size());
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(crashes.empty() && tracker.IsEmpty());
    // It can't be reached from here, whatever the reason.
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
  }

  void RunLost_OtherUpstreamAccepts_IsCrash() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT(crashes.empty());
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT(tracker.HasCrashes(kPoison));
  }

  void RunLost_OtherUpstreamUnreachableForLong_IsNoCrash() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    for (int i = 0; i < 40; ++i) {
      if (control.HasPendingConnect()) {
        control.FinishConnect(Reachability::Refused);
      }
      this->AdvanceAndTick(kRetryDelay);
    }
    CPPUNIT_ASSERT(crashes.empty() && tracker.IsEmpty());
  }

  void RunLost_FirstWitnessUnreachable_AsksAnother() {
    List({MakeUpstream("i2"), MakeUpstream("i3")});
    detector.OnRunLost({kPoison, {}}, upstream);
    control.FinishConnect(Reachability::Refused);
    control.FinishConnect(Reachability::Silent);
    this->AdvanceAndTick(kRetryDelay);
    control.FinishConnect(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, control.connected.size());
    CPPUNIT_ASSERT(control.connected[1] != control.connected[3]);
    control.FinishConnect(Reachability::Reached);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_NoWitness_IsReportedUntilItIsResolved() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepRefusing(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspected.size());
    CPPUNIT_ASSERT(suspected[0].candidate == kPoison);
    CPPUNIT_ASSERT_EQUAL(upstream->Number(), suspected[0].upstream);
    CPPUNIT_ASSERT(withdrawn.empty());
    // Neither the store nor another upstream ever shows more.
    this->KeepRefusing(8s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, withdrawn.size());
    CPPUNIT_ASSERT(crashes.empty() && !tracker.MayBlock());
  }

  void RunLost_NoWitnessAndEntryLapsesLate_IsCrash() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepRefusing(5s);
    upstream->SetDeregistered(clock.Now());
    this->KeepRefusing(kRetryDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void RunLost_NoWitnessAndSuccessorListed_IsCrash() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepRefusing(500ms);
    upstream->SetSucceeded();
    this->KeepRefusing(kRetryDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT(withdrawn.empty());
  }

  // The next incarnation accepts at the address before it is listed.
  void RunLost_AcceptedAfterRefusal_StaysOpenUntilLapse() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepRefusing(500ms);
    for (Micros passed{0}; passed < 4s; passed += kRetryDelay) {
      if (control.HasPendingConnect()) {
        control.FinishConnect(Reachability::Reached);
      }
      this->AdvanceAndTick(kRetryDelay);
    }
    CPPUNIT_ASSERT(crashes.empty() && tracker.MayBlock());
    upstream->SetDeregistered(clock.Now());
    this->AdvanceAndTick(kRetryDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
  }

  void Suspicion_CompletedElsewhere_IsCleared() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepRefusing(500ms);
    CPPUNIT_ASSERT(detector.OnClearedByPeer(kPoison));
    detector.OnRequestCompleted({Fingerprint{2}, {}});
    CPPUNIT_ASSERT(!detector.OnSuspectedByPeer({Fingerprint{2}, 7}));
    CPPUNIT_ASSERT(detector.OnSuspectedByPeer({Fingerprint{3}, 7}));
  }

  void SetListed(const std::vector<UpstreamPtr>& aUpstreams) {
    SuspectedCrashes listed;
    for (const UpstreamPtr& one : aUpstreams) {
      listed[kPoison].insert(one->Number());
    }
    tracker.SetListedSuspicions(listed, clock.Now());
    detector.SetFindUpstream([this](std::uint64_t aNumber) {
      const auto found = std::find_if(
          registered.begin(), registered.end(),
          [&](const UpstreamPtr& aOne) { return aOne->Number() == aNumber; });
      return found == registered.end() ? nullptr : *found;
    });
  }

  // Guards against giving up while the store is away: nothing else shows the
  // end of upstreams that have all crashed.
  void RunLost_RegistryOutdatedForLong_IsCheckedAfterwards() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    for (int i = 0; i < 200; ++i) {
      detector.OnRegistryOutdated();
      this->KeepRefusing(kRetryDelay);
    }
    CPPUNIT_ASSERT(withdrawn.empty());
    CPPUNIT_ASSERT(!tracker.HasCrashes(kPoison));
    this->KeepRefusing(5s);
    upstream->SetSucceeded();
    this->AdvanceAndTick(kRetryDelay);
    CPPUNIT_ASSERT(tracker.HasCrashes(kPoison));
    // Where the registered upstreams show nothing, the check ends.
    const auto other = MakeUpstream("i3");
    detector.OnRunLost({Fingerprint{2}, {}}, other);
    this->KeepRefusing(11s);
    CPPUNIT_ASSERT(!tracker.HasCrashes(Fingerprint{2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, withdrawn.size());
  }

  // Guards against reporting a suspicion once: a daemon that is paused or cut
  // from its peers just then sends the request on, and others forget it.
  void Suspicion_StillPending_IsReportedAgain() {
    List({MakeUpstream("i2")});
    detector.OnRunLost({kPoison, {}}, upstream);
    this->KeepRefusing(2s);
    for (int i = 0; i < 2; ++i) {
      suspected.clear();
      this->KeepRefusing(4s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspected.size());
      CPPUNIT_ASSERT_EQUAL(upstream->Number(), suspected[0].upstream);
    }
    suspected.clear();
    upstream->SetSucceeded();
    this->AdvanceAndTick(kRetryDelay);
    this->KeepRefusing(8s);
    CPPUNIT_ASSERT(suspected.empty());
  }

  void ListedSuspicion_SuccessorIsRegistered_IsCrash() {
    registered = {MakeUpstream("i1"), MakeUpstream("i2"), MakeUpstream("i3")};
    this->SetListed(registered);
    detector.CheckListedSuspicions();
    CPPUNIT_ASSERT(!tracker.HasCrashes(kPoison));
    registered[0]->SetSucceeded();
    registered[1]->SetEnded(clock.Now());
    detector.CheckListedSuspicions();
    CPPUNIT_ASSERT(tracker.HasCrashes(kPoison));
    CPPUNIT_ASSERT(tracker.Blocked(clock.Now()).empty());
    registered[2]->SetSucceeded();
    detector.CheckListedSuspicions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tracker.Blocked(clock.Now()).size());
    // All daemons have read the same list.
    CPPUNIT_ASSERT(crashes.empty());
  }

  void ListedSuspicion_UpstreamUnregisteredForLong_IsCrash() {
    this->SetListed(
        {MakeUpstream("i1"), MakeUpstream("i2"), MakeUpstream("i3")});
    detector.CheckListedSuspicions();
    clock.Advance(2900ms);
    detector.CheckListedSuspicions();
    CPPUNIT_ASSERT(!tracker.HasCrashes(kPoison));
    CPPUNIT_ASSERT(tracker.FindBlock({kPoison, {}}, clock.Now()).has_value());
    clock.Advance(100ms);
    detector.CheckListedSuspicions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tracker.Blocked(clock.Now()).size());
  }

  void ListedSuspicion_UpstreamRegistered_IsNoCrash() {
    const auto late = MakeUpstream("i3");
    registered = {MakeUpstream("i1"), MakeUpstream("i2")};
    this->SetListed({registered[0], registered[1], late});
    detector.CheckListedSuspicions();
    clock.Advance(2s);
    // Its entry was read late.
    registered.push_back(late);
    for (int i = 0; i < 20; ++i) {
      detector.CheckListedSuspicions();
      clock.Advance(500ms);
    }
    tracker.Tick(clock.Now());
    CPPUNIT_ASSERT(tracker.IsEmpty());
    CPPUNIT_ASSERT(!tracker.FindBlock({kPoison, {}}, clock.Now()).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWitnessTest);

}  // namespace
}  // namespace zincstep
