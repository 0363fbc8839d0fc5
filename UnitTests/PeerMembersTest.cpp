#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/PeerMembers.h"

namespace zincstep {
namespace {

class PeerMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMembersTest);
  CPPUNIT_TEST(SyncSource_FirstOfDomain_IsTheOnlyOneQueried);
  CPPUNIT_TEST(SyncSource_NoResponse_IsSkipped);
  CPPUNIT_TEST(SyncSource_Skipped_IsRetriedAndReinstated);
  CPPUNIT_TEST(SyncSource_OtherDomain_IsNotQueried);
  CPPUNIT_TEST(SyncSource_FasterLink_RanksFirst);
  CPPUNIT_TEST(SyncSource_StaleLists_IsSkipped);
  CPPUNIT_TEST(SyncSource_AllSkipped_AreRetriedOneAtATime);
  CPPUNIT_TEST(HasFreshSyncSource_FreshLists_UntilTheyAreStale);
  CPPUNIT_TEST(HasFreshSyncSource_ListsStaleOnArrival_IsFalse);
  CPPUNIT_TEST(OnEntries_OtherProcess_ResetsState);
  CPPUNIT_TEST(OnEntries_MalformedEntries_AreIgnored);
  CPPUNIT_TEST(OnRestored_MissingMembers_AreRetainedForAWhile);
  CPPUNIT_TEST(OnQueryFrom_UnlistedPeer_IsMember);
  CPPUNIT_TEST(MayQueryStore_FirstOfDomain_AfterDiscovery);
  CPPUNIT_TEST(MayQueryStore_SmallDomain_Always);
  CPPUNIT_TEST(MayQueryStore_LargeDomain_OnlyWithoutResponses);
  CPPUNIT_TEST(MayQueryStore_StoreUnavailableForAll_SpreadsSlowly);
  CPPUNIT_TEST(MayQueryStore_NoPeers_AtOnce);
  CPPUNIT_TEST(MayQueryStore_NoResponses_IsJittered);
  CPPUNIT_TEST(MayQueryStore_ListedBeforeRestart_AtOnce);
  CPPUNIT_TEST(HighestRanked_OfDomain_ExcludesRequester);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  EdgeSettings settings;
  std::unique_ptr<PeerMembers> members;

  std::uint64_t revision = 0;

