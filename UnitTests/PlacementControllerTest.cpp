#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Cluster/PlacementController.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A store that grants each lease and takes each change.
class GrantingStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange, Done<StoreCommit> aDone) override {
    aDone(StoreCommit{true, {7, this->era}, std::nullopt});
  }
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t> aDone) override { aDone(1); }
  void Renew(std::uint64_t, Done<bool> aDone) override { aDone(true); }
  void End(std::uint64_t, Done<bool> aDone) override { aDone(true); }

  std::uint64_t era = 0;
};

/// Makes plans at once, or holds them until they are let go.
class HeldPlans final : public PlanRunner {
 public:
  void Start(PlanTask aTask, Done aDone) override {
    this->started += 1;
    if (!this->holds) {
      this->direct.Start(std::move(aTask), std::move(aDone));
      return;
    }
    this->held.push_back({std::move(aTask), std::move(aDone)});
  }

  /// Ends the oldest plan that is held.
  void LetGo() {
    CPPUNIT_ASSERT(!this->held.empty());
    auto [task, done] = std::move(this->held.front());
    this->held.pop_front();
    this->direct.Start(std::move(task), std::move(done));
  }

  bool holds = false;
  int started = 0;

 private:
  DirectPlanRunner direct{PlacementSettings{}};
  std::deque<std::pair<PlanTask, Done>> held;
};

