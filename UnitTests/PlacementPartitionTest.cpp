#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Cluster/PlacementController.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A store that grants each lease and counts those that are ended.
class LeaseStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange, Done<StoreCommit> aDone) override {
    aDone(StoreCommit{true, {7, 0}, std::nullopt});
  }
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t> aDone) override { aDone(1); }
  void Renew(std::uint64_t, Done<bool> aDone) override { aDone(true); }
  void End(std::uint64_t, Done<bool> aDone) override {
    this->ended += 1;
    aDone(true);
  }

  int ended = 0;
};

/// The placement leadership at daemons without a path to upstreams.
class PlacementPartitionTest : public CppUnit::TestFixture,
                               private ClusterListener {
  CPPUNIT_TEST_SUITE(PlacementPartitionTest);
  CPPUNIT_TEST(Leader_WithoutPathToUpstreams_GivesUpItsLease);
  CPPUNIT_TEST(Daemon_WithoutPathToUpstreams_DoesNotCampaign);
  CPPUNIT_TEST(Daemon_PathIsBack_CampaignsAgain);
  CPPUNIT_TEST(LeaderlessTime_LeaderKnown_IsZero);
  CPPUNIT_TEST_SUITE_END();

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  ClusterView view{*decoder, *this, clock};
  LeaseStore store;
  ScriptedControl control;
  DirectPlanRunner planRunner{PlacementSettings{}};
  std::unique_ptr<PlacementController> controller;
  bool hasPath = true;

  void Run(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += 250ms) {
      clock.Advance(250ms);
      controller->Tick();
    }
  }

 public:
  void setUp() override {
    clock.Advance(60s);
    PlacementControllerSettings settings;
    settings.name = "d1";
    settings.key = "duty";
    controller = std::make_unique<PlacementController>(settings, store, control,
                                                       view, planRunner, clock);
    controller->SetHasPath([this] { return hasPath; });
  }

  void Leader_WithoutPathToUpstreams_GivesUpItsLease() {
    this->Run(1s);
    CPPUNIT_ASSERT(controller->IsLeader());
    hasPath = false;
    this->Run(250ms);
    CPPUNIT_ASSERT(!controller->IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, store.ended);
  }

  void Daemon_WithoutPathToUpstreams_DoesNotCampaign() {
    hasPath = false;
    this->Run(3s);
    CPPUNIT_ASSERT(!controller->IsLeader());
  }

  void Daemon_PathIsBack_CampaignsAgain() {
    hasPath = false;
    this->Run(3s);
    hasPath = true;
    this->Run(1s);
    CPPUNIT_ASSERT(controller->IsLeader());
  }

  void LeaderlessTime_LeaderKnown_IsZero() {
    controller->OnLeaderChanged("");
    clock.Advance(3s);
    CPPUNIT_ASSERT(controller->LeaderlessTime() == 3s);
    controller->OnLeaderChanged("");
    CPPUNIT_ASSERT(controller->LeaderlessTime() == 3s);
    controller->OnLeaderChanged("d2");
    clock.Advance(1s);
    CPPUNIT_ASSERT(controller->LeaderlessTime() == Micros{0});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementPartitionTest);

}  // namespace
}  // namespace zincstep
