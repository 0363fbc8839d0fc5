#include "Zincstep/Routing/FlowPlan.h"

#include <coin/ClpSimplex.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

#include "Zincstep/Routing/LayeredSearch.h"

namespace zincstep {

namespace {

/// Added to each dual price; see `UpdatePrices`.
constexpr double kMinPrice = 1e-9;
/// Paths with less than this share of the total flow are dropped.
constexpr double kMinPathShare = 1e-3;

std::vector<FlowGroup> MakeGroups(const Fleet& aFleet,
                                  const std::vector<double>& aUsableShares) {
  using Key = std::tuple<int, int, int, int>;
  std::map<Key, FlowGroup> groups;
  for (std::size_t i = 0; i < aFleet.replicas.size(); ++i) {
    const FleetReplica& replica = aFleet.replicas[i];
    const Key key{replica.layers.first, replica.layers.last, replica.kind,
                  replica.domain};
    FlowGroup& group = groups[key];
    group.layers = replica.layers;
    group.kind = replica.kind;
    group.domain = replica.domain;
    group.layerSeconds = replica.layerSeconds;
    group.slots = replica.slots;
    group.members.push_back(static_cast<int>(i));
    group.usableMembers += aUsableShares[i];
  }
  std::vector<FlowGroup> list;
  for (auto& [key, group] : groups) {
    list.push_back(std::move(group));
  }
  return list;
}

/// Time that one token of a path uses of one resource, in seconds.
struct ResourceUse {
  int resource = 0;
  double seconds = 0;
};

/// One column of the linear program: a path and its resource uses.
struct Column {
  std::vector<SearchHop> hops;
  std::vector<ResourceUse> uses;
};

/// State of one computation: the linear program and its columns so far.
class FlowSolver {
 public:
  FlowSolver(const Fleet& aFleet, FlowPlan& aPlan,
             const FlowPlanSettings& aSettings)
      : fleet(aFleet), plan(aPlan), settings(aSettings) {
    this->firstLink = static_cast<int>(this->plan.groups.size());
    this->rows = this->firstLink + aFleet.domains * aFleet.domains;
    for (const FlowGroup& group : this->plan.groups) {
      SearchItem item;
      item.layers = group.layers;
      item.domain = group.domain;
      item.usable = group.usableMembers > 0;
      this->items.push_back(item);
    }
    this->search.Reset(this->items, aFleet.domains);
    this->prices.assign(static_cast<std::size_t>(this->rows), 1.0);
    this->program.setLogLevel(0);
    this->program.resize(this->rows, 0);
    for (int row = 0; row < this->rows; ++row) {
      this->program.setRowBounds(row, -COIN_DBL_MAX, 1.0);
    }
    this->program.setOptimizationDirection(-1);
  }

  void Run() {
    this->plan.upperBound = std::numeric_limits<double>::infinity();
    for (int round = 0; round < this->settings.maxRounds; ++round) {
      this->SetCosts();
      const LayerRange total{0, this->fleet.layers};
      if (!this->search.Find(this->items, total, -1)) {
        this->plan.upperBound = 0;
        return;
      }
      this->UpdateUpperBound();
      const double value =
          this->columns.empty() ? 0 : this->program.objectiveValue();
      if (value >= (1 - this->settings.tolerance) * this->plan.upperBound) {
        break;
      }
      this->AddColumn();
      this->program.primal(1);
      this->UpdatePrices();
    }
    this->Finish();
  }

 private:
  /// Time of the group that one layer of one token uses, in seconds.
  double LayerUse(const FlowGroup& aGroup) const {
    return aGroup.layerSeconds / (aGroup.slots * aGroup.usableMembers);
  }

  double LinkLimit(std::size_t aLink) const {
    return this->fleet.links[aLink].tokensPerSecond;
  }

  void SetCosts() {
    for (std::size_t i = 0; i < this->items.size(); ++i) {
      if (this->items[i].usable) {
        this->items[i].layerCost =
            this->prices[i] * this->LayerUse(this->plan.groups[i]);
      }
    }
    std::vector<double>& costs = this->search.LinkCosts();
    for (std::size_t i = 0; i < costs.size(); ++i) {
      const auto row = static_cast<std::size_t>(this->firstLink) + i;
      const double limit = this->LinkLimit(i);
      costs[i] = limit > 0 ? this->prices[row] / limit : 0;
    }
  }