class PlacementControllerTest : public CppUnit::TestFixture,
                                private ClusterListener {
  CPPUNIT_TEST_SUITE(PlacementControllerTest);
  CPPUNIT_TEST(Duty_GapThatStays_IsOrderedAway);
  CPPUNIT_TEST(Duty_UpstreamsStillJoining_OrdersNothing);
  CPPUNIT_TEST(Duty_TakenAsTheStoreComesBack_WaitsForLapsedEntries);
  CPPUNIT_TEST(Duty_UpstreamThatRefuses_CountsAsHolder);
  CPPUNIT_TEST(Duty_OrderedOneStartsAgain_IsOrderedAnew);
  CPPUNIT_TEST(Duty_ReportOfTheOldStart_OrdersNothing);
  CPPUNIT_TEST(Duty_EntryOfOneThatWasSucceeded_HoldsNoOrderUp);
  CPPUNIT_TEST(Duty_PlanThatNeverEnds_KeepsTheDuty);
  CPPUNIT_TEST(Duty_PlanOfAnEarlierPool_OrdersWhatIsStillAsItWas);
  CPPUNIT_TEST(Duty_PlanThatEndsLate_OrdersNothing);
  CPPUNIT_TEST(Duty_NewsWhileAPlanIsMade_IsPlannedNext);
  CPPUNIT_TEST(Duty_TwoModels_GapOfEachIsOrderedAway);
  CPPUNIT_TEST(Duty_StoreRestored_IsVoidAndTakenWhenItsLeaseIsOver);
  CPPUNIT_TEST(Duty_OfTwoEras_HasNotOneFence);
  CPPUNIT_TEST_SUITE_END();

  /// A service with a model of eight layers.
  static std::string Service(const std::string& aName) {
    return R"({"name":")" + aName +
           R"(","path":"/h","maxConnections":100,"engine":{"model":"x",)"
           R"("layers":8,"layer_mb":1000,"kvTokenBytes":1000,"step_ms":1,)"
           R"("read_per_s":1000,"usual":{"prompt":100,"answer":50},)"
           R"("load_s":8,"loads_at_once":4,"kinds":[)"
           R"({"name":"whole","mb":9000,"pace":1,"read_x":1},)"
           R"({"name":"half","mb":4100,"pace":1,"read_x":1}]}})";
  }
  static std::string Config(const std::string& aServices) {
    return R"({"configVersion":1,"routes":[],"services":[)" + aServices + "]}";
  }

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  ClusterView view{*decoder, *this, clock};
  GrantingStore store;
  ScriptedControl control;
  HeldPlans plans;
  std::unique_ptr<PlacementController> controller;
  std::uint64_t revision = 10;

  /// An upstream writes its entry; its memory is for those layers alone.
  void Put(const std::string& aId, int aFirst, int aLast, int aBorn = 1,
           const std::string& aAddress = "10.0.0.1:80",
           const std::string& aService = "m") {
    const std::string text =
        R"({"backend":")" + aService + R"(","address":")" + aAddress +
        R"(","zone":"a","slots":4,)"
        R"("state":"ready","routeType":")" +
        std::string(aLast - aFirst > 4 ? "whole" : "half") +
        R"(","layers":{"from":)" + std::to_string(aFirst) +
        R"(,"targetVersion":)" + std::to_string(aLast) + R"(},"born":)" +
        std::to_string(aBorn) + "}";
    StoreEvents events;
    events.events.push_back({{aId, text, ++revision}, false});
    events.at = {revision};
    view.OnUpstreamEvents(events);
  }

  void Run(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += 250ms) {
      clock.Advance(250ms);
      controller->Tick();
    }
  }

 public:
  void setUp() override {
    view.OnConfiguration({"", Config(Service("m")), 5});
    CPPUNIT_ASSERT(view.Table() != nullptr);
    PlacementControllerSettings settings;
    settings.name = "d1";
    settings.key = "duty";
    controller = std::make_unique<PlacementController>(settings, store, control,
                                                       view, plans, clock);
  }

  void Duty_GapThatStays_IsOrderedAway() {
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(1s);
    CPPUNIT_ASSERT(controller->IsLeader());
    CPPUNIT_ASSERT_EQUAL(std::string("i1"), control.probed.at(0));
  }

  // actas-lima-grown trouble-3, second 40: entries that had lapsed in an outage
  // of the store came back over three seconds, up to 1.7 s apart.
  void Duty_UpstreamsStillJoining_OrdersNothing() {
    this->Put("i1", 0, 8);
    this->Run(500ms);
    StoreRange none;
    none.at = {++revision};
    view.OnUpstreams(none);
    this->Run(500ms);
    this->Put("i2", 0, 4);
    this->Run(500ms);
    this->Put("i3", 0, 4);
    this->Run(1750ms);
    this->Put("i4", 4, 8);
    this->Run(4s);
    CPPUNIT_ASSERT(control.probed.empty());
  }

  // The same day, second 37.3: the duty was taken 50 ms after an outage of the
  // store, and nine orders cut what ran at layers whose entries had lapsed.
  void Duty_TakenAsTheStoreComesBack_WaitsForLapsedEntries() {
    view.OnStoreReachable(false);
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    view.OnStoreReachable(true);
    this->Run(2s);
    CPPUNIT_ASSERT(controller->IsLeader());
    CPPUNIT_ASSERT(control.probed.empty());
    this->Put("i3", 4, 8);
    this->Run(4s);
    CPPUNIT_ASSERT(control.probed.empty());
  }

  void Duty_UpstreamThatRefuses_CountsAsHolder() {
    this->Put("i1", 0, 8);
    this->Put("i2", 0, 4);
    this->Run(1s);
    control.probed.clear();
    for (int i = 0; i < 3; ++i) {
      view.Directory().Find("i1")->OnRefusal(clock.Now());
    }
    CPPUNIT_ASSERT(view.Directory().Find("i1")->IsRefusing(clock.Now()));
    this->Run(1s);
    CPPUNIT_ASSERT(control.probed.empty());
  }

  // What was ordered of the former start is neither held nor being loaded.
  void Duty_OrderedOneStartsAgain_IsOrderedAnew() {
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(1s);
    control.Answer(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.places.size());
    this->Put("i1", 0, 0, 2);
    this->Run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("i1"), control.probed.at(1));
  }

  // It came back for seconds behind who had begun at its address, and for each
  // time its domain was taken for one that rejoins, in which nothing is
  // ordered.
  void Duty_EntryOfOneThatWasSucceeded_HoldsNoOrderUp() {
    this->Put("i1", 0, 4, 1, "10.0.0.1:80");
    this->Put("i2", 0, 4, 1, "10.0.0.2:80");
    this->Put("i3", 4, 8, 1, "10.0.0.3:80");
    this->Run(2s);
    CPPUNIT_ASSERT(control.probed.empty());
    view.OnUpstreamEvents({{{{"i3", "", ++revision}, true}}, revision});
    this->Run(250ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
    this->Put("i4", 0, 0, 1, "10.0.0.3:80");
    this->Put("i3", 4, 8, 1, "10.0.0.3:80");
    control.TimeOutReport();
    this->Run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
  }

  // With 333 upstreams in a domain a plan took seconds on the loop: the lease
  // ran out, and the next holder began the same plan.
  void Duty_PlanThatNeverEnds_KeepsTheDuty() {
    plans.holds = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(20s);
    CPPUNIT_ASSERT(controller->IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, plans.started);
    CPPUNIT_ASSERT(control.probed.empty());
  }

  void Duty_PlanOfAnEarlierPool_OrdersWhatIsStillAsItWas() {
    plans.holds = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(500ms);
    this->Put("i1", 0, 4, 2);
    plans.holds = false;
    plans.LetGo();
    // The plan named the start before; the next one is made at once.
    CPPUNIT_ASSERT_EQUAL(2, plans.started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  void Duty_PlanThatEndsLate_OrdersNothing() {
    plans.holds = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(3s);
    plans.LetGo();
    CPPUNIT_ASSERT(control.probed.empty());
    plans.holds = false;
    this->Run(250ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  void Duty_NewsWhileAPlanIsMade_IsPlannedNext() {
    plans.holds = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 4, 8);
    this->Put("i3", 0, 4);
    this->Run(500ms);
    view.OnUpstreamEvents({{{{"i2", "", ++revision}, true}}, revision});
    this->Run(250ms);
    plans.holds = false;
    plans.LetGo();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  // Each model's list was taken for the other's: all upstreams seemed to join
  // anew at each look, and nothing was ever ordered.
  void Duty_TwoModels_GapOfEachIsOrderedAway() {
    view.OnConfiguration({"", Config(Service("m") + "," + Service("n")), 6});
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Put("j1", 0, 4, 1, "10.0.1.1:80", "n");
    this->Put("j2", 0, 4, 1, "10.0.1.2:80", "n");
    this->Run(4s);
    CPPUNIT_ASSERT(this->WasAsked("i1"));
    CPPUNIT_ASSERT(this->WasAsked("j1"));
  }

  // Whoever held the duty goes on to give orders until it hears of the return.
  void Duty_StoreRestored_IsVoidAndTakenWhenItsLeaseIsOver() {
    this->Put("i1", 0, 8);
    this->Run(500ms);
    CPPUNIT_ASSERT(controller->IsLeader());
    controller->OnRestored();
    view.OnRestored(1);
    CPPUNIT_ASSERT(!controller->IsLeader());
    this->Run(1750ms);
    CPPUNIT_ASSERT(!controller->IsLeader());
    this->Run(750ms);
    CPPUNIT_ASSERT(controller->IsLeader());
  }

  // A plan that was begun in the earlier era gives no orders, though the
  // revision of the duty is the same number.
  void Duty_OfTwoEras_HasNotOneFence() {
    plans.holds = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(500ms);
    controller->OnRestored();
    store.era = 1;
    controller->OnLeaderChanged("");
    plans.holds = false;
    clock.Advance(1900ms);
    controller->Tick();
    clock.Advance(100ms);
    controller->Tick();
    CPPUNIT_ASSERT(controller->IsLeader());
    const int before = plans.started;
    plans.LetGo();
    CPPUNIT_ASSERT(control.probed.empty());
    CPPUNIT_ASSERT_EQUAL(before, plans.started);
  }

  bool WasAsked(const std::string& aId) const {
    return std::find(control.probed.begin(), control.probed.end(), aId) !=
           control.probed.end();
  }

  void Duty_ReportOfTheOldStart_OrdersNothing() {
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(1s);
    this->Put("i1", 0, 0, 2);
    control.Answer(1);
    CPPUNIT_ASSERT(control.places.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementControllerTest);

}  // namespace
}  // namespace zincstep
