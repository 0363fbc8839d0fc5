#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/BlockList.h"

namespace zincstep {
namespace {

constexpr Fingerprint kRequest{1};
constexpr Fingerprint kOther{2};

/// A store of one item with conditional writes.
class OneItemStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string& aKey, StalePages,
                  Done<StoreRange> aDone) override {
    this->reads.push_back([this, aKey, aDone] {
      if (this->isUnavailable) {
        aDone(Fail(ErrorKind::PlatformUnavailable, "away"));
        return;
      }
      StoreRange range;
      if (!this->item.revision.IsNone()) {
        range.items = {{aKey, this->item.value, this->item.revision}};
      }
      aDone(range);
    });
  }
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange aChange, Done<StoreCommit> aDone) override {
    this->calls += 1;
    if (this->isUnavailable) {
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
  bool isUnavailable = false;
  /// Reads that have not ended.
  std::vector<std::function<void()>> reads;
};

class BlockListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BlockListTest);
  CPPUNIT_TEST(Write_BlockedRequest_IsReadByStartingDaemon);
  CPPUNIT_TEST(Write_Unchanged_SkipsStore);
  CPPUNIT_TEST(Write_WithoutPriorRead_MergesLists);
  CPPUNIT_TEST(Write_ClearedRequest_UnblocksItElsewhere);
  CPPUNIT_TEST(Write_StoreUnavailable_IsRetriedLater);
  CPPUNIT_TEST(Write_SuspectedCrashes_HoldRequestBackAtStartingDaemon);
  CPPUNIT_TEST(Write_SuspicionWithdrawn_RequestRunsElsewhere);
  CPPUNIT_TEST(Write_SuspicionsOfOneDaemonAlone_AreNotListed);
  CPPUNIT_TEST(Write_ChangingSuspicions_IsDelayed);
  CPPUNIT_TEST(ReadAtStart_BlockedRequest_IsKnownOnceRead);
  CPPUNIT_TEST(ReadAtStart_StoreUnavailable_EndsTheWait);
  CPPUNIT_TEST(ReadAtStart_StoreSilent_EndsTheWaitInTime);
  CPPUNIT_TEST(OnEntries_MalformedList_KeepsLastList);
  CPPUNIT_TEST(OnRestored_OlderList_KeepsAllBlocks);
  CPPUNIT_TEST_SUITE_END();

  /// The parts of a daemon that track and share blocked requests.
  struct Daemon {
    explicit Daemon(AsyncStore& aStore, const Clock& aClock)
        : list("own/", aStore, crashes, aClock), clock(aClock) {}

    CrashTracker crashes{CrashTrackerSettings{}};
    BlockList list;
    const Clock& clock;

    void Block(Fingerprint aRequest) {
      for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
        this->crashes.OnCrash({aRequest, upstream}, this->clock.Now());
      }
    }
    void Suspect(Fingerprint aRequest, std::uint64_t aUpstreams) {
      for (std::uint64_t upstream = 1; upstream <= aUpstreams; ++upstream) {
        this->crashes.OnSuspicionShared({aRequest, upstream},
                                        this->clock.Now());
      }
    }
    bool Blocks(Fingerprint aRequest) const {
      return this->crashes.BlockedFor(aRequest, this->clock.Now()) > Micros{0};
    }
  };

  FakeClock clock;
  OneItemStore store;
  Daemon leader{store, clock};
  Daemon other{store, clock};

 public:
  void setUp() override { clock.Advance(100s); }

  void Write_BlockedRequest_IsReadByStartingDaemon() {
    leader.Block(kRequest);
    leader.list.Write();
    other.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(other.Blocks(kRequest));
  }

  void Write_Unchanged_SkipsStore() {
    leader.list.Write();
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    leader.Block(kRequest);
    leader.list.Write();
    leader.list.OnEntries(store.Items());
    leader.list.Write();
    CPPUNIT_ASSERT_EQUAL(1, store.calls);
  }

  void Write_WithoutPriorRead_MergesLists() {
    leader.Block(kRequest);
    leader.list.Write();
    other.Block(kOther);
    other.list.Write();
    clock.Advance(2s);
    other.list.Write();
    leader.list.OnEntries(store.Items());
    for (const Daemon* daemon : {&leader, &other}) {
      CPPUNIT_ASSERT(daemon->Blocks(kRequest) && daemon->Blocks(kOther));
    }
  }

  void Write_ClearedRequest_UnblocksItElsewhere() {
    leader.Block(kRequest);
    other.Block(kRequest);
    leader.list.Write();
    other.list.OnEntries(store.Items());
    leader.crashes.OnCompleted(kRequest, clock.Now());
    leader.list.Write();
    other.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(!other.Blocks(kRequest));
  }

  void Write_StoreUnavailable_IsRetriedLater() {
    store.isUnavailable = true;
    leader.Block(kRequest);
    for (int i = 0; i < 4; ++i) {
      leader.list.Write();
      clock.Advance(250ms);
    }
    CPPUNIT_ASSERT_EQUAL(1, store.calls);
    store.isUnavailable = false;
    leader.list.Write();
    CPPUNIT_ASSERT(!store.item.revision.IsNone());
  }

  // Guards against losing suspected crashes with the daemons that have them: a
  // request crashed all upstreams of a service after each kill of all daemons.
  void Write_SuspectedCrashes_HoldRequestBackAtStartingDaemon() {
    leader.Suspect(kRequest, 3);
    leader.Suspect(kOther, 2);
    leader.list.Write();
    other.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(other.Blocks(kRequest) && !other.Blocks(kOther));
    CPPUNIT_ASSERT(other.crashes.Blocked(clock.Now()).empty());
    // The daemons that start next hear of it from a leader that has only read
    // the list, for as long as one without a report remembers.
    clock.Advance(6s);
    other.list.Write();
    CPPUNIT_ASSERT_EQUAL(1, store.calls);
    clock.Advance(6s);
    other.crashes.Tick(clock.Now());
    CPPUNIT_ASSERT(!other.Blocks(kRequest));
    other.list.Write();
    Daemon restarted{store, clock};
    restarted.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(!restarted.Blocks(kRequest));
  }

  void Write_SuspicionWithdrawn_RequestRunsElsewhere() {
    leader.Suspect(kRequest, 3);
    leader.list.Write();
    other.list.OnEntries(store.Items());
    leader.crashes.OnWithdrawn({kRequest, 2});
    clock.Advance(1s);
    leader.list.Write();
    other.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(!leader.Blocks(kRequest) && !other.Blocks(kRequest));
  }

  void Write_SuspicionsOfOneDaemonAlone_AreNotListed() {
    for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
      leader.crashes.OnSuspected({kRequest, upstream});
    }
    CPPUNIT_ASSERT(leader.Blocks(kRequest));
    leader.list.Write();
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
  }

  void Write_ChangingSuspicions_IsDelayed() {
    for (std::uint64_t upstreams = 3; upstreams <= 12; ++upstreams) {
      leader.Suspect(kRequest, upstreams);
      leader.list.Write();
      clock.Advance(100ms);
    }
    CPPUNIT_ASSERT_EQUAL(2, store.calls);
    leader.Block(kOther);
    leader.list.Write();
    CPPUNIT_ASSERT_EQUAL(3, store.calls);
  }

  void ReadAtStart_BlockedRequest_IsKnownOnceRead() {
    leader.Block(kRequest);
    leader.list.Write();
    Daemon started{store, clock};
    started.list.ReadAtStart();
    CPPUNIT_ASSERT(started.crashes.AwaitsBlockList(clock.Now()));
    store.reads.at(0)();
    CPPUNIT_ASSERT(!started.crashes.AwaitsBlockList(clock.Now()));
    CPPUNIT_ASSERT(started.Blocks(kRequest));
  }

  void ReadAtStart_StoreUnavailable_EndsTheWait() {
    Daemon started{store, clock};
    store.isUnavailable = true;
    started.list.ReadAtStart();
    store.reads.at(0)();
    CPPUNIT_ASSERT(!started.crashes.AwaitsBlockList(clock.Now()));
  }

  void ReadAtStart_StoreSilent_EndsTheWaitInTime() {
    leader.Block(kRequest);
    leader.list.Write();
    Daemon started{store, clock};
    started.list.ReadAtStart();
    clock.Advance(900ms);
    CPPUNIT_ASSERT(started.crashes.AwaitsBlockList(clock.Now()));
    Daemon other{store, clock};
    other.list.ReadAtStart();
    // A peer has sent the entries of all daemons.
    started.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(!started.crashes.AwaitsBlockList(clock.Now()));
    CPPUNIT_ASSERT(started.Blocks(kRequest));
    clock.Advance(1s);
    CPPUNIT_ASSERT(!other.crashes.AwaitsBlockList(clock.Now()));
  }

  void OnRestored_OlderList_KeepsAllBlocks() {
    leader.Block(kRequest);
    leader.list.Write();
    const StoreItem backup = store.item;
    leader.Block(kOther);
    clock.Advance(2s);
    leader.list.Write();
    other.list.OnEntries(store.Items());
    store.item = backup;
    store.item.revision.era = 1;
    for (Daemon* daemon : {&leader, &other}) {
      daemon->list.OnRestored();
      daemon->list.OnEntries(store.Items());
      CPPUNIT_ASSERT(daemon->Blocks(kRequest) && daemon->Blocks(kOther));
    }
    clock.Advance(2s);
    other.list.Write();
    Daemon restarted{store, clock};
    restarted.list.OnEntries(store.Items());
    CPPUNIT_ASSERT(restarted.Blocks(kRequest) && restarted.Blocks(kOther));
  }

  void OnEntries_MalformedList_KeepsLastList() {
    leader.Block(kRequest);
    leader.list.Write();
    other.list.OnEntries(store.Items());
    for (const char* malformed :
         {"", "[]", "{}", R"({"blocked":7})", R"({"blocked":["x"]})",
          R"({"blocked":[1]})", R"({"blocked":[],"suspected":[]})",
          R"({"blocked":[],"suspected":{"x":[1]}})",
          R"({"blocked":[],"suspected":{"0000000000000001":[-1]}})",
          "\xff\xfe"}) {
      store.item.revision.number += 1;
      store.item.value = malformed;
      other.list.OnEntries(store.Items());
      CPPUNIT_ASSERT(other.Blocks(kRequest));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BlockListTest);

}  // namespace
}  // namespace zincstep