  /// By weak duality the flow is at most (sum of prices) / (cheapest path).
  void UpdateUpperBound() {
    double sum = 0;
    for (std::size_t i = 0; i < this->prices.size(); ++i) {
      const bool isGroup = i < this->items.size();
      const bool isBounded = isGroup
                                 ? this->items[i].usable
                                 : this->LinkLimit(i - this->items.size()) > 0;
      sum += isBounded ? this->prices[i] : 0;
    }
    if (this->search.Cost() > 0) {
      this->plan.upperBound =
          std::min(this->plan.upperBound, sum / this->search.Cost());
    }
  }

  std::vector<ResourceUse> ComputeUses(
      const std::vector<SearchHop>& aHops) const {
    std::map<int, double> seconds;
    int domain = -1;
    for (const SearchHop& hop : aHops) {
      const FlowGroup& group =
          this->plan.groups[static_cast<std::size_t>(hop.item)];
      seconds[hop.item] += this->LayerUse(group) * hop.layers.Size();
      const int link = domain * this->fleet.domains + group.domain;
      const double limit =
          domain < 0 ? 0 : this->LinkLimit(static_cast<std::size_t>(link));
      if (limit > 0) {
        seconds[this->firstLink + link] += 1 / limit;
      }
      domain = group.domain;
    }
    std::vector<ResourceUse> uses;
    for (const auto& [resource, use] : seconds) {
      uses.push_back({resource, use});
    }
    return uses;
  }

  void AddColumn() {
    Column column{this->search.Hops(), this->ComputeUses(this->search.Hops())};
    std::vector<int> indices;
    std::vector<double> values;
    for (const ResourceUse& use : column.uses) {
      indices.push_back(use.resource);
      values.push_back(use.seconds);
    }
    this->program.addColumn(static_cast<int>(indices.size()), indices.data(),
                            values.data(), 0.0, COIN_DBL_MAX, 1.0);
    this->columns.push_back(std::move(column));
  }

  void UpdatePrices() {
    const double* duals = this->program.dualRowSolution();
    for (std::size_t i = 0; i < this->prices.size(); ++i) {
      // A minimum price breaks ties between paths through resources that no
      // column uses yet.
      this->prices[i] = std::abs(duals[i]) + kMinPrice;
    }
  }

  void Finish() {
    const double* flows = this->program.primalColumnSolution();
    const double total = this->program.objectiveValue();
    for (std::size_t i = 0; i < this->columns.size(); ++i) {
      if (flows[i] < kMinPathShare * total) {
        continue;
      }
      FlowPath path;
      path.tokensPerSecond = flows[i];
      for (const SearchHop& hop : this->columns[i].hops) {
        path.hops.push_back({hop.item, hop.layers});
      }
      this->ComputeStep(path);
      this->plan.tokensPerSecond += path.tokensPerSecond;
      this->plan.paths.push_back(std::move(path));
    }
    this->ComputeWindows();
  }

  void ComputeStep(FlowPath& aPath) const {
    int domain = -1;
    for (const FlowHop& hop : aPath.hops) {
      const FlowGroup& group =
          this->plan.groups[static_cast<std::size_t>(hop.group)];
      aPath.stepSeconds += group.layerSeconds * hop.layers.Size();
      if (domain >= 0) {
        aPath.stepSeconds +=
            this->fleet.LinkBetween(domain, group.domain).oneWaySeconds;
      }
      domain = group.domain;
    }
    aPath.window = aPath.tokensPerSecond * aPath.stepSeconds;
  }

  void ComputeWindows() {
    for (const FlowPath& path : this->plan.paths) {
      for (const FlowHop& hop : path.hops) {
        FlowGroup& group =
            this->plan.groups[static_cast<std::size_t>(hop.group)];
        group.memberWindow += path.window / group.usableMembers;
      }
    }
    const auto isFaster = [](const FlowPath& aLeft, const FlowPath& aRight) {
      return aLeft.stepSeconds < aRight.stepSeconds;
    };
    std::stable_sort(this->plan.paths.begin(), this->plan.paths.end(),
                     isFaster);
  }

  const Fleet& fleet;
  FlowPlan& plan;
  FlowPlanSettings settings;
  int firstLink = 0;
  int rows = 0;
  std::vector<SearchItem> items;
  LayeredSearch search;
  std::vector<double> prices;
  std::vector<Column> columns;
  ClpSimplex program;
};

}  // namespace

FlowPlan ComputeFlowPlan(const Fleet& aFleet,
                         const std::vector<double>& aUsableShares,
                         const FlowPlanSettings& aSettings) {
  ZINCSTEP_ASSERT(aUsableShares.size() == aFleet.replicas.size());
  FlowPlan plan;
  plan.groups = MakeGroups(aFleet, aUsableShares);
  if (plan.groups.empty() || aFleet.layers == 0) {
    return plan;
  }
  FlowSolver(aFleet, plan, aSettings).Run();
  return plan;
}

}  // namespace zincstep
