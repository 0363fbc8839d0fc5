#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "UnitTests/UsersPool.h"

namespace zincstep {
namespace {

class ChainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChainTest);
  CPPUNIT_TEST(Choose_CoveredPool_RunsEachLayerOnceInOrder);
  CPPUNIT_TEST(Choose_CoveredDomain_StaysInside);
  CPPUNIT_TEST(Choose_GapInDomain_UsesAnotherDomain);
  CPPUNIT_TEST(Choose_BusyDomain_UsesAnotherDomain);
  CPPUNIT_TEST(Choose_FullUpstream_IsSkipped);
  CPPUNIT_TEST(Choose_CheapUpstreamInsideRange_UsesEachUpstreamOnce);
  CPPUNIT_TEST(Capacity_FirstLayers_IsLimitedBySlots);
  CPPUNIT_TEST(Choose_FirstStageWithFullSlots_IsNotChosen);
  CPPUNIT_TEST(Choose_FirstStageWithFullSlots_RemainsLaterMember);
  CPPUNIT_TEST(Choose_AllFirstStagesFull_UsesLeastFilled);
  CPPUNIT_TEST(Choose_BalanceOff_IgnoresSlots);
  CPPUNIT_TEST(Choose_NoSlotsStated_IgnoresRequests);
  CPPUNIT_TEST(Choose_FasterFirstStage_GetsLimitedShare);
  CPPUNIT_TEST(Choose_FewRequests_PrefersFasterFirstStage);
  CPPUNIT_TEST(Repair_FirstStageWithFullSlots_IsKept);
  CPPUNIT_TEST(Repair_LostHop_KeepsRemainingMembers);
  CPPUNIT_TEST(Repair_NoReplacement_ReturnsNone);
  CPPUNIT_TEST(Repair_LeavingMember_IsReplaced);
  CPPUNIT_TEST(Repair_LeavingMemberWithoutReplacement_ReturnsNone);
  CPPUNIT_TEST(Repair_ReplacementInOtherDomain_IsUsedInItsScope);
  CPPUNIT_TEST(Repair_MemberAtFault_IsReplaced);
  CPPUNIT_TEST(Repair_ByReadTime_SpreadsInProportionToRates);
  CPPUNIT_TEST(Repair_ByReadTime_AvoidsUpstreamWithReads);
  CPPUNIT_TEST(ReadRate_Unstated_IsZero);
  CPPUNIT_TEST_SUITE_END();

  ModelShape model = UsersModel();
  ChainChooser chooser{ChainChooserSettings{}};
  /// Chooses first stages by their requests and slots.
  ChainChooser balanced{BalancedSettings()};
  Random random{7};
  Instant now{Micros{50s}};
  std::vector<UpstreamPtr> upstreams;

  void Add(const std::string& aId, const std::string& aDomain,
           const std::string& aKind, LayerRange aLayers) {
    UpstreamEntry entry;
    entry.id = aId;
    entry.address = aId;
    entry.failureDomain = aDomain;
    entry.kind = aKind;
    entry.layers = aLayers;
    entry.slots = 192;
    this->upstreams.push_back(std::make_shared<LiveUpstream>(entry));
  }

  void AddPlanned() {
    std::vector<PlacedUpstream> pool = UsersPool();
    ApplyOrders(
        pool,
        PlacementPlanner(PlacementSettings{}).Plan(model, {pool, {}, {}}));
    for (const PlacedUpstream& one : pool) {
      this->Add(one.id, one.failureDomain, one.kind, one.layers);
    }
  }

  static ChainChooserSettings BalancedSettings() {
    ChainChooserSettings settings;
    settings.firstStageBalance = FeatureMode::Auto;
    return settings;
  }

  std::optional<PoolChain> Choose(const std::string& aDomain) {
    return chooser.Choose(model, upstreams, aDomain, 900, now, random);
  }

  /// Two first stages, of which the first is faster and preferred without
  /// balancing.
  void AddTwoFirstStages(int aSlots = 192) {
    this->Add("fast", "a", "h100", {0, 10});
    this->Add("slow", "a", "l4", {0, 10});
    this->Add("m1", "a", "h100", {10, 45});
    this->Add("m2", "a", "h100", {45, 80});
    for (const UpstreamPtr& upstream : upstreams) {
      UpstreamEntry entry = upstream->Entry();
      entry.slots = aSlots;
      upstream->SetEntry(entry, now);
    }
  }

