#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {
namespace {

class EdgePeerMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgePeerMessageTest);
  CPPUNIT_TEST(Message_Work_RoundTrips);
  CPPUNIT_TEST(Message_FirstStages_RoundTrip);
  CPPUNIT_TEST(Message_MoreFirstStagesThanTheBound_AreCutOff);
  CPPUNIT_TEST(Message_DemandsByPriority_RoundTrip);
  CPPUNIT_TEST(Message_NonFiniteDemand_IsZero);
  CPPUNIT_TEST(Message_NonFiniteWork_IsZero);
  CPPUNIT_TEST(Message_NonFiniteTokens_AreZero);
  CPPUNIT_TEST(Message_ExcessiveDurations_AreBounded);
  CPPUNIT_TEST(Message_Lists_RoundTrip);
  CPPUNIT_TEST(Message_PackedList_RoundTrips);
  CPPUNIT_TEST(Message_PackedList_IsSixTimesSmaller);
  CPPUNIT_TEST(Message_DamagedPackedList_IsDropped);
  CPPUNIT_TEST(Message_MissingPackedParts_IsRejected);
  CPPUNIT_TEST(Message_ExcessivePackedLength_IsDropped);
  CPPUNIT_TEST(Message_Demand_RoundTrips);
  CPPUNIT_TEST(Message_Crashes_RoundTrip);
  CPPUNIT_TEST(Message_Limits_RoundTrip);
  CPPUNIT_TEST(Message_NonFiniteLimit_IsNone);
  CPPUNIT_TEST(Message_Truncated_IsRejected);
  CPPUNIT_TEST_SUITE_END();

  static SharedBytes Shared(std::string aBytes) {
    return std::make_shared<const std::string>(std::move(aBytes));
  }

  static EdgePeerMessage ReadBack(EdgePeerBody aBody) {
    const auto read = ReadEdgePeerMessage(
        WriteEdgePeerMessage({"d1", "10.0.0.1:7000", std::move(aBody)})
            .ToString());
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), read->sender);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000"), read->replyTo);
    return *read;
  }

 public:
  void Message_Work_RoundTrips() {
    const std::uint64_t number = Hash64("i1");
    const auto message =
        ReadBack(WorkGossip{{{number, 1500, true, 4.5}, {7, 0.5}}});
    const auto& works = std::get<WorkGossip>(message.body).works;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, works.size());
    CPPUNIT_ASSERT_EQUAL(number, works[0].upstream);
    CPPUNIT_ASSERT_EQUAL(1500.0, works[0].work);
    CPPUNIT_ASSERT(works[0].isSuspect && !works[1].isSuspect);
    CPPUNIT_ASSERT_EQUAL(4.5, works[0].slowdown);
    CPPUNIT_ASSERT_EQUAL(1.0, works[1].slowdown);
  }

  // Guards against an announced load without an age being taken for a new one.
  void Message_FirstStages_RoundTrip() {
    WorkGossip gossip;
    gossip.firstStages = {{7, 12, 150, 40, 90ms}, {8, 3, 0, 0, std::nullopt}};
    const auto message = ReadBack(gossip);
    const auto& stages = std::get<WorkGossip>(message.body).firstStages;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stages.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, stages[0].upstream);
    CPPUNIT_ASSERT_EQUAL(12, stages[0].requests);
    CPPUNIT_ASSERT_EQUAL(150, stages[0].running);
    CPPUNIT_ASSERT_EQUAL(40, stages[0].queued);
    CPPUNIT_ASSERT(stages[0].age == Micros{90ms});
    CPPUNIT_ASSERT(!stages[1].age);
  }

  // Guards against a peer that makes its receivers keep unbounded lists.
  void Message_MoreFirstStagesThanTheBound_AreCutOff() {
    WorkGossip gossip;
    gossip.firstStages.resize(kMaxFirstStages + 1);
    const auto message = ReadBack(gossip);
    CPPUNIT_ASSERT_EQUAL(kMaxFirstStages,
                         std::get<WorkGossip>(message.body).firstStages.size());
  }

  void Message_DemandsByPriority_RoundTrip() {
    WorkGossip gossip;
    gossip.demands = {{Hash64("model"), 2, 1500, 900, 4}};
    gossip.organisations = {{5, 700, 300}};
    gossip.coversDomain = true;
    const auto message = ReadBack(gossip);
    const auto& read = std::get<WorkGossip>(message.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.demands.size());
    CPPUNIT_ASSERT_EQUAL(Hash64("model"), read.demands[0].service);
    CPPUNIT_ASSERT_EQUAL(2, read.demands[0].priority);
    CPPUNIT_ASSERT_EQUAL(1500.0, read.demands[0].demand);
    CPPUNIT_ASSERT_EQUAL(900.0, read.demands[0].used);
    CPPUNIT_ASSERT_EQUAL(4, read.demands[0].waiting);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, read.organisations[0].organisation);
    CPPUNIT_ASSERT_EQUAL(700.0, read.organisations[0].demand);
    CPPUNIT_ASSERT_EQUAL(300.0, read.organisations[0].used);
    CPPUNIT_ASSERT(read.coversDomain);
  }

  // Guards against a sum of demands that one damaged report makes unusable.
  void Message_NonFiniteDemand_IsZero() {
    WorkGossip gossip;
    gossip.demands = {{1, 0, std::numeric_limits<double>::quiet_NaN(),
                       -std::numeric_limits<double>::infinity(), 0}};
    const auto message = ReadBack(gossip);
    const auto& read = std::get<WorkGossip>(message.body).demands;
    CPPUNIT_ASSERT_EQUAL(0.0, read[0].demand);
    CPPUNIT_ASSERT_EQUAL(0.0, read[0].used);
  }

  // Guards against an upstream whose work one damaged report makes infinite:
  // its wait is converted to a number of microseconds.
  void Message_NonFiniteWork_IsZero() {
    constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    const auto message =
        ReadBack(WorkGossip{{{1, kInfinity}, {2, kNan}, {3, -1}}});
    for (const UpstreamWork& work : std::get<WorkGossip>(message.body).works) {
      CPPUNIT_ASSERT_EQUAL(0.0, work.work);
    }
  }

  void Message_NonFiniteTokens_AreZero() {
    for (const double tokens : {std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::quiet_NaN()}) {
      const auto message = ReadBack(DemandGossip{tokens, "a"});
      CPPUNIT_ASSERT_EQUAL(0.0, std::get<DemandGossip>(message.body).tokens);
    }
  }

  // Guards against an overflow of the clock's type, to which they are added.
  void Message_ExcessiveDurations_AreBounded() {
    for (const Micros duration : {Micros::min(), Micros::max()}) {
      ClusterResponse response;
      response.update.upstreams.emplace().grace = duration;
      response.update.listsAge = Micros::max();
      const auto message = ReadBack(response);
      const ClusterUpdate& update =
          std::get<ClusterResponse>(message.body).update;
      CPPUNIT_ASSERT(update.upstreams->grace >= Micros{0});
      CPPUNIT_ASSERT(update.upstreams->grace <= Micros{24h});
      CPPUNIT_ASSERT(*update.listsAge <= Micros{24h});
    }
  }

  void Message_Demand_RoundTrips() {
    const auto message = ReadBack(DemandGossip{91'000, "hall-a"});
    const auto& demand = std::get<DemandGossip>(message.body);
    CPPUNIT_ASSERT_EQUAL(91'000.0, demand.tokens);
    CPPUNIT_ASSERT_EQUAL(std::string("hall-a"), demand.failureDomain);
  }

  void Message_Crashes_RoundTrip() {
    const auto message = ReadBack(CrashGossip{{{Fingerprint{7}, 8}},
                                              {Fingerprint{9}},
                                              {{Fingerprint{10}, 11}},
                                              {{Fingerprint{12}, 13}}});
    const auto& gossip = std::get<CrashGossip>(message.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gossip.crashes.size());
    CPPUNIT_ASSERT(gossip.crashes[0].candidate == Fingerprint{7});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, gossip.crashes[0].upstream);
    CPPUNIT_ASSERT(gossip.cleared == std::vector{Fingerprint{9}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gossip.suspected.size());
    CPPUNIT_ASSERT(gossip.suspected[0].candidate == Fingerprint{10});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, gossip.suspected[0].upstream);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gossip.withdrawn.size());
    CPPUNIT_ASSERT(gossip.withdrawn[0].candidate == Fingerprint{12});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, gossip.withdrawn[0].upstream);
  }

  void Message_Limits_RoundTrip() {
    const auto message =
        ReadBack(LimitGossip{{{7, 1.5, 20ms}, {8, std::nullopt, 30ms}}});
    const auto& limits = std::get<LimitGossip>(message.body).limits;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, limits.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, limits[0].upstream);
    CPPUNIT_ASSERT(limits[0].callsPerSecond == 1.5);
    CPPUNIT_ASSERT(limits[0].age == Micros{20ms});
    CPPUNIT_ASSERT(!limits[1].callsPerSecond);
  }

  void Message_NonFiniteLimit_IsNone() {
    constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    const auto message =
        ReadBack(LimitGossip{{{7, kNan, -5ms}, {8, kInfinity, 0ms}}});
    for (const LimitNotice& notice :
         std::get<LimitGossip>(message.body).limits) {
      CPPUNIT_ASSERT(!notice.callsPerSecond);
      CPPUNIT_ASSERT(notice.age >= Micros{0});
    }
  }

  void Message_Lists_RoundTrip() {
    ClusterResponse response;
    response.era = 3;
    response.queryId = 9;
    response.update.configVersion = 12;
    ListUpdate& list = response.update.upstreams.emplace();
    list.at = {60, 3};
    list.isFull = false;
    list.items = {{"i1", "text", {58, 3}}};
    list.removed = {"i2", "i3"};
    list.grace = 900ms;
    list.digest = 77;
    const auto message = ReadBack(response);
    const ClusterUpdate& update =
        std::get<ClusterResponse>(message.body).update;
    CPPUNIT_ASSERT(!update.daemons);
    CPPUNIT_ASSERT(!update.validationAge && !update.listsAge);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, update.configVersion);
    CPPUNIT_ASSERT(update.upstreams->at == StoreRevision({60, 3}));
    CPPUNIT_ASSERT(!update.upstreams->isFull);
    CPPUNIT_ASSERT_EQUAL(std::string("text"), update.upstreams->items[0].value);
    CPPUNIT_ASSERT(update.upstreams->items[0].revision ==
                   StoreRevision({58, 3}));
    CPPUNIT_ASSERT_EQUAL(std::string("i3"), update.upstreams->removed[1]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, update.upstreams->digest);
    CPPUNIT_ASSERT(update.upstreams->grace == 900ms);
  }

  /// Entries of `aCount` upstreams in the platform's format.
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

  void Message_PackedList_RoundTrips() {
    ClusterResponse response;
    response.era = 3;
    response.packedConfig = Shared(PackText("the configuration"));
    response.packedUpstreams = Shared(PackList(Entries(100)));
    response.packedDaemons = Shared(PackList(Entries(10)));
    response.packedGrace = 700ms;
    const auto message = ReadBack(response);
    const auto& list = std::get<ClusterResponse>(message.body).update.upstreams;
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, list->items.size());
    CPPUNIT_ASSERT_EQUAL(Entries(100).items[42].value, list->items[42].value);
    CPPUNIT_ASSERT(list->items[42].revision == StoreRevision({60, 3}));
    CPPUNIT_ASSERT(list->grace == 700ms);
    const ClusterUpdate& update =
        std::get<ClusterResponse>(message.body).update;
    CPPUNIT_ASSERT_EQUAL(std::string("the configuration"), update.configText);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, update.daemons->items.size());
  }

  // All entries of 3,000 upstreams change when they are assigned layers.
  // Uncompressed that is 1.2 MB for each of a hundred daemons, while the first
  // daemon of a domain may send 2.5 MB per second.
  void Message_PackedList_IsSixTimesSmaller() {
    const ListUpdate list = Entries(3000);
    std::size_t text = 0;
    for (const StoreItem& item : list.items) {
      text += item.key.size() + item.value.size();
    }
    CPPUNIT_ASSERT(PackList(list).size() < text / 6);
  }

  void Message_DamagedPackedList_IsDropped() {
    const std::string packed = PackList(Entries(20));
    for (std::size_t size = 0; size < packed.size(); size += 7) {
      ClusterResponse response;
      response.packedUpstreams = Shared(packed.substr(0, size));
      const auto message = ReadBack(response);
      CPPUNIT_ASSERT(!std::get<ClusterResponse>(message.body).update.upstreams);
    }
    for (std::size_t offset = 0; offset < packed.size(); offset += 5) {
      ClusterResponse response;
      std::string damaged = packed;
      damaged[offset] ^= 0x55;
      response.packedUpstreams = Shared(damaged);
      ReadBack(response);  // No list or another one, and no crash.
    }
  }

  // The message locates its packed parts only by their sizes.
  void Message_MissingPackedParts_IsRejected() {
    ClusterResponse response;
    response.packedConfig = Shared(std::string(1000, 'x'));
    const PeerFrame frame = WriteEdgePeerMessage({"d1", "h:1", response});
    CPPUNIT_ASSERT_EQUAL(frame.head.size() + 1000, frame.Size());
    CPPUNIT_ASSERT(!ReadEdgePeerMessage(frame.head).has_value());
  }

  // Guards against allocating the megabytes that a packed text of a few bytes
  // claims to have.
  void Message_ExcessivePackedLength_IsDropped() {
    std::string packed = PackText("the configuration");
    packed[3] = 2;
    ClusterResponse response;
    response.packedConfig = Shared(packed);
    const auto message = ReadBack(response);
    CPPUNIT_ASSERT(
        std::get<ClusterResponse>(message.body).update.configText.empty());
  }

  void Message_Truncated_IsRejected() {
    const std::string text =
        WriteEdgePeerMessage(
            {"d1", "10.0.0.1:7000", WorkGossip{{{1, 2, false, 1}}}})
            .ToString();
    for (std::size_t size = 0; size < text.size(); size += 4) {
      CPPUNIT_ASSERT(!ReadEdgePeerMessage(text.substr(0, size)).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgePeerMessageTest);

}  // namespace
}  // namespace zincstep
