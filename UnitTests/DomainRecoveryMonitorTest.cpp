#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/DomainRecoveryMonitor.h"

namespace zincstep {
namespace {

class DomainRecoveryMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainRecoveryMonitorTest);
  CPPUNIT_TEST(Tick_PartitionedDomainResponds_ClearsSuspicions);
  CPPUNIT_TEST(Tick_PartitionedDomainNoResponse_IsProbedPeriodically);
  CPPUNIT_TEST(Tick_FewSuspects_SendsNoProbe);
  CPPUNIT_TEST(Tick_PlainServices_SendsNoProbe);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  Random random{1};
  ScriptedControl control;
  UpstreamProber prober{UpstreamProberSettings{}, control, clock,
                        [](Provenance) {}};
  DomainRecoveryMonitor monitor{prober, clock, random};
  UpstreamDirectory directory;

  void Add(const std::string& aDomain, int aCount, const std::string& aKind) {
    for (int i = 0; i < aCount; ++i) {
      UpstreamEntry entry;
      entry.id = aDomain + std::to_string(i);
      entry.service = "s";
      entry.failureDomain = aDomain;
      entry.kind = aKind;
      directory.Put(entry, clock.Now());
    }
  }

  void Suspect(const std::string& aDomain, int aCount) {
    for (int i = 0; i < aCount; ++i) {
      directory.Find(aDomain + std::to_string(i))->Suspect(clock.Now());
    }
  }

  std::size_t Suspects() {
    std::size_t count = 0;
    for (const auto& [id, upstream] : directory.All()) {
      count += upstream->IsSuspect(clock.Now()) ? 1 : 0;
    }
    return count;
  }

  void Tick(Micros aAfter) {
    clock.Advance(aAfter);
    monitor.Tick(directory);
  }

 public:
  void setUp() override { clock.Advance(60s); }

  // Guards against a domain without a chain after its partition has healed:
  // for 3 s, its daemons suspected all other upstreams.
  void Tick_PartitionedDomainResponds_ClearsSuspicions() {
    Add("a", 10, "t4");
    Add("b", 10, "t4");
    Suspect("a", 6);
    Suspect("b", 1);
    Tick(100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.probed.size());
    clock.Advance(2ms);
    control.Answer(1);
    Tick(250ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Suspects());
    CPPUNIT_ASSERT(directory.Find("b0")->IsSuspect(clock.Now()));
    // All cleared upstreams are probed, as some may be down.
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, control.probed.size());
    clock.Advance(25ms);
    control.TimeOutReport();
    for (int i = 0; i < 4; ++i) {
      control.Answer(1);
    }
    control.TimeOutReport();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Suspects());
  }

  void Tick_PartitionedDomainNoResponse_IsProbedPeriodically() {
    Add("a", 10, "t4");
    Suspect("a", 10);
    for (int i = 0; i < 4; ++i) {
      Tick(250ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control.probed.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Suspects());
  }

  void Tick_FewSuspects_SendsNoProbe() {
    Add("a", 20, "t4");
    Suspect("a", 4);
    Tick(100ms);
    CPPUNIT_ASSERT(control.probed.empty());
  }

  void Tick_PlainServices_SendsNoProbe() {
    Add("a", 8, "");
    Suspect("a", 8);
    Tick(100ms);
    CPPUNIT_ASSERT(control.probed.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainRecoveryMonitorTest);

}  // namespace
}  // namespace zincstep