  StoreItem Entry(const std::string& aName, const std::string& aDomain,
                  const std::string& aAddress, int aLink = 1000) {
    return {"members/" + aDomain + "/" + aName,
            R"({"peer":")" + aAddress + R"(","failure_domain":")" + aDomain +
                R"(","link_mbps":)" + std::to_string(aLink) + "}",
            ++revision};
  }

  void Put(const std::vector<StoreItem>& aItems) {
    ListUpdate list;
    list.items = aItems;
    members->OnEntries(list);
  }

  std::string Queried() {
    std::string text;
    for (const std::string& address : members->NextSyncSources()) {
      text += address + " ";
    }
    return text;
  }

 public:
  // Otherwise each daemon would rank first in its domain and read all lists.
  void OnRestored_MissingMembers_AreRetainedForAWhile() {
    members->OnRestored();
    this->Put({});
    CPPUNIT_ASSERT(members->HasSyncSource());
    clock.Advance(4s);
    this->Put({});
    CPPUNIT_ASSERT(!members->HasSyncSource());
  }

  void setUp() override {
    settings.name = "d3";
    settings.failureDomain = "a";
    members = std::make_unique<PeerMembers>(settings, clock);
    this->Put({Entry("d1", "a", "h1:1"), Entry("d2", "a", "h2:1"),
               Entry("d4", "a", "h4:1"), Entry("d0", "b", "h0:1")});
    clock.Advance(60s);
  }

  void SyncSource_FirstOfDomain_IsTheOnlyOneQueried() {
    CPPUNIT_ASSERT(members->HasSyncSource());
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Queried());
  }

  void SyncSource_NoResponse_IsSkipped() {
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Queried());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("h2:1 "), this->Queried());
  }

  void SyncSource_Skipped_IsRetriedAndReinstated() {
    for (int i = 0; i < 4; ++i) {
      this->Queried();
    }
    clock.Advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 h2:1 "), this->Queried());
    members->OnResponse("h1:1", 100ms);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Queried());
  }

  void SyncSource_OtherDomain_IsNotQueried() {
    this->Put({Entry("d0", "b", "h0:1"), Entry("d4", "a", "h4:1")});
    CPPUNIT_ASSERT(!members->HasSyncSource());
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Queried());
  }

  // The first daemon sends to two hundred others, so it must not have a link of
  // 20 Mbit/s.
  void SyncSource_FasterLink_RanksFirst() {
    settings.linkMbps = 20;
    members = std::make_unique<PeerMembers>(settings, clock);
    this->Put({Entry("d1", "a", "h1:1", 20), Entry("d9", "a", "h9:1", 1000),
               Entry("d4", "a", "h4:1", 20)});
    CPPUNIT_ASSERT_EQUAL(std::string("h9:1 "), this->Queried());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, members->Rank());
  }

  // Guards against 200 daemons that each read all lists because the store
  // rejected the calls of their first one.
  void SyncSource_StaleLists_IsSkipped() {
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Queried());
      members->OnResponse("h1:1", 3s);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("h2:1 "), this->Queried());
    CPPUNIT_ASSERT(members->HasSyncSource());
    members->OnResponse("h1:1", 100ms);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Queried());
  }

  void SyncSource_AllSkipped_AreRetriedOneAtATime() {
    for (int i = 0; i < 7; ++i) {
      this->Queried();
    }
    CPPUNIT_ASSERT(!members->HasSyncSource());
    clock.Advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Queried());
    CPPUNIT_ASSERT_EQUAL(std::string("h2:1 "), this->Queried());
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Queried());
  }

  void OnQueryFrom_UnlistedPeer_IsMember() {
    this->Put({});
    CPPUNIT_ASSERT(!members->HasSyncSource());
    members->OnQueryFrom({"d1", "h1:1", "a", 1000});
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Queried());
    this->Put({});
    CPPUNIT_ASSERT(members->HasSyncSource());
    clock.Advance(11s);
    this->Queried();
    CPPUNIT_ASSERT(!members->HasSyncSource());
  }

  void MayQueryStore_FirstOfDomain_AfterDiscovery() {
    members = std::make_unique<PeerMembers>(settings, clock);
    clock.Advance(500ms);
    CPPUNIT_ASSERT(!members->MayQueryStore());
    members->OnPeersDiscovered({});
    CPPUNIT_ASSERT(!members->MayQueryStore());
    clock.Advance(300ms);
    CPPUNIT_ASSERT(members->MayQueryStore());
    members->OnQueryFrom({"d1", "h1:1", "a", 1000});
    CPPUNIT_ASSERT(!members->MayQueryStore());
  }

  void MayQueryStore_SmallDomain_Always() {
    this->Put({Entry("d1", "a", "h1:1"), Entry("d3", "a", "h3:1")});
    CPPUNIT_ASSERT(members->MayQueryStore());
  }

  /// Adds 99 other daemons of the domain, two of them ranked higher.
  void PutMany() {
    std::vector<StoreItem> items = {Entry("d3", "a", "h3:1")};
    for (int i = 1; i < 100; ++i) {
      const std::string number = std::to_string(i);
      items.push_back(
          Entry(i < 3 ? "d" + number : "e" + number, "a", "h" + number + ":1"));
    }
    this->Put(items);
  }

  void MayQueryStore_LargeDomain_OnlyWithoutResponses() {
    this->PutMany();
    members->OnResponse("h1:1", 100ms);
    CPPUNIT_ASSERT(!members->MayQueryStore());
    clock.Advance(2900ms);
    CPPUNIT_ASSERT(!members->MayQueryStore());
    clock.Advance(4s);
    CPPUNIT_ASSERT(members->MayQueryStore());
    members->OnResponse("h1:1", 3s);
    CPPUNIT_ASSERT(!members->MayQueryStore());
  }

  // Guards against 300 daemons that became sync sources one after the other and
  // passed on lists that had aged on the path between them.
  void MayQueryStore_StoreUnavailableForAll_SpreadsSlowly() {
    settings.name = "x";
    members = std::make_unique<PeerMembers>(settings, clock);
    this->PutMany();
    for (Micros passed{0}; passed < 9s; passed += 250ms) {
      clock.Advance(250ms);
      for (const std::string& address : members->NextSyncSources()) {
        members->OnResponse(address, passed);
      }
    }
    const auto skipped = std::count_if(
        members->All().begin(), members->All().end(),
        [](const auto& aEntry) { return aEntry.second.isSkipped; });
    CPPUNIT_ASSERT(skipped >= 3);
    CPPUNIT_ASSERT(skipped <= 6);
    CPPUNIT_ASSERT(!members->MayQueryStore());
  }

  void MayQueryStore_NoPeers_AtOnce() {
    members = std::make_unique<PeerMembers>(settings, clock);
    members->StartWithoutPeers();
    CPPUNIT_ASSERT(members->MayQueryStore());
  }

  // Hundreds of daemons that get no response from any seed must not read the
  // store together.
  void MayQueryStore_NoResponses_IsJittered() {
    constexpr int kDaemons = 300;
    std::vector<EdgeSettings> settingsOf(kDaemons);
    std::vector<PeerMembers> daemons;
    daemons.reserve(kDaemons);
    for (int i = 0; i < kDaemons; ++i) {
      settingsOf[i].name = "d" + std::to_string(i);
      daemons.emplace_back(settingsOf[i], clock);
    }
    const auto count = [&daemons] {
      return std::count_if(
          daemons.begin(), daemons.end(),
          [](const PeerMembers& aDaemon) { return aDaemon.MayQueryStore(); });
    };
    clock.Advance(990ms);
    CPPUNIT_ASSERT(count() == 0);
    long maxIncrease = 0;
    for (int step = 0; step < 32; ++step) {
      const long before = count();
      clock.Advance(100ms);
      maxIncrease = std::max(maxIncrease, count() - before);
    }
    CPPUNIT_ASSERT(maxIncrease < kDaemons / 10);
    CPPUNIT_ASSERT(count() == kDaemons);
  }

  void MayQueryStore_ListedBeforeRestart_AtOnce() {
    settings.name = "d1";
    members = std::make_unique<PeerMembers>(settings, clock);
    members->OnBootstrapEntries(
        {Entry("d1", "a", "h1:1"), Entry("d2", "a", "h2:1")});
    CPPUNIT_ASSERT(members->MayQueryStore());
  }

  void HighestRanked_OfDomain_ExcludesRequester() {
    const auto names = [this](const std::string& aDomain,
                              const std::string& aRequester) {
      std::string text;
      for (const PeerName& peer : members->HighestRanked(aDomain, aRequester)) {
        text += peer.name + " ";
      }
      return text;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("d1 d2 d3 "), names("a", "d4"));
    CPPUNIT_ASSERT_EQUAL(std::string("d2 d3 d4 "), names("a", "d1"));
    CPPUNIT_ASSERT_EQUAL(std::string("d0 "), names("b", "d9"));
  }

  void HasFreshSyncSource_FreshLists_UntilTheyAreStale() {
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
    members->OnResponse("h1:1", 100ms);
    CPPUNIT_ASSERT(members->HasFreshSyncSource());
    clock.Advance(MaxSyncStaleness(settings) + 1ms);
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
  }

  void HasFreshSyncSource_ListsStaleOnArrival_IsFalse() {
    members->OnResponse("h1:1", 3s);
    members->OnResponse("h1:1", std::nullopt);
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
  }

  void OnEntries_OtherProcess_ResetsState() {
    members->OnResponse("h1:1", 100ms);
    this->Put({Entry("d1", "a", "h9:1")});
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
    CPPUNIT_ASSERT_EQUAL(std::string("h9:1 "), this->Queried());
  }

  void OnEntries_MalformedEntries_AreIgnored() {
    this->Put({{"members/a/d1", "no object", 1},
               {"placement-duty", R"({"peer":"h1:1"})", 1},
               Entry("d3", "a", "h3:1")});
    CPPUNIT_ASSERT(members->All().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMembersTest);

}  // namespace
}  // namespace zincstep
