#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/StoreFollower.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A store that is away until told otherwise, and counts its calls.
class CountingStore final : public AsyncStore {
 public:
  explicit CountingStore(asio::io_context& aLoop) : loop(aLoop) {}

  void Range(const std::string&, Done<StoreRange> aDone) override {
    this->ranges += 1;
    this->Answer(std::move(aDone), StoreRange{});
  }
  void RangeStale(const std::string& aPrefix, StalePages aPages,
                  Done<StoreRange> aDone) override {
    if (aPrefix != "servers/") {
      this->daemonReads += 1;
      this->Answer(std::move(aDone), this->daemons);
      return;
    }
    this->early += 1;
    StoreRange told = this->lately;
    if (this->isLong && aPages == StalePages::First) {
      told.isComplete = false;
    }
    this->Answer(std::move(aDone), told);
  }
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {
    this->watches += 1;
  }
  void Commit(StoreChange, Done<StoreCommit> aDone) override {
    this->proofs += 1;
    this->Answer(std::move(aDone), StoreCommit{true, {}, std::nullopt});
  }
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t>) override {}
  void Renew(std::uint64_t, Done<bool>) override {}
  void End(std::uint64_t, Done<bool>) override {}

  bool isAway = true;
  int proofs = 0;
  int ranges = 0;
  /// Reads of upstreams that may be old, and what they tell.
  int early = 0;
  StoreRange lately;
  /// The same of daemons.
  int daemonReads = 0;
  StoreRange daemons;
  /// Whether that is more than one page.
  bool isLong = false;
  int watches = 0;

 private:
  template <class T>
  void Answer(Done<T> aDone, T aValue) {
    Result<T> result = std::move(aValue);
    if (this->isAway) {
      result = Fail(ErrorKind::PlatformUnavailable, "away");
    }
    asio::post(this->loop, [aDone, result] { aDone(result); });
  }

  asio::io_context& loop;
};

class StoreFollowerTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(StoreFollowerTest);
  CPPUNIT_TEST(StoreAway_Lists_AreNotAskedFor);
  CPPUNIT_TEST(StoreBack_Lists_AreReadAnew);
  CPPUNIT_TEST(StoreBack_WithATeller_LeavesTheListsToIt);
  CPPUNIT_TEST(Start_FewDaemons_ReadTheListsAsTheyWereLately);
  CPPUNIT_TEST(Start_FirstOfItsDomain_ReadsTheListsAtOnce);
  CPPUNIT_TEST(Start_LateInItsDomain_LeavesALongListToPeers);
  CPPUNIT_TEST(Start_LateInItsDomain_ReadsAShortList);
  CPPUNIT_TEST(Start_OneOfManyDaemons_AsksForTheDaemonsAlone);
  CPPUNIT_TEST(Start_NobodyKnown_ReadsTheDaemonsAgain);
  CPPUNIT_TEST(Teller_Fresh_ShowsThatTheStoreIsBack);
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
  bool mayAsk = true;
  bool hasFreshSyncSource = false;
  bool hasSyncSource = false;
  std::size_t rank = 0;
  /// Daemons of the domain that the store had lately.
  std::size_t daemons = 3;
  int early = 0;

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
    settings.upstreamPauses.initialBackoff = 1ms;
    settings.upstreamPauses.maxBackoff = 1ms;
    settings.ownPauses.initialBackoff = 1ms;
    settings.ownPauses.maxBackoff = 1ms;
    follower =
        std::make_unique<StoreFollower>(loop, store, settings, view, clock);
    follower->SetMayQueryStore([this] { return mayAsk; });
    follower->SetHasFreshSyncSource([this] { return hasFreshSyncSource; });
    follower->SetHasSyncSource([this] { return hasSyncSource; });
    follower->SetRank([this] { return rank; });
    follower->SetOnBootstrapDaemons(
        [this](const std::vector<StoreItem>& aItems) {
          this->early += 1;
          for (const StoreItem& item : aItems) {
            CPPUNIT_ASSERT(item.key.starts_with("members/a/"));
          }
          return !aItems.empty();
        });
    follower->Start(aPeersFirst);
  }

  // actas-lima-grown, trouble-3: in an outage of the store each of 59 daemons
  // made three calls a second, two of them for lists (0.07 of worth).
  void StoreAway_Lists_AreNotAskedFor() {
    this->Begin(false);
    this->RunUntil([this] { return store.proofs >= 12; });
    CPPUNIT_ASSERT(store.ranges <= 4);
  }

  void StoreBack_Lists_AreReadAnew() {
    this->Begin(false);
    this->RunUntil([this] { return store.proofs >= 4; });
    store.isAway = false;
    const int before = store.ranges;
    this->RunUntil([this] { return store.watches >= 2; });
    CPPUNIT_ASSERT(store.ranges >= before + 2);
  }

  // A domain of 59 daemons that was cut off for six seconds read both lists 118
  // times on its return, eleven calls each.
  void StoreBack_WithATeller_LeavesTheListsToIt() {
    this->Begin(false);
    this->RunUntil([this] { return store.proofs >= 4; });
    hasSyncSource = true;
    store.isAway = false;
    const int before = store.ranges;
    this->RunUntil([this] { return store.proofs >= 20; });
    CPPUNIT_ASSERT_EQUAL(before, store.ranges);
  }

  // 295 daemons that started together all read both lists whole: 1,145 reads of
  // some five calls each on a day with two such starts.
  void Start_FewDaemons_ReadTheListsAsTheyWereLately() {
    store.isAway = false;
    hasSyncSource = true;
    store.lately.at = {7};
    this->Begin(true);
    this->RunUntil([this] { return store.proofs >= 8; });
    CPPUNIT_ASSERT_EQUAL(1, store.daemonReads);
    CPPUNIT_ASSERT_EQUAL(1, store.early);
    CPPUNIT_ASSERT_EQUAL(0, store.ranges);
    CPPUNIT_ASSERT(view.KnowsUpstreams());
    CPPUNIT_ASSERT(!view.ListsAge());
  }

  // 300 daemons that started together asked the store for 1.4 MB each, and none
  // was answered in time.
  void Start_LateInItsDomain_LeavesALongListToPeers() {
    store.isAway = false;
    hasSyncSource = true;
    rank = 3;
    store.lately.at = {7};
    store.isLong = true;
    this->Begin(true);
    this->RunUntil([this] { return store.proofs >= 8; });
    CPPUNIT_ASSERT_EQUAL(1, store.early);
    CPPUNIT_ASSERT_EQUAL(0, store.ranges);
    CPPUNIT_ASSERT(!view.KnowsUpstreams());
  }

  // Left to peers a list of one page came later, and after the end of all
  // daemons a fiftieth of the requests was refused.
  void Start_LateInItsDomain_ReadsAShortList() {
    store.isAway = false;
    hasSyncSource = true;
    rank = 3;
    store.lately.at = {7};
    this->Begin(true);
    this->RunUntil([this] { return view.KnowsUpstreams(); });
    CPPUNIT_ASSERT_EQUAL(0, store.ranges);
  }

  // 210 daemons of a domain that started together made 3,144 checks and 906
  // whole reads: the store refused most of them, and all asked again in step.
  void Start_OneOfManyDaemons_AsksForTheDaemonsAlone() {
    store.isAway = false;
    mayAsk = false;
    daemons = 200;
    this->Begin(true);
    loop.run_for(50ms);
    CPPUNIT_ASSERT_EQUAL(1, store.daemonReads);
    CPPUNIT_ASSERT_EQUAL(0, store.proofs + store.ranges + store.early);
    mayAsk = true;
    this->RunUntil([this] { return store.watches >= 2; });
  }

  void Start_NobodyKnown_ReadsTheDaemonsAgain() {
    store.isAway = false;
    mayAsk = false;
    daemons = 0;
    this->Begin(true);
    this->RunUntil([this] { return store.daemonReads >= 3; });
    CPPUNIT_ASSERT_EQUAL(0, store.proofs + store.ranges + store.early);
  }

  // One that does not ask would take the store for away for ever.
  void Teller_Fresh_ShowsThatTheStoreIsBack() {
    this->Begin(false);
    this->RunUntil([this] { return store.proofs >= 2; });
    CPPUNIT_ASSERT(view.MayLackEntries());
    mayAsk = false;
    hasFreshSyncSource = true;
    view.OnListsValidated(clock.Now());
    loop.run_for(20ms);
    view.OnListsValidated(clock.Now());
    loop.run_for(2500ms);
    CPPUNIT_ASSERT(!view.MayLackEntries());
  }

  void Start_FirstOfItsDomain_ReadsTheListsAtOnce() {
    store.isAway = false;
    this->Begin(true);
    this->RunUntil([this] { return store.watches >= 2; });
    CPPUNIT_ASSERT_EQUAL(1, store.early);
    CPPUNIT_ASSERT(store.proofs < 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

/// A store that tells the changes since a revision, some at a time, and whose
/// waiting watches are silent.
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
  CPPUNIT_TEST(CatchUp_ToldInPieces_MissesNothing);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  SystemClock clock;
  PagedStore store{loop};

 public:
  // Of 1,900 changes that a silent watch had left out the first hundreds were
  // taken for all: the daemons of that failure domain missed the rest for good.
  void CatchUp_ToldInPieces_MissesNothing() {
    std::size_t told = 0;
    PrefixFollower follower(
        loop, store, clock, "p/", PrefixFollowerTiming{},
        [](const StoreRange&) {},
        [&told](const StoreEvents& aEvents) { told += aEvents.events.size(); },
        [] {});
    follower.Restart();
    loop.run_for(10ms);
    follower.CatchUp({PagedStore::kLast});
    loop.restart();
    loop.run_for(50ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{PagedStore::kLast - 1}, told);
    CPPUNIT_ASSERT(follower.Knows({PagedStore::kLast}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixFollowerTest);

}  // namespace
}  // namespace zincstep
