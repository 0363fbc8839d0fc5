#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>

#include "PerformanceTests/BenchOutput.h"
#include "Zincstep/Pool/DomainLayout.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep::bench {
namespace {

/// Size of a pool of mixed accelerators.
struct PoolShape {
  int upstreams = 0;
  int domains = 0;
  /// Number of accelerator kinds, in the order of `BenchModel`: the first, with
  /// much memory, is rare; the small ones are common.
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
/// Demand as a share of the tokens that fit into the memory beside one
/// copy of the model per domain.
constexpr double kDemandShare = 0.33;
/// Maximum planning rounds after a loss.
constexpr int kMaxRounds = 200;

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

/// Returns the index of an upstream's kind in a pool of `aKinds` kinds. Of each
/// 100 upstreams, 10 are of the first kind and 35 of the second.
int SelectKind(int aNumber, int aKinds) {
  constexpr int kFirstKindPercent = 10;
  constexpr int kSecondKindPercent = 35;
  const int percentile = aNumber % 100;
  if (aKinds == 1 || percentile < kFirstKindPercent) {
    return 0;
  }
  if (aKinds == 2 || percentile < kFirstKindPercent + kSecondKindPercent) {
    return 1;
  }
  return 2 + percentile % (aKinds - 2);
}

std::vector<PlacedUpstream> MakePool(const PoolShape& aShape,
                                     const ModelShape& aModel) {
  std::vector<PlacedUpstream> pool;
  for (int i = 0; i < aShape.upstreams; ++i) {
    const int number = i / aShape.domains * 37;
    PlacedUpstream upstream;
    upstream.id = "i" + std::to_string(i);
    upstream.failureDomain = "d" + std::to_string(i % aShape.domains);
    upstream.kind =
        aModel.kinds[static_cast<std::size_t>(SelectKind(number, aShape.kinds))]
            .name;
    pool.push_back(std::move(upstream));
  }
  return pool;
}

/// Applies the orders to the pool.
void ApplyOrders(std::vector<PlacedUpstream>& aPool,
                 const std::vector<PlacementOrder>& aOrders) {
  std::map<std::string, LayerRange> ordered;
  for (const PlacementOrder& order : aOrders) {
    ordered[order.id] = order.layers;
  }
  for (PlacedUpstream& upstream : aPool) {
    const auto found = ordered.find(upstream.id);
    if (found != ordered.end()) {
      upstream.layers = found->second;
    }
  }
}

double MeasureMillis(const std::function<void()>& aRun) {
  const auto start = std::chrono::steady_clock::now();
  aRun();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

std::map<std::string, std::vector<PlacedUpstream>> GroupByDomain(
    const std::vector<PlacedUpstream>& aPool) {
  std::map<std::string, std::vector<PlacedUpstream>> domains;
  for (const PlacedUpstream& upstream : aPool) {
    domains[upstream.failureDomain].push_back(upstream);
  }
  return domains;
}

/// Returns how many tokens fit into the pool's memory beside one copy of
/// the model per domain.
double ComputeFreeTokens(const ModelShape& aModel,
                         const std::vector<PlacedUpstream>& aPool) {
  double memory = 0;
  for (const PlacedUpstream& upstream : aPool) {
    memory += aModel.FindKind(upstream.kind)->memoryMb;
  }
  const auto copies = static_cast<double>(GroupByDomain(aPool).size());
  return (memory - copies * aModel.layers * aModel.layerMb) / aModel.tokenMb;
}

/// Returns the mean score of the domains' layouts and the number of layers that
/// no upstream holds.
LayoutScore ComputeScore(const ModelShape& aModel,
                         const std::vector<PlacedUpstream>& aPool,
                         double aDemand) {
  const LayoutScoreSettings settings;
  LayoutScore mean;
  const auto domains = GroupByDomain(aPool);
  const auto count = static_cast<double>(domains.size());
  for (const auto& [domain, upstreams] : domains) {
    const LayoutScore score =
        DomainLayout(aModel, settings, aDemand / count, upstreams).Score();
    mean.gaps += score.gaps;
    mean.value += score.value / count;
  }
  return mean;
}

PlacementInput MakeInput(const std::vector<PlacedUpstream>& aPool,
                         double aDemand) {
  PlacementInput input;
  input.upstreams = aPool;
  input.demand = ObservedDemand{aDemand, 0};
  for (const auto& [domain, upstreams] : GroupByDomain(aPool)) {
    input.stableDomains.insert(domain);
  }
  return input;
}

void Measure(const PoolShape& aShape) {
  const ModelShape model = BenchModel(aShape.kinds);
  const PlacementPlanner planner{PlacementSettings{}};
  std::vector<PlacedUpstream> pool = MakePool(aShape, model);
  const double demand = kDemandShare * ComputeFreeTokens(model, pool);
  const std::string suffix = "." + aShape.Name();

  std::vector<PlacementOrder> orders;
  const PlacementInput empty{pool, std::nullopt, {}, std::nullopt};
  Print("placement.first_layout" + suffix,
        MeasureMillis([&] { orders = planner.Plan(model, empty); }), "ms");
  ApplyOrders(pool, orders);
  const LayoutScore first = ComputeScore(model, pool, demand);
  Print("placement.gaps" + suffix, first.gaps, "layers");
  Print("placement.worth" + suffix, first.value, "share");

  PlacementInput input = MakeInput(pool, demand);
  input.domainToImprove = "d0";
  Print("placement.look_of_one_domain" + suffix,
        MeasureMillis([&] { orders = planner.Plan(model, input); }), "ms");

  // One upstream in ten is lost; the planner runs until it has no more orders.
  std::vector<PlacedUpstream> remaining;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    if (i % 10 != 7) {
      remaining.push_back(pool[i]);
    }
  }
  int moves = 0;
  double millis = 0;
  for (int round = 0; round < kMaxRounds; ++round) {
    millis += MeasureMillis(
        [&] { orders = planner.Plan(model, MakeInput(remaining, demand)); });
    moves += static_cast<int>(orders.size());
    if (orders.empty()) {
      break;
    }
    ApplyOrders(remaining, orders);
  }
  const LayoutScore after = ComputeScore(model, remaining, demand);
  Print("placement.moves_after_a_tenth_is_lost" + suffix, moves, "orders");
  Print("placement.millis_after_a_tenth_is_lost" + suffix, millis, "ms");
  Print("placement.worth_after_a_tenth_is_lost" + suffix, after.value, "share");
}

}  // namespace
}  // namespace zincstep::bench

/// Measures plans of mixed pools. The optional argument is the maximum number
/// of upstreams of a pool.
int main(int aArgumentCount, char** aArguments) {
  const int maxUpstreams = aArgumentCount > 1 ? std::atoi(aArguments[1]) : 3000;
  for (const auto& pool : zincstep::bench::kPools) {
    if (pool.upstreams <= maxUpstreams) {
      zincstep::bench::Measure(pool);
    }
  }
  return 0;
}
