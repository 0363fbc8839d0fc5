#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/SilenceMonitor.h"

namespace zincstep {
namespace {

class SilenceMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilenceMonitorTest);
  CPPUNIT_TEST(Silence_OfMost_HasCommonCauseUntilAllRespond);
  CPPUNIT_TEST(Silence_OfHalf_HasNoCommonCause);
  CPPUNIT_TEST(Silence_OfMostLastsLong_HasNoCommonCause);
  CPPUNIT_TEST(Silence_OfMostAgain_HasCommonCauseAgain);
  CPPUNIT_TEST(Silence_BesideEmptyUpstreams_HasCommonCause);
  CPPUNIT_TEST(Silence_OfEndedUpstreams_HasNoCommonCause);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  SilenceMonitor monitor;
  std::vector<UpstreamPtr> upstreams;

  void Add(std::size_t aCount, LayerRange aLayers = {0, 4}) {
    for (std::size_t i = 0; i < aCount; ++i) {
      UpstreamEntry entry;
      entry.id = "i" + std::to_string(upstreams.size());
      entry.layers = aLayers;
      upstreams.push_back(std::make_shared<LiveUpstream>(entry));
    }
  }

  void Suspect(std::size_t aFirst, std::size_t aEnd) {
    for (std::size_t i = aFirst; i < aEnd; ++i) {
      upstreams[i]->Suspect(clock.Now());
    }
  }

  bool HasCommonCauseAfter(Micros aTime) {
    clock.Advance(aTime);
    monitor.Observe(upstreams, clock.Now());
    return monitor.HasCommonCause(clock.Now());
  }

 public:
  void Silence_OfMost_HasCommonCauseUntilAllRespond() {
    this->Add(6);
    this->Suspect(0, 4);
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(0ms));
    for (std::size_t i = 0; i < 3; ++i) {
      upstreams[i]->ClearSuspicion();
    }
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(500ms));
    upstreams[3]->ClearSuspicion();
    CPPUNIT_ASSERT(!this->HasCommonCauseAfter(1ms));
  }

  void Silence_OfHalf_HasNoCommonCause() {
    this->Add(6);
    this->Suspect(0, 3);
    CPPUNIT_ASSERT(!this->HasCommonCauseAfter(0ms));
  }

  // Guards against layers that stay without a holder while most are lost.
  void Silence_OfMostLastsLong_HasNoCommonCause() {
    this->Add(6);
    this->Suspect(0, 6);
    clock.Advance(2100ms);
    this->Suspect(0, 6);  // For twice the time.
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(0ms));
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(2400ms));
    CPPUNIT_ASSERT(!this->HasCommonCauseAfter(200ms));
  }

  // Guards against a later silence that counts from the first one, as one
  // upstream has been suspect since.
  void Silence_OfMostAgain_HasCommonCauseAgain() {
    this->Add(6);
    this->Suspect(5, 6);
    clock.Advance(2100ms);
    this->Suspect(0, 6);
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(0ms));
    for (std::size_t i = 0; i < 5; ++i) {
      upstreams[i]->ClearSuspicion();
    }
    CPPUNIT_ASSERT(!this->HasCommonCauseAfter(3s));
    this->Suspect(0, 5);
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(100ms));
  }

  void Silence_BesideEmptyUpstreams_HasCommonCause() {
    this->Add(4);
    this->Add(8, {});
    this->Suspect(0, 3);
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(0ms));
  }

  void Silence_OfEndedUpstreams_HasNoCommonCause() {
    this->Add(6);
    this->Suspect(0, 4);
    CPPUNIT_ASSERT(this->HasCommonCauseAfter(0ms));
    for (std::size_t i = 0; i < 4; ++i) {
      upstreams[i]->SetEnded(clock.Now());
    }
    CPPUNIT_ASSERT(!this->HasCommonCauseAfter(0ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceMonitorTest);

}  // namespace
}  // namespace zincstep
