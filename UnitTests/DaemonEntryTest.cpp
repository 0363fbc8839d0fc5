#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/DaemonEntry.h"

namespace zincstep {
namespace {

/// Takes each call, unless the test has it refuse them, and counts them.
class EntryStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange aChange, Done<StoreCommit> aDone) override {
    this->calls += 1;
    if (aChange.expected != this->revision) {
      aDone(StoreCommit{false, {}, StoreItem{aChange.key, "", this->revision}});
      return;
    }
    this->revision.number += 1;
    aDone(StoreCommit{true, this->revision, std::nullopt});
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
  void End(std::uint64_t, Done<bool> aDone) override {
    this->ends += 1;
    aDone(true);
  }

  int calls = 0;
  int grants = 0;
  int ends = 0;
  StoreRevision revision;
  bool isAway = false;
};

class DaemonEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonEntryTest);
  CPPUNIT_TEST(Keep_AtRest_CallsTheStoreSeldom);
  CPPUNIT_TEST(Keep_DaemonsThatStartTogether_RenewApart);
  CPPUNIT_TEST(Keep_EntryOfAnEarlierProcess_IsReplaced);
  CPPUNIT_TEST(Keep_StoreAway_AsksEverLessOften);
  CPPUNIT_TEST(Entries_OwnOneGone_IsWrittenAgain);
  CPPUNIT_TEST(End_EntryKept_IsTakenBackForGood);
  CPPUNIT_TEST(Restored_Store_GetsTheEntryWithinASecond);
  CPPUNIT_TEST(Restored_Store_IsNotWrittenByAllAtOnce);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  EdgeSettings settings;
  EntryStore store;
  std::unique_ptr<DaemonEntry> entry;

  void Run(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += 250ms) {
      clock.Advance(250ms);
      entry->Keep();
    }
  }

  StoreItems Listed() const {
    StoreItems items;
    items["members/d1"] = StoreItem{"members/d1", "{}", 1};
    return items;
  }

 public:
  void setUp() override {
    settings.name = "d1";
    clock.Advance(60s);
    entry = std::make_unique<DaemonEntry>(settings, store, clock);
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
    DaemonEntry second(other, otherStore, clock);
    this->Run(1s);
    second.Keep();
    std::optional<Instant> first;
    std::optional<Instant> last;
    while (!first || !last) {
      clock.Advance(50ms);
      entry->Keep();
      second.Keep();
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
    store.revision = {9};
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, store.revision.number);
    CPPUNIT_ASSERT_EQUAL(3, store.calls);
  }

  void Keep_StoreAway_AsksEverLessOften() {
    store.isAway = true;
    this->Run(9s);
    CPPUNIT_ASSERT(store.calls <= 4);
    store.isAway = false;
    this->Run(8s);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
  }

  void Entries_OwnOneGone_IsWrittenAgain() {
    this->Run(1s);
    entry->OnEntries({});
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
    entry->OnEntries(this->Listed());
    entry->OnEntries({});
    store.revision = {};
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(2, store.grants);
  }

  // Its lease is gone without a word for up to two minutes.
  void Restored_Store_GetsTheEntryWithinASecond() {
    this->Run(1s);
    store.revision = {};
    Random random{7};
    entry->OnRestored(random);
    this->Run(1250ms);
    CPPUNIT_ASSERT_EQUAL(2, store.grants);
    CPPUNIT_ASSERT(!store.revision.IsNone());
  }

  void Restored_Store_IsNotWrittenByAllAtOnce() {
    constexpr int kDaemons = 300;
    Random random{7};
    std::vector<std::unique_ptr<EntryStore>> stores;
    std::vector<std::unique_ptr<DaemonEntry>> entries;
    for (int i = 0; i < kDaemons; ++i) {
      stores.push_back(std::make_unique<EntryStore>());
      entries.push_back(
          std::make_unique<DaemonEntry>(settings, *stores.back(), clock));
      entries.back()->OnRestored(random);
    }
    int most = 0;
    for (int step = 0; step < 20; ++step) {
      int calls = 0;
      for (std::size_t i = 0; i < entries.size(); ++i) {
        const int before = stores[i]->calls;
        entries[i]->Keep();
        calls += stores[i]->calls - before;
      }
      most = std::max(most, calls);
      clock.Advance(50ms);
    }
    CPPUNIT_ASSERT(most < kDaemons / 4);
  }

  void End_EntryKept_IsTakenBackForGood() {
    this->Run(1s);
    entry->OnEntries(this->Listed());
    entry->End();
    entry->End();
    entry->OnEntries({});
    const int calls = store.calls;
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(1, store.ends);
    CPPUNIT_ASSERT_EQUAL(calls, store.calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonEntryTest);

}  // namespace
}  // namespace zincstep
