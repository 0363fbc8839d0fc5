#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Relay/EventSplitter.h"

namespace zincstep {
namespace {

std::string EventText(int aId) {
  return "id: " + std::to_string(aId) + "\ndata: token\n\n";
}

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(Append_CompleteEvents_ForwardsThemUnchanged);
  CPPUNIT_TEST(Append_AnySplit_ForwardsEachEventOnce);
  CPPUNIT_TEST(Append_PartialEvent_IsBuffered);
  CPPUNIT_TEST(BeginRun_RepeatedEvents_AreDropped);
  CPPUNIT_TEST(BeginRun_MissingEvent_IsAGap);
  CPPUNIT_TEST(BeginRun_PartialEvent_IsDiscarded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Append_CompleteEvents_ForwardsThemUnchanged() {
    EventSplitter splitter(std::nullopt);
    const std::string text = EventText(1) + EventText(2);
    CPPUNIT_ASSERT_EQUAL(text, splitter.Append(text));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, *splitter.LastId());
    CPPUNIT_ASSERT(!splitter.HasPartial());
  }

  void Append_AnySplit_ForwardsEachEventOnce() {
    const std::string text = EventText(1) + EventText(2) + EventText(3);
    for (std::size_t size = 1; size <= text.size(); ++size) {
      EventSplitter splitter(std::nullopt);
      std::string forwarded;
      for (std::size_t at = 0; at < text.size(); at += size) {
        forwarded += splitter.Append(std::string_view(text).substr(at, size));
      }
      CPPUNIT_ASSERT_EQUAL(text, forwarded);
    }
  }

  void Append_PartialEvent_IsBuffered() {
    EventSplitter splitter(std::nullopt);
    CPPUNIT_ASSERT_EQUAL(EventText(1),
                         splitter.Append(EventText(1) + "id: 2\nda"));
    CPPUNIT_ASSERT(splitter.HasPartial());
  }

  void BeginRun_RepeatedEvents_AreDropped() {
    EventSplitter splitter(std::nullopt);
    splitter.Append(EventText(1) + EventText(2));
    splitter.BeginRun();
    CPPUNIT_ASSERT_EQUAL(EventText(3),
                         splitter.Append(EventText(2) + EventText(3)));
  }

  void BeginRun_MissingEvent_IsAGap() {
    EventSplitter splitter(std::nullopt);
    splitter.Append(EventText(1));
    splitter.BeginRun();
    CPPUNIT_ASSERT_EQUAL(std::string(), splitter.Append(EventText(3)));
    CPPUNIT_ASSERT(splitter.HasGap());
  }

  void BeginRun_PartialEvent_IsDiscarded() {
    EventSplitter splitter(std::nullopt);
    splitter.Append(EventText(1) + "id: 2\ndata: to");
    splitter.BeginRun();
    CPPUNIT_ASSERT_EQUAL(EventText(2), splitter.Append(EventText(2)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace
}  // namespace zincstep
