#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Cluster/PlacementController.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A store that grants each lease and applies each write.
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

/// Runs plans at once, or blocks them until a test runs them.
class BlockingPlanRunner final : public PlanRunner {
 public:
  void Start(PlanTask aTask, Done aDone) override {
    this->started += 1;
    this->lastInput = aTask.input;
    if (!this->isBlocking) {
      this->direct.Start(std::move(aTask), std::move(aDone));
      return;
    }
    this->blocked.push_back({std::move(aTask), std::move(aDone)});
  }

  /// Completes the oldest blocked plan.
  void RunNext() {
    CPPUNIT_ASSERT(!this->blocked.empty());
    auto [task, done] = std::move(this->blocked.front());
    this->blocked.pop_front();
    this->direct.Start(std::move(task), std::move(done));
  }

  bool isBlocking = false;
  int started = 0;
  PlacementInput lastInput;

 private:
  DirectPlanRunner direct{PlacementSettings{}};
  std::deque<std::pair<PlanTask, Done>> blocked;
};

class PlacementControllerTest : public CppUnit::TestFixture,
                                private ClusterListener {
  CPPUNIT_TEST_SUITE(PlacementControllerTest);
  CPPUNIT_TEST(Leader_LayerGapPersists_OrdersLayers);
  CPPUNIT_TEST(Leader_MostUpstreamsFallSilent_WaitsBeforeTakingLayers);
  CPPUNIT_TEST(Leader_ElectedDuringSilence_WaitsBeforeTakingLayers);
  CPPUNIT_TEST(Leader_SilentUpstreamsEnd_OrdersLayers);
  CPPUNIT_TEST(Leader_HoldersAloneFallSilent_OrdersLayers);
  CPPUNIT_TEST(Leader_UpstreamsStillRejoining_OrdersNothing);
  CPPUNIT_TEST(Leader_AcquiredAfterAnOutage_WaitsForExpiredEntries);
  CPPUNIT_TEST(Leader_UpstreamRefusesRequests_StillCountsItsLayers);
  CPPUNIT_TEST(Leader_OrderedUpstreamRestarts_OrdersAgain);
  CPPUNIT_TEST(Leader_ReportOfOldIncarnation_OrdersNothing);
  CPPUNIT_TEST(Leader_EntryOfReplacedUpstream_DelaysNoOrder);
  CPPUNIT_TEST(Leader_PlanNeverEnds_KeepsTheLeadership);
  CPPUNIT_TEST(Leader_PoolChangedDuringPlan_OrdersOnlyUnchangedUpstreams);
  CPPUNIT_TEST(Leader_PlanEndsLate_OrdersNothing);
  CPPUNIT_TEST(Leader_ChangeDuringPlan_IsPlannedNext);
  CPPUNIT_TEST(Leader_TwoModels_OrdersLayersForEach);
  CPPUNIT_TEST(Leader_StoreRestored_AcquiresAfterTheTtl);
  CPPUNIT_TEST(Leader_PlanOfEarlierEra_OrdersNothing);
  CPPUNIT_TEST(Leader_DemandKnownByDomain_PlansTargets);
  CPPUNIT_TEST(Leader_DemandOfOlderDaemon_PlansWithoutTargets);
  CPPUNIT_TEST(Leader_DomainDemandOff_PlansWithoutTargets);
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
  BlockingPlanRunner planRunner;
  std::unique_ptr<PlacementController> controller;
  std::uint64_t revision = 10;

  /// Registers an upstream whose memory fits just these layers.
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
                                                       view, planRunner, clock);
  }

  /// Runs a leader with this demand of the domain `a`, if it is known by
  /// domain.
  void RunWithDemand(double aTokens, bool aIsByDomain) {
    controller->SetDemand([=]() -> std::optional<ObservedDemand> {
      ObservedDemand demand{aTokens, 0};
      if (aIsByDomain) {
        demand.byDomain["a"] = {aTokens, aTokens, 0};
      }
      return demand;
    });
    this->Put("i1", 0, 8);
    this->Run(1s);
    CPPUNIT_ASSERT(controller->IsLeader());
  }

  void Leader_DemandKnownByDomain_PlansTargets() {
    this->RunWithDemand(500, true);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, planRunner.lastInput.targets.at("a"),
                                 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        500, controller->Targets().at("m").at("a").target, 1e-6);
    controller->Stop();
    CPPUNIT_ASSERT(controller->Targets().empty());
  }

  void Leader_DemandOfOlderDaemon_PlansWithoutTargets() {
    this->RunWithDemand(500, false);
    CPPUNIT_ASSERT(planRunner.lastInput.demand.has_value());
    CPPUNIT_ASSERT(planRunner.lastInput.targets.empty());
  }

  // `off` restores the previous behaviour, whatever peers report.
  void Leader_DomainDemandOff_PlansWithoutTargets() {
    PlacementControllerSettings settings;
    settings.name = "d1";
    settings.key = "duty";
    settings.domainDemand = FeatureMode::Off;
    controller = std::make_unique<PlacementController>(settings, store, control,
                                                       view, planRunner, clock);
    this->RunWithDemand(500, true);
    CPPUNIT_ASSERT(planRunner.lastInput.demand.has_value());
    CPPUNIT_ASSERT(planRunner.lastInput.targets.empty());
    CPPUNIT_ASSERT(controller->Targets().empty());
  }

  void Leader_LayerGapPersists_OrdersLayers() {
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(1s);
    CPPUNIT_ASSERT(controller->IsLeader());
    CPPUNIT_ASSERT_EQUAL(std::string("i1"), control.probed.at(0));
  }

  /// Lists three holders of each half of the layers, of which the first
  /// `aSilent` fall silent; `i1`, `i3` and `i5` hold the first half.
  void RunWithSilent(int aSilent) {
    for (int i = 1; i <= 6; ++i) {
      const int first = i % 2 == 1 ? 0 : 4;
      this->Put("i" + std::to_string(i), first, first + 4);
    }
    this->Run(500ms);
    CPPUNIT_ASSERT(controller->IsLeader());
    control.probed.clear();
    for (int i = 0; i < aSilent; ++i) {
      this->Silence(kSilentInOrder.at(static_cast<std::size_t>(i)));
    }
    this->Run(250ms);
  }
  /// The holders of the second half come first.
  static constexpr std::array kSilentInOrder{"i2", "i4", "i6",
                                             "i1", "i3", "i5"};

  void Silence(const std::string& aId) {
    view.Directory().Find(aId)->Suspect(clock.Now());
  }

  // Guards against orders that abort running requests to replace upstreams that
  // respond again a moment later: a held loop makes all of them silent.
  void Leader_MostUpstreamsFallSilent_WaitsBeforeTakingLayers() {
    this->RunWithSilent(6);
    for (const char* id : {"i1", "i3", "i5"}) {
      view.Directory().Find(id)->ClearSuspicion();
    }
    this->Run(2s);
    CPPUNIT_ASSERT(control.probed.empty());
    for (const char* id : {"i2", "i4", "i6"}) {
      this->Silence(id);
    }
    this->Run(500ms);
    CPPUNIT_ASSERT(!control.probed.empty());
  }

  // Guards against a leader that stops during a silence, and whose successor
  // takes the upstreams that are still silent for lost.
  void Leader_ElectedDuringSilence_WaitsBeforeTakingLayers() {
    controller->OnLeaderChanged("d2");
    for (int i = 1; i <= 6; ++i) {
      const int first = i % 2 == 1 ? 0 : 4;
      this->Put("i" + std::to_string(i), first, first + 4);
      this->Silence("i" + std::to_string(i));
    }
    this->Run(250ms);
    for (const char* id : {"i1", "i3", "i5"}) {
      view.Directory().Find(id)->ClearSuspicion();
    }
    controller->OnLeaderChanged("");
    this->Run(1500ms);
    CPPUNIT_ASSERT(controller->IsLeader());
    CPPUNIT_ASSERT(control.probed.empty());
  }

  void Leader_SilentUpstreamsEnd_OrdersLayers() {
    this->RunWithSilent(6);
    for (const char* id : {"i1", "i3", "i5"}) {
      view.Directory().Find(id)->ClearSuspicion();
    }
    for (const char* id : {"i2", "i4", "i6"}) {
      view.Directory().Find(id)->SetEnded(clock.Now());
    }
    this->Run(500ms);
    CPPUNIT_ASSERT(!control.probed.empty());
  }

  // Upstreams that are silent beside others that respond are taken for lost.
  void Leader_HoldersAloneFallSilent_OrdersLayers() {
    this->RunWithSilent(3);
    this->Run(250ms);
    CPPUNIT_ASSERT(!control.probed.empty());
  }

  // Guards against orders while upstreams still register again: entries that
  // had expired in an outage of the store returned over three seconds, up to
  // 1.7 s apart.
  void Leader_UpstreamsStillRejoining_OrdersNothing() {
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

  // The same run, second 37.3: the leadership was acquired 50 ms after an
  // outage of the store, and nine orders aborted running requests to load
  // layers whose upstreams' entries had only expired.
  void Leader_AcquiredAfterAnOutage_WaitsForExpiredEntries() {
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

  void Leader_UpstreamRefusesRequests_StillCountsItsLayers() {
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

  // The restarted upstream neither holds nor loads the layers ordered before.
  void Leader_OrderedUpstreamRestarts_OrdersAgain() {
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

  // The entry reappeared for seconds after another upstream had started at its
  // address. Each time its domain counted as rejoining, and nothing was
  // ordered.
  void Leader_EntryOfReplacedUpstream_DelaysNoOrder() {
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
  // expired, and the next leader began the same plan.
  void Leader_PlanNeverEnds_KeepsTheLeadership() {
    planRunner.isBlocking = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(20s);
    CPPUNIT_ASSERT(controller->IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, planRunner.started);
    CPPUNIT_ASSERT(control.probed.empty());
  }

  void Leader_PoolChangedDuringPlan_OrdersOnlyUnchangedUpstreams() {
    planRunner.isBlocking = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(500ms);
    this->Put("i1", 0, 4, 2);
    planRunner.isBlocking = false;
    planRunner.RunNext();
    // The plan was for the previous incarnation; the next one starts at once.
    CPPUNIT_ASSERT_EQUAL(2, planRunner.started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  void Leader_PlanEndsLate_OrdersNothing() {
    planRunner.isBlocking = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(3s);
    planRunner.RunNext();
    CPPUNIT_ASSERT(control.probed.empty());
    planRunner.isBlocking = false;
    this->Run(250ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  void Leader_ChangeDuringPlan_IsPlannedNext() {
    planRunner.isBlocking = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 4, 8);
    this->Put("i3", 0, 4);
    this->Run(500ms);
    view.OnUpstreamEvents({{{{"i2", "", ++revision}, true}}, revision});
    this->Run(250ms);
    planRunner.isBlocking = false;
    planRunner.RunNext();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
  }

  // The upstreams of the two models were confused: all seemed to rejoin in each
  // pass, and nothing was ever ordered.
  void Leader_TwoModels_OrdersLayersForEach() {
    view.OnConfiguration({"", Config(Service("m") + "," + Service("n")), 6});
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Put("j1", 0, 4, 1, "10.0.1.1:80", "n");
    this->Put("j2", 0, 4, 1, "10.0.1.2:80", "n");
    this->Run(4s);
    CPPUNIT_ASSERT(this->WasCalled("i1"));
    CPPUNIT_ASSERT(this->WasCalled("j1"));
  }

  // The former leader keeps sending orders until it learns of the restore.
  void Leader_StoreRestored_AcquiresAfterTheTtl() {
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

  // A plan that was started in the earlier era sends no orders, though the
  // leadership has the same revision number.
  void Leader_PlanOfEarlierEra_OrdersNothing() {
    planRunner.isBlocking = true;
    this->Put("i1", 0, 4);
    this->Put("i2", 0, 4);
    this->Run(500ms);
    controller->OnRestored();
    store.era = 1;
    controller->OnLeaderChanged("");
    planRunner.isBlocking = false;
    clock.Advance(1900ms);
    controller->Tick();
    clock.Advance(100ms);
    controller->Tick();
    CPPUNIT_ASSERT(controller->IsLeader());
    const int before = planRunner.started;
    planRunner.RunNext();
    CPPUNIT_ASSERT(control.probed.empty());
    CPPUNIT_ASSERT_EQUAL(before, planRunner.started);
  }

  bool WasCalled(const std::string& aId) const {
    return std::find(control.probed.begin(), control.probed.end(), aId) !=
           control.probed.end();
  }

  void Leader_ReportOfOldIncarnation_OrdersNothing() {
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
