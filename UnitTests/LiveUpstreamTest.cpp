#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

class LiveUpstreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LiveUpstreamTest);
  CPPUNIT_TEST(OnRefusal_SeveralInARow_MarksRefusing);
  CPPUNIT_TEST(OnRefusal_AfterBackoff_IsNotRefusing);
  CPPUNIT_TEST(IsHealthy_RefusingUpstream_IsTrueWithoutAcceptingWork);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  LiveUpstream upstream{UpstreamEntry{}};

  void Refuse(LiveUpstream& aUpstream) const {
    for (int i = 0; i < 3; ++i) {
      aUpstream.OnRefusal(clock.Now());
    }
  }

 public:
  void OnRefusal_SeveralInARow_MarksRefusing() {
    upstream.OnRefusal(clock.Now());
    upstream.OnRefusal(clock.Now());
    CPPUNIT_ASSERT(!upstream.IsRefusing(clock.Now()));
    upstream.OnRefusal(clock.Now());
    CPPUNIT_ASSERT(upstream.IsRefusing(clock.Now()));
  }

  // Guards against refusals that never expire: after all daemons were killed
  // some upstreams refused for a moment. The daemons kept reporting it to each
  // other, and 100 of 170 requests per second were refused until the end of the
  // run. A refusal stays local to the daemon that observed it and expires.
  void OnRefusal_AfterBackoff_IsNotRefusing() {
    this->Refuse(upstream);
    clock.Advance(2s);
    CPPUNIT_ASSERT(!upstream.IsRefusing(clock.Now()));
    upstream.OnRefusal(clock.Now());
    CPPUNIT_ASSERT(!upstream.IsRefusing(clock.Now()));
  }

  // Same run: upstreams short of memory were regarded as lost, and their layers
  // were ordered elsewhere, which aborted the requests that ran there.
  void IsHealthy_RefusingUpstream_IsTrueWithoutAcceptingWork() {
    this->Refuse(upstream);
    CPPUNIT_ASSERT(upstream.IsHealthy(clock.Now()));
    CPPUNIT_ASSERT(!upstream.IsAcceptingWork(clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LiveUpstreamTest);

}  // namespace
}  // namespace zincstep
