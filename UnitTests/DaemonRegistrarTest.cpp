#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/DaemonRegistrar.h"

namespace zincstep {
namespace {

/// Accepts all calls unless unavailable, and counts them.
class EntryStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange, Done<StoreCommit>) override {}
  void WriteAll(StoreWrites aWrites, Done<StoreRevision> aDone) override {
    this->calls += 1;
    if (this->isUnavailable) {
      aDone(Fail(ErrorKind::PlatformUnavailable, "away"));
      return;
    }
    this->maxBatch =
        std::max(this->maxBatch, aWrites.puts.size() + aWrites.removed.size());
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
    if (this->isUnavailable) {
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
  /// Maximum number of keys in one call.
  std::size_t maxBatch = 0;
  StoreItems items;
  StoreRevision revision;
  bool isUnavailable = false;
};

class DaemonRegistrarTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonRegistrarTest);
  CPPUNIT_TEST(Tick_Idle_CallsStoreRarely);
  CPPUNIT_TEST(Tick_SimultaneousStarts_RenewAtDifferentTimes);
  CPPUNIT_TEST(Tick_EntryOfEarlierProcess_IsReplaced);
  CPPUNIT_TEST(Tick_StoreUnavailable_BacksOff);
  CPPUNIT_TEST(Tick_ListUnknown_WritesNothing);
  CPPUNIT_TEST(Tick_OtherLeader_LeavesEntryToIt);
  CPPUNIT_TEST(Tick_EntryStaysMissing_RegistersItself);
  CPPUNIT_TEST(Tick_EntryTakenOver_IsNotRenewed);
  CPPUNIT_TEST(OnQueryFrom_SameDomain_IsWrittenInBatches);
  CPPUNIT_TEST(OnQueryFrom_OtherDomain_IsNotWritten);
  CPPUNIT_TEST(OnQueryFrom_EntryOfOtherWriter_IsTakenOverLater);
  CPPUNIT_TEST(OnQueryFrom_ChangedAddress_IsRewritten);
  CPPUNIT_TEST(OnQueryFrom_NoFurtherQueries_EntryIsRemoved);
  CPPUNIT_TEST(OnEntries_OwnEntryMissing_IsRewritten);
  CPPUNIT_TEST(OnEntries_EntryRemoved_IsRewrittenOnlyOnQuery);
  CPPUNIT_TEST(Deregister_OwnEntry_IsRemovedForGood);
  CPPUNIT_TEST(OnRestored_EntryLost_IsRewrittenWithinASecond);
  CPPUNIT_TEST(OnRestored_ManyDaemons_SpreadTheirWrites);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  EdgeSettings settings;
  EntryStore store;
  std::unique_ptr<DaemonRegistrar> registrar;
  bool isLeader = true;

  static constexpr const char* kOwnKey = "members/a/d1";

