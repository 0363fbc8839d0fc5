#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/DaemonEntry.h"

namespace zincstep {
namespace {

/// Takes each call, unless the test has it refuse them, and counts them.
class EntryStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, Done<StoreRange>) override {}
  void Watch(const std::string&, std::uint64_t, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange aChange, Done<StoreCommit> aDone) override {
    this->calls += 1;
    if (aChange.expected != this->revision) {
      aDone(StoreCommit{false, 0, StoreItem{aChange.key, "", this->revision}});
      return;
    }
    this->revision += 1;
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
  std::uint64_t revision = 0;
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
    store.revision = 9;
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, store.revision);
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
    store.revision = 0;
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(2, store.grants);
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
