#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

UpstreamPtr MakeUpstream(const std::string& aId) {
  UpstreamEntry entry;
  entry.id = aId;
  return std::make_shared<LiveUpstream>(std::move(entry));
}

class PeerWorkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerWorkTest);
  CPPUNIT_TEST(Update_SeveralDaemons_AddsUp);
  CPPUNIT_TEST(Update_Again_ReplacesReport);
  CPPUNIT_TEST(Update_NoWork_LeavesNoRoundingError);
  CPPUNIT_TEST(Tick_DaemonWithoutReports_IsRemoved);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  PeerWork work;
  UpstreamPtr one = MakeUpstream("one");
  UpstreamPtr two = MakeUpstream("two");

 public:
  void Update_SeveralDaemons_AddsUp() {
    one->localWork = 3;
    work.Update("a", {{one, 10}, {two, 5}}, clock.Now());
    work.Update("b", {{one, 20}}, clock.Now());
    CPPUNIT_ASSERT_EQUAL(33.0, one->Work());
    CPPUNIT_ASSERT_EQUAL(5.0, two->Work());
  }

  void Update_Again_ReplacesReport() {
    work.Update("a", {{one, 10}}, clock.Now());
    work.Update("b", {{one, 20}}, clock.Now());
    work.Update("a", {{two, 7}}, clock.Now());
    CPPUNIT_ASSERT_EQUAL(20.0, one->Work());
    CPPUNIT_ASSERT_EQUAL(7.0, two->Work());
  }

  void Update_NoWork_LeavesNoRoundingError() {
    for (int i = 0; i < 1000; ++i) {
      work.Update("a", {{one, 0.1 * i}}, clock.Now());
      work.Update("b", {{one, 1e7 / (i + 1)}}, clock.Now());
    }
    work.Update("a", {}, clock.Now());
    work.Update("b", {}, clock.Now());
    CPPUNIT_ASSERT_EQUAL(0.0, one->Work());
  }

  void Tick_DaemonWithoutReports_IsRemoved() {
    work.Update("a", {{one, 10}}, clock.Now());
    clock.Advance(1s);
    work.Update("b", {{one, 20}}, clock.Now());
    work.Tick(clock.Now(), 1500ms);
    CPPUNIT_ASSERT_EQUAL(30.0, one->Work());
    clock.Advance(600ms);
    work.Tick(clock.Now(), 1500ms);
    CPPUNIT_ASSERT_EQUAL(20.0, one->Work());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerWorkTest);

}  // namespace
}  // namespace zincstep
