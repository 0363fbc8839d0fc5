#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Relay/ReachMonitor.h"

namespace zincstep {
namespace {

/// What a daemon knows of its path to the upstreams of a model and of a plain
/// service.
class ReachMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachMonitorTest);
  CPPUNIT_TEST(Reach_SuspectBehindFirstStage_IsNotCounted);
  CPPUNIT_TEST(Reach_OneOfThreeSuspect_IsNotCutOff);
  CPPUNIT_TEST(Reach_HalfSuspect_IsCutOff);
  CPPUNIT_TEST(Reach_DrainingUpstream_IsNotListed);
  CPPUNIT_TEST(Monitor_SuspicionsExpire_StaysCutOff);
  CPPUNIT_TEST(Monitor_OneResponds_IsReachable);
  CPPUNIT_TEST(Monitor_OneServiceCutOff_OtherIsReachable);
  CPPUNIT_TEST(Peer_SuspectsHalf_IsCutOff);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  Metrics metrics;
  ReachMonitor monitor{clock, metrics};
  UpstreamDirectory directory;

  UpstreamPtr Add(const std::string& aId, const std::string& aService,
                  LayerRange aLayers, Availability aState) {
    UpstreamEntry entry;
    entry.id = aId;
    entry.service = aService;
    entry.kind = aService == "model" ? "k" : "";
    entry.layers = aLayers;
    entry.state = aState;
    directory.Put(entry, clock.Now());
    return directory.Find(aId);
  }

  UpstreamPtr AddPlain(const std::string& aId,
                       Availability aState = Availability::Ready) {
    return this->Add(aId, "plain", {}, aState);
  }

  UpstreamReach Plain() const {
    return ReachOf(directory.OfService("plain"), clock.Now());
  }

  void Tick() {
    RouteConfiguration configuration;
    configuration.services.resize(2);
    configuration.services[0].name = "plain";
    configuration.services[1].name = "model";
    monitor.Tick(RouteTable(configuration), directory);
  }

 public:
  void setUp() override { clock.Advance(60s); }

  void Reach_SuspectBehindFirstStage_IsNotCounted() {
    this->Add("first", "model", {0, 2}, Availability::Ready);
    this->Add("second", "model", {2, 4}, Availability::Ready)
        ->Suspect(clock.Now());
    const UpstreamReach reach =
        ReachOf(directory.OfService("model"), clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reach.listed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reach.unreachable);
  }

  void Reach_OneOfThreeSuspect_IsNotCutOff() {
    this->AddPlain("p1")->Suspect(clock.Now());
    this->AddPlain("p2");
    this->AddPlain("p3");
    CPPUNIT_ASSERT(!this->Plain().IsCutOff());
  }

  void Reach_HalfSuspect_IsCutOff() {
    this->AddPlain("p1")->Suspect(clock.Now());
    this->AddPlain("p2");
    CPPUNIT_ASSERT(this->Plain().IsCutOff());
  }

  void Reach_DrainingUpstream_IsNotListed() {
    this->AddPlain("p1")->Suspect(clock.Now());
    this->AddPlain("p2", Availability::Draining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Plain().listed);
  }

  void Monitor_SuspicionsExpire_StaysCutOff() {
    this->AddPlain("p1")->Suspect(clock.Now());
    this->Tick();
    clock.Advance(3s);
    this->Tick();
    CPPUNIT_ASSERT(!this->Plain().IsCutOff());
    CPPUNIT_ASSERT(monitor.IsCutOff("plain"));
  }

  void Monitor_OneResponds_IsReachable() {
    const UpstreamPtr one = this->AddPlain("p1");
    one->Suspect(clock.Now());
    this->Tick();
    clock.Advance(3s);
    one->OnResponse(clock.Now());
    this->Tick();
    CPPUNIT_ASSERT(!monitor.IsCutOff("plain"));
  }

  void Peer_SuspectsHalf_IsCutOff() {
    for (const char* id : {"p1", "p2", "p3"}) {
      this->AddPlain(id);
    }
    this->Tick();
    CPPUNIT_ASSERT(monitor.CutOffFrom({{"plain", 1}}).empty());
    CPPUNIT_ASSERT(monitor.CutOffFrom({{"plain", 2}, {"unknown", 2}}) ==
                   (std::map<std::string, std::size_t>{{"plain", 2}}));
  }

  void Monitor_OneServiceCutOff_OtherIsReachable() {
    this->AddPlain("p1")->Suspect(clock.Now());
    this->Add("first", "model", {0, 2}, Availability::Ready);
    this->Tick();
    CPPUNIT_ASSERT(monitor.IsCutOff("plain"));
    CPPUNIT_ASSERT(!monitor.IsCutOff("model"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachMonitorTest);

}  // namespace
}  // namespace zincstep
