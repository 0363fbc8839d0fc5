#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>

#include "PerformanceTests/BenchOutput.h"
#include "Zincstep/Pool/DomainLayout.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep::bench {
namespace {

/// A pool of unequal accelerators.
struct PoolShape {
  int upstreams = 0;
  int domains = 0;
  /// Kinds, the largest first; small ones are many.
  int kinds = 0;

  std::string Name() const {
    return std::to_string(this->upstreams) + "_in_" +
           std::to_string(this->domains) + "_of_" +
           std::to_string(this->kinds) + "_kinds";
  }
};

constexpr PoolShape kPools[] = {{40, 3, 4},    {90, 3, 3},    {216, 5, 3},
                                {1000, 3, 3},  {1000, 25, 6}, {3000, 3, 3},
                                {3000, 25, 6}, {3000, 3, 1}};
/// Demand of a domain, as a share of what one copy leaves memory for.
constexpr double kDemandShare = 0.33;
/// Looks and moves after a loss are counted up to so many.
constexpr int kMostRounds = 200;

ModelShape BenchModel(int aKinds) {
  ModelShape model;
  model.layers = 80;
  model.layerMb = 1750;
  model.tokenMb = 0.59;
  model.stepTime = 1020us;
  model.usualPrompt = 772;
  model.usualAnswer = 250;
  model.loadTime = 14s;
  model.loadsAtOnce = 6;
  const std::vector<PoolKind> kinds = {
      {"a100", 72'000, 2.4, 3.2}, {"l40s", 43'200, 5.6, 2.7},
      {"l4", 21'600, 16, 8.2},    {"a10", 24'000, 12, 6},
      {"t4", 14'400, 15, 15},     {"h100", 80'000, 1.4, 1}};
  model.kinds.assign(kinds.begin(), kinds.begin() + aKinds);
  return model;
}

/// One of a hundred upstreams' kinds in a pool of so many kinds.
int KindOf(int aNumber, int aKinds) {
  constexpr int kShareOfLargest = 10;
  constexpr int kShareOfSecond = 35;
  const int part = aNumber % 100;
  if (aKinds == 1 || part < kShareOfLargest) {
    return 0;
  }
  if (aKinds == 2 || part < kShareOfLargest + kShareOfSecond) {
    return 1;
  }
  return 2 + part % (aKinds - 2);
}

std::vector<PlacedUpstream> MakePool(const PoolShape& aShape,
                                     const ModelShape& aModel) {
  std::vector<PlacedUpstream> pool;
  for (int i = 0; i < aShape.upstreams; ++i) {
    const int number = i / aShape.domains * 37;
    PlacedUpstream one;
    one.id = "i" + std::to_string(i);
    one.failureDomain = "d" + std::to_string(i % aShape.domains);
    one.kind =
        aModel.kinds[static_cast<std::size_t>(KindOf(number, aShape.kinds))]
            .name;
    pool.push_back(std::move(one));
  }
  return pool;
}

void Carry(std::vector<PlacedUpstream>& aPool,
           const std::vector<PlacementOrder>& aOrders) {
  std::map<std::string, LayerRange> ordered;
  for (const PlacementOrder& order : aOrders) {
    ordered[order.id] = order.layers;
  }
  for (PlacedUpstream& one : aPool) {
    const auto found = ordered.find(one.id);
    if (found != ordered.end()) {
      one.layers = found->second;
    }
  }
}

double MillisOf(const std::function<void()>& aRun) {
  const auto began = std::chrono::steady_clock::now();
  aRun();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - began)
      .count();
}

std::map<std::string, std::vector<PlacedUpstream>> ByDomain(
    const std::vector<PlacedUpstream>& aPool) {
  std::map<std::string, std::vector<PlacedUpstream>> domains;
  for (const PlacedUpstream& one : aPool) {
    domains[one.failureDomain].push_back(one);
  }
  return domains;
}

/// Tokens that the whole pool has memory for beside one copy a domain.
double RoomOf(const ModelShape& aModel,
              const std::vector<PlacedUpstream>& aPool) {
  double memory = 0;
  for (const PlacedUpstream& one : aPool) {
    memory += aModel.FindKind(one.kind)->memoryMb;
  }
  const auto copies = static_cast<double>(ByDomain(aPool).size());
  return (memory - copies * aModel.layers * aModel.layerMb) / aModel.tokenMb;
}

/// The mean worth of the domains' layouts, and how many layers lack a holder.
LayoutScore ScoreOf(const ModelShape& aModel,
                    const std::vector<PlacedUpstream>& aPool, double aDemand) {
  const LayoutScoreSettings settings;
  LayoutScore all;
  const auto domains = ByDomain(aPool);
  const auto count = static_cast<double>(domains.size());
  for (const auto& [domain, upstreams] : domains) {
    const LayoutScore one =
        DomainLayout(aModel, settings, aDemand / count, upstreams).Score();
    all.gaps += one.gaps;
    all.value += one.value / count;
  }
  return all;
}

PlacementInput SituationOf(const std::vector<PlacedUpstream>& aPool,
                           double aDemand) {
  PlacementInput situation;
  situation.upstreams = aPool;
  situation.demand = ObservedDemand{aDemand, 0};
  for (const auto& [domain, upstreams] : ByDomain(aPool)) {
    situation.stableDomains.insert(domain);
  }
  return situation;
}

void Measure(const PoolShape& aShape) {
  const ModelShape model = BenchModel(aShape.kinds);
  const PlacementPlanner planner{PlacementSettings{}};
  std::vector<PlacedUpstream> pool = MakePool(aShape, model);
  const double demand = kDemandShare * RoomOf(model, pool);
  const std::string suffix = "." + aShape.Name();

  std::vector<PlacementOrder> orders;
  const PlacementInput empty{pool, std::nullopt, {}, std::nullopt};
  Print("placement.first_layout" + suffix,
        MillisOf([&] { orders = planner.Plan(model, empty); }), "ms");
  Carry(pool, orders);
  const LayoutScore first = ScoreOf(model, pool, demand);
  Print("placement.gaps" + suffix, first.gaps, "layers");
  Print("placement.worth" + suffix, first.value, "share");

  PlacementInput look = SituationOf(pool, demand);
  look.domainToImprove = "d0";
  Print("placement.look_of_one_domain" + suffix,
        MillisOf([&] { orders = planner.Plan(model, look); }), "ms");

  // Each tenth is lost; what is left is brought to rest.
  std::vector<PlacedUpstream> rest;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    if (i % 10 != 7) {
      rest.push_back(pool[i]);
    }
  }
  int moves = 0;
  double millis = 0;
  for (int round = 0; round < kMostRounds; ++round) {
    millis += MillisOf(
        [&] { orders = planner.Plan(model, SituationOf(rest, demand)); });
    moves += static_cast<int>(orders.size());
    if (orders.empty()) {
      break;
    }
    Carry(rest, orders);
  }
  const LayoutScore after = ScoreOf(model, rest, demand);
  Print("placement.moves_after_a_tenth_is_lost" + suffix, moves, "orders");
  Print("placement.millis_after_a_tenth_is_lost" + suffix, millis, "ms");
  Print("placement.worth_after_a_tenth_is_lost" + suffix, after.value, "share");
}

}  // namespace
}  // namespace zincstep::bench

/// Times plans of unequal pools, up to as many upstreams as the argument says.
int main(int aCount, char** aValues) {
  const int most = aCount > 1 ? std::atoi(aValues[1]) : 3000;
  for (const auto& pool : zincstep::bench::kPools) {
    if (pool.upstreams <= most) {
      zincstep::bench::Measure(pool);
    }
  }
  return 0;
}