  void StartRequests(std::size_t aUpstream, int aCount) {
    for (int i = 0; i < aCount; ++i) {
      upstreams[aUpstream]->firstStage.OnStarted(now);
    }
  }

  /// Id of the first stage that is chosen by requests and slots.
  std::string BalancedFirst() {
    return balanced
        .Choose(model, upstreams, "a", 100, now, random, {500ms, 1.3})
        ->front()
        .upstream->Entry()
        .id;
  }

  void AssertCovers(const PoolChain& aChain) const {
    int next = 0;
    for (const PoolHop& hop : aChain) {
      CPPUNIT_ASSERT_EQUAL(next, hop.layers.first);
      CPPUNIT_ASSERT(hop.layers.Size() > 0);
      CPPUNIT_ASSERT(hop.upstream->Entry().layers.Covers(hop.layers));
      next = hop.layers.last;
    }
    CPPUNIT_ASSERT_EQUAL(model.layers, next);
  }

 public:
  void Choose_CoveredPool_RunsEachLayerOnceInOrder() {
    this->AddPlanned();
    for (int i = 0; i < 200; ++i) {
      const auto chain = this->Choose("a");
      CPPUNIT_ASSERT(chain.has_value());
      this->AssertCovers(*chain);
    }
  }

  void Choose_CoveredDomain_StaysInside() {
    this->AddPlanned();
    const auto chain = this->Choose("b");
    CPPUNIT_ASSERT(chain.has_value());
    for (const PoolHop& hop : *chain) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"),
                           hop.upstream->Entry().failureDomain);
    }
  }

  // Guards against chains that leave their domain for a single range: they
  // saturated the link, and requests occupied memory everywhere while they
  // waited.
  void Choose_GapInDomain_UsesAnotherDomain() {
    this->Add("a1", "a", "h100", {0, 30});
    this->Add("a2", "a", "h100", {50, 80});
    this->Add("b1", "b", "h100", {0, 30});
    this->Add("b2", "b", "h100", {30, 50});
    this->Add("b3", "b", "h100", {50, 80});
    const auto chain = this->Choose("a");
    CPPUNIT_ASSERT(chain.has_value());
    this->AssertCovers(*chain);
    for (const PoolHop& hop : *chain) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"),
                           hop.upstream->Entry().failureDomain);
    }
  }

  void Choose_BusyDomain_UsesAnotherDomain() {
    for (const char* domain : {"a", "b"}) {
      const std::string name = domain;
      this->Add(name + "1", domain, "h100", {0, 30});
      this->Add(name + "2", domain, "h100", {30, 60});
      this->Add(name + "3", domain, "h100", {60, 80});
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string("a"),
        this->Choose("a")->at(0).upstream->Entry().failureDomain);
    for (int i = 0; i < 3; ++i) {
      upstreams[static_cast<std::size_t>(i)]->localWork =
          ChainChooser::Capacity(
              model, upstreams[static_cast<std::size_t>(i)]->Entry()) *
          0.9;
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string("b"),
        this->Choose("a")->at(0).upstream->Entry().failureDomain);
  }

  void Choose_FullUpstream_IsSkipped() {
    this->Add("full", "a", "h100", {0, 30});
    this->Add("free", "a", "h100", {0, 30});
    this->Add("rest", "a", "h100", {30, 80});
    this->upstreams[0]->localWork =
        ChainChooser::Capacity(model, this->upstreams[0]->Entry());
    // A single upstream with 50 layers has no memory for requests left, so the
    // layers are split over two.
    this->upstreams.erase(this->upstreams.begin() + 2);
    this->Add("r1", "a", "h100", {30, 55});
    this->Add("r2", "a", "h100", {55, 80});
    const auto chain = this->Choose("a");
    CPPUNIT_ASSERT(chain.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("free"),
                         chain->front().upstream->Entry().id);
  }

  void Choose_CheapUpstreamInsideRange_UsesEachUpstreamOnce() {
    // A much cheaper upstream lies inside the range of another.
    this->Add("wide", "a", "t4", {0, 7});
    this->Add("cheap", "a", "h100", {2, 4});
    this->Add("rest1", "a", "h100", {7, 40});
    this->Add("rest2", "a", "h100", {40, 73});
    this->Add("rest3", "a", "t4", {73, 80});
    for (int i = 0; i < 50; ++i) {
      const auto chain = this->Choose("a");
      CPPUNIT_ASSERT(chain.has_value());
      this->AssertCovers(*chain);
      std::map<std::string, int> uses;
      for (const PoolHop& hop : *chain) {
        uses[hop.upstream->Entry().id] += 1;
      }
      for (const auto& [id, count] : uses) {
        CPPUNIT_ASSERT_EQUAL(1, count);
      }
    }
  }

  // Guards against counting only memory at the first upstream: 192 requests ran
  // there and others queued, while it had memory for three times as many.
  void Capacity_FirstLayers_IsLimitedBySlots() {
    UpstreamEntry entry;
    entry.kind = "a100s";
    entry.layers = {0, 10};
    entry.slots = 10;
    const double usual = model.usualPrompt + model.usualAnswer;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75 * 10 * 10 * usual,
                                 ChainChooser::Capacity(model, entry), 1);
    entry.layers = {10, 20};
    CPPUNIT_ASSERT(ChainChooser::Capacity(model, entry) > 20 * 10 * usual);
  }

  // Guards against a first stage with all slots taken that looks a third full
  // by its memory: 104 of its 202 streams had their first event too late.
  void Choose_FirstStageWithFullSlots_IsNotChosen() {
    this->AddTwoFirstStages();
    this->StartRequests(0, 180);
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("slow"), this->BalancedFirst());
    }
  }

  void Choose_FirstStageWithFullSlots_RemainsLaterMember() {
    this->Add("full", "a", "h100", {0, 40});
    this->Add("free", "a", "h100", {0, 10});
    this->Add("last", "a", "h100", {40, 80});
    this->StartRequests(0, 192);
    const auto chain =
        balanced.Choose(model, upstreams, "a", 900, now, random, {500ms, 1.3});
    CPPUNIT_ASSERT(chain.has_value());
    this->AssertCovers(*chain);
    CPPUNIT_ASSERT_EQUAL(std::string("free"),
                         chain->at(0).upstream->Entry().id);
    CPPUNIT_ASSERT_EQUAL(std::string("full"),
                         chain->at(1).upstream->Entry().id);
  }

  // Guards against refusing requests that could be queued.
  void Choose_AllFirstStagesFull_UsesLeastFilled() {
    this->AddTwoFirstStages();
    this->StartRequests(0, 250);
    this->StartRequests(1, 200);
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("slow"), this->BalancedFirst());
    }
  }

  void Choose_BalanceOff_IgnoresSlots() {
    this->AddTwoFirstStages();
    this->StartRequests(0, 250);
    int fast = 0;
    for (int i = 0; i < 50; ++i) {
      fast += this->Choose("a")->front().upstream == upstreams[0] ? 1 : 0;
    }
    CPPUNIT_ASSERT(fast > 40);
  }

  void Choose_NoSlotsStated_IgnoresRequests() {
    this->AddTwoFirstStages(1000);
    for (const UpstreamPtr& upstream : upstreams) {
      UpstreamEntry entry = upstream->Entry();
      entry.slots = 1;
      upstream->SetEntry(entry, now);
    }
    this->StartRequests(0, 3);
    CPPUNIT_ASSERT(
        balanced.Choose(model, upstreams, "a", 100, now, random, {500ms, 1.3}));
  }

  // Guards against one first stage with most streams of a domain: its loss
  // interrupts them all.
  void Choose_FasterFirstStage_GetsLimitedShare() {
    this->AddTwoFirstStages();
    for (int i = 0; i < 200; ++i) {
      const std::string first = this->BalancedFirst();
      this->StartRequests(first == "fast" ? 0 : 1, 1);
    }
    const int fast = upstreams[0]->firstStage.Local();
    CPPUNIT_ASSERT(fast >= 100);
    CPPUNIT_ASSERT(fast <= 150);
  }

  void Choose_FewRequests_PrefersFasterFirstStage() {
    this->AddTwoFirstStages();
    this->StartRequests(0, 15);
    int fast = 0;
    for (int i = 0; i < 50; ++i) {
      fast += this->BalancedFirst() == "fast" ? 1 : 0;
    }
    CPPUNIT_ASSERT(fast > 40);
  }

  void Repair_FirstStageWithFullSlots_IsKept() {
    this->Add("first", "a", "h100", {0, 40});
    this->Add("lost", "a", "h100", {40, 80});
    this->Add("other", "a", "h100", {40, 80});
    this->Add("free", "a", "h100", {0, 40});
    this->StartRequests(0, 250);
    PoolChain chain{{upstreams[0], {0, 40}}, {upstreams[1], {40, 80}}};
    upstreams[1]->Suspect(now);
    const auto repaired =
        chooser.Repair(model, upstreams, chain, {}, 900, now, random);
    CPPUNIT_ASSERT(repaired.has_value());
    CPPUNIT_ASSERT(repaired->at(0).upstream == upstreams[0]);
  }

  void Repair_LostHop_KeepsRemainingMembers() {
    this->Add("first", "a", "h100", {0, 30});
    this->Add("lost", "a", "l4", {30, 40});
    this->Add("spare", "a", "l4", {30, 40});
    this->Add("last1", "a", "h100", {40, 60});
    this->Add("last2", "a", "h100", {60, 80});
    PoolChain chain{{upstreams[0], {0, 30}},
                    {upstreams[1], {30, 40}},
                    {upstreams[3], {40, 60}},
                    {upstreams[4], {60, 80}}};
    upstreams[1]->Suspect(now);
    const auto repaired =
        chooser.Repair(model, upstreams, chain, {}, 900, now, random);
    CPPUNIT_ASSERT(repaired.has_value());
    this->AssertCovers(*repaired);
    CPPUNIT_ASSERT(repaired->at(0).upstream == upstreams[0]);
    CPPUNIT_ASSERT(repaired->at(1).upstream == upstreams[2]);
    CPPUNIT_ASSERT(repaired->at(2).upstream == upstreams[3]);
  }

  // Guards against repairs that keep a leaving member: 1,242 of 2,067 orders
  // were refused, most of them because a member was leaving and ran the request
  // already.
  void Repair_LeavingMember_IsReplaced() {
    this->Add("first", "a", "h100", {0, 30});
    this->Add("giving", "a", "h100", {30, 50});
    this->Add("other", "a", "h100", {30, 50});
    this->Add("leaving", "a", "h100", {50, 80});
    this->Add("next", "a", "h100", {50, 80});
    PoolChain chain{{upstreams[0], {0, 30}},
                    {upstreams[1], {30, 50}},
                    {upstreams[3], {50, 80}}};
    UpstreamEntry empty = upstreams[1]->Entry();
    empty.layers = {};
    upstreams[1]->SetEntry(empty, now);
    UpstreamEntry draining = upstreams[3]->Entry();
    draining.state = Availability::Draining;
    upstreams[3]->SetEntry(draining, now);
    const auto repaired =
        chooser.Repair(model, upstreams, chain, {}, 900, now, random);
    CPPUNIT_ASSERT(repaired.has_value());
    this->AssertCovers(*repaired);
    CPPUNIT_ASSERT(repaired->at(1).upstream == upstreams[2]);
    CPPUNIT_ASSERT(repaired->at(2).upstream == upstreams[4]);
  }

  void Repair_LeavingMemberWithoutReplacement_ReturnsNone() {
    this->Add("first", "a", "h100", {0, 30});
    this->Add("leaving", "a", "h100", {30, 55});
    this->Add("last", "a", "h100", {55, 80});
    PoolChain chain{{upstreams[0], {0, 30}},
                    {upstreams[1], {30, 55}},
                    {upstreams[2], {55, 80}}};
    upstreams[1]->SetDeregistered(now);
    upstreams.erase(upstreams.begin() + 1);
    CPPUNIT_ASSERT(
        !chooser.Repair(model, upstreams, chain, {}, 900, now, random));
  }

  // Guards against streams that stay silent until their callers leave, although
  // another domain holds the lost layers.
  void Repair_ReplacementInOtherDomain_IsUsedInItsScope() {
    this->Add("first", "a", "h100", {0, 30});
    this->Add("lost", "a", "h100", {30, 50});
    this->Add("last", "a", "h100", {50, 80});
    this->Add("remote", "b", "h100", {30, 50});
    PoolChain chain{{upstreams[0], {0, 30}},
                    {upstreams[1], {30, 50}},
                    {upstreams[2], {50, 80}}};
    upstreams[1]->Suspect(now);
    CPPUNIT_ASSERT(
        !chooser.Repair(model, upstreams, chain, {}, 900, now, random));
    const auto repaired =
        chooser.Repair(model, upstreams, chain, {}, 900, now, random,
                       RepairCost::FreeMemory, RepairScope::AllDomains);
    CPPUNIT_ASSERT(repaired.has_value());
    this->AssertCovers(*repaired);
    CPPUNIT_ASSERT(repaired->at(0).upstream == upstreams[0]);
    CPPUNIT_ASSERT(repaired->at(1).upstream == upstreams[3]);
    CPPUNIT_ASSERT(repaired->at(2).upstream == upstreams[2]);
  }

  void Repair_MemberAtFault_IsReplaced() {
    this->Add("first", "a", "h100", {0, 40});
    this->Add("blamed", "a", "h100", {40, 80});
    this->Add("other", "a", "h100", {40, 80});
    PoolChain chain{{upstreams[0], {0, 40}}, {upstreams[1], {40, 80}}};
    const auto repaired = chooser.Repair(model, upstreams, chain,
                                         {upstreams[1]}, 900, now, random);
    CPPUNIT_ASSERT(repaired.has_value());
    CPPUNIT_ASSERT(repaired->at(1).upstream == upstreams[2]);
  }

  /// Share of 1,000 repairs around a lost member that go to the first of two
  /// spares of equal layers, of these kinds.
  double ShareOfFirstSpare(const std::string& aFirstKind,
                           const std::string& aOtherKind, Micros aReads) {
    model.readTokensPerSecond = 236'000;
    this->Add("first", "a", "h100", {0, 75});
    this->Add("lost", "a", "l4", {75, 80});
    this->Add("spare1", "a", aFirstKind, {75, 80});
    this->Add("spare2", "a", aOtherKind, {75, 80});
    upstreams[1]->Suspect(now);
    upstreams[2]->AddRead(aReads, now);
    const PoolChain chain{{upstreams[0], {0, 75}}, {upstreams[1], {75, 80}}};
    int count = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto repaired = chooser.Repair(model, upstreams, chain, {}, 900,
                                           now, random, RepairCost::ReadTime);
      CPPUNIT_ASSERT(repaired.has_value());
      count += repaired->at(1).upstream == upstreams[2] ? 1 : 0;
    }
    return count / 1000.0;
  }

  // Guards against all streams of a lost member choosing the same holder: each
  // gets a share in proportion to its reading rate.
  void Repair_ByReadTime_SpreadsInProportionToRates() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        8.2 / (8.2 + 3.2), this->ShareOfFirstSpare("a100s", "l4", 0ms), 0.05);
  }

  void Repair_ByReadTime_AvoidsUpstreamWithReads() {
    const double share = this->ShareOfFirstSpare("l4", "l4", 100ms);
    CPPUNIT_ASSERT(share > 0);
    CPPUNIT_ASSERT(share < 0.1);
  }

  void ReadRate_Unstated_IsZero() {
    this->Add("one", "a", "h100", {0, 40});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0, ChainChooser::ReadRate(model, upstreams[0]->Entry()), 0);
    model.readTokensPerSecond = 236'000;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.5 * 236'000 * 80,
        ChainChooser::ReadRate(model, upstreams[0]->Entry()), 1);
  }

  void Repair_NoReplacement_ReturnsNone() {
    this->Add("first", "a", "h100", {0, 40});
    this->Add("lost", "a", "h100", {40, 80});
    PoolChain chain{{upstreams[0], {0, 40}}, {upstreams[1], {40, 80}}};
    upstreams[1]->Suspect(now);
    CPPUNIT_ASSERT(
        !chooser.Repair(model, upstreams, chain, {}, 900, now, random));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChainTest);

}  // namespace
}  // namespace zincstep
