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

/// The store comes back from a copy: its revisions go back and are given out
/// again.
class RestoredStoreTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(List_OfLowerNumbers_IsTaken);
  CPPUNIT_TEST(Upstream_MissingFromTheCopy_HasAGrace);
  CPPUNIT_TEST(Upstream_WrittenAgain_IsKept);
  CPPUNIT_TEST(Upstream_LeavingBefore_StaysLeaving);
  CPPUNIT_TEST(Upstream_GoneBefore_IsNotUsedAtOnce);
  CPPUNIT_TEST(Upstream_GoneBeforeAndWrittenAgain_IsUsed);
  CPPUNIT_TEST(Configuration_OlderInTheCopy_StaysAsItIs);
  CPPUNIT_TEST(Configuration_OlderWrittenAgain_StaysAsItIs);
  CPPUNIT_TEST(Configuration_NewerInTheNewEra_IsTaken);
  CPPUNIT_TEST(Configuration_OfAPeerThatKnowsBetter_IsTaken);
  CPPUNIT_TEST(Proof_OfAnEarlierEra_CountsNothing);
  CPPUNIT_TEST(Proof_BeforeTheOperatorsCanHaveWritten_CountsNothing);
  CPPUNIT_TEST(Proof_FromBefore_GoesOnToAge);
  CPPUNIT_TEST(Start_UntilAPeerIsHeard_ProofsWait);
  CPPUNIT_TEST(Start_NoPeerAnswers_ProofsCountAfterAWhile);
  CPPUNIT_TEST(Start_StoreInItsFirstEra_WaitsForNobody);
  CPPUNIT_TEST(Copy_OfAnEarlierEra_IsNotTold);
  CPPUNIT_TEST(Copy_ToAnAskerOfAnEarlierEra_BringsItsListUp);
  CPPUNIT_TEST(Copy_WholeOfANewEra_GivesMissingOnesAGrace);
  CPPUNIT_TEST(Orders_RightAfterTheReturn_WaitForEntries);
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
  /// Two upstreams are known, the one with revision 80 written lately.
  void KnowTwo() {
    this->ListIn(view,
                 {{"i1", EntryText("ready"), {40, 1}},
                  {"i2", EntryText("ready", "10.0.0.2"), {80, 1}}},
                 {90, 1});
  }
  void Restore(std::uint64_t aEra = 2) { view.OnRestored(aEra); }

 public:
  void setUp() override { clock.Advance(100s); }

  void List_OfLowerNumbers_IsTaken() {
    this->KnowTwo();
    this->Restore();
    this->ListIn(view, {{"i3", EntryText("ready", "10.0.0.3"), {50, 2}}},
                 {51, 2});
    CPPUNIT_ASSERT(view.Directory().Find("i3") != nullptr);
    clock.Advance(3s);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i1") == nullptr);
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
  }

  void Upstream_MissingFromTheCopy_HasAGrace() {
    this->KnowTwo();
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

  void Upstream_WrittenAgain_IsKept() {
    this->KnowTwo();
    this->Restore();
    this->ListIn(view, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    view.OnUpstreamEvents(
        {{{{"i2", EntryText("ready", "10.0.0.2"), {46, 2}}, false}}, {46, 2}});
    clock.Advance(5s);
    view.Tick();
    CPPUNIT_ASSERT(this->IsUsable("i2"));
  }

  // It got work again by an entry from before it announced its end.
  void Upstream_LeavingBefore_StaysLeaving() {
    this->KnowTwo();
    view.OnUpstreamEvents(
        {{{{"i1", EntryText("draining"), {91, 1}}, false}}, {91, 1}});
    this->Restore();
    this->ListIn(view, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
  }

  void Upstream_GoneBefore_IsNotUsedAtOnce() {
    this->KnowTwo();
    view.OnUpstreamEvents({{{{"i1", "", {91, 1}}, true}}, {91, 1}});
    this->Restore();
    this->ListIn(view, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
    clock.Advance(5s);
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  void Upstream_GoneBeforeAndWrittenAgain_IsUsed() {
    this->KnowTwo();
    view.OnUpstreamEvents({{{{"i1", "", {91, 1}}, true}}, {91, 1}});
    this->Restore();
    this->ListIn(view, {}, {45, 2});
    view.OnUpstreamEvents(
        {{{{"i1", EntryText("ready"), {46, 2}}, false}}, {46, 2}});
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  // A key that version 9 had taken away was accepted again.
  void Configuration_OlderInTheCopy_StaysAsItIs() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view.ConfigVersion());
    CPPUNIT_ASSERT(view.ConfigStoreRevision() == StoreRevision({40, 2}));
  }

  void Configuration_OlderWrittenAgain_StaysAsItIs() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    view.OnConfiguration({"", ConfigText(8), {41, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view.ConfigVersion());
    view.OnConfiguration({"", ConfigText(9), {42, 2}});
    view.OnConfiguration({"", ConfigText(11), {43, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, view.ConfigVersion());
  }

  void Configuration_NewerInTheNewEra_IsTaken() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(10), {12, 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, view.ConfigVersion());
  }

  void Configuration_OfAPeerThatKnowsBetter_IsTaken() {
    ClusterView fresh{*decoder, *this, clock};
    fresh.OnConfiguration({"", ConfigText(7), {40, 2}});
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    fresh.OnUpdate(view.UpdateFor(fresh.Revisions()), clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, fresh.ConfigVersion());
    view.OnUpdate(fresh.UpdateFor(view.Revisions()), clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view.ConfigVersion());
  }

  // Its number stands for other content by now.
  void Proof_OfAnEarlierEra_CountsNothing() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    this->Restore();
    clock.Advance(10s);
    view.OnValidated({80, 1}, clock.Now());
    CPPUNIT_ASSERT(!view.ValidationAge());
  }

  void Proof_BeforeTheOperatorsCanHaveWritten_CountsNothing() {
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

  void Proof_FromBefore_GoesOnToAge() {
    view.OnConfiguration({"", ConfigText(9), {80, 1}});
    view.OnValidated({80, 1}, clock.Now());
    clock.Advance(1s);
    this->Restore();
    CPPUNIT_ASSERT(view.ValidationAge() == 1s);
  }

  void Start_UntilAPeerIsHeard_ProofsWait() {
    view.AwaitPeers(clock.Now() + 600ms);
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    const Instant began = clock.Now();
    view.OnValidated({40, 2}, began);
    CPPUNIT_ASSERT(!view.ValidationAge());
    clock.Advance(100ms);
    view.OnPeersResponded();
    CPPUNIT_ASSERT(view.ValidationAge() == 100ms);
  }

  void Start_NoPeerAnswers_ProofsCountAfterAWhile() {
    view.AwaitPeers(clock.Now() + 600ms);
    view.OnConfiguration({"", ConfigText(7), {40, 2}});
    view.OnValidated({40, 2}, clock.Now());
    clock.Advance(600ms);
    view.Tick();
    CPPUNIT_ASSERT(view.ValidationAge().has_value());
  }

  void Start_StoreInItsFirstEra_WaitsForNobody() {
    view.AwaitPeers(clock.Now() + 600ms);
    view.OnConfiguration({"", ConfigText(7), {40, 0}});
    view.OnValidated({40, 0}, clock.Now());
    CPPUNIT_ASSERT(view.ValidationAge().has_value());
  }

  void Copy_OfAnEarlierEra_IsNotTold() {
    this->KnowTwo();
    view.OnListsValidated(clock.Now());
    this->Restore();
    const ClusterUpdate copy = view.UpdateFor({});
    CPPUNIT_ASSERT(!copy.upstreams && !copy.daemons && !copy.listsAge);
    CPPUNIT_ASSERT(!copy.validationAge);
  }

  void Copy_ToAnAskerOfAnEarlierEra_BringsItsListUp() {
    ClusterView asker{*decoder, *this, clock};
    this->ListIn(asker, {{"i1", EntryText("ready"), {40, 1}}}, {90, 1});
    this->KnowTwo();
    this->Restore();
    this->ListIn(view, {{"i3", EntryText("ready", "10.0.0.3"), {50, 2}}},
                 {51, 2});
    asker.OnRestored(2);
    asker.OnUpdate(view.UpdateFor(asker.Revisions()), clock.Now());
    CPPUNIT_ASSERT(asker.Directory().Find("i3") != nullptr);
    CPPUNIT_ASSERT(asker.Revisions().upstreams == StoreRevision({51, 2}));
  }

  void Copy_WholeOfANewEra_GivesMissingOnesAGrace() {
    this->KnowTwo();
    ClusterView teller{*decoder, *this, clock};
    this->ListIn(teller, {{"i1", EntryText("ready"), {40, 2}}}, {45, 2});
    this->Restore();
    view.OnUpdate(teller.UpdateFor(view.Revisions()), clock.Now());
    CPPUNIT_ASSERT(this->IsUsable("i2"));
    clock.Advance(3s);
    view.Tick();
    CPPUNIT_ASSERT(view.Directory().Find("i2") == nullptr);
  }

  void Orders_RightAfterTheReturn_WaitForEntries() {
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
