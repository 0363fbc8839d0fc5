#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/StoreFollower.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A store that is unreachable until a test changes that, and counts its calls.
class CountingStore final : public AsyncStore {
 public:
  explicit CountingStore(asio::io_context& aLoop) : loop(aLoop) {}

  void Range(const std::string&, Done<StoreRange> aDone) override {
    this->ranges += 1;
    this->Respond(std::move(aDone), StoreRange{});
  }
  void RangeStale(const std::string& aPrefix, StalePages aPages,
                  Done<StoreRange> aDone) override {
    if (aPrefix != "servers/") {
      this->daemonReads += 1;
      this->Respond(std::move(aDone), this->daemons);
      return;
    }
    this->staleReads += 1;
    StoreRange received = this->staleUpstreams;
    if (this->isLong && aPages == StalePages::First) {
      received.isComplete = false;
    }
    this->Respond(std::move(aDone), received);
  }
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {
    this->watches += 1;
  }
  void Commit(StoreChange, Done<StoreCommit> aDone) override {
    this->validations += 1;
    this->Respond(std::move(aDone), StoreCommit{true, {}, std::nullopt});
  }
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t>) override {}
  void Renew(std::uint64_t, Done<bool>) override {}
  void End(std::uint64_t, Done<bool>) override {}

  bool isUnreachable = true;
  int validations = 0;
  int ranges = 0;
  /// Stale reads of upstreams, and what they return.
  int staleReads = 0;
  StoreRange staleUpstreams;
  /// Stale reads of daemons, and what they return.
  int daemonReads = 0;
  StoreRange daemons;
  /// Whether the upstreams take more than one page.
  bool isLong = false;
  int watches = 0;

 private:
  template <class T>
  void Respond(Done<T> aDone, T aValue) {
    Result<T> result = std::move(aValue);
    if (this->isUnreachable) {
      result = Fail(ErrorKind::PlatformUnavailable, "unreachable");
    }
    asio::post(this->loop, [aDone, result] { aDone(result); });
  }

  asio::io_context& loop;
};

class StoreFollowerTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(StoreFollowerTest);
  CPPUNIT_TEST(StoreUnreachable_Lists_AreNotRead);
  CPPUNIT_TEST(StoreReachableAgain_Lists_AreReadAgain);
  CPPUNIT_TEST(StoreReachableAgain_WithSyncSource_LeavesTheListsToIt);
  CPPUNIT_TEST(Start_FewDaemons_UseStaleReads);
  CPPUNIT_TEST(Start_HighestRanked_ReadsTheListsAtOnce);
  CPPUNIT_TEST(Start_LowRanked_LeavesALongListToPeers);
  CPPUNIT_TEST(Start_LowRanked_ReadsAShortList);
  CPPUNIT_TEST(Start_OneOfManyDaemons_ReadsOnlyTheDaemons);
  CPPUNIT_TEST(Start_NoDaemonKnown_ReadsTheDaemonsAgain);
  CPPUNIT_TEST(SyncSource_Fresh_MarksTheStoreReachable);
  CPPUNIT_TEST(Validation_HandlerThrows_IsRepeated);
  CPPUNIT_TEST_SUITE_END();

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  asio::io_context loop;
  SystemClock clock;
  CountingStore store{loop};
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  ClusterView view{*decoder, *this, clock};
  std::unique_ptr<StoreFollower> follower;
  bool mayQueryStore = true;
  bool hasFreshSyncSource = false;
  bool hasSyncSource = false;
  std::size_t rank = 0;
  /// Daemons of the domain that a stale read returns.
  std::size_t daemons = 3;
  int bootstrapCalls = 0;

  void RunUntil(const std::function<bool()>& aDone) {
    while (!aDone()) {
      loop.run_one();
    }
  }

 public:
  void Begin(bool aPeersFirst) {
    StoreFollowerSettings settings;
    settings.keys = {"op/config", "servers/", "own/", "own/members/a/"};
    settings.bootstrapInterval = 1ms;
    settings.syncCheckInterval = 1ms;
    for (std::size_t i = 0; i < daemons; ++i) {
      store.daemons.items.push_back(
          {"own/members/a/d" + std::to_string(i), "text", {1}});
    }
    settings.validationInterval = 5ms;
    settings.initialBackoff = 1ms;
    settings.upstreamTiming.initialBackoff = 1ms;
    settings.upstreamTiming.maxBackoff = 1ms;
    settings.daemonTiming.initialBackoff = 1ms;
    settings.daemonTiming.maxBackoff = 1ms;
    follower =
        std::make_unique<StoreFollower>(loop, store, settings, view, clock);
    follower->SetMayQueryStore([this] { return mayQueryStore; });
    follower->SetHasFreshSyncSource([this] { return hasFreshSyncSource; });
    follower->SetHasSyncSource([this] { return hasSyncSource; });
    follower->SetRank([this] { return rank; });
    follower->SetOnBootstrapDaemons(
        [this](const std::vector<StoreItem>& aItems) {
          this->bootstrapCalls += 1;
          for (const StoreItem& item : aItems) {
            CPPUNIT_ASSERT(item.key.starts_with("members/a/"));
          }
          return !aItems.empty();
        });
    follower->Start(aPeersFirst);
  }

  // Guards against useless calls in an outage of the store: each of 59 daemons
  // made three calls a second, two of them for lists.
  void StoreUnreachable_Lists_AreNotRead() {
    this->Begin(false);
    this->RunUntil([this] { return store.validations >= 12; });
    CPPUNIT_ASSERT(store.ranges <= 4);
  }

  void StoreReachableAgain_Lists_AreReadAgain() {
    this->Begin(false);
    this->RunUntil([this] { return store.validations >= 4; });
    store.isUnreachable = false;
    const int before = store.ranges;
    this->RunUntil([this] { return store.watches >= 2; });
    CPPUNIT_ASSERT(store.ranges >= before + 2);
  }

  // A domain of 59 daemons that was partitioned for six seconds read both lists
  // 118 times on its return, eleven calls each.
  void StoreReachableAgain_WithSyncSource_LeavesTheListsToIt() {
    this->Begin(false);
    this->RunUntil([this] { return store.validations >= 4; });
    hasSyncSource = true;
    store.isUnreachable = false;
    const int before = store.ranges;
    this->RunUntil([this] { return store.validations >= 20; });
    CPPUNIT_ASSERT_EQUAL(before, store.ranges);
  }

  // Guards against full reads by all daemons of a start: 295 that started
  // together read both lists in full, 1,145 reads of some five calls each in
  // two such starts.
  void Start_FewDaemons_UseStaleReads() {
    store.isUnreachable = false;
    hasSyncSource = true;
    store.staleUpstreams.at = {7};
    this->Begin(true);
    this->RunUntil([this] { return store.validations >= 8; });
    CPPUNIT_ASSERT_EQUAL(1, store.daemonReads);
    CPPUNIT_ASSERT_EQUAL(1, store.staleReads);
    CPPUNIT_ASSERT_EQUAL(0, store.ranges);
    CPPUNIT_ASSERT(view.KnowsUpstreams());
    CPPUNIT_ASSERT(!view.ListsAge());
  }

  // 300 daemons that started together each requested 1.4 MB from the store, and
  // none received a response in time.
  void Start_LowRanked_LeavesALongListToPeers() {
    store.isUnreachable = false;
    hasSyncSource = true;
    rank = 3;
    store.staleUpstreams.at = {7};
    store.isLong = true;
    this->Begin(true);
    this->RunUntil([this] { return store.validations >= 8; });
    CPPUNIT_ASSERT_EQUAL(1, store.staleReads);
    CPPUNIT_ASSERT_EQUAL(0, store.ranges);
    CPPUNIT_ASSERT(!view.KnowsUpstreams());
  }

  // When a list of one page was left to peers, it arrived later, and after a
  // restart of all daemons a fiftieth of the requests was refused.
  void Start_LowRanked_ReadsAShortList() {
    store.isUnreachable = false;
    hasSyncSource = true;
    rank = 3;
    store.staleUpstreams.at = {7};
    this->Begin(true);
    this->RunUntil([this] { return view.KnowsUpstreams(); });
    CPPUNIT_ASSERT_EQUAL(0, store.ranges);
  }

  // 210 daemons of a domain that started together made 3,144 checks and 906
  // full reads: the store refused most of them, and all retried in step.
  void Start_OneOfManyDaemons_ReadsOnlyTheDaemons() {
    store.isUnreachable = false;
    mayQueryStore = false;
    daemons = 200;
    this->Begin(true);
    loop.run_for(50ms);
    CPPUNIT_ASSERT_EQUAL(1, store.daemonReads);
    CPPUNIT_ASSERT_EQUAL(0,
                         store.validations + store.ranges + store.staleReads);
    mayQueryStore = true;
    this->RunUntil([this] { return store.watches >= 2; });
  }

  void Start_NoDaemonKnown_ReadsTheDaemonsAgain() {
    store.isUnreachable = false;
    mayQueryStore = false;
    daemons = 0;
    this->Begin(true);
    this->RunUntil([this] { return store.daemonReads >= 3; });
    CPPUNIT_ASSERT_EQUAL(0,
                         store.validations + store.ranges + store.staleReads);
  }

  // A daemon that does not query the store would consider it unreachable for
  // good.
  void SyncSource_Fresh_MarksTheStoreReachable() {
    this->Begin(false);
    this->RunUntil([this] { return store.validations >= 2; });
    CPPUNIT_ASSERT(view.MayLackEntries());
    mayQueryStore = false;
    hasFreshSyncSource = true;
    view.OnListsValidated(clock.Now());
    loop.run_for(20ms);
    view.OnListsValidated(clock.Now());
    loop.run_for(2500ms);
    CPPUNIT_ASSERT(!view.MayLackEntries());
  }

  void Start_HighestRanked_ReadsTheListsAtOnce() {
    store.isUnreachable = false;
    this->Begin(true);
    this->RunUntil([this] { return store.watches >= 2; });
    CPPUNIT_ASSERT_EQUAL(1, store.staleReads);
    CPPUNIT_ASSERT(store.validations < 20);
  }

  // Guards against a daemon that runs on with a configuration that it never
  // validates again.
  void Validation_HandlerThrows_IsRepeated() {
    store.isUnreachable = false;
    this->Begin(false);
    bool hasThrown = false;
    follower->SetMayQueryStore([this, &hasThrown] {
      // The first call after a validation handles its result.
      if (store.validations > 0 && !std::exchange(hasThrown, true)) {
        throw std::bad_alloc();
      }
      return true;
    });
    int failures = 0;
    while (failures == 0 || store.validations < 3) {
      try {
        loop.run_one();
      } catch (const std::bad_alloc&) {
        failures += 1;
      }
    }
    CPPUNIT_ASSERT_EQUAL(1, failures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

/// A store that returns changes in pages and whose waiting watches are stalled.
class PagedStore final : public AsyncStore {
 public:
  explicit PagedStore(asio::io_context& aLoop) : loop(aLoop) {}

  void Range(const std::string&, Done<StoreRange> aDone) override {
    asio::post(this->loop, [aDone] { aDone(StoreRange{{}, {1}}); });
  }
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision aAfter, Micros aWait,
             Done<StoreEvents> aDone) override {
    if (aWait > 100ms) {
      return;
    }
    StoreEvents events;
    events.at = aAfter;
    while (events.at.number < kLast && events.events.size() < kPage) {
      events.at.number += 1;
      const std::string key = "i" + std::to_string(events.at.number);
      events.events.push_back({{key, "text", events.at}, false});
    }
    asio::post(this->loop, [aDone, events] { aDone(events); });
  }
  void Commit(StoreChange, Done<StoreCommit>) override {}
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t>) override {}
  void Renew(std::uint64_t, Done<bool>) override {}
  void End(std::uint64_t, Done<bool>) override {}

  static constexpr std::uint64_t kLast = 40;
  static constexpr std::size_t kPage = 10;

 private:
  asio::io_context& loop;
};

class PrefixFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixFollowerTest);
  CPPUNIT_TEST(CatchUp_ResponseInPages_MissesNothing);
  CPPUNIT_TEST(List_HandlerThrows_IsReadAgain);
  CPPUNIT_TEST(Changes_HandlerThrows_ListIsReadAgain);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  SystemClock clock;
  PagedStore store{loop};

 public:
  // Of 1,900 changes that a stalled watch had not delivered, the first hundreds
  // were treated as all: the daemons of that failure domain missed the rest for
  // good.
  void CatchUp_ResponseInPages_MissesNothing() {
    std::size_t received = 0;
    PrefixFollower follower(
        loop, store, clock, "p/", PrefixFollowerTiming{},
        [](const StoreRange&) {},
        [&received](const StoreEvents& aEvents) {
          received += aEvents.events.size();
        },
        [] {});
    follower.Restart();
    loop.run_for(10ms);
    follower.CatchUp({PagedStore::kLast});
    loop.restart();
    loop.run_for(50ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{PagedStore::kLast - 1}, received);
    CPPUNIT_ASSERT(follower.IsCompleteTo({PagedStore::kLast}));
  }

  // Guards against a daemon that runs on and follows a list no more.
  void List_HandlerThrows_IsReadAgain() {
    int reads = 0;
    PrefixFollower follower(
        loop, store, clock, "p/", PrefixFollowerTiming{},
        [&reads](const StoreRange&) {
          reads += 1;
          if (reads == 1) {
            throw std::bad_alloc();
          }
        },
        [](const StoreEvents&) {}, [] {});
    follower.Restart();
    CPPUNIT_ASSERT_THROW(loop.run(), std::bad_alloc);
    loop.run();
    CPPUNIT_ASSERT_EQUAL(2, reads);
  }

  void Changes_HandlerThrows_ListIsReadAgain() {
    int reads = 0;
    PrefixFollower follower(
        loop, store, clock, "p/", PrefixFollowerTiming{},
        [&reads](const StoreRange&) { reads += 1; },
        [](const StoreEvents&) { throw std::bad_alloc(); }, [] {});
    follower.Restart();
    loop.run();
    follower.CatchUp({PagedStore::kLast});
    loop.restart();
    CPPUNIT_ASSERT_THROW(loop.run(), std::bad_alloc);
    loop.run();
    CPPUNIT_ASSERT_EQUAL(2, reads);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixFollowerTest);

}  // namespace
}  // namespace zincstep
