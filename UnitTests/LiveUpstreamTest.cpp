#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

class LiveUpstreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LiveUpstreamTest);
  CPPUNIT_TEST(Refusals_InARow_AreFound);
  CPPUNIT_TEST(Refusals_InARow_ComeToAnEnd);
  CPPUNIT_TEST(Refusing_Upstream_IsPresentButNotSound);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  LiveUpstream upstream{UpstreamEntry{}};

  void Refuse(LiveUpstream& aUpstream) const {
    for (int i = 0; i < 3; ++i) {
      aUpstream.OnRefusal(clock.Now());
    }
  }

 public:
  void Refusals_InARow_AreFound() {
    upstream.OnRefusal(clock.Now());
    upstream.OnRefusal(clock.Now());
    CPPUNIT_ASSERT(!upstream.IsRefusing(clock.Now()));
    upstream.OnRefusal(clock.Now());
    CPPUNIT_ASSERT(upstream.IsRefusing(clock.Now()));
  }

  // actas-lima, trouble-1 seed 12: after all daemons were killed some upstreams
  // refused for a moment; the daemons told each other of it for good, and 100
  // of 170 requests a second were refused until the end of the day. What one
  // has found is its own now, and ends by itself.
  void Refusals_InARow_ComeToAnEnd() {
    this->Refuse(upstream);
    clock.Advance(2s);
    CPPUNIT_ASSERT(!upstream.IsRefusing(clock.Now()));
    upstream.OnRefusal(clock.Now());
    CPPUNIT_ASSERT(!upstream.IsRefusing(clock.Now()));
  }

  // The same day: upstreams short of memory were taken for lost, and their
  // layers were ordered elsewhere, which cut what ran there.
  void Refusing_Upstream_IsPresentButNotSound() {
    this->Refuse(upstream);
    CPPUNIT_ASSERT(upstream.IsHealthy(clock.Now()));
    CPPUNIT_ASSERT(!upstream.IsAcceptingWork(clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LiveUpstreamTest);

}  // namespace
}  // namespace zincstep
