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
  CPPUNIT_TEST(MayRely_OnFreshLists_UntilTheyAreOld);
  CPPUNIT_TEST(MayRely_OnListsThatWereOldWhenTold_IsFalse);
  CPPUNIT_TEST(Entries_OfAnotherProcess_StartAnew);
  CPPUNIT_TEST(Entries_ThatDoNotParse_AreLeftOut);
  CPPUNIT_TEST(Restored_MembersThatTheCopyLacks_AreKeptForAWhile);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  EdgeSettings settings;
  std::unique_ptr<PeerMembers> members;

  static StoreItem Entry(const std::string& aName, const std::string& aDomain,
                         const std::string& aAddress) {
    return {
        "members/" + aName,
        R"({"peer":")" + aAddress + R"(","failure_domain":")" + aDomain + "\"}",
        1};
  }

  void Put(const std::vector<StoreItem>& aItems) {
    StoreItems items;
    for (const StoreItem& item : aItems) {
      items[item.key] = item;
    }
    members->OnEntries(items);
  }

  std::string Asked() {
    std::string text;
    for (const std::string& address : members->TakeTellers()) {
      text += address + " ";
    }
    return text;
  }

 public:
  // Each daemon would be the first of its domain, and read all lists.
  void Restored_MembersThatTheCopyLacks_AreKeptForAWhile() {
    members->OnRestored();
    this->Put({});
    CPPUNIT_ASSERT(members->HasTeller());
    clock.Advance(4s);
    this->Put({});
    CPPUNIT_ASSERT(!members->HasTeller());
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
    CPPUNIT_ASSERT(members->HasTeller());
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
    CPPUNIT_ASSERT(!members->HasTeller());
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Asked());
  }

  void MayRely_OnFreshLists_UntilTheyAreOld() {
    CPPUNIT_ASSERT(!members->MayRely());
    members->OnAnswer("h1:1", 100ms);
    CPPUNIT_ASSERT(members->MayRely());
    clock.Advance(LongestReliance(settings) + 1ms);
    CPPUNIT_ASSERT(!members->MayRely());
  }

  void MayRely_OnListsThatWereOldWhenTold_IsFalse() {
    members->OnAnswer("h1:1", 3s);
    members->OnAnswer("h1:1", std::nullopt);
    CPPUNIT_ASSERT(!members->MayRely());
  }

  void Entries_OfAnotherProcess_StartAnew() {
    members->OnAnswer("h1:1", 100ms);
    this->Put({Entry("d1", "a", "h9:1")});
    CPPUNIT_ASSERT(!members->MayRely());
    CPPUNIT_ASSERT_EQUAL(std::string("h9:1 "), this->Asked());
  }

  void Entries_ThatDoNotParse_AreLeftOut() {
    this->Put({{"members/d1", "no object", 1},
               {"placement-duty", R"({"peer":"h1:1"})", 1},
               Entry("d3", "a", "h3:1")});
    CPPUNIT_ASSERT(members->All().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMembersTest);

}  // namespace
}  // namespace zincstep
