#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "UnitTests/UsersPool.h"

namespace zincstep {
namespace {

/// A pool whose domains have been as they are for a while, with that demand.
PlacementInput Steady(const std::vector<PlacedUpstream>& aPool,
                      double aDemand) {
  PlacementInput situation{aPool, ObservedDemand{aDemand, 0}, {}};
  for (const PlacedUpstream& one : aPool) {
    situation.stableDomains.insert(one.failureDomain);
  }
  return situation;
}

/// Layers of a failure domain that nobody holds.
int Uncovered(const std::vector<PlacedUpstream>& aPool,
              const std::string& aDomain, int aLayers) {
  int missing = 0;
  for (int layer = 0; layer < aLayers; ++layer) {
    missing += std::none_of(aPool.begin(), aPool.end(),
                            [&](const PlacedUpstream& aOne) {
                              return aOne.failureDomain == aDomain &&
                                     aOne.layers.first <= layer &&
                                     layer < aOne.layers.last;
                            })
                   ? 1
                   : 0;
  }
  return missing;
}

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(Plan_EmptyPool_CoversEachDomain);
  CPPUNIT_TEST(Plan_EmptyPool_LeavesMemoryForRequests);
  CPPUNIT_TEST(Plan_LowDemand_DoublesWhatIsLarge);
  CPPUNIT_TEST(Plan_EmptyPool_DoublesTheFirstLayer);
  CPPUNIT_TEST(Plan_CoveredPool_OrdersNothing);
  CPPUNIT_TEST(Plan_AnyLostUpstream_CoversAgain);
  CPPUNIT_TEST(Plan_LostUpstream_MovesFew);
  CPPUNIT_TEST(Plan_OrderUnderWay_GetsNoOther);
  CPPUNIT_TEST(Plan_TooFewUpstreams_KeepsLessMemory);
  CPPUNIT_TEST(Plan_ManyUpstreams_UsesThemAll);
  CPPUNIT_TEST(Plan_RoomForTwoCopies_LeavesTheRestToRequests);
  CPPUNIT_TEST(Plan_OneHolderOfTheFirstLayer_GetsAnother);
  CPPUNIT_TEST(Plan_HundredsOfUpstreams_KeepsChainsShort);
  CPPUNIT_TEST(Plan_ThreeTimesTheUpstreams_TakesAtMostFourTimesTheSteps);
  CPPUNIT_TEST(Plan_DomainInParts_IsWorthAsMuchAsASmallOne);
  CPPUNIT_TEST(Plan_NewcomersByTheHundred_AreLaidOutAtOnce);
  CPPUNIT_TEST(Plan_HigherDemand_KeepsMoreMemory);
  CPPUNIT_TEST(Plan_NoisyDemand_ComesToRest);
  CPPUNIT_TEST(Plan_LostUpstream_IsRestoredInFewMoves);
  CPPUNIT_TEST(Plan_ChangeToServeBetter_KeepsEachLayerHeld);
  CPPUNIT_TEST(Plan_OrderUnderWay_ChangesNothingElse);
  CPPUNIT_TEST_SUITE_END();

  ModelShape model = UsersModel();
  PlacementPlanner planner{PlacementSettings{}};
  std::vector<PlacedUpstream> pool = UsersPool();

 public:
  void Plan_EmptyPool_CoversEachDomain() {
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    for (const char* domain : {"a", "b", "c"}) {
      CPPUNIT_ASSERT_EQUAL(0, Uncovered(pool, domain, model.layers));
    }
  }

