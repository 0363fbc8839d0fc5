#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/Cluster.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

std::string ConfigText(int aVersion) {
  return R"({"configVersion":)" + std::to_string(aVersion) +
         R"(,"routes":[],"services":[]})";
}

std::string EntryText(const std::string& aState) {
  return R"({"backend":"s","address":"10.0.0.1:80","zone":"a","slots":4,)"
         R"("state":")" +
         aState + R"("})";
}

class ClusterViewTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(ClusterViewTest);
  CPPUNIT_TEST(Configuration_OlderRevision_IsPassedOver);
  CPPUNIT_TEST(Configuration_ThatDoesNotParse_KeepsTheLast);
  CPPUNIT_TEST(Configuration_Newer_KeepsTheAgeOfTheProof);
  CPPUNIT_TEST(Proof_OfANewerRevision_CountsNothing);
  CPPUNIT_TEST(Proof_OfAnOlderRevision_CountsFromItsTime);
  CPPUNIT_TEST(Proof_CountsFromWhenTheCallBegan);
  CPPUNIT_TEST(Copy_ProofOfAPeer_CountsFromTheQuestion);
  CPPUNIT_TEST(Copy_OlderUpstreams_ArePassedOver);
  CPPUNIT_TEST(Copy_WithoutUpstreams_RemovesNone);
  CPPUNIT_TEST(Copy_OfChanges_LeavesTheRest);
  CPPUNIT_TEST(Copy_FromBeforeAWholeRead_IsWhole);
  CPPUNIT_TEST(Copy_FromAnOutage_TellsTheListAsItIs);
  CPPUNIT_TEST(Copy_OfALapsedEntry_HasTheTellersGrace);
  CPPUNIT_TEST(Copy_ThatMissedAChange_IsAskedForWhole);
  CPPUNIT_TEST(Copy_OfDaemons_TellsRemovals);
  CPPUNIT_TEST(Copy_ProofOfConfiguration_ProvesNoLists);
  CPPUNIT_TEST(Copy_ProofOfLists_CountsFromTheQuestion);
  CPPUNIT_TEST(Daemons_OlderList_IsPassedOver);
  CPPUNIT_TEST(Daemons_LateRemoval_KeepsANewerEntry);
  CPPUNIT_TEST(Upstream_Draining_GetsNoWork);
  CPPUNIT_TEST(Upstream_Removed_IsGoneAtOnce);
  CPPUNIT_TEST(Upstream_MissingAfterAnOutage_HasAGrace);
  CPPUNIT_TEST(Upstream_MissingFromAPeerInAnOutage_HasAGrace);
  CPPUNIT_TEST(Upstream_ThatLeavesInAnOutage_IsGoneAtOnce);
  CPPUNIT_TEST(Upstream_ThatComesBack_IsTheSame);
  CPPUNIT_TEST(Upstream_LateEvent_DoesNotRemoveANewerEntry);
  CPPUNIT_TEST_SUITE_END();

  void OnConfiguration() override { this->configurations += 1; }
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override { this->daemonChanges += 1; }

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  ClusterView view{*decoder, *this, clock};
  int configurations = 0;
  int daemonChanges = 0;

 public:
  void Configuration_OlderRevision_IsPassedOver() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnConfiguration({"", ConfigText(8), 10});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                         view.Table()->Configuration().version);
    CPPUNIT_ASSERT_EQUAL(1, configurations);
  }

  void Configuration_ThatDoesNotParse_KeepsTheLast() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnConfiguration({"", R"({"configVersion":10,"routes":[{}]})", 30});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                         view.Table()->Configuration().version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, view.ConfigStoreRevision().number);
  }

  // tavua-orders-grown, trouble-3: each change of the configuration had up to
  // forty requests refused for want of a proof. At the time of the older proof
  // nothing newer than either configuration was there.
  void Configuration_Newer_KeepsTheAgeOfTheProof() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnValidated({20}, clock.Now());
    clock.Advance(600ms);
    view.OnConfiguration({"", ConfigText(10), 30});
    CPPUNIT_ASSERT(*view.ValidationAge() == 600ms);
  }

  // The newer one may have withdrawn a key that this one still grants.
  void Proof_OfANewerRevision_CountsNothing() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnValidated({21}, clock.Now());
    CPPUNIT_ASSERT(!view.ValidationAge());
    view.OnValidated({0}, clock.Now());
    CPPUNIT_ASSERT(!view.ValidationAge());
  }

  void Proof_OfAnOlderRevision_CountsFromItsTime() {
    view.OnConfiguration({"", ConfigText(9), 20});
    const Instant began = clock.Now();
    clock.Advance(900ms);
    view.OnValidated({19}, began);
    CPPUNIT_ASSERT(*view.ValidationAge() == 900ms);
    view.OnValidated({20}, clock.Now());
    view.OnValidated({19}, began);
    CPPUNIT_ASSERT(*view.ValidationAge() == 0ms);
  }

  void Proof_CountsFromWhenTheCallBegan() {
    view.OnConfiguration({"", ConfigText(9), 20});
    const Instant began = clock.Now();
    clock.Advance(700ms);
    view.OnValidated({20}, began);
    CPPUNIT_ASSERT(*view.ValidationAge() == 700ms);
    view.OnValidated({20}, began - 1s);
    CPPUNIT_ASSERT(*view.ValidationAge() == 700ms);
  }

  void Copy_ProofOfAPeer_CountsFromTheQuestion() {
    view.OnConfiguration({"", ConfigText(9), 20});
    const Instant asked = clock.Now();
    clock.Advance(3s);
    ClusterUpdate copy;
    copy.configRevision = {20};
    copy.validationAge = 500ms;
    view.OnUpdate(copy, asked);
    CPPUNIT_ASSERT(*view.ValidationAge() == 3500ms);
  }

  void Copy_OlderUpstreams_ArePassedOver() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    ClusterUpdate copy;
    copy.upstreams.emplace().at = {40};
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }

  // tavua-orders, scale-1: a copy that left the upstreams out, for an asker
  // that had them, was taken for an empty list.
  void Copy_WithoutUpstreams_RemovesNone() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    ClusterView newer{*decoder, *this, clock};
    newer.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 60});
    view.OnUpdate(newer.UpdateFor({{}, {60}, {}, 0}), clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }

  // A hundred daemons ask the first of their domain four times a second; the
  // ids of 3,001 upstreams in each answer were 20 MB a second.
  void Copy_OfChanges_LeavesTheRest() {
    view.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 6}}, 50});
    ClusterView newer{*decoder, *this, clock};
    newer.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 6}}, 50});
    newer.OnUpstreamEvents(
        {{{{"i2", "", 55}, true}, {{"i3", EntryText("ready"), 58}, false}},
         60});
    const ClusterUpdate copy = newer.UpdateFor(view.Revisions());
    CPPUNIT_ASSERT(!copy.upstreams->isFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copy.upstreams->items.size());
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i1")->IsUsable(clock.Now()));
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
    CPPUNIT_ASSERT(view.Directory().Find("i3") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, view.Revisions().upstreams.number);
    // What was taken can be told on: as changes to one who knows the list as
    // of the last whole read, whole to a newcomer.
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        view.UpdateFor({{}, {50}, {}, 0}).upstreams->removed.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         view.UpdateFor({}).upstreams->items.size());
  }

  // What came and went before a whole read is not known here, and may be known
  // to the asker.
  void Copy_FromBeforeAWholeRead_IsWhole() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    CPPUNIT_ASSERT(view.UpdateFor({{}, {40}, {}, 0}).upstreams->isFull);
    ClusterView asker{*decoder, *this, clock};
    asker.OnUpstreams({{{"i9", EntryText("ready"), 39}}, 40});
    asker.OnUpdate(view.UpdateFor(asker.Revisions()), clock.Now());
    CPPUNIT_ASSERT(asker.Directory().Find("i9") == nullptr);
    CPPUNIT_ASSERT(asker.Directory().Find("i1") != nullptr);
  }

  // tavua-orders-grown, trouble-1: a daemon whose store was back kept an entry
  // that had lapsed, as "ready", in the list that it told the others; to those
  // it came back from the dead, and one sent to it while it drained.
  void Copy_FromAnOutage_TellsTheListAsItIs() {
    view.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 6}}, 50});
    view.OnStoreReachable(false);
    view.OnStoreReachable(true);
    view.OnUpstreams({{{"i2", EntryText("ready"), 6}}, 60});
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
    ClusterView newcomer{*decoder, *this, clock};
    newcomer.OnUpdate(view.UpdateFor({}), clock.Now());
    CPPUNIT_ASSERT(newcomer.Directory().Find("i1") == nullptr);
    CPPUNIT_ASSERT(newcomer.Directory().Find("i2") != nullptr);
  }

  // Those who have it keep it as long as the teller does, and see by
  // themselves when its grace has ended.
  void Copy_OfALapsedEntry_HasTheTellersGrace() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    ClusterView asker{*decoder, *this, clock};
    asker.OnUpdate(view.UpdateFor({}), clock.Now());
    view.OnStoreReachable(false);
    view.OnStoreReachable(true);
    view.OnUpstreamEvents({{{{"i1", "", 60}, true}}, 60});
    clock.Advance(1s);
    asker.OnUpdate(view.UpdateFor(asker.Revisions()), clock.Now());
    CPPUNIT_ASSERT(asker.Directory().Find("i1") != nullptr);
    clock.Advance(1300ms);
    asker.Tick();
    CPPUNIT_ASSERT(asker.Directory().Find("i1") == nullptr);
  }

  void Copy_ThatMissedAChange_IsAskedForWhole() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    // By way of another teller: one entry too many here.
    ClusterView asker{*decoder, *this, clock};
    asker.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 7}}, 55});
    view.OnUpstreamEvents({{{{"i3", EntryText("ready"), 58}, false}}, 60});
    asker.OnUpdate(view.UpdateFor(asker.Revisions()), clock.Now());
    CPPUNIT_ASSERT(asker.Directory().Find("i2") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, asker.Revisions().upstreams.number);
    asker.OnUpdate(view.UpdateFor(asker.Revisions()), clock.Now());
    CPPUNIT_ASSERT(asker.Directory().Find("i2") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, asker.Revisions().upstreams.number);
  }

  void Copy_OfDaemons_TellsRemovals() {
    view.OnDaemons({{{"members/a", "{}", 5}, {"members/b", "{}", 6}}, 50});
    ClusterView asker{*decoder, *this, clock};
    asker.OnUpdate(view.UpdateFor({}), clock.Now());
    view.OnDaemonEvents({{{{"members/a", "", 60}, true}}, 60});
    asker.OnUpdate(view.UpdateFor(asker.Revisions()), clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asker.Daemons().Items().size());
    CPPUNIT_ASSERT_EQUAL(std::string(), asker.Daemons().ValueOf("members/a"));
  }

  // tavua-orders-grown, trouble-1 seed 649340125919: a daemon whose teller had
  // been killed got proofs of the configuration from others, took its list of
  // upstreams for fresh, and sent to one 3.2 s after it had begun to drain.
  void Copy_ProofOfConfiguration_ProvesNoLists() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnListsValidated(clock.Now());
    clock.Advance(3s);
    ClusterUpdate copy;
    copy.configRevision = {20};
    copy.validationAge = 100ms;
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT(*view.ValidationAge() == 100ms);
    CPPUNIT_ASSERT(*view.ListsAge() == 3s);
  }

  void Copy_ProofOfLists_CountsFromTheQuestion() {
    const Instant asked = clock.Now();
    clock.Advance(200ms);
    ClusterUpdate copy;
    copy.listsAge = 500ms;
    view.OnUpdate(copy, asked);
    CPPUNIT_ASSERT(*view.ListsAge() == 700ms);
    copy.listsAge = 5s;
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT(*view.ListsAge() == 700ms);
  }

  void Daemons_OlderList_IsPassedOver() {
    view.OnDaemons({{{"members/a", "{}", 5}}, 50});
    ClusterUpdate copy;
    copy.daemons.emplace().at = {40};
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::string("{}"),
                         view.Daemons().ValueOf("members/a"));
    CPPUNIT_ASSERT_EQUAL(1, daemonChanges);
  }

  void Daemons_LateRemoval_KeepsANewerEntry() {
    view.OnDaemons({{{"members/a", "{}", 70}}, 80});
    view.OnDaemonEvents({{{{"members/a", "", 60}, true}}, 60});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.Daemons().Items().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, view.Daemons().At().number);
  }

  void Upstream_Draining_GetsNoWork() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    const UpstreamPtr upstream = view.Directory().Find("i1");
    CPPUNIT_ASSERT(upstream->IsUsable(clock.Now()));
    view.OnUpstreamEvents({{{{"i1", EntryText("draining"), 60}, false}}, 60});
    CPPUNIT_ASSERT(!upstream->IsUsable(clock.Now()));
  }

  void Upstream_Removed_IsGoneAtOnce() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    const UpstreamPtr upstream = view.Directory().Find("i1");
    view.OnUpstreamEvents({{{{"i1", "", 60}, true}}, 60});
    CPPUNIT_ASSERT(view.Directory().Find("i1") == nullptr);
    CPPUNIT_ASSERT(!upstream->IsUsable(clock.Now()));
  }

  void Upstream_MissingAfterAnOutage_HasAGrace() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    view.OnStoreReachable(false);
    clock.Advance(5s);
    view.OnStoreReachable(true);
    view.OnUpstreams({{}, 60});
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
    clock.Advance(3s);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i1") == nullptr);
  }

  // tavua-orders-grown, trouble-3: a cut had ended, and a peer told of the
  // lapsed entries before the store answered here; the daemon was without its
  // own domain for two seconds.
  void Upstream_MissingFromAPeerInAnOutage_HasAGrace() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    view.OnStoreReachable(false);
    clock.Advance(5s);
    ClusterUpdate copy;
    copy.upstreams.emplace().at = {60};
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
    clock.Advance(400ms);
    view.OnStoreReachable(true);
    view.OnUpstreams({{}, 70});
    clock.Advance(1700ms);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
    clock.Advance(200ms);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i1") == nullptr);
  }

  // darovna-ops-grown, scale-2 (a trial): a teller that had lost the store
  // heard from others that an upstream was leaving; with a grace for what may
  // have lapsed its domain sent there 3.2 s later.
  void Upstream_ThatLeavesInAnOutage_IsGoneAtOnce() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5},
                       {"i2", EntryText("ready"), 6},
                       {"i3", EntryText("ready"), 7}},
                      50});
    view.OnStoreReachable(false);
    ClusterUpdate copy;
    copy.upstreams.emplace().at = {60};
    copy.upstreams->isFull = false;
    copy.upstreams->removed = {"i2"};
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }

  // darovna-ops-grown, hunt a779173e: a chain named one address twice, once
  // as the incarnation before a cut and once as the one after.
  void Upstream_ThatComesBack_IsTheSame() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    const UpstreamPtr upstream = view.Directory().Find("i1");
    view.OnUpstreams({{}, 60});
    CPPUNIT_ASSERT(upstream->IsDeregistered());
    view.OnUpstreams({{{"i1", EntryText("ready"), 70}}, 80});
    CPPUNIT_ASSERT(view.Directory().Find("i1") == upstream);
    CPPUNIT_ASSERT(upstream->IsUsable(clock.Now()));
  }

  void Upstream_LateEvent_DoesNotRemoveANewerEntry() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 70}}, 80});
    view.OnUpstreamEvents({{{{"i1", "", 60}, true}}, 60});
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterViewTest);

}  // namespace
}  // namespace zincstep
