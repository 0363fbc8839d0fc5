#include <algorithm>
#include <chrono>
#include <cmath>

#include "PerformanceTests/BenchOutput.h"
#include "PerformanceTests/Policies.h"

namespace zincstep::bench {
namespace {

constexpr int kDeciders = 14;

using Seconds = std::chrono::duration<double>;

FlowPlan PlanOf(const Fleet& aFleet) {
  return ComputeFlowPlan(aFleet,
                         std::vector<double>(aFleet.replicas.size(), 1.0));
}

double WindowOf(const FlowPlan& aPlan) {
  double window = 0;
  for (const FlowPath& path : aPlan.paths) {
    window += path.window;
  }
  return window;
}

void MeasureThroughput() {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FleetShape shape;
    shape.seed = seed;
    const Fleet fleet = MakeBenchFleet(shape);
    const FlowPlan plan = PlanOf(fleet);
    const std::string suffix = ".seed" + std::to_string(seed);
    Print("plan.flow_over_upper_bound" + suffix,
          plan.tokensPerSecond / plan.upperBound, "ratio");
    Print("plan.upper_bound" + suffix, plan.upperBound, "tokens/s");
    RunSettings settings;
    settings.sequences = static_cast<int>(1.5 * WindowOf(plan));
    std::vector<std::unique_ptr<ChainPolicy>> policies;
    policies.push_back(MakePlannerPolicy(fleet, kDeciders, plan));
    policies.push_back(MakeLeastPolicy(fleet, kDeciders));
    policies.push_back(MakeRoundRobinPolicy(fleet, kDeciders));
    policies.push_back(MakeRandomPolicy(fleet, kDeciders));
    for (const auto& policy : policies) {
      const RunResult result = RunFleet(fleet, *policy, settings);
      Print("throughput_over_bound." + policy->Name() + suffix,
            result.tokensPerSecond / plan.upperBound, "ratio");
    }
  }
}

/// The busiest upstream against its fair share. Fair is by the plan's
/// windows, within each group of equal upstreams.
void MeasureHerd() {
  const Fleet fleet = MakeBenchFleet({});
  const FlowPlan plan = PlanOf(fleet);
  RunSettings settings;
  settings.sequences = static_cast<int>(0.8 * WindowOf(plan));
  const auto policy = MakePlannerPolicy(fleet, kDeciders, plan);
  const RunResult result = RunFleet(fleet, *policy, settings);
  double worst = 0;
  for (const FlowGroup& group : plan.groups) {
    double all = 0;
    double most = 0;
    for (const int member : group.members) {
      const double mean =
          result.meanSequences[static_cast<std::size_t>(member)];
      all += mean;
      most = std::max(most, mean);
    }
    const double fair = all / static_cast<double>(group.members.size());
    // Below a handful of sequences a ratio only shows whole numbers.
    if (fair >= 5) {
      worst = std::max(worst, most / fair);
    }
  }
  Print("herd.busiest_over_fair.14_deciders_1s_reports", worst, "ratio");
}

void MeasureChoiceCost() {
  constexpr int kRounds = 4000;
  for (const int replicas : {34, 68, 170, 340, 680, 1700}) {
    FleetShape shape;
    shape.replicas = replicas;
    const Fleet fleet = MakeBenchFleet(shape);
    const auto planStart = std::chrono::steady_clock::now();
    const FlowPlan plan = PlanOf(fleet);
    const Seconds planTime = std::chrono::steady_clock::now() - planStart;
    ChainPlanner planner(fleet, {});
    planner.SetPlan(plan);
    planner.Loads().SetDaemons(kDeciders);
    Random random(3);
    ChainChoiceInput facts;
    facts.now = Instant{1s};
    std::vector<Chain> held;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds; ++i) {
      const Result<Choice> choice = planner.Choose(facts, random);
      planner.OnStart(choice->chain);
      held.push_back(choice->chain);
      if (held.size() > 82) {
        planner.OnEnd(held.front());
        held.erase(held.begin());
      }
    }
    const Seconds time = std::chrono::steady_clock::now() - start;
    const std::string suffix = "." + std::to_string(replicas);
    Print("choice.time" + suffix, time.count() / kRounds * 1e6, "us");
    Print("plan.time" + suffix, planTime.count() * 1e3, "ms");
    Print("plan.paths" + suffix, static_cast<double>(plan.paths.size()),
          "paths");
  }
}

}  // namespace
}  // namespace zincstep::bench

int main() {
  zincstep::bench::MeasureThroughput();
  zincstep::bench::MeasureHerd();
  zincstep::bench::MeasureChoiceCost();
  return 0;
}
