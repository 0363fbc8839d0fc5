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
  CPPUNIT_TEST_SUITE_END();

  static UpstreamPtr MakeUpstream(const char* aId) {
    UpstreamEntry entry;
    entry.id = aId;
    return std::make_shared<LiveUpstream>(entry);
  }

  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override {
    crashes.insert(crashes.end(), aCrashes.begin(), aCrashes.end());
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWitnessTest);

}  // namespace
}  // namespace zincstep
