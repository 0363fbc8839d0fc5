#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/Cluster.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

std::string ConfigText(int aVersion) {
  return R"({"configVersion":)" + std::to_string(aVersion) +
         R"(,"routes":[],"services":[]})";
}

std::string EntryText(const std::string& aState,
                      const std::string& aHost = "10.0.0.1") {
  return R"({"backend":"s","address":")" + aHost +
         R"(:80","zone":"a","slots":4,"state":")" + aState + R"(","born":1})";
}

/// The store is restored from a backup: its revisions go back and are assigned
/// again.
class RestoredStoreTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(List_OfLowerNumbers_IsApplied);
  CPPUNIT_TEST(Upstream_MissingFromTheBackup_IsKeptForTheGracePeriod);
  CPPUNIT_TEST(Upstream_Reregistered_IsKept);
  CPPUNIT_TEST(Upstream_DrainingBefore_StaysDraining);
  CPPUNIT_TEST(Upstream_RemovedBefore_IsNotUsedAtOnce);
  CPPUNIT_TEST(Upstream_RemovedBeforeAndReregistered_IsUsed);
  CPPUNIT_TEST(Configuration_OlderInTheBackup_IsNotApplied);
  CPPUNIT_TEST(Configuration_OlderWrittenAgain_IsNotApplied);
  CPPUNIT_TEST(Configuration_NewerInTheNewEra_IsApplied);
  CPPUNIT_TEST(Configuration_NewerAtAPeer_IsApplied);
  CPPUNIT_TEST(Validation_OfAnEarlierEra_IsIgnored);
  CPPUNIT_TEST(Validation_RightAfterTheRestore_IsIgnored);
  CPPUNIT_TEST(Validation_FromBeforeTheRestore_KeepsItsAge);
  CPPUNIT_TEST(Start_BeforeAPeerResponds_DefersValidations);
  CPPUNIT_TEST(Start_NoPeerResponds_ValidatesAfterTheWait);
  CPPUNIT_TEST(Start_StoreInItsFirstEra_ValidatesAtOnce);
  CPPUNIT_TEST(Update_OfAnEarlierEra_IsNotSent);
  CPPUNIT_TEST(Update_ToRequesterOfAnEarlierEra_UpdatesItsList);
  CPPUNIT_TEST(Update_FullListOfANewEra_KeepsMissingForTheGracePeriod);
  CPPUNIT_TEST(Entries_RightAfterTheRestore_MayBeMissing);
  CPPUNIT_TEST_SUITE_END();

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  ClusterView view{*decoder, *this, clock};

  void ListIn(ClusterView& aView, std::vector<StoreItem> aItems,
              StoreRevision aAt) {
    aView.OnUpstreams({std::move(aItems), aAt});
    aView.OnDaemons({{}, aAt});
  }
  bool IsUsable(const std::string& aId) {
    const UpstreamPtr upstream = view.Directory().Find(aId);
    return upstream && upstream->IsUsable(clock.Now());
  }
  /// Adds two upstreams; the one with revision 80 is newer than the backup.
  void AddTwoUpstreams() {
    this->ListIn(view,
                 {{"i1", EntryText("ready"), {40, 1}},
                  {"i2", EntryText("ready", "10.0.0.2"), {80, 1}}},
                 {90, 1});
  }
  void Restore(std::uint64_t aEra = 2) { view.OnRestored(aEra); }

 public:
  void setUp() override { clock.Advance(100s); }

  void List_OfLowerNumbers_IsApplied() {
    this->AddTwoUpstreams();
    this->Restore();
    this->ListIn(view, {{"i3", EntryText("ready", "10.0.0.3"), {50, 2}}},
                 {51, 2});
    CPPUNIT_ASSERT(view.Directory().Find("i3") != nullptr);
    clock.Advance(3s);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i1") == nullptr);
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
  }

  void Upstream_MissingFromTheBackup_IsKeptForTheGracePeriod() {
    this->AddTwoUpstreams();
    this->Restore();
    this->ListIn(view, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    CPPUNIT_ASSERT(this->IsUsable("i1"));
    CPPUNIT_ASSERT(this->IsUsable("i2"));
    clock.Advance(1s);
    view.Tick();
    CPPUNIT_ASSERT(this->IsUsable("i2"));
    clock.Advance(2s);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
  }

  void Upstream_Reregistered_IsKept() {
    this->AddTwoUpstreams();
    this->Restore();
    this->ListIn(view, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    view.OnUpstreamEvents(
        {{{{"i2", EntryText("ready", "10.0.0.2"), {46, 2}}, false}}, {46, 2}});
    clock.Advance(5s);
    view.Tick();
    CPPUNIT_ASSERT(this->IsUsable("i2"));
  }

  // A restored entry from before the upstream began to drain gave it work
  // again.
  void Upstream_DrainingBefore_StaysDraining() {
    this->AddTwoUpstreams();
    view.OnUpstreamEvents(
        {{{{"i1", EntryText("draining"), {91, 1}}, false}}, {91, 1}});
    this->Restore();
    this->ListIn(view, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
  }

  void Upstream_RemovedBefore_IsNotUsedAtOnce() {
    this->AddTwoUpstreams();
    view.OnUpstreamEvents({{{{"i1", "", {91, 1}}, true}}, {91, 1}});
    this->Restore();
    this->ListIn(view, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
    clock.Advance(5s);
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  void Upstream_RemovedBeforeAndReregistered_IsUsed() {
    this->AddTwoUpstreams();
    view.OnUpstreamEvents({{{{"i1", "", {91, 1}}, true}}, {91, 1}});
    this->Restore();
    this->ListIn(view, {}, {45, 2});
    view.OnUpstreamEvents(
        {{{{"i1", EntryText("ready"), {46, 2}}, false}}, {46, 2}});
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  // A key that version 9 had withdrawn was accepted again.
  void Configuration_OlderInTheBackup_IsNotApplied() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view.ConfigVersion());
    CPPUNIT_ASSERT(view.ConfigStoreRevision() == StoreRevision({40, 2}));
  }

  void Configuration_OlderWrittenAgain_IsNotApplied() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    view.OnConfiguration({"", ConfigText(8), {41, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view.ConfigVersion());
    view.OnConfiguration({"", ConfigText(9), {42, 2}});
    view.OnConfiguration({"", ConfigText(11), {43, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, view.ConfigVersion());
  }

  void Configuration_NewerInTheNewEra_IsApplied() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(10), {12, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, view.ConfigVersion());
  }

  void Configuration_NewerAtAPeer_IsApplied() {
    ClusterView restarted{*decoder, *this, clock};
    restarted.OnConfiguration({"", ConfigText(7), {40, 2}});
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    restarted.OnUpdate(view.UpdateFor(restarted.Revisions()), clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, restarted.ConfigVersion());
    view.OnUpdate(restarted.UpdateFor(view.Revisions()), clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view.ConfigVersion());
  }

  // The number now stands for other content.
  void Validation_OfAnEarlierEra_IsIgnored() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    clock.Advance(10s);
    view.OnValidated({80, 1}, clock.Now());
    CPPUNIT_ASSERT(!view.ValidationAge());
  }

  void Validation_RightAfterTheRestore_IsIgnored() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(9), {40, 2}});
    clock.Advance(1s);
    view.OnValidated({40, 2}, clock.Now());
    CPPUNIT_ASSERT(!view.ValidationAge());
    clock.Advance(1s);
    view.OnValidated({40, 2}, clock.Now());
    CPPUNIT_ASSERT(view.ValidationAge().has_value());
  }

  void Validation_FromBeforeTheRestore_KeepsItsAge() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    view.OnValidated({80, 1}, clock.Now());
    clock.Advance(1s);
    this->Restore();
    CPPUNIT_ASSERT(view.ValidationAge() == 1s);
  }

  void Start_BeforeAPeerResponds_DefersValidations() {
    view.AwaitPeers(clock.Now() + 600ms);
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    const Instant startedAt = clock.Now();
    view.OnValidated({40, 2}, startedAt);
    CPPUNIT_ASSERT(!view.ValidationAge());
    clock.Advance(100ms);
    view.OnPeersResponded();
    CPPUNIT_ASSERT(view.ValidationAge() == 100ms);
  }

  void Start_NoPeerResponds_ValidatesAfterTheWait() {
    view.AwaitPeers(clock.Now() + 600ms);
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    view.OnValidated({40, 2}, clock.Now());
    clock.Advance(600ms);
    view.Tick();
    CPPUNIT_ASSERT(view.ValidationAge().has_value());
  }

  void Start_StoreInItsFirstEra_ValidatesAtOnce() {
    view.AwaitPeers(clock.Now() + 600ms);
    view.OnConfiguration({"", ConfigText(7), {40, 0}});
    view.OnValidated({40, 0}, clock.Now());
    CPPUNIT_ASSERT(view.ValidationAge().has_value());
  }

  void Update_OfAnEarlierEra_IsNotSent() {
    this->AddTwoUpstreams();
    view.OnListsValidated(clock.Now());
    this->Restore();
    const ClusterUpdate update = view.UpdateFor({});
    CPPUNIT_ASSERT(!update.upstreams && !update.daemons && !update.listsAge);
    CPPUNIT_ASSERT(!update.validationAge);
  }

  void Update_ToRequesterOfAnEarlierEra_UpdatesItsList() {
    ClusterView requester{*decoder, *this, clock};
    this->ListIn(requester, {{"i1", EntryText("ready"), {40, 1}}}, {90, 1});
    this->AddTwoUpstreams();
    this->Restore();
    this->ListIn(view, {{"i3", EntryText("ready", "10.0.0.3"), {50, 2}}},
                 {51, 2});
    requester.OnRestored(2);
    requester.OnUpdate(view.UpdateFor(requester.Revisions()), clock.Now());
    CPPUNIT_ASSERT(requester.Directory().Find("i3") != nullptr);
    CPPUNIT_ASSERT(requester.Revisions().upstreams == StoreRevision({51, 2}));
  }

  void Update_FullListOfANewEra_KeepsMissingForTheGracePeriod() {
    this->AddTwoUpstreams();
    ClusterView sender{*decoder, *this, clock};
    this->ListIn(sender, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    this->Restore();
    view.OnUpdate(sender.UpdateFor(view.Revisions()), clock.Now());
    CPPUNIT_ASSERT(this->IsUsable("i2"));
    clock.Advance(3s);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
  }

  void Entries_RightAfterTheRestore_MayBeMissing() {
    CPPUNIT_ASSERT(!view.MayLackEntries());
    this->Restore();
    CPPUNIT_ASSERT(view.MayLackEntries());
    clock.Advance(3s);
    CPPUNIT_ASSERT(!view.MayLackEntries());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

}  // namespace
}  // namespace zincstep