  void Run(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += 250ms) {
      clock.Advance(250ms);
      registrar->Tick(isLeader);
    }
  }

  static PeerName Requester(int aNumber) {
    const std::string number = std::to_string(aNumber);
    return {"d" + number, "h" + number + ":1", "a", 1000};
  }

  /// The daemons' list as stored, without the prefix.
  StoreItems listed;

  void NotifyListed() {
    listed.clear();
    for (const auto& [key, item] : store.items) {
      const std::string own = key.substr(settings.storePrefix.size());
      listed[own] = {own, item.value, item.revision};
    }
    registrar->OnEntries(listed);
  }

 public:
  void setUp() override {
    settings.name = "d1";
    settings.peerListen = "h1:1";
    settings.failureDomain = "a";
    clock.Advance(60s);
    registrar = std::make_unique<DaemonRegistrar>(settings, store, clock);
    this->NotifyListed();
  }

  // Guards against the load of short leases: 295 daemons that renewed their
  // entries every 4 s caused 74 of the store's 79 calls per second.
  void Tick_Idle_CallsStoreRarely() {
    this->Run(60s);
    CPPUNIT_ASSERT(store.calls >= 2);
    CPPUNIT_ASSERT(store.calls <= 4);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
  }

  void Tick_SimultaneousStarts_RenewAtDifferentTimes() {
    EdgeSettings other = settings;
    other.name = "d2";
    EntryStore otherStore;
    DaemonRegistrar second(other, otherStore, clock);
    second.OnEntries(listed);
    for (int i = 0; i < 4; ++i) {
      clock.Advance(250ms);
      registrar->Tick(true);
      second.Tick(true);
    }
    std::optional<Instant> first;
    std::optional<Instant> last;
    while (!first || !last) {
      clock.Advance(50ms);
      registrar->Tick(true);
      second.Tick(true);
      if (store.calls == 3 && !first) {
        first = clock.Now();
      }
      if (otherStore.calls == 3 && !last) {
        last = clock.Now();
      }
    }
    CPPUNIT_ASSERT(std::max(*first, *last) - std::min(*first, *last) > 300ms);
  }

  void Tick_EntryOfEarlierProcess_IsReplaced() {
    const std::string key = settings.storePrefix + kOwnKey;
    store.revision = {9};
    store.items[key] = {key, "another text", {9}};
    this->NotifyListed();
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, store.revision.number);
    CPPUNIT_ASSERT(store.items[key].value != "another text");
    CPPUNIT_ASSERT_EQUAL(2, store.calls);
  }

  void Tick_StoreUnavailable_BacksOff() {
    store.isUnavailable = true;
    this->Run(9s);
    CPPUNIT_ASSERT(store.calls <= 4);
    store.isUnavailable = false;
    this->Run(8s);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
  }

  // Guards against rewriting entries that are still stored: a daemon that
  // became leader after a restart of all daemons did so before it had read
  // them.
  void Tick_ListUnknown_WritesNothing() {
    DaemonRegistrar unsynced(settings, store, clock);
    for (int i = 0; i < 8; ++i) {
      clock.Advance(250ms);
      unsynced.Tick(true);
      unsynced.OnQueryFrom(Requester(2));
    }
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
  }

  // Guards against 1,970 calls at a start: 985 daemons that started together
  // each acquired a lease and wrote their entry.
  void Tick_OtherLeader_LeavesEntryToIt() {
    isLeader = false;
    this->Run(3s);
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    const std::string key = settings.storePrefix + kOwnKey;
    store.items[key] = {
        key, DaemonEntry::TextOf({"d1", "h1:1", "a", settings.linkMbps}), {4}};
    this->NotifyListed();
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
  }

  void Tick_EntryStaysMissing_RegistersItself() {
    isLeader = false;
    this->Run(8s);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    this->NotifyListed();
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    CPPUNIT_ASSERT(store.calls >= 3);  // The lease is renewed.
  }

  void Tick_EntryTakenOver_IsNotRenewed() {
    isLeader = false;
    this->Run(8s);
    const std::string key = settings.storePrefix + kOwnKey;
    store.items[key].revision = {100};
    this->NotifyListed();
    const int calls = store.calls;
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(calls, store.calls);
  }

  void OnQueryFrom_SameDomain_IsWrittenInBatches() {
    this->Run(1s);
    const int calls = store.calls;
    constexpr int kRequesters = 200;
    for (int i = 2; i < 2 + kRequesters; ++i) {
      registrar->OnQueryFrom(Requester(i));
    }
    this->Run(3s);
    CPPUNIT_ASSERT_EQUAL(1 + kRequesters, store.puts);
    CPPUNIT_ASSERT(store.maxBatch <= 32);
    CPPUNIT_ASSERT(store.calls - calls <= 7);
    CPPUNIT_ASSERT_EQUAL(1, store.grants);
  }

  void OnQueryFrom_OtherDomain_IsNotWritten() {
    this->Run(1s);
    PeerName remote = Requester(2);
    remote.failureDomain = "b";
    registrar->OnQueryFrom(remote);
    this->Run(3s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
  }

  void OnQueryFrom_EntryOfOtherWriter_IsTakenOverLater() {
    const std::string key =
        settings.storePrefix + DaemonEntry::KeyOf(Requester(2));
    store.items[key] = {key, DaemonEntry::TextOf(Requester(2)), {4}};
    this->NotifyListed();
    this->Run(1s);
    registrar->OnQueryFrom(Requester(2));
    this->Run(5s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    this->Run(7s);
    CPPUNIT_ASSERT_EQUAL(2, store.puts);
  }

  void OnQueryFrom_ChangedAddress_IsRewritten() {
    this->Run(1s);
    registrar->OnQueryFrom(Requester(2));
    this->Run(1s);
    this->NotifyListed();
    PeerName moved = Requester(2);
    moved.address = "h9:1";
    registrar->OnQueryFrom(moved);
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(
        DaemonEntry::TextOf(moved),
        store.items[settings.storePrefix + DaemonEntry::KeyOf(moved)].value);
  }

  void OnQueryFrom_NoFurtherQueries_EntryIsRemoved() {
    this->Run(1s);
    registrar->OnQueryFrom(Requester(2));
    this->Run(1s);
    this->NotifyListed();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.items.size());
    this->Run(118s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.items.size());
    this->Run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.items.size());
  }

  void OnEntries_OwnEntryMissing_IsRewritten() {
    this->Run(1s);
    registrar->OnEntries(listed);
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(1, store.puts);
    this->NotifyListed();
    CPPUNIT_ASSERT(registrar->IsListed());
    store.items.clear();
    this->NotifyListed();
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(2, store.puts);
  }

  void OnEntries_EntryRemoved_IsRewrittenOnlyOnQuery() {
    this->Run(1s);
    registrar->OnQueryFrom(Requester(2));
    this->Run(1s);
    this->NotifyListed();
    store.items.erase(settings.storePrefix + DaemonEntry::KeyOf(Requester(2)));
    this->NotifyListed();
    this->Run(20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.items.size());
    registrar->OnQueryFrom(Requester(2));
    this->Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.items.size());
  }

  // A restored store may have lost the lease, and a daemon would notice that
  // only up to two minutes later.
  void OnRestored_EntryLost_IsRewrittenWithinASecond() {
    this->Run(1s);
    store.items.clear();
    this->NotifyListed();
    Random random{7};
    registrar->OnRestored(random);
    this->Run(1250ms);
    CPPUNIT_ASSERT_EQUAL(2, store.grants);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.items.size());
  }

  void OnRestored_ManyDaemons_SpreadTheirWrites() {
    constexpr int kDaemons = 300;
    Random random{7};
    std::vector<std::unique_ptr<EntryStore>> stores;
    std::vector<std::unique_ptr<DaemonRegistrar>> registrars;
    for (int i = 0; i < kDaemons; ++i) {
      stores.push_back(std::make_unique<EntryStore>());
      registrars.push_back(
          std::make_unique<DaemonRegistrar>(settings, *stores.back(), clock));
      registrars.back()->OnEntries(listed);
      registrars.back()->Tick(true);
      registrars.back()->OnRestored(random);
    }
    int maxCalls = 0;
    for (int step = 0; step < 20; ++step) {
      int calls = 0;
      for (std::size_t i = 0; i < registrars.size(); ++i) {
        const int before = stores[i]->calls;
        registrars[i]->Tick(true);
        calls += stores[i]->calls - before;
      }
      maxCalls = std::max(maxCalls, calls);
      clock.Advance(50ms);
    }
    CPPUNIT_ASSERT(maxCalls > 0);
    CPPUNIT_ASSERT(maxCalls < kDaemons / 4);
  }

  void Deregister_OwnEntry_IsRemovedForGood() {
    this->Run(1s);
    this->NotifyListed();
    registrar->Deregister();
    registrar->Deregister();
    CPPUNIT_ASSERT(store.items.empty());
    this->NotifyListed();
    const int calls = store.calls;
    this->Run(60s);
    CPPUNIT_ASSERT_EQUAL(calls, store.calls);
    CPPUNIT_ASSERT(!registrar->NeedsEntry());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonRegistrarTest);

}  // namespace
}  // namespace zincstep
