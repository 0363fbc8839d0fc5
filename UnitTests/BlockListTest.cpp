#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/BlockList.h"

namespace zincstep {
namespace {

constexpr RequestFingerprint kRequest{1};
constexpr RequestFingerprint kOther{2};

/// One item, changed on condition of its revision.
class OneItemStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange aChange, Done<StoreCommit> aDone) override {
    this->calls += 1;
    if (this->isAway) {
      aDone(Fail(ErrorKind::PlatformUnavailable, "away"));
    } else if (aChange.expected != this->item.revision) {
      aDone(StoreCommit{false, {}, this->item});
    } else {
      this->item.revision.number += 10;
      this->item.value = *aChange.value;
      aDone(StoreCommit{true, this->item.revision, std::nullopt});
    }
  }
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t>) override {}
  void Renew(std::uint64_t, Done<bool>) override {}
  void End(std::uint64_t, Done<bool>) override {}

  StoreItems Items() const { return {{BlockList::kKey, this->item}}; }

  StoreItem item{BlockList::kKey, "", 0};
  int calls = 0;
  bool isAway = false;
};

class BlockListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BlockListTest);
  CPPUNIT_TEST(Write_Blocked_IsKnownToADaemonThatStarts);
  CPPUNIT_TEST(Write_NothingNew_CallsNobody);
  CPPUNIT_TEST(Write_ByWhoHasNotReadIt_LosesNothing);
  CPPUNIT_TEST(Write_Cleared_EndsTheBlockElsewhere);
  CPPUNIT_TEST(Write_StoreAway_IsTriedAgainLater);
  CPPUNIT_TEST(Entries_ListThatDoesNotParse_LeavesTheLast);
  CPPUNIT_TEST(Restored_ListOfTheCopy_TakesNoBlockAway);
  CPPUNIT_TEST_SUITE_END();

  /// What a daemon has of it.
  struct Daemon {
    explicit Daemon(AsyncStore& aStore, const Clock& aClock)
        : list("own/", aStore, ledger, aClock), clock(aClock) {}

    CrashTracker ledger{CrashTrackerSettings{}};
    BlockList list;
    const Clock& clock;

    void Block(RequestFingerprint aRequest) {
      for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
        this->ledger.OnCrash({aRequest, upstream}, this->clock.Now());
      }
    }
    bool Blocks(RequestFingerprint aRequest) const {
      return this->ledger.BlockedFor(aRequest, this->clock.Now()) > Micros{0};
    }
  };

  FakeClock clock;
  OneItemStore store;
  Daemon holder{store, clock};
  Daemon other{store, clock};

 public:
  void setUp() override { clock.Advance(100s); }

  void Write_Blocked_IsKnownToADaemonThatStarts() {
    holder.Block(kRequest);
    holder.list.Write();
    other.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(other.Blocks(kRequest));
  }

  void Write_NothingNew_CallsNobody() {
    holder.list.Write();
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    holder.Block(kRequest);
    holder.list.Write();
    holder.list.OnEntries(store.Items());
    holder.list.Write();
    CPPUNIT_ASSERT_EQUAL(1, store.calls);
  }

  void Write_ByWhoHasNotReadIt_LosesNothing() {
    holder.Block(kRequest);
    holder.list.Write();
    other.Block(kOther);
    other.list.Write();
    clock.Advance(2s);
    other.list.Write();
    holder.list.OnEntries(store.Items());
    for (const Daemon* daemon : {&holder, &other}) {
      CPPUNIT_ASSERT(daemon->Blocks(kRequest) && daemon->Blocks(kOther));
    }
  }

  void Write_Cleared_EndsTheBlockElsewhere() {
    holder.Block(kRequest);
    other.Block(kRequest);
    holder.list.Write();
    other.list.OnEntries(store.Items());
    holder.ledger.OnAnswered(kRequest, clock.Now());
    holder.list.Write();
    other.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(!other.Blocks(kRequest));
  }

  void Write_StoreAway_IsTriedAgainLater() {
    store.isAway = true;
    holder.Block(kRequest);
    for (int i = 0; i < 4; ++i) {
      holder.list.Write();
      clock.Advance(250ms);
    }
    CPPUNIT_ASSERT_EQUAL(1, store.calls);
    store.isAway = false;
    holder.list.Write();
    CPPUNIT_ASSERT(!store.item.revision.IsNone());
  }

  void Restored_ListOfTheCopy_TakesNoBlockAway() {
    holder.Block(kRequest);
    holder.list.Write();
    const StoreItem copy = store.item;
    holder.Block(kOther);
    clock.Advance(2s);
    holder.list.Write();
    other.list.OnEntries(store.Items());
    store.item = copy;
    store.item.revision.era = 1;
    for (Daemon* daemon : {&holder, &other}) {
      daemon->list.OnRestored();
      daemon->list.OnEntries(store.Items());
      CPPUNIT_ASSERT(daemon->Blocks(kRequest) && daemon->Blocks(kOther));
    }
    clock.Advance(2s);
    other.list.Write();
    Daemon fresh{store, clock};
    fresh.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(fresh.Blocks(kRequest) && fresh.Blocks(kOther));
  }

  void Entries_ListThatDoesNotParse_LeavesTheLast() {
    holder.Block(kRequest);
    holder.list.Write();
    other.list.OnEntries(store.Items());
    for (const char* wrong :
         {"", "[]", "{}", R"({"blocked":7})", R"({"blocked":["x"]})",
          R"({"blocked":[1]})", "\xff\xfe"}) {
      store.item.revision.number += 1;
      store.item.value = wrong;
      other.list.OnEntries(store.Items());
      CPPUNIT_ASSERT(other.Blocks(kRequest));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BlockListTest);

}  // namespace
}  // namespace zincstep
