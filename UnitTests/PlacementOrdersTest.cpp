#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Cluster/Cluster.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

class PlacementOrdersTest : public CppUnit::TestFixture,
                            private ClusterListener {
  CPPUNIT_TEST_SUITE(PlacementOrdersTest);
  CPPUNIT_TEST(Send_ManyOrders_LimitsConcurrentCalls);
  CPPUNIT_TEST(Send_LeadershipLost_DiscardsQueuedOrders);
  CPPUNIT_TEST(Expected_LoadTakesLonger_IsCheckedAndKept);
  CPPUNIT_TEST(Expected_LoadedButNotListedYet_IsKept);
  CPPUNIT_TEST(Expected_OrderLost_IsDiscarded);
  CPPUNIT_TEST(Expected_UpstreamDoesNotRespond_IsSuspected);
  CPPUNIT_TEST_SUITE_END();

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  static constexpr LayerRange kTargetLayers{0, 4};

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  ClusterView view{*decoder, *this, clock};
  ScriptedControl control;
  bool isLeader = true;
  PlacementOrdersSettings settings;
  std::unique_ptr<PlacementOrders> orders;
  std::uint64_t revision = 10;
  ModelShape model;

  void Put(const std::string& aId) {
    const std::string text =
        R"({"backend":"m","address":"10.0.0.1:80","zone":"a","slots":4,)"
        R"("state":"ready","routeType":"half","born":1})";
    view.OnUpstreamEvents({{{{aId, text, ++revision}, false}}, revision});
  }

  std::optional<LayerRange> Expected(const std::string& aId) {
    return orders->ExpectedOf(view.Directory().Find(aId), clock.Now());
  }

  /// Sends one order that is accepted, and advances to the end of its load
  /// time.
  void RunOneOrder() {
    this->Put("i1");
    orders->Send(model, {"i1", kTargetLayers, ReleaseMode::AbortRequests});
    control.Answer(UpstreamReport{});
    control.AcceptOrder();
    CPPUNIT_ASSERT(this->Expected("i1") == kTargetLayers);
    clock.Advance(model.loadTime + settings.loadSlack);
    CPPUNIT_ASSERT(this->Expected("i1") == kTargetLayers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
  }

 public:
  void setUp() override {
    model.layers = 8;
    model.loadTime = 8s;
    orders = std::make_unique<PlacementOrders>(settings, control, view, clock,
                                               [this] { return isLeader; });
  }

  // With 3,000 orders at once a daemon had 6,354 connections and exited.
  void Send_ManyOrders_LimitsConcurrentCalls() {
    const int many = 3 * settings.maxConcurrentCalls;
    for (int i = 0; i < many; ++i) {
      this->Put("i" + std::to_string(i));
      orders->Send(model, {"i" + std::to_string(i), kTargetLayers,
                           ReleaseMode::AbortRequests});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(settings.maxConcurrentCalls),
                         control.probed.size());
    clock.Advance(1min);
    CPPUNIT_ASSERT(this->Expected("i" + std::to_string(many - 1)) ==
                   kTargetLayers);
    for (int i = 0; i < many; ++i) {
      control.Answer(UpstreamReport{});
      control.AcceptOrder();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(many), control.places.size());
  }

  void Send_LeadershipLost_DiscardsQueuedOrders() {
    settings.maxConcurrentCalls = 1;
    this->setUp();
    for (const char* id : {"i1", "i2"}) {
      this->Put(id);
      orders->Send(model, {id, kTargetLayers, ReleaseMode::AbortRequests});
    }
    isLeader = false;
    control.Answer(UpstreamReport{});
    CPPUNIT_ASSERT(control.places.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
    CPPUNIT_ASSERT(!this->Expected("i2"));
  }

  // Concurrent loads slow each other down; the upstream was treated as empty
  // and was ordered to load other layers every few seconds.
  void Expected_LoadTakesLonger_IsCheckedAndKept() {
    this->RunOneOrder();
    UpstreamReport busy;
    busy.isBusy = true;
    control.Answer(busy);
    CPPUNIT_ASSERT(this->Expected("i1") == kTargetLayers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.places.size());
  }

  void Expected_LoadedButNotListedYet_IsKept() {
    this->RunOneOrder();
    UpstreamReport done;
    done.layers = kTargetLayers;
    control.Answer(done);
    CPPUNIT_ASSERT(this->Expected("i1") == kTargetLayers);
  }

  void Expected_OrderLost_IsDiscarded() {
    this->RunOneOrder();
    control.Answer(UpstreamReport{});
    CPPUNIT_ASSERT(!this->Expected("i1"));
    CPPUNIT_ASSERT(!view.Directory().Find("i1")->IsSuspect(clock.Now()));
  }

  void Expected_UpstreamDoesNotRespond_IsSuspected() {
    this->RunOneOrder();
    control.TimeOutReport();
    CPPUNIT_ASSERT(!this->Expected("i1"));
    CPPUNIT_ASSERT(view.Directory().Find("i1")->IsSuspect(clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementOrdersTest);

}  // namespace
}  // namespace zincstep
