#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {
namespace {

class EdgePeerMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgePeerMessageTest);
  CPPUNIT_TEST(Message_Work_ReadsAsWritten);
  CPPUNIT_TEST(Message_Lists_ReadAsWritten);
  CPPUNIT_TEST(Message_Demand_ReadsAsWritten);
  CPPUNIT_TEST(Message_Crashes_ReadAsWritten);
  CPPUNIT_TEST(Message_Cut_IsRefused);
  CPPUNIT_TEST_SUITE_END();

  static EdgePeerMessage ReadBack(EdgePeerBody aBody) {
    const auto read = ReadEdgePeerMessage(
        WriteEdgePeerMessage({"d1", "10.0.0.1:7000", std::move(aBody)}));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), read->sender);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000"), read->replyTo);
    return *read;
  }

 public:
  void Message_Work_ReadsAsWritten() {
    const std::uint64_t number = Hash64("i1");
    const auto message =
        ReadBack(WorkGossip{{{number, 1500, true, 4.5}, {7, 0.5}}});
    const auto& works = std::get<WorkGossip>(message.body).works;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, works.size());
    CPPUNIT_ASSERT_EQUAL(number, works[0].upstream);
    CPPUNIT_ASSERT_EQUAL(1500.0, works[0].work);
    CPPUNIT_ASSERT(works[0].isSuspect && !works[1].isSuspect);
    CPPUNIT_ASSERT_EQUAL(4.5, works[0].pace);
    CPPUNIT_ASSERT_EQUAL(1.0, works[1].pace);
  }

  void Message_Demand_ReadsAsWritten() {
    const auto message = ReadBack(DemandGossip{91'000});
    CPPUNIT_ASSERT_EQUAL(91'000.0, std::get<DemandGossip>(message.body).tokens);
  }

  void Message_Crashes_ReadAsWritten() {
    const auto message = ReadBack(
        CrashGossip{{{RequestFingerprint{7}, 8}}, {RequestFingerprint{9}}});
    const auto& told = std::get<CrashGossip>(message.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.crashes.size());
    CPPUNIT_ASSERT(told.crashes[0].request == RequestFingerprint{7});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, told.crashes[0].upstream);
    CPPUNIT_ASSERT(told.cleared == std::vector{RequestFingerprint{9}});
  }

  void Message_Lists_ReadAsWritten() {
    ClusterGive give;
    give.era = 3;
    give.question = 9;
    give.copy.configVersion = 12;
    ListCopy& list = give.copy.upstreams.emplace();
    list.at = {60, 3};
    list.isWhole = false;
    list.items = {{"i1", "text", {58, 3}}};
    list.removed = {"i2", "i3"};
    list.grace = 900ms;
    list.digest = 77;
    const auto message = ReadBack(give);
    const ClusterCopy& copy = std::get<ClusterGive>(message.body).copy;
    CPPUNIT_ASSERT(!copy.daemons);
    CPPUNIT_ASSERT(!copy.proofAge && !copy.listsAge);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, copy.configVersion);
    CPPUNIT_ASSERT(copy.upstreams->at == StoreRevision({60, 3}));
    CPPUNIT_ASSERT(!copy.upstreams->isWhole);
    CPPUNIT_ASSERT_EQUAL(std::string("text"), copy.upstreams->items[0].value);
    CPPUNIT_ASSERT(copy.upstreams->items[0].revision == StoreRevision({58, 3}));
    CPPUNIT_ASSERT_EQUAL(std::string("i3"), copy.upstreams->removed[1]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, copy.upstreams->digest);
    CPPUNIT_ASSERT(copy.upstreams->grace == 900ms);
  }

  void Message_Cut_IsRefused() {
    const std::string text = WriteEdgePeerMessage(
        {"d1", "10.0.0.1:7000", WorkGossip{{{1, 2, false, 1}}}});
    for (std::size_t size = 0; size < text.size(); size += 4) {
      CPPUNIT_ASSERT(!ReadEdgePeerMessage(text.substr(0, size)).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgePeerMessageTest);

}  // namespace
}  // namespace zincstep
