#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/DaemonRegistrar.h"

namespace zincstep {
namespace {

/// Takes each call, unless the test has it refuse them, and counts them.
class EntryStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange, Done<StoreCommit>) override {}
  void WriteAll(StoreWrites aWrites, Done<StoreRevision> aDone) override {
    this->calls += 1;
    if (this->isAway) {
      aDone(Fail(ErrorKind::PlatformUnavailable, "away"));
      return;
    }
    this->most =
        std::max(this->most, aWrites.puts.size() + aWrites.removed.size());
    this->revision.number += 1;
    for (const StorePut& put : aWrites.puts) {
      this->items[put.key] = StoreItem{put.key, put.value, this->revision};
      this->puts += 1;
    }
    for (const std::string& key : aWrites.removed) {
      this->items.erase(key);
    }
    aDone(this->revision);
  }
  void Grant(Micros, Done<std::uint64_t> aDone) override {
    this->calls += 1;
    if (this->isAway) {
      aDone(Fail(ErrorKind::PlatformUnavailable, "away"));
      return;
    }
    this->grants += 1;
    aDone(static_cast<std::uint64_t>(this->grants));
  }
  void Renew(std::uint64_t, Done<bool> aDone) override {
    this->calls += 1;
    aDone(true);
  }
  void End(std::uint64_t, Done<bool>) override {}

  int calls = 0;
  int grants = 0;
  int puts = 0;
  /// Most keys of one call.
  std::size_t most = 0;
  StoreItems items;
  StoreRevision revision;
  bool isAway = false;
};

class DaemonRegistrarTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonRegistrarTest);
  CPPUNIT_TEST(Keep_AtRest_CallsTheStoreSeldom);
  CPPUNIT_TEST(Keep_DaemonsThatStartTogether_RenewApart);
  CPPUNIT_TEST(Keep_EntryOfAnEarlierProcess_IsReplaced);
  CPPUNIT_TEST(Keep_StoreAway_AsksEverLessOften);
  CPPUNIT_TEST(Keep_ListNotKnownYet_WritesNothing);
  CPPUNIT_TEST(Keep_WhereAnotherLeads_LeavesTheEntryToIt);
  CPPUNIT_TEST(Keep_WhereNobodyWritesIt_WritesTheOwnEntry);
  CPPUNIT_TEST(Keep_OwnEntryTakenOver_IsNotRenewed);
  CPPUNIT_TEST(Askers_OfTheDomain_AreWrittenTogether);
  CPPUNIT_TEST(Askers_OfOtherDomains_AreNotWritten);
  CPPUNIT_TEST(Askers_WithAnEntryOfAnother_AreTakenOverLater);
  CPPUNIT_TEST(Askers_AtANewAddress_AreWrittenAnew);
  CPPUNIT_TEST(Askers_ThatFallSilent_AreRemoved);
  CPPUNIT_TEST(Entries_OwnOneGone_IsWrittenAgain);
  CPPUNIT_TEST(Entries_GoneOfOneThatAsksNoMore_StayAway);
  CPPUNIT_TEST(End_EntryKept_IsTakenBackForGood);
  CPPUNIT_TEST(Restored_Store_GetsTheEntryWithinASecond);
  CPPUNIT_TEST(Restored_Store_IsNotWrittenByAllAtOnce);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  EdgeSettings settings;
  EntryStore store;
  std::unique_ptr<DaemonRegistrar> controller;
  bool leads = true;

  static constexpr const char* kOwnKey = "members/a/d1";

  void Run(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += 250ms) {
      clock.Advance(250ms);
      controller->Keep(leads);
    }
  }

  static PeerName Asker(int aNumber) {
    const std::string number = std::to_string(aNumber);
    return {"d" + number, "h" + number + ":1", "a", 1000};
  }

  /// The daemons' list as the store has it, without the prefix.
  StoreItems listed;

  void Tell() {
    listed.clear();
    for (const auto& [key, item] : store.items) {
      const std::string own = key.substr(settings.storePrefix.size());
      listed[own] = {own, item.value, item.revision};
    }
    controller->OnEntries(listed);
  }

 public:
  void setUp() override {
    settings.name = "d1";
    settings.peerListen = "h1:1";
    settings.failureDomain = "a";
    clock.Advance(60s);
    controller = std::make_unique<DaemonRegistrar>(settings, store, clock);
    this->Tell();
  }

  // 295 daemons that renewed their entries every 4 s made 74 of 79 calls of
  // the store a second.
  void Keep_AtRest_CallsTheStoreSeldom() {
    this->Run(60s);
    CPPUNIT_ASSERT(store.calls >= 2);
    CPPUNIT_ASSERT(store.calls <= 4);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
  }

  void Keep_DaemonsThatStartTogether_RenewApart() {
    EdgeSettings other = settings;
    other.name = "d2";
    EntryStore otherStore;
    DaemonRegistrar second(other, otherStore, clock);
    second.OnEntries(listed);
    for (int i = 0; i < 4; ++i) {
      clock.Advance(250ms);
      controller->Keep(true);
      second.Keep(true);
    }
    std::optional<Instant> first;
    std::optional<Instant> last;
    while (!first || !last) {
      clock.Advance(50ms);
      controller->Keep(true);
      second.Keep(true);
      if (store.calls == 3 && !first) {
        first = clock.Now();
      }
      if (otherStore.calls == 3 && !last) {
        last = clock.Now();
      }
    }
    CPPUNIT_ASSERT(std::max(*first, *last) - std::min(*first, *last) > 300ms);
  }

  void Keep_EntryOfAnEarlierProcess_IsReplaced() {
    const std::string key = settings.storePrefix + kOwnKey;
    store.revision = {9};
    store.items[key] = {key, "another text", {9}};
    this->Tell();
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, store.revision.number);
    CPPUNIT_ASSERT(store.items[key].value != "another text");
    CPPUNIT_ASSERT_EQUAL(2, store.calls);
  }

  void Keep_StoreAway_AsksEverLessOften() {
    store.isAway = true;
    this->Run(9s);
    CPPUNIT_ASSERT(store.calls <= 4);
    store.isAway = false;
    this->Run(8s);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
  }

  // A daemon that leads after the end of all wrote anew what stood there.
  void Keep_ListNotKnownYet_WritesNothing() {
    DaemonRegistrar fresh(settings, store, clock);
    for (int i = 0; i < 8; ++i) {
      clock.Advance(250ms);
      fresh.Keep(true);
      fresh.OnQueryFrom(Asker(2));
    }
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
  }

  // 985 daemons that started together each asked for a lease and wrote their
  // entry: 1,970 calls.
  void Keep_WhereAnotherLeads_LeavesTheEntryToIt() {
    leads = false;
    this->Run(3s);
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    const std::string key = settings.storePrefix + kOwnKey;
    store.items[key] = {
        key, DaemonEntry::TextOf({"d1", "h1:1", "a", settings.linkMbps}), {4}};
    this->Tell();
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
  }

  void Keep_WhereNobodyWritesIt_WritesTheOwnEntry() {
    leads = false;
    this->Run(8s);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    this->Tell();
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    CPPUNIT_ASSERT(store.calls >= 3);  // It is renewed.
  }

  void Keep_OwnEntryTakenOver_IsNotRenewed() {
    leads = false;
    this->Run(8s);
    const std::string key = settings.storePrefix + kOwnKey;
    store.items[key].revision = {100};
    this->Tell();
    const int calls = store.calls;
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(calls, store.calls);
  }

  void Askers_OfTheDomain_AreWrittenTogether() {
    this->Run(1s);
    const int calls = store.calls;
    constexpr int kAskers = 200;
    for (int i = 2; i < 2 + kAskers; ++i) {
      controller->OnQueryFrom(Asker(i));
    }
    this->Run(3s);
    CPPUNIT_ASSERT_EQUAL(1 + kAskers, store.puts);
    CPPUNIT_ASSERT(store.most <= 32);
    CPPUNIT_ASSERT(store.calls - calls <= 7);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
  }

  void Askers_OfOtherDomains_AreNotWritten() {
    this->Run(1s);
    PeerName far = Asker(2);
    far.failureDomain = "b";
    controller->OnQueryFrom(far);
    this->Run(3s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
  }

  void Askers_WithAnEntryOfAnother_AreTakenOverLater() {
    const std::string key = settings.storePrefix + DaemonEntry::KeyOf(Asker(2));
    store.items[key] = {key, DaemonEntry::TextOf(Asker(2)), {4}};
    this->Tell();
    this->Run(1s);
    controller->OnQueryFrom(Asker(2));
    this->Run(5s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    this->Run(7s);
    CPPUNIT_ASSERT_EQUAL(2, store.puts);
  }

  void Askers_AtANewAddress_AreWrittenAnew() {
    this->Run(1s);
    controller->OnQueryFrom(Asker(2));
    this->Run(1s);
    this->Tell();
    PeerName moved = Asker(2);
    moved.address = "h9:1";
    controller->OnQueryFrom(moved);
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(
        DaemonEntry::TextOf(moved),
        store.items[settings.storePrefix + DaemonEntry::KeyOf(moved)].value);
  }

  void Askers_ThatFallSilent_AreRemoved() {
    this->Run(1s);
    controller->OnQueryFrom(Asker(2));
    this->Run(1s);
    this->Tell();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.items.size());
    this->Run(118s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.items.size());
    this->Run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.items.size());
  }

  void Entries_OwnOneGone_IsWrittenAgain() {
    this->Run(1s);
    controller->OnEntries(listed);
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    this->Tell();
    CPPUNIT_ASSERT(controller->IsListed());
    store.items.clear();
    this->Tell();
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(2, store.puts);
  }

  void Entries_GoneOfOneThatAsksNoMore_StayAway() {
    this->Run(1s);
    controller->OnQueryFrom(Asker(2));
    this->Run(1s);
    this->Tell();
    store.items.erase(settings.storePrefix + DaemonEntry::KeyOf(Asker(2)));
    this->Tell();
    this->Run(20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.items.size());
    controller->OnQueryFrom(Asker(2));
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.items.size());
  }

  // Its lease is gone without a word for up to two minutes.
  void Restored_Store_GetsTheEntryWithinASecond() {
    this->Run(1s);
    store.items.clear();
    this->Tell();
    Random random{7};
    controller->OnRestored(random);
    this->Run(1250ms);
    CPPUNIT_ASSERT_EQUAL(2, store.grants);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.items.size());
  }

  void Restored_Store_IsNotWrittenByAllAtOnce() {
    constexpr int kDaemons = 300;
    Random random{7};
    std::vector<std::unique_ptr<EntryStore>> stores;
    std::vector<std::unique_ptr<DaemonRegistrar>> keepers;
    for (int i = 0; i < kDaemons; ++i) {
      stores.push_back(std::make_unique<EntryStore>());
      keepers.push_back(
          std::make_unique<DaemonRegistrar>(settings, *stores.back(), clock));
      keepers.back()->OnEntries(listed);
      keepers.back()->Keep(true);
      keepers.back()->OnRestored(random);
    }
    int most = 0;
    for (int step = 0; step < 20; ++step) {
      int calls = 0;
      for (std::size_t i = 0; i < keepers.size(); ++i) {
        const int before = stores[i]->calls;
        keepers[i]->Keep(true);
        calls += stores[i]->calls - before;
      }
      most = std::max(most, calls);
      clock.Advance(50ms);
    }
    CPPUNIT_ASSERT(most > 0);
    CPPUNIT_ASSERT(most < kDaemons / 4);
  }

  void End_EntryKept_IsTakenBackForGood() {
    this->Run(1s);
    this->Tell();
    controller->End();
    controller->End();
    CPPUNIT_ASSERT(store.items.empty());
    this->Tell();
    const int calls = store.calls;
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(calls, store.calls);
    CPPUNIT_ASSERT(!controller->WantsEntry());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonRegistrarTest);

}  // namespace
}  // namespace zincstep
