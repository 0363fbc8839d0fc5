#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/ReachProber.h"

namespace zincstep {
namespace {

/// Probes for the end of an outage, and what they show of its cause.
class ReachProberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachProberTest);
  CPPUNIT_TEST(Probe_ServiceReachable_IsNotSent);
  CPPUNIT_TEST(Probe_Reached_ClearsSuspicionAndContinues);
  CPPUNIT_TEST(Probe_NewConnectionsFail_EndsWithAccepted);
  CPPUNIT_TEST(Path_NoUpstreamAccepts_IsLost);
  CPPUNIT_TEST(Path_OthersAccept_IsNotLost);
  CPPUNIT_TEST(Path_BackAgain_IsNotLost);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  Random random{1};
  Metrics metrics;
  ScriptedControl control;
  ReachMonitor reach{clock, metrics};
  ReachProber prober{reach, control, clock, random};
  UpstreamDirectory directory;
  std::vector<UpstreamPtr> first;
  std::vector<UpstreamPtr> second;

  UpstreamPtr Add(const std::string& aId, LayerRange aLayers) {
    UpstreamEntry entry;
    entry.id = aId;
    entry.service = "model";
    entry.kind = "k";
    entry.layers = aLayers;
    directory.Put(entry, clock.Now());
    return directory.Find(aId);
  }

  void Tick() {
    RouteConfiguration configuration;
    configuration.services.resize(1);
    configuration.services[0].name = "model";
    const RouteTable table(configuration);
    reach.Tick(table, directory);
    prober.Tick(table, directory);
  }

  void SuspectFirst() {
    for (const UpstreamPtr& upstream : first) {
      upstream->Suspect(clock.Now());
    }
  }

  /// Runs ticks whose probes end as `aResult` says for the probed upstream.
  void Run(Micros aSpan,
           const std::function<Reachability(const std::string&)>& aResult) {
    for (Micros passed{0}; passed < aSpan; passed += 250ms) {
      clock.Advance(250ms);
      this->Tick();
      while (control.HasPendingConnect()) {
        control.FinishConnect(aResult(control.connected.back()));
      }
    }
  }

  static Reachability Refuse(const std::string&) {
    return Reachability::Refused;
  }

 public:
  void setUp() override {
    clock.Advance(60s);
    for (int i = 0; i < 3; ++i) {
      first.push_back(this->Add("f" + std::to_string(i), {0, 2}));
      second.push_back(this->Add("s" + std::to_string(i), {2, 4}));
    }
  }

  void Probe_ServiceReachable_IsNotSent() {
    first[0]->Suspect(clock.Now());
    this->Run(2s, Refuse);
    CPPUNIT_ASSERT(control.connected.empty());
  }

  void Probe_Reached_ClearsSuspicionAndContinues() {
    this->SuspectFirst();
    this->Run(1s, [](const std::string&) { return Reachability::Reached; });
    for (const UpstreamPtr& upstream : first) {
      CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
    }
    this->Tick();
    CPPUNIT_ASSERT(!reach.IsCutOff("model"));
  }

  // No upstream is suspect, as open connections still work.
  void Probe_NewConnectionsFail_EndsWithAccepted() {
    reach.OnNotConnected("model", *first[0]);
    reach.OnNotConnected("model", *first[1]);
    this->Run(1s, Refuse);
    CPPUNIT_ASSERT(reach.FailsToConnect("model", 3));
    this->Run(5s, [](const std::string&) { return Reachability::Reached; });
    CPPUNIT_ASSERT(!reach.FailsToConnect("model", 3));
  }

  void Path_NoUpstreamAccepts_IsLost() {
    this->SuspectFirst();
    this->Run(750ms, Refuse);
    CPPUNIT_ASSERT(!reach.HasLostPath("model"));
    this->Run(1s, Refuse);
    CPPUNIT_ASSERT(reach.HasLostPath("model"));
  }

  void Path_OthersAccept_IsNotLost() {
    this->SuspectFirst();
    this->Run(5s, [](const std::string& aUpstream) {
      return aUpstream.starts_with("s") ? Reachability::Reached
                                        : Reachability::Refused;
    });
    CPPUNIT_ASSERT(!reach.HasLostPath("model"));
  }

  void Path_BackAgain_IsNotLost() {
    this->SuspectFirst();
    this->Run(2s, Refuse);
    CPPUNIT_ASSERT(reach.HasLostPath("model"));
    this->Run(2s, [](const std::string&) { return Reachability::Reached; });
    CPPUNIT_ASSERT(!reach.HasLostPath("model"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachProberTest);

}  // namespace
}  // namespace zincstep
