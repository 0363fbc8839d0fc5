#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/PeerMembers.h"

namespace zincstep {
namespace {

class PeerMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMembersTest);
  CPPUNIT_TEST(Teller_FirstOfTheDomain_IsTheOnlyOneAsked);
  CPPUNIT_TEST(Teller_ThatDoesNotAnswer_IsPassedOverForTheNext);
  CPPUNIT_TEST(Teller_PassedOver_IsTriedAgainAndTakenBack);
  CPPUNIT_TEST(Teller_OfAnotherDomain_IsNotAsked);
  CPPUNIT_TEST(Teller_OfALargerLink_ComesFirst);
  CPPUNIT_TEST(Teller_ThatKnowsNothingFresh_IsPassedOverForTheNext);
  CPPUNIT_TEST(Teller_AllPassedOver_AreTriedOneAtATime);
  CPPUNIT_TEST(MayRely_OnFreshLists_UntilTheyAreOld);
  CPPUNIT_TEST(MayRely_OnListsThatWereOldWhenTold_IsFalse);
  CPPUNIT_TEST(Entries_OfAnotherProcess_StartAnew);
  CPPUNIT_TEST(Entries_ThatDoNotParse_AreLeftOut);
  CPPUNIT_TEST(Restored_MembersThatTheCopyLacks_AreKeptForAWhile);
  CPPUNIT_TEST(Entries_OfOneThatHasJustAsked_AreNotNeeded);
  CPPUNIT_TEST(AskStore_FirstOfTheDomain_OnceItKnowsWhoIsThere);
  CPPUNIT_TEST(AskStore_OneOfFew_Always);
  CPPUNIT_TEST(AskStore_OneOfMany_OnlyWhenNobodyAnswers);
  CPPUNIT_TEST(AskStore_StoreAwayForAll_SpreadsSlowly);
  CPPUNIT_TEST(AskStore_Alone_AtOnce);
  CPPUNIT_TEST(AskStore_NobodyHeard_ApartFromOthers);
  CPPUNIT_TEST(AskStore_ListedInAnEarlierLife_AtOnce);
  CPPUNIT_TEST(First_OfADomain_AreNamedWithoutTheAsker);
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
    ListUpdate whole;
    whole.items = aItems;
    members->OnEntries(whole);
  }

  std::string Asked() {
    std::string text;
    for (const std::string& address : members->NextSyncSources()) {
      text += address + " ";
    }
    return text;
  }

 public:
  // Each daemon would be the first of its domain, and read all lists.
  void Restored_MembersThatTheCopyLacks_AreKeptForAWhile() {
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

  void Teller_FirstOfTheDomain_IsTheOnlyOneAsked() {
    CPPUNIT_ASSERT(members->HasSyncSource());
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Asked());
  }

  void Teller_ThatDoesNotAnswer_IsPassedOverForTheNext() {
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Asked());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("h2:1 "), this->Asked());
  }

  void Teller_PassedOver_IsTriedAgainAndTakenBack() {
    for (int i = 0; i < 4; ++i) {
      this->Asked();
    }
    clock.Advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 h2:1 "), this->Asked());
    members->OnAnswer("h1:1", 100ms);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Asked());
  }

  void Teller_OfAnotherDomain_IsNotAsked() {
    this->Put({Entry("d0", "b", "h0:1"), Entry("d4", "a", "h4:1")});
    CPPUNIT_ASSERT(!members->HasSyncSource());
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Asked());
  }

  // The first tells two hundred: it must not be one of 20 Mbit/s.
  void Teller_OfALargerLink_ComesFirst() {
    settings.linkMbps = 20;
    members = std::make_unique<PeerMembers>(settings, clock);
    this->Put({Entry("d1", "a", "h1:1", 20), Entry("d9", "a", "h9:1", 1000),
               Entry("d4", "a", "h4:1", 20)});
    CPPUNIT_ASSERT_EQUAL(std::string("h9:1 "), this->Asked());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, members->Rank());
  }

  // 200 daemons whose first one the store turned away each read all lists.
  void Teller_ThatKnowsNothingFresh_IsPassedOverForTheNext() {
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Asked());
      members->OnAnswer("h1:1", 3s);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("h2:1 "), this->Asked());
    CPPUNIT_ASSERT(members->HasSyncSource());
    members->OnAnswer("h1:1", 100ms);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Asked());
  }

  void Teller_AllPassedOver_AreTriedOneAtATime() {
    for (int i = 0; i < 7; ++i) {
      this->Asked();
    }
    CPPUNIT_ASSERT(!members->HasSyncSource());
    clock.Advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Asked());
    CPPUNIT_ASSERT_EQUAL(std::string("h2:1 "), this->Asked());
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Asked());
  }

  void Entries_OfOneThatHasJustAsked_AreNotNeeded() {
    this->Put({});
    CPPUNIT_ASSERT(!members->HasSyncSource());
    members->OnQueryFrom({"d1", "h1:1", "a", 1000});
    CPPUNIT_ASSERT_EQUAL(std::string("h1:1 "), this->Asked());
    this->Put({});
    CPPUNIT_ASSERT(members->HasSyncSource());
    clock.Advance(11s);
    this->Asked();
    CPPUNIT_ASSERT(!members->HasSyncSource());
  }

  void AskStore_FirstOfTheDomain_OnceItKnowsWhoIsThere() {
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

  void AskStore_OneOfFew_Always() {
    this->Put({Entry("d1", "a", "h1:1"), Entry("d3", "a", "h3:1")});
    CPPUNIT_ASSERT(members->MayQueryStore());
  }

  /// The fixture's daemon with 99 others of its domain, two of them before it.
  void PutMany() {
    std::vector<StoreItem> items = {Entry("d3", "a", "h3:1")};
    for (int i = 1; i < 100; ++i) {
      const std::string number = std::to_string(i);
      items.push_back(
          Entry(i < 3 ? "d" + number : "e" + number, "a", "h" + number + ":1"));
    }
    this->Put(items);
  }

  void AskStore_OneOfMany_OnlyWhenNobodyAnswers() {
    this->PutMany();
    members->OnAnswer("h1:1", 100ms);
    CPPUNIT_ASSERT(!members->MayQueryStore());
    clock.Advance(2900ms);
    CPPUNIT_ASSERT(!members->MayQueryStore());
    clock.Advance(4s);
    CPPUNIT_ASSERT(members->MayQueryStore());
    members->OnAnswer("h1:1", 3s);
    CPPUNIT_ASSERT(!members->MayQueryStore());
  }

  // Each of 300 daemons became a teller in turn, and lists were told on that
  // had aged on the way.
  void AskStore_StoreAwayForAll_SpreadsSlowly() {
    settings.name = "x";
    members = std::make_unique<PeerMembers>(settings, clock);
    this->PutMany();
    for (Micros passed{0}; passed < 9s; passed += 250ms) {
      clock.Advance(250ms);
      for (const std::string& address : members->NextSyncSources()) {
        members->OnAnswer(address, passed);
      }
    }
    const auto passedOver = std::count_if(
        members->All().begin(), members->All().end(),
        [](const auto& aEntry) { return aEntry.second.isSkipped; });
    CPPUNIT_ASSERT(passedOver >= 3);
    CPPUNIT_ASSERT(passedOver <= 6);
    CPPUNIT_ASSERT(!members->MayQueryStore());
  }

  void AskStore_Alone_AtOnce() {
    members = std::make_unique<PeerMembers>(settings, clock);
    members->StartWithoutPeers();
    CPPUNIT_ASSERT(members->MayQueryStore());
  }

  // Hundreds that all seeds leave without an answer do not begin together.
  void AskStore_NobodyHeard_ApartFromOthers() {
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
    long most = 0;
    for (int step = 0; step < 32; ++step) {
      const long before = count();
      clock.Advance(100ms);
      most = std::max(most, count() - before);
    }
    CPPUNIT_ASSERT(most < kDaemons / 10);
    CPPUNIT_ASSERT(count() == kDaemons);
  }

  void AskStore_ListedInAnEarlierLife_AtOnce() {
    settings.name = "d1";
    members = std::make_unique<PeerMembers>(settings, clock);
    members->OnBootstrapEntries(
        {Entry("d1", "a", "h1:1"), Entry("d2", "a", "h2:1")});
    CPPUNIT_ASSERT(members->MayQueryStore());
  }

  void First_OfADomain_AreNamedWithoutTheAsker() {
    const auto names = [this](const std::string& aDomain,
                              const std::string& aRequester) {
      std::string text;
      for (const PeerName& one : members->FirstOf(aDomain, aRequester)) {
        text += one.name + " ";
      }
      return text;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("d1 d2 d3 "), names("a", "d4"));
    CPPUNIT_ASSERT_EQUAL(std::string("d2 d3 d4 "), names("a", "d1"));
    CPPUNIT_ASSERT_EQUAL(std::string("d0 "), names("b", "d9"));
  }

  void MayRely_OnFreshLists_UntilTheyAreOld() {
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
    members->OnAnswer("h1:1", 100ms);
    CPPUNIT_ASSERT(members->HasFreshSyncSource());
    clock.Advance(MaxSyncStaleness(settings) + 1ms);
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
  }

  void MayRely_OnListsThatWereOldWhenTold_IsFalse() {
    members->OnAnswer("h1:1", 3s);
    members->OnAnswer("h1:1", std::nullopt);
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
  }

  void Entries_OfAnotherProcess_StartAnew() {
    members->OnAnswer("h1:1", 100ms);
    this->Put({Entry("d1", "a", "h9:1")});
    CPPUNIT_ASSERT(!members->HasFreshSyncSource());
    CPPUNIT_ASSERT_EQUAL(std::string("h9:1 "), this->Asked());
  }

  void Entries_ThatDoNotParse_AreLeftOut() {
    this->Put({{"members/a/d1", "no object", 1},
               {"placement-duty", R"({"peer":"h1:1"})", 1},
               Entry("d3", "a", "h3:1")});
    CPPUNIT_ASSERT(members->All().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMembersTest);

}  // namespace
}  // namespace zincstep