  void Plan_EmptyPool_LeavesMemoryForRequests() {
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    for (const char* domain : {"a", "b", "c"}) {
      for (int layer = 0; layer < model.layers; ++layer) {
        CPPUNIT_ASSERT(this->TokensAt(domain, layer) >= 76'500);
      }
    }
  }

  // Second holders are bought with memory for requests: how many depends on
  // what is asked for (with a constant 85,000 tokens kept it was 25 or more
  // whatever the demand, and actas-lima lacked the memory).
  void Plan_LowDemand_DoublesWhatIsLarge() {
    Carry(pool, planner.Plan(model, {pool, ObservedDemand{90'000, 0}, {}}));
    for (const char* domain : {"a", "b", "c"}) {
      int doubled = 0;
      for (int layer = 0; layer < model.layers; ++layer) {
        doubled += this->HoldersAt(domain, layer) > 1 ? 1 : 0;
      }
      CPPUNIT_ASSERT(doubled >= 25);
      CPPUNIT_ASSERT(this->HoldersAt(domain, 0) > 1);
    }
  }

  void Plan_EmptyPool_DoublesTheFirstLayer() {
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    for (const char* domain : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(this->HoldersAt(domain, 0) > 1);
    }
  }

  int HoldersAt(const std::string& aDomain, int aLayer) const {
    return static_cast<int>(
        std::count_if(pool.begin(), pool.end(), [&](const auto& aOne) {
          return aOne.failureDomain == aDomain && aOne.layers.first <= aLayer &&
                 aLayer < aOne.layers.last;
        }));
  }

  /// Tokens that the holders of a layer have memory for.
  double TokensAt(const std::string& aDomain, int aLayer) const {
    double sum = 0;
    for (const PlacedUpstream& one : pool) {
      if (one.failureDomain == aDomain && one.layers.first <= aLayer &&
          aLayer < one.layers.last) {
        const double free = model.FindKind(one.kind)->memoryMb -
                            one.layers.Size() * model.layerMb;
        sum += free / (model.tokenMb / model.layers * one.layers.Size());
      }
    }
    return sum;
  }

  void Plan_CoveredPool_OrdersNothing() {
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    CPPUNIT_ASSERT(planner.Plan(model, {pool, {}, {}}).empty());
  }

  void Plan_AnyLostUpstream_CoversAgain() {
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    for (std::size_t lost = 0; lost < pool.size(); ++lost) {
      auto rest = pool;
      const std::string domain = rest[lost].failureDomain;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
      Carry(rest, planner.Plan(model, {rest, {}, {}}));
      CPPUNIT_ASSERT_EQUAL(0, Uncovered(rest, domain, model.layers));
    }
  }

  void Plan_LostUpstream_MovesFew() {
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    for (std::size_t lost = 0; lost < pool.size(); ++lost) {
      auto rest = pool;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
      CPPUNIT_ASSERT(planner.Plan(model, {rest, {}, {}}).size() <= 4);
    }
  }

  void Plan_OrderUnderWay_GetsNoOther() {
    for (PlacedUpstream& upstream : pool) {
      upstream.acceptsOrders = false;
    }
    CPPUNIT_ASSERT(planner.Plan(model, {pool, {}, {}}).empty());
  }

  // tavua-orders-grown, quiet-1: 37 of 98 upstreams were given layers.
  void Plan_ManyUpstreams_UsesThemAll() {
    auto large = Hall("a", 1, 4, 11, 18);
    Carry(large, planner.Plan(model, {large, {}, {}}));
    for (const PlacedUpstream& one : large) {
      CPPUNIT_ASSERT(one.layers.Size() > 0);
    }
  }

  // darovna-ops-grown, quiet-1: layers with three holders beside others with
  // memory for 86,000 tokens in all, of 230,000 that fit; 1,530 of 7,199
  // arrivals were refused for want of memory.
  void Plan_RoomForTwoCopies_LeavesTheRestToRequests() {
    pool = Hall("a", 0, 3, 9, 13);
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    for (int layer = 0; layer < model.layers; ++layer) {
      CPPUNIT_ASSERT(this->HoldersAt("a", layer) >= 2);
      CPPUNIT_ASSERT(this->TokensAt("a", layer) >= 200'000);
    }
  }

  // tavua-orders-grown, trouble-1: from second 32 on one upstream was the first
  // of all chains of a domain; a third of the answers waited for its slots.
  void Plan_OneHolderOfTheFirstLayer_GetsAnother() {
    pool = Hall("a", 0, 3, 9, 13);
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    while (this->HoldersAt("a", 0) > 1) {
      pool.erase(std::find_if(pool.begin(), pool.end(), [](const auto& aOne) {
        return aOne.layers.first == 0 && aOne.layers.Size() > 0;
      }));
    }
    CPPUNIT_ASSERT_EQUAL(1, this->HoldersAt("a", 0));
    const auto orders = planner.Plan(model, Steady(pool, 196'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    Carry(pool, orders);
    CPPUNIT_ASSERT_EQUAL(2, this->HoldersAt("a", 0));
    CPPUNIT_ASSERT_EQUAL(0, Uncovered(pool, "a", model.layers));
    CPPUNIT_ASSERT(this->Settle(196'000, 20) < 10);
    CPPUNIT_ASSERT(this->HoldersAt("a", 0) >= 2);
  }

  // darovna-ops-grown, sweep at 100 machines and 1,000 upstreams: all were
  // given one layer, and chains of 80 members were refused (served: 0.09).
  void Plan_HundredsOfUpstreams_KeepsChainsShort() {
    pool = Hall("a", 7, 27, 150, 150);
    Carry(pool, planner.Plan(model, {pool, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(0, Uncovered(pool, "a", model.layers));
    int small = 0;
    for (const PlacedUpstream& one : pool) {
      small += one.layers.Size() < 4 ? 1 : 0;
    }
    // Where a range ends at the model's last layer it may be cut short.
    CPPUNIT_ASSERT(small <= 2);
  }

  /// Three domains of unequal upstreams.
  static std::vector<PlacedUpstream> Domains(int aTimes) {
    std::vector<PlacedUpstream> all;
    for (const char* domain : {"a", "b", "c"}) {
      const auto one =
          Hall(domain, 10 * aTimes, 35 * aTimes, 150 * aTimes, 138 * aTimes);
      all.insert(all.end(), one.begin(), one.end());
    }
    return all;
  }

  /// Steps of the first layout, and of a look at what it has left.
  std::pair<std::uint64_t, std::uint64_t> StepsOf(int aTimes) {
    auto large = Domains(aTimes);
    PlanCost first;
    Carry(large, planner.Plan(model, {large, {}, {}}, &first));
    PlanCost look;
    planner.Plan(model, Steady(large, 1e6 * aTimes), &look);
    return {first.steps, look.steps};
  }

  // With 333 upstreams in each domain a plan took seconds, growing with the
  // square: no upstream had got any layers a minute after the start.
  void Plan_ThreeTimesTheUpstreams_TakesAtMostFourTimesTheSteps() {
    const auto [first, look] = this->StepsOf(1);
    const auto [largeFirst, largeLook] = this->StepsOf(3);
    CPPUNIT_ASSERT(largeFirst <= 4 * first);
    CPPUNIT_ASSERT(largeLook <= 4 * look);
  }

  // What a domain gains by its size is not lost by laying it out in parts.
  void Plan_DomainInParts_IsWorthAsMuchAsASmallOne() {
    const double demand = 100'000;
    auto small = Hall("a", 1, 4, 15, 14);
    Carry(small, planner.Plan(model, {small, ObservedDemand{demand, 0}, {}}));
    auto large = Hall("a", 10, 40, 150, 140);
    Carry(large,
          planner.Plan(model, {large, ObservedDemand{10 * demand, 0}, {}}));
    CPPUNIT_ASSERT_EQUAL(0, Uncovered(large, "a", model.layers));
    CPPUNIT_ASSERT(this->WorthOf(large, 10 * demand) >=
                   this->WorthOf(small, demand));
  }

  void Plan_NewcomersByTheHundred_AreLaidOutAtOnce() {
    auto large = Hall("a", 10, 40, 150, 140);
    Carry(large, planner.Plan(model, {large, {}, {}}));
    for (int i = 0; i < 170; ++i) {
      large[2 * static_cast<std::size_t>(i)].layers = {};
    }
    const auto orders = planner.Plan(model, {large, {}, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{170}, orders.size());
  }

  /// The least memory for requests over all layers of a domain.
  double LeastTokens(const std::string& aDomain) const {
    double least = 1e12;
    for (int layer = 0; layer < model.layers; ++layer) {
      least = std::min(least, this->TokensAt(aDomain, layer));
    }
    return least;
  }

  /// Gives and carries out orders until there are none; gives their number.
  int Settle(double aDemand, int aMost) {
    int moves = 0;
    while (moves < aMost) {
      const auto orders = planner.Plan(model, Steady(pool, aDemand));
      if (orders.empty()) {
        return moves;
      }
      moves += static_cast<int>(orders.size());
      Carry(pool, orders);
    }
    return moves;
  }

  // actas-lima, quiet-1: memory was kept for 85,000 tokens whatever the load;
  // 95,000 were needed, and 321 of 2,555 streams were refused for want of it.
  void Plan_HigherDemand_KeepsMoreMemory() {
    auto few = pool;
    Carry(few, planner.Plan(model, {few, ObservedDemand{120'000, 0}, {}}));
    Carry(pool, planner.Plan(model, {pool, ObservedDemand{330'000, 0}, {}}));
    const double most = this->LeastTokens("a");
    std::swap(few, pool);
    CPPUNIT_ASSERT(most > 1.2 * this->LeastTokens("a"));
  }

  void Plan_NoisyDemand_ComesToRest() {
    Carry(pool, planner.Plan(model, {pool, ObservedDemand{180'000, 0}, {}}));
    Random random{5};
    int moves = 0;
    for (int step = 0; step < 1000; ++step) {
      const double demand = 180'000 * (0.95 + 0.1 * random.Unit());
      const auto orders = planner.Plan(model, Steady(pool, demand));
      moves += static_cast<int>(orders.size());
      Carry(pool, orders);
    }
    CPPUNIT_ASSERT(moves <= 20);
  }

  // actas-lima, scale-1: from second 22 on a quarter was served, also with
  // every fault over, since layers moved only where they had no holder.
  void Plan_LostUpstream_IsRestoredInFewMoves() {
    const double demand = 70'000;
    for (const auto& hall : {Hall("a", 0, 2, 4, 7), Hall("a", 1, 1, 5, 7),
                             Hall("a", 0, 1, 8, 3)}) {
      pool = hall;
      Carry(pool, planner.Plan(model, {pool, ObservedDemand{demand, 0}, {}}));
      const auto whole = pool;
      for (std::size_t lost = 0; lost < whole.size(); ++lost) {
        pool = whole;
        pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(lost));
        auto best = pool;
        for (PlacedUpstream& one : best) {
          one.layers = {};
        }
        Carry(best, planner.Plan(model, {best, ObservedDemand{demand, 0}, {}}));
        CPPUNIT_ASSERT(this->Settle(demand, 40) <= 12);
        CPPUNIT_ASSERT(this->WorthOf(pool, demand) >=
                       0.9 * this->WorthOf(best, demand));
      }
    }
  }

  /// What the layout of one domain is worth at that demand.
  double WorthOf(const std::vector<PlacedUpstream>& aPool,
                 double aDemand) const {
    const LayoutScoreSettings settings;
    return DomainLayout(model, settings, aDemand, aPool).Score().value;
  }

  void Plan_ChangeToServeBetter_KeepsEachLayerHeld() {
    Carry(pool, planner.Plan(model, {pool, ObservedDemand{120'000, 0}, {}}));
    for (int step = 0; step < 40; ++step) {
      const auto orders = planner.Plan(model, Steady(pool, 360'000));
      for (const PlacementOrder& order : orders) {
        auto meanwhile = pool;
        for (PlacedUpstream& one : meanwhile) {
          if (one.id == order.id) {
            const LayerRange stays{
                std::max(one.layers.first, order.layers.first),
                std::min(one.layers.last, order.layers.last)};
            one.layers = stays.Size() > 0 ? stays : LayerRange{};
          }
        }
        for (const char* domain : {"a", "b", "c"}) {
          CPPUNIT_ASSERT_EQUAL(0, Uncovered(meanwhile, domain, model.layers));
        }
      }
      Carry(pool, orders);
    }
  }

  void Plan_OrderUnderWay_ChangesNothingElse() {
    Carry(pool, planner.Plan(model, {pool, ObservedDemand{120'000, 0}, {}}));
    CPPUNIT_ASSERT(!planner.Plan(model, Steady(pool, 360'000)).empty());
    for (const char* domain : {"a", "b", "c"}) {
      std::find_if(pool.begin(), pool.end(), [&](const auto& aOne) {
        return aOne.failureDomain == domain;
      })->acceptsOrders = false;
    }
    CPPUNIT_ASSERT(planner.Plan(model, Steady(pool, 360'000)).empty());
  }

  void Plan_TooFewUpstreams_KeepsLessMemory() {
    auto small = Hall("a", 1, 1, 2, 1);
    Carry(small, planner.Plan(model, {small, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(0, Uncovered(small, "a", model.layers));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace
}  // namespace zincstep
