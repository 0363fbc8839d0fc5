#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {
namespace {

class EdgePeerMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgePeerMessageTest);
  CPPUNIT_TEST(Message_Work_ReadsAsWritten);
  CPPUNIT_TEST(Message_Lists_ReadAsWritten);
  CPPUNIT_TEST(Message_PackedList_ReadsAsWritten);
  CPPUNIT_TEST(Message_PackedList_IsAFractionOfItsText);
  CPPUNIT_TEST(Message_PackedListThatIsDamaged_HasNone);
  CPPUNIT_TEST(Message_ThatLacksItsPackedEnd_IsRefused);
  CPPUNIT_TEST(Message_PackedTextThatClaimsTooMuch_HasNone);
  CPPUNIT_TEST(Message_Demand_ReadsAsWritten);
  CPPUNIT_TEST(Message_Crashes_ReadAsWritten);
  CPPUNIT_TEST(Message_Limits_ReadAsWritten);
  CPPUNIT_TEST(Message_LimitThatIsNoNumber_IsNone);
  CPPUNIT_TEST(Message_Cut_IsRefused);
  CPPUNIT_TEST_SUITE_END();

  static SharedBytes Shared(std::string aBytes) {
    return std::make_shared<const std::string>(std::move(aBytes));
  }

  static EdgePeerMessage ReadBack(EdgePeerBody aBody) {
    const auto read = ReadEdgePeerMessage(
        WriteEdgePeerMessage({"d1", "10.0.0.1:7000", std::move(aBody)})
            .Whole());
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

  void Message_Limits_ReadAsWritten() {
    const auto message =
        ReadBack(LimitGossip{{{7, 1.5, 20ms}, {8, std::nullopt, 30ms}}});
    const auto& limits = std::get<LimitGossip>(message.body).limits;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, limits.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, limits[0].upstream);
    CPPUNIT_ASSERT(limits[0].callsPerSecond == 1.5);
    CPPUNIT_ASSERT(limits[0].age == Micros{20ms});
    CPPUNIT_ASSERT(!limits[1].callsPerSecond);
  }

  void Message_LimitThatIsNoNumber_IsNone() {
    constexpr double kNoNumber = std::numeric_limits<double>::quiet_NaN();
    constexpr double kEndless = std::numeric_limits<double>::infinity();
    const auto message =
        ReadBack(LimitGossip{{{7, kNoNumber, -5ms}, {8, kEndless, 0ms}}});
    for (const LimitNotice& one : std::get<LimitGossip>(message.body).limits) {
      CPPUNIT_ASSERT(!one.callsPerSecond);
      CPPUNIT_ASSERT(one.age >= Micros{0});
    }
  }

  void Message_Lists_ReadAsWritten() {
    ClusterGive give;
    give.era = 3;
    give.question = 9;
    give.copy.configVersion = 12;
    ListUpdate& list = give.copy.upstreams.emplace();
    list.at = {60, 3};
    list.isWhole = false;
    list.items = {{"i1", "text", {58, 3}}};
    list.removed = {"i2", "i3"};
    list.grace = 900ms;
    list.digest = 77;
    const auto message = ReadBack(give);
    const ClusterUpdate& copy = std::get<ClusterGive>(message.body).copy;
    CPPUNIT_ASSERT(!copy.daemons);
    CPPUNIT_ASSERT(!copy.validationAge && !copy.listsAge);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, copy.configVersion);
    CPPUNIT_ASSERT(copy.upstreams->at == StoreRevision({60, 3}));
    CPPUNIT_ASSERT(!copy.upstreams->isWhole);
    CPPUNIT_ASSERT_EQUAL(std::string("text"), copy.upstreams->items[0].value);
    CPPUNIT_ASSERT(copy.upstreams->items[0].revision == StoreRevision({58, 3}));
    CPPUNIT_ASSERT_EQUAL(std::string("i3"), copy.upstreams->removed[1]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, copy.upstreams->digest);
    CPPUNIT_ASSERT(copy.upstreams->grace == 900ms);
  }

  /// Entries of that many upstreams as they write them.
  static ListUpdate Entries(int aCount) {
    ListUpdate list;
    list.at = {60, 3};
    for (int i = 0; i < aCount; ++i) {
      const std::string number = std::to_string(i);
      list.items.push_back(
          {"i-" + std::to_string(Hash64(number)),
           R"({"backend":"huvo11a","address":"10.128.0.)" + number +
               R"(:8080","zone":"lautoka-hall","configVersion":"v1",)"
               R"("slots":192,"state":"ready","coldRemainingMs":0,)"
               R"("stage":"dual","models":[{"name":"daka510000",)"
               R"("configVersion":1,"adapters":[]}],"sequence":)" +
               number + R"(,"layers":{"from":)" + number +
               R"(,"targetVersion":80,"configVersion":1},"routeType":"l4"})",
           {60, 3}});
    }
    return list;
  }

  void Message_PackedList_ReadsAsWritten() {
    ClusterGive give;
    give.era = 3;
    give.packedConfig = Shared(PackText("the configuration"));
    give.packedUpstreams = Shared(PackList(Entries(100)));
    give.packedDaemons = Shared(PackList(Entries(10)));
    give.packedGrace = 700ms;
    const auto message = ReadBack(give);
    const auto& list = std::get<ClusterGive>(message.body).copy.upstreams;
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, list->items.size());
    CPPUNIT_ASSERT_EQUAL(Entries(100).items[42].value, list->items[42].value);
    CPPUNIT_ASSERT(list->items[42].revision == StoreRevision({60, 3}));
    CPPUNIT_ASSERT(list->grace == 700ms);
    const ClusterUpdate& copy = std::get<ClusterGive>(message.body).copy;
    CPPUNIT_ASSERT_EQUAL(std::string("the configuration"), copy.configText);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, copy.daemons->items.size());
  }

  // All entries of 3,000 upstreams change as they get their layers: as text
  // that is 1.2 MB for each of a hundred daemons, of which the first of a
  // domain may send 2.5 MB a second.
  void Message_PackedList_IsAFractionOfItsText() {
    const ListUpdate list = Entries(3000);
    std::size_t text = 0;
    for (const StoreItem& item : list.items) {
      text += item.key.size() + item.value.size();
    }
    CPPUNIT_ASSERT(PackList(list).size() < text / 6);
  }

  void Message_PackedListThatIsDamaged_HasNone() {
    const std::string whole = PackList(Entries(20));
    for (std::size_t cut = 0; cut < whole.size(); cut += 7) {
      ClusterGive give;
      give.packedUpstreams = Shared(whole.substr(0, cut));
      const auto message = ReadBack(give);
      CPPUNIT_ASSERT(!std::get<ClusterGive>(message.body).copy.upstreams);
    }
    for (std::size_t at = 0; at < whole.size(); at += 5) {
      ClusterGive give;
      std::string damaged = whole;
      damaged[at] ^= 0x55;
      give.packedUpstreams = Shared(damaged);
      ReadBack(give);  // None or another list, and no fault.
    }
  }

  // What stands behind a message is told by its numbers of bytes alone.
  void Message_ThatLacksItsPackedEnd_IsRefused() {
    ClusterGive give;
    give.packedConfig = Shared(std::string(1000, 'x'));
    const PeerFrame text = WriteEdgePeerMessage({"d1", "h:1", give});
    CPPUNIT_ASSERT_EQUAL(text.head.size() + 1000, text.Size());
    CPPUNIT_ASSERT(!ReadEdgePeerMessage(text.head).has_value());
  }

  // A text of some bytes that claims megabytes would be given their memory.
  void Message_PackedTextThatClaimsTooMuch_HasNone() {
    std::string packed = PackText("the configuration");
    packed[3] = 2;
    ClusterGive give;
    give.packedConfig = Shared(packed);
    const auto message = ReadBack(give);
    CPPUNIT_ASSERT(std::get<ClusterGive>(message.body).copy.configText.empty());
  }

  void Message_Cut_IsRefused() {
    const std::string text =
        WriteEdgePeerMessage(
            {"d1", "10.0.0.1:7000", WorkGossip{{{1, 2, false, 1}}}})
            .Whole();
    for (std::size_t size = 0; size < text.size(); size += 4) {
      CPPUNIT_ASSERT(!ReadEdgePeerMessage(text.substr(0, size)).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgePeerMessageTest);

}  // namespace
}  // namespace zincstep
