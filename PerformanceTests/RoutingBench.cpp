#include <algorithm>
#include <chrono>
#include <cmath>

#include "PerformanceTests/BenchOutput.h"
#include "PerformanceTests/Policies.h"

namespace zincstep::bench {
namespace {

constexpr int kDeciders = 14;

using Seconds = std::chrono::duration<double>;

FlowPlan MakePlan(const Fleet& aFleet) {
  return ComputeFlowPlan(aFleet,
                         std::vector<double>(aFleet.replicas.size(), 1.0));
}

double SumWindows(const FlowPlan& aPlan) {
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
    const FlowPlan plan = MakePlan(fleet);
    const std::string suffix = ".seed" + std::to_string(seed);
    Print("plan.flow_over_upper_bound" + suffix,
          plan.tokensPerSecond / plan.upperBound, "ratio");
    Print("plan.upper_bound" + suffix, plan.upperBound, "tokens/s");
    RunSettings settings;
    settings.sequences = static_cast<int>(1.5 * SumWindows(plan));
    std::vector<std::unique_ptr<ChainPolicy>> policies;
    policies.push_back(MakePlannerPolicy(fleet, kDeciders, plan));
    policies.push_back(MakeLeastOutstandingPolicy(fleet, kDeciders));
    policies.push_back(MakeRoundRobinPolicy(fleet, kDeciders));
    policies.push_back(MakeRandomPolicy(fleet, kDeciders));
    for (const auto& policy : policies) {
      const RunResult result = RunFleet(fleet, *policy, settings);
      Print("throughput_over_bound." + policy->Name() + suffix,
            result.tokensPerSecond / plan.upperBound, "ratio");
    }
  }
}

/// Measures the load of the busiest upstream over its fair share: the mean of
/// its group of equal upstreams. The plan's windows divide the load among the
/// groups.
void MeasureHerd() {
  const Fleet fleet = MakeBenchFleet({});
  const FlowPlan plan = MakePlan(fleet);
  RunSettings settings;
  settings.sequences = static_cast<int>(0.8 * SumWindows(plan));
  const auto policy = MakePlannerPolicy(fleet, kDeciders, plan);
  const RunResult result = RunFleet(fleet, *policy, settings);
  double worst = 0;
  for (const FlowGroup& group : plan.groups) {
    double total = 0;
    double maxMean = 0;
    for (const int member : group.members) {
      const double mean =
          result.meanSequences[static_cast<std::size_t>(member)];
      total += mean;
      maxMean = std::max(maxMean, mean);
    }
    const double fairShare = total / static_cast<double>(group.members.size());
    // Below 5 sequences, rounding to whole sequences dominates the ratio.
    if (fairShare >= 5) {
      worst = std::max(worst, maxMean / fairShare);
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
    const FlowPlan plan = MakePlan(fleet);
    const Seconds planTime = std::chrono::steady_clock::now() - planStart;
    ChainPlanner planner(fleet, {});
    planner.SetPlan(plan);
    planner.Loads().SetDaemons(kDeciders);
    Random random(3);
    ChainChoiceInput input;
    input.now = Instant{1s};
    std::vector<Chain> activeChains;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds; ++i) {
      const Result<Choice> choice = planner.Choose(input, random);
      planner.OnStart(choice->chain);
      activeChains.push_back(choice->chain);
      if (activeChains.size() > 82) {
        planner.OnEnd(activeChains.front());
        activeChains.erase(activeChains.begin());
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
