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
  CPPUNIT_TEST(Configuration_OlderRevision_IsIgnored);
  CPPUNIT_TEST(Configuration_Invalid_KeepsThePrevious);
  CPPUNIT_TEST(Configuration_Newer_KeepsTheValidationAge);
  CPPUNIT_TEST(Validation_OfNewerRevision_IsIgnored);
  CPPUNIT_TEST(Validation_OfOlderRevision_CountsFromItsStart);
  CPPUNIT_TEST(Validation_Repeated_CountsFromLatestStart);
  CPPUNIT_TEST(Update_WithValidation_CountsFromTheQuery);
  CPPUNIT_TEST(Update_OlderUpstreams_AreIgnored);
  CPPUNIT_TEST(Update_WithoutUpstreams_RemovesNone);
  CPPUNIT_TEST(Update_Incremental_KeepsOtherUpstreams);
  CPPUNIT_TEST(Update_FromBeforeAFullRead_IsFull);
  CPPUNIT_TEST(Update_AfterAnOutage_OmitsExpiredEntries);
  CPPUNIT_TEST(Update_WithExpiredEntry_HasTheSendersGrace);
  CPPUNIT_TEST(Update_MissedChange_RequestsFullList);
  CPPUNIT_TEST(Update_OfDaemons_IncludesRemovals);
  CPPUNIT_TEST(Update_ConfigurationValidated_DoesNotValidateLists);
  CPPUNIT_TEST(Update_ListsValidated_CountsFromTheQuery);
  CPPUNIT_TEST(Daemons_OlderList_IsIgnored);
  CPPUNIT_TEST(Daemons_LateRemoval_KeepsNewerEntry);
  CPPUNIT_TEST(Upstream_Draining_GetsNoWork);
  CPPUNIT_TEST(Upstream_Removed_IsUnusableAtOnce);
  CPPUNIT_TEST(Upstream_MissingAfterAnOutage_IsKeptForTheGracePeriod);
  CPPUNIT_TEST(Upstream_MissingFromPeerInAnOutage_IsKeptForTheGracePeriod);
  CPPUNIT_TEST(Upstream_RemovedAloneInAnOutage_IsRemovedAtOnce);
  CPPUNIT_TEST(Upstream_Reregistered_IsTheSameObject);
  CPPUNIT_TEST(Upstream_LateRemoval_KeepsNewerEntry);
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
  void Configuration_OlderRevision_IsIgnored() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnConfiguration({"", ConfigText(8), 10});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                         view.Table()->Configuration().version);
    CPPUNIT_ASSERT_EQUAL(1, configurations);
  }

  void Configuration_Invalid_KeepsThePrevious() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnConfiguration({"", R"({"configVersion":10,"routes":[{}]})", 30});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                         view.Table()->Configuration().version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, view.ConfigStoreRevision().number);
  }

  // Guards against refusals after each change of the configuration: up to forty
  // requests were refused because the new one was not validated yet. At the
  // time of the older validation neither configuration had been replaced.
  void Configuration_Newer_KeepsTheValidationAge() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnValidated({20}, clock.Now());
    clock.Advance(600ms);
    view.OnConfiguration({"", ConfigText(10), 30});
    CPPUNIT_ASSERT(*view.ValidationAge() == 600ms);
  }

  // The newer one may have withdrawn a key that this one still grants.
  void Validation_OfNewerRevision_IsIgnored() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnValidated({21}, clock.Now());
    CPPUNIT_ASSERT(!view.ValidationAge());
    view.OnValidated({0}, clock.Now());
    CPPUNIT_ASSERT(!view.ValidationAge());
  }

  void Validation_OfOlderRevision_CountsFromItsStart() {
    view.OnConfiguration({"", ConfigText(9), 20});
    const Instant startedAt = clock.Now();
    clock.Advance(900ms);
    view.OnValidated({19}, startedAt);
    CPPUNIT_ASSERT(*view.ValidationAge() == 900ms);
    view.OnValidated({20}, clock.Now());
    view.OnValidated({19}, startedAt);
    CPPUNIT_ASSERT(*view.ValidationAge() == 0ms);
  }

  void Validation_Repeated_CountsFromLatestStart() {
    view.OnConfiguration({"", ConfigText(9), 20});
    const Instant startedAt = clock.Now();
    clock.Advance(700ms);
    view.OnValidated({20}, startedAt);
    CPPUNIT_ASSERT(*view.ValidationAge() == 700ms);
    view.OnValidated({20}, startedAt - 1s);
    CPPUNIT_ASSERT(*view.ValidationAge() == 700ms);
  }

  void Update_WithValidation_CountsFromTheQuery() {
    view.OnConfiguration({"", ConfigText(9), 20});
    const Instant queriedAt = clock.Now();
    clock.Advance(3s);
    ClusterUpdate update;
    update.configRevision = {20};
    update.validationAge = 500ms;
    view.OnUpdate(update, queriedAt);
    CPPUNIT_ASSERT(*view.ValidationAge() == 3500ms);
  }

  void Update_OlderUpstreams_AreIgnored() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    ClusterUpdate update;
    update.upstreams.emplace().at = {40};
    view.OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }

  // Guards against removing all upstreams: an update without upstreams, for a
  // requester that was up to date, was applied as an empty list.
  void Update_WithoutUpstreams_RemovesNone() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    ClusterView sender{*decoder, *this, clock};
    sender.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 60});
    view.OnUpdate(sender.UpdateFor({{}, {60}, {}, 0}), clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }

  // A hundred daemons query the highest-ranked one of their domain four times a
  // second; sending the ids of 3,001 upstreams in each response took 20 MB/s.
  void Update_Incremental_KeepsOtherUpstreams() {
    view.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 6}}, 50});
    ClusterView sender{*decoder, *this, clock};
    sender.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 6}}, 50});
    sender.OnUpstreamEvents(
        {{{{"i2", "", 55}, true}, {{"i3", EntryText("ready"), 58}, false}},
         60});
    const ClusterUpdate update = sender.UpdateFor(view.Revisions());
    CPPUNIT_ASSERT(!update.upstreams->isFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.upstreams->items.size());
    view.OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i1")->IsUsable(clock.Now()));
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
    CPPUNIT_ASSERT(view.Directory().Find("i3") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, view.Revisions().upstreams.number);
    // Applied updates can be passed on: incrementally to a requester that has
    // the list as of the last full read, in full to a new one.
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        view.UpdateFor({{}, {50}, {}, 0}).upstreams->removed.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         view.UpdateFor({}).upstreams->items.size());
  }

  // Changes before a full read are unknown here and may be known to the
  // requester.
  void Update_FromBeforeAFullRead_IsFull() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    CPPUNIT_ASSERT(view.UpdateFor({{}, {40}, {}, 0}).upstreams->isFull);
    ClusterView requester{*decoder, *this, clock};
    requester.OnUpstreams({{{"i9", EntryText("ready"), 39}}, 40});
    requester.OnUpdate(view.UpdateFor(requester.Revisions()), clock.Now());
    CPPUNIT_ASSERT(requester.Directory().Find("i9") == nullptr);
    CPPUNIT_ASSERT(requester.Directory().Find("i1") != nullptr);
  }

  // Guards against sending expired entries: a daemon that reached its store
  // again kept one as "ready" in the list that it sent to the others. They
  // registered the upstream again, and one sent a request to it while it
  // drained.
  void Update_AfterAnOutage_OmitsExpiredEntries() {
    view.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 6}}, 50});
    view.OnStoreReachable(false);
    view.OnStoreReachable(true);
    view.OnUpstreams({{{"i2", EntryText("ready"), 6}}, 60});
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
    ClusterView receiver{*decoder, *this, clock};
    receiver.OnUpdate(view.UpdateFor({}), clock.Now());
    CPPUNIT_ASSERT(receiver.Directory().Find("i1") == nullptr);
    CPPUNIT_ASSERT(receiver.Directory().Find("i2") != nullptr);
  }

  // The requester keeps the entry as long as the sender does and ends the grace
  // period itself.
  void Update_WithExpiredEntry_HasTheSendersGrace() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    ClusterView requester{*decoder, *this, clock};
    requester.OnUpdate(view.UpdateFor({}), clock.Now());
    view.OnStoreReachable(false);
    view.OnStoreReachable(true);
    view.OnUpstreamEvents({{{{"i1", "", 60}, true}}, 60});
    clock.Advance(1s);
    requester.OnUpdate(view.UpdateFor(requester.Revisions()), clock.Now());
    CPPUNIT_ASSERT(requester.Directory().Find("i1") != nullptr);
    clock.Advance(1300ms);
    requester.Tick();
    CPPUNIT_ASSERT(requester.Directory().Find("i1") == nullptr);
  }

  void Update_MissedChange_RequestsFullList() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    // Received from another peer: an entry that the sender does not have.
    ClusterView requester{*decoder, *this, clock};
    requester.OnUpstreams(
        {{{"i1", EntryText("ready"), 5}, {"i2", EntryText("ready"), 7}}, 55});
    view.OnUpstreamEvents({{{{"i3", EntryText("ready"), 58}, false}}, 60});
    requester.OnUpdate(view.UpdateFor(requester.Revisions()), clock.Now());
    CPPUNIT_ASSERT(requester.Directory().Find("i2") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         requester.Revisions().upstreams.number);
    requester.OnUpdate(view.UpdateFor(requester.Revisions()), clock.Now());
    CPPUNIT_ASSERT(requester.Directory().Find("i2") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60},
                         requester.Revisions().upstreams.number);
  }

  void Update_OfDaemons_IncludesRemovals() {
    view.OnDaemons({{{"members/a", "{}", 5}, {"members/b", "{}", 6}}, 50});
    ClusterView requester{*decoder, *this, clock};
    requester.OnUpdate(view.UpdateFor({}), clock.Now());
    view.OnDaemonEvents({{{{"members/a", "", 60}, true}}, 60});
    requester.OnUpdate(view.UpdateFor(requester.Revisions()), clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requester.Daemons().Items().size());
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         requester.Daemons().ValueOf("members/a"));
  }

  // Guards against stale lists that pass for fresh: a daemon whose sync source
  // had been killed received validations of the configuration from others,
  // considered its list of upstreams fresh, and sent a request to an upstream
  // 3.2 s after it had begun to drain.
  void Update_ConfigurationValidated_DoesNotValidateLists() {
    view.OnConfiguration({"", ConfigText(9), 20});
    view.OnListsValidated(clock.Now());
    clock.Advance(3s);
    ClusterUpdate update;
    update.configRevision = {20};
    update.validationAge = 100ms;
    view.OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT(*view.ValidationAge() == 100ms);
    CPPUNIT_ASSERT(*view.ListsAge() == 3s);
  }

  void Update_ListsValidated_CountsFromTheQuery() {
    const Instant queriedAt = clock.Now();
    clock.Advance(200ms);
    ClusterUpdate update;
    update.listsAge = 500ms;
    view.OnUpdate(update, queriedAt);
    CPPUNIT_ASSERT(*view.ListsAge() == 700ms);
    update.listsAge = 5s;
    view.OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT(*view.ListsAge() == 700ms);
  }

  void Daemons_OlderList_IsIgnored() {
    view.OnDaemons({{{"members/a", "{}", 5}}, 50});
    ClusterUpdate update;
    update.daemons.emplace().at = {40};
    view.OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::string("{}"),
                         view.Daemons().ValueOf("members/a"));
    CPPUNIT_ASSERT_EQUAL(1, daemonChanges);
  }

  void Daemons_LateRemoval_KeepsNewerEntry() {
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

  void Upstream_Removed_IsUnusableAtOnce() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    const UpstreamPtr upstream = view.Directory().Find("i1");
    view.OnUpstreamEvents({{{{"i1", "", 60}, true}}, 60});
    CPPUNIT_ASSERT(view.Directory().Find("i1") == nullptr);
    CPPUNIT_ASSERT(!upstream->IsUsable(clock.Now()));
  }

  void Upstream_MissingAfterAnOutage_IsKeptForTheGracePeriod() {
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

  // Guards against an empty domain after a partition: a peer reported the
  // expired entries before the store responded here, and the daemon had no
  // upstreams of its own domain for two seconds.
  void Upstream_MissingFromPeerInAnOutage_IsKeptForTheGracePeriod() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    view.OnStoreReachable(false);
    clock.Advance(5s);
    ClusterUpdate update;
    update.upstreams.emplace().at = {60};
    view.OnUpdate(update, clock.Now());
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

  // Guards against a grace period for a single removal: a sync source that
  // could not reach the store learnt from others that an upstream was leaving,
  // and with the grace period for expired entries its domain sent a request
  // there 3.2 s later.
  void Upstream_RemovedAloneInAnOutage_IsRemovedAtOnce() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5},
                       {"i2", EntryText("ready"), 6},
                       {"i3", EntryText("ready"), 7}},
                      50});
    view.OnStoreReachable(false);
    ClusterUpdate update;
    update.upstreams.emplace().at = {60};
    update.upstreams->isFull = false;
    update.upstreams->removed = {"i2"};
    view.OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }

  // Guards against a chain that uses one address twice, once as the incarnation
  // before a partition and once as the one after.
  void Upstream_Reregistered_IsTheSameObject() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 5}}, 50});
    const UpstreamPtr upstream = view.Directory().Find("i1");
    view.OnUpstreams({{}, 60});
    CPPUNIT_ASSERT(upstream->IsDeregistered());
    view.OnUpstreams({{{"i1", EntryText("ready"), 70}}, 80});
    CPPUNIT_ASSERT(view.Directory().Find("i1") == upstream);
    CPPUNIT_ASSERT(upstream->IsUsable(clock.Now()));
  }

  void Upstream_LateRemoval_KeepsNewerEntry() {
    view.OnUpstreams({{{"i1", EntryText("ready"), 70}}, 80});
    view.OnUpstreamEvents({{{{"i1", "", 60}, true}}, 60});
    CPPUNIT_ASSERT(view.Directory().Find("i1") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterViewTest);

}  // namespace
}  // namespace zincstep
