#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

constexpr int kLayers = 80;
constexpr int kTrials = 2000;

class DomainChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainChoiceTest);
  CPPUNIT_TEST(Rank_NoQueues_PrefersOwnDomain);
  CPPUNIT_TEST(Rank_OwnMemoryShort_PrefersAnother);
  CPPUNIT_TEST(Rank_LayerWithoutRoom_ExcludesDomain);
  CPPUNIT_TEST(Rank_SlotsAboutToRunOut_SendsAPartElsewhere);
  CPPUNIT_TEST(Rank_LongQueue_SendsAllElsewhere);
  CPPUNIT_TEST(Rank_OneOfThreeStagesQueues_SendsAPartElsewhere);
  CPPUNIT_TEST(Rank_AllQueueAlike_StaysInOwnDomain);
  CPPUNIT_TEST(Rank_ShortAdvantageElsewhere_StaysInOwnDomain);
  CPPUNIT_TEST(Rank_OldReports_ChangeShareLess);
  CPPUNIT_TEST(Rank_CallersExceedCapacity_ExcessLeaves);
  CPPUNIT_TEST(Rank_CallersFit_CostsAsBefore);
  CPPUNIT_TEST(Rank_OthersNearlyFull_SpreadsOverThem);
  CPPUNIT_TEST(Rank_UnknownLoadOrTime_CostsAsBefore);
  CPPUNIT_TEST(Rank_WaitOff_CostsAsBefore);
  CPPUNIT_TEST(Choose_OwnFirstStagesQueue_UsesAnotherDomainWithReason);
  CPPUNIT_TEST_SUITE_END();

  Random random{11};
  DomainChoiceSettings settings;
  RequestTiming timing{500ms, 2.3};

  /// A domain with three first stages that use that share of their slots.
  static DomainState State(const std::string& aName, double aFreeTokens,
                           double aSlotUse = 0, Micros aAge = 200ms) {
    return {aName,
            aName == "own",
            std::vector<double>(kLayers, aFreeTokens),
            0,
            0,
            {3, FirstStageState{aSlotUse * 200, 200, aAge}}};
  }

  /// Share of the requests that start in each domain.
  std::map<std::string, double> Shares(
      const std::vector<DomainState>& aDomains) {
    const DomainChoice choice(settings);
    std::map<std::string, int> starts;
    for (int i = 0; i < kTrials; ++i) {
      starts[choice.Rank(aDomains, timing, random).at(0).name] += 1;
    }
    std::map<std::string, double> shares;
    for (const auto& [domain, count] : starts) {
      shares[domain] = static_cast<double>(count) / kTrials;
    }
    return shares;
  }
  double OwnShare(const std::vector<DomainState>& aDomains) {
    return this->Shares(aDomains)["own"];
  }

 public:
  void Rank_NoQueues_PrefersOwnDomain() {
    const std::vector<DomainState> domains{State("own", 120'000, 0.8),
                                           State("x", 150'000, 0.1)};
    CPPUNIT_ASSERT_EQUAL(1.0, this->OwnShare(domains));
    CPPUNIT_ASSERT(
        DomainChoice(settings).Rank(domains, timing, random).at(0).reason ==
        DomainReason::Own);
  }

  void Rank_OwnMemoryShort_PrefersAnother() {
    const std::vector<DomainState> domains{State("own", 40'000),
                                           State("x", 120'000)};
    CPPUNIT_ASSERT_EQUAL(0.0, this->OwnShare(domains));
    CPPUNIT_ASSERT(
        DomainChoice(settings).Rank(domains, timing, random).at(0).reason ==
        DomainReason::Scarce);
  }

  void Rank_LayerWithoutRoom_ExcludesDomain() {
    std::vector<DomainState> domains{State("own", 120'000),
                                     State("x", 120'000)};
    domains[0].freeTokens[17] = 0;
    const auto ranked = DomainChoice(settings).Rank(domains, timing, random);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ranked.size());
    CPPUNIT_ASSERT(ranked[0].reason == DomainReason::NoRoom);
  }

  // Guards against leaving a domain only once it refuses requests: with all
  // slots taken its first stages looked a third full.
  void Rank_SlotsAboutToRunOut_SendsAPartElsewhere() {
    const double share =
        this->OwnShare({State("own", 120'000, 0.97), State("x", 120'000, 0.3)});
    CPPUNIT_ASSERT(share > 0.4);
    CPPUNIT_ASSERT(share < 0.9);
    const auto ranked = DomainChoice(settings).Rank(
        {State("own", 120'000, 1.5), State("x", 120'000, 0.3)}, timing, random);
    CPPUNIT_ASSERT(ranked[0].reason == DomainReason::Queue);
    CPPUNIT_ASSERT(ranked[1].reason == DomainReason::Own);
  }

  void Rank_LongQueue_SendsAllElsewhere() {
    CPPUNIT_ASSERT_EQUAL(0.0, this->OwnShare({State("own", 120'000, 1.5),
                                              State("x", 120'000, 0.3)}));
  }

  // Free slots of one first stage do not shorten the queue of another.
  void Rank_OneOfThreeStagesQueues_SendsAPartElsewhere() {
    DomainState own = State("own", 120'000, 0.5);
    own.firstStages[0].requests = 280;
    const double share = this->OwnShare({own, State("x", 120'000, 0.3)});
    CPPUNIT_ASSERT(share > 0.1);
    CPPUNIT_ASSERT(share < 0.9);
  }

  // Requests between two domains that both queue would only use the link.
  void Rank_AllQueueAlike_StaysInOwnDomain() {
    CPPUNIT_ASSERT_EQUAL(1.0, this->OwnShare({State("own", 120'000, 1.1),
                                              State("x", 120'000, 1.1),
                                              State("y", 120'000, 1.1)}));
  }

  void Rank_ShortAdvantageElsewhere_StaysInOwnDomain() {
    // 70 ms of 500; the costs of memory vary by 4 and 8.
    settings.waitVariation = 0ms;
    CPPUNIT_ASSERT_EQUAL(
        1.0, this->OwnShare({State("own", 120'000, 0.85 + 0.07 / 2.3, 0ms),
                             State("x", 120'000)}));
  }

  // Guards against daemons that all leave a domain on the same old report.
  void Rank_OldReports_ChangeShareLess() {
    const auto share = [this](double aSlotUse, Micros aAge) {
      return this->OwnShare({State("own", 120'000, aSlotUse, aAge),
                             State("x", 120'000, 0.2, aAge)});
    };
    const double fresh = share(0.9, 100ms) - share(1.0, 100ms);
    const double old = share(0.9, 2s) - share(1.0, 2s);
    CPPUNIT_ASSERT(fresh > 4 * old);
    CPPUNIT_ASSERT(old >= 0);
  }

  // Guards against a share that follows the delayed view of the free memory:
  // daemons left and returned together.
  void Rank_CallersExceedCapacity_ExcessLeaves() {
    for (const double freeTokens : {50'000.0, 70'000.0, 90'000.0}) {
      std::vector<DomainState> domains{State("own", freeTokens),
                                       State("x", 120'000)};
      domains[0].capacity = 120'000;
      domains[0].callersTokens = 140'000;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, this->OwnShare(domains), 0.05);
    }
    std::vector<DomainState> full{State("own", 10'000), State("x", 120'000)};
    full[0].capacity = 120'000;
    full[0].callersTokens = 140'000;
    CPPUNIT_ASSERT_EQUAL(0.0, this->OwnShare(full));
  }

  void Rank_CallersFit_CostsAsBefore() {
    std::vector<DomainState> domains{State("own", 60'000), State("x", 110'000)};
    domains[0].capacity = 120'000;
    domains[0].callersTokens = 80'000;
    this->AssertAsBefore(domains);
    domains[0].callersTokens = 140'000;
    settings.expectedLoad = FeatureMode::Off;
    this->AssertAsBefore(domains);
  }

  // Guards against one domain that gets the excess of all others.
  void Rank_OthersNearlyFull_SpreadsOverThem() {
    const auto shares =
        this->Shares({State("own", 120'000, 2), State("x", 120'000, 0.95),
                      State("y", 120'000, 0.97), State("z", 120'000, 0.96)});
    for (const char* domain : {"x", "y", "z"}) {
      CPPUNIT_ASSERT(shares.at(domain) > 0.15);
    }
  }

  /// Whether the ranking is that of the memory alone, from the same random
  /// numbers.
  void AssertAsBefore(const std::vector<DomainState>& aDomains) {
    Random other = random;
    for (int i = 0; i < 100; ++i) {
      const auto ranked = DomainChoice(settings).Rank(aDomains, timing, random);
      std::vector<std::pair<double, std::string>> before;
      for (const DomainState& domain : aDomains) {
        double cost = domain.isOwn ? 0 : settings.remoteCost;
        for (const double tokens : domain.freeTokens) {
          cost += settings.scarcityCost / tokens;
        }
        cost *= 1 + settings.jitter * (2 * other.Unit() - 1);
        before.emplace_back(cost, domain.name);
      }
      std::sort(before.begin(), before.end());
      for (std::size_t j = 0; j < before.size(); ++j) {
        CPPUNIT_ASSERT_EQUAL(before[j].second, ranked[j].name);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before[j].first, ranked[j].Cost(), 1e-9);
      }
    }
  }

  // A service whose upstreams state neither slots nor load.
  void Rank_UnknownLoadOrTime_CostsAsBefore() {
    std::vector<DomainState> domains{State("own", 60'000), State("x", 110'000)};
    this->AssertAsBefore(domains);
    domains[0].firstStages = {};
    this->AssertAsBefore(domains);
    domains[0].firstStages = {{300, 200, 0ms}};
    timing.responseSeconds = 0;
    this->AssertAsBefore(domains);
  }

  void Rank_WaitOff_CostsAsBefore() {
    settings.expectedLoad = FeatureMode::Off;
    this->AssertAsBefore({State("own", 60'000, 1.5), State("x", 110'000, 0.2)});
  }

  void Choose_OwnFirstStagesQueue_UsesAnotherDomainWithReason() {
    ModelShape model;
    model.layers = kLayers;
    model.layerMb = 100;
    model.tokenMb = 0.1;
    model.usualPrompt = 760;
    model.usualAnswer = 140;
    model.kinds = {{"h100", 72'000, 1, 1}};
    std::vector<UpstreamPtr> upstreams;
    for (const char* domain : {"own", "x"}) {
      UpstreamEntry entry;
      entry.id = domain;
      entry.address = domain;
      entry.failureDomain = domain;
      entry.kind = "h100";
      entry.layers = {0, kLayers};
      entry.slots = 192;
      upstreams.push_back(std::make_shared<LiveUpstream>(entry));
    }
    const Instant now{Micros{50s}};
    ChainChooser chooser{ChainChooserSettings{}};
    const auto domainOf = [&] {
      return chooser.Choose(model, upstreams, "own", 900, now, random, timing)
          ->front()
          .upstream->Entry()
          .failureDomain;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("own"), domainOf());
    CPPUNIT_ASSERT(chooser.LastReason() == DomainReason::Own);
    upstreams[0]->firstStage.AddRemote(400);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), domainOf());
    CPPUNIT_ASSERT(chooser.LastReason() == DomainReason::Queue);
    // Another domain's counts are incomplete; what its upstreams announce is
    // not.
    upstreams[1]->firstStage.Announce({192, 300, now - 1s});
    CPPUNIT_ASSERT_EQUAL(std::string("own"), domainOf());
    upstreams[0]->firstStage.RemoveRemote(400);
    CPPUNIT_ASSERT_EQUAL(std::string("own"), domainOf());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainChoiceTest);

}  // namespace
}  // namespace zincstep
