#include "Zincstep/Pool/PlacementPlanner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Zincstep/Pool/DomainParts.h"
#include "Zincstep/Pool/EmptyDomain.h"

namespace zincstep {

namespace {

/// Sizes that are tried for an upstream, at most: those of large ones are
/// spread over what they may hold.
constexpr int kMostSizes = 16;
/// Layers by which a range is grown or shrunk at its ends.
constexpr int kMostShift = 3;
/// Requests that run at a part that is given up end within some seconds.
constexpr double kGivingUpSeconds = 3;
/// An order that gives nothing up takes a report and the order itself.
constexpr double kGrowingSeconds = 0.2;

/// Up to so many empty upstreams of a domain are laid out as a whole: the time
/// for that grows with more than their square.
constexpr std::size_t kMostAsWhole = 80;
/// Sizes of the parts in which more are laid out: a copy of the model takes
/// some five to twelve upstreams.
constexpr std::size_t kPartSizes[] = {12, 16, 24, 36};
/// Steps for each upstream of a part that its improvement may take.
constexpr std::uint64_t kPartStepsEach = 4'000;

/// What two ranges have in common; empty where that is nothing.
LayerRange Common(LayerRange aOne, LayerRange aOther) {
  const int first = std::max(aOne.first, aOther.first);
  const int last = std::min(aOne.last, aOther.last);
  return first < last ? LayerRange{first, last} : LayerRange{};
}

/// One upstream's change, and the score after it.
struct Move {
  std::size_t index = 0;
  LayerRange layers;
  LayoutScore score;
};

/// The layout of a part of a domain: a range for each of its upstreams.
struct PartPlan {
  std::vector<LayerRange> ranges;
  LayoutScore score;
};

/// Plans one failure domain.
class DomainPlan {
 public:
  DomainPlan(const ModelShape& aModel, const PlacementSettings& aSettings,
             DomainLayout aLayout)
      : model(aModel),
        settings(aSettings),
        mostSteps(aSettings.mostSteps),
        layout(std::move(aLayout)) {}

  std::vector<PlacementOrder> Make(bool aImproves, bool aIsSteady,
                                   std::uint64_t aTurn) {
    this->LayOut();
    this->PlaceEmpty();
    this->FillGaps();
    if (aImproves && this->orders.empty()) {
      this->Improve(aIsSteady, aTurn);
    }
    return std::move(this->orders);
  }

  /// Ranges for a part of a domain that holds nothing yet, one for each
  /// upstream; what is not loaded yet is changed at no cost.
  PartPlan MakePart(std::uint64_t aMostSteps) {
    this->mostSteps = aMostSteps;
    this->LayOutWhole();
    this->PlaceEmpty();
    this->FillGaps();
    this->Refine();
    PartPlan plan{{}, this->layout.Score()};
    for (const PlacedUpstream& one : this->layout.Upstreams()) {
      plan.ranges.push_back(one.layers);
    }
    return plan;
  }

  std::uint64_t Steps() const { return this->partSteps + this->layout.Steps(); }

 private:
  bool HasTimeLeft() const { return this->layout.Steps() < this->mostSteps; }

  bool IsEmpty(std::size_t aIndex) const {
    const PlacedUpstream& upstream = this->layout.At(aIndex);
    return upstream.layers.Size() == 0 && upstream.takesOrders;
  }

  void Order(std::size_t aIndex, LayerRange aRange, GiveUp aGiveUp) {
    this->layout.Set(aIndex, aRange);
    this->layout.SetOrdered(aIndex);
    this->orders.push_back({this->layout.At(aIndex).id, aRange, aGiveUp});
  }

  /// Lays out the upstreams that hold nothing: as a whole where nobody holds
  /// anything, in parts of the best size where they are many.
  void LayOut() {
    std::vector<std::size_t> empty;
    for (std::size_t i = 0; i < this->layout.Count(); ++i) {
      if (this->IsEmpty(i)) {
        empty.push_back(i);
      }
    }
    if (empty.size() > kMostAsWhole) {
      const std::size_t size = this->BestPartSize(empty);
      this->OrderAll(empty, this->PlanParts(empty, size));
    } else if (empty.size() == this->layout.Count()) {
      this->OrderAll(empty, LayOutEmptyDomain(this->model, this->layout));
    }
  }

  /// The size of parts that is worth most, judged by the first part of each.
  std::size_t BestPartSize(const std::vector<std::size_t>& aUpstreams) {
    std::size_t best = kPartSizes[0];
    LayoutScore bestScore{this->model.layers + 1, 0};
    for (const std::size_t size : kPartSizes) {
      const auto parts = SplitEvenly(this->layout, aUpstreams, size);
      const PartPlan plan = this->PlanPart(parts.front(), parts.size());
      if (plan.score.IsBetterThan(bestScore)) {
        best = size;
        bestScore = plan.score;
      }
    }
    return best;
  }

  /// The layout of a part that is not split any more.
  void LayOutWhole() {
    SetAll(this->layout, LayOutEmptyDomain(this->model, this->layout));
  }

  void OrderAll(const std::vector<std::size_t>& aUpstreams,
                const std::vector<LayerRange>& aRanges) {
    for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
      if (aRanges[i].Size() > 0) {
        this->Order(aUpstreams[i], aRanges[i], GiveUp::CutRequests);
      }
    }
  }

  /// Ranges for upstreams that hold nothing: in parts of about that size, each
  /// laid out as if the domain consisted of such parts, those of one
  /// composition alike.
  std::vector<LayerRange> PlanParts(const std::vector<std::size_t>& aUpstreams,
                                    std::size_t aPartSize) {
    const auto parts = SplitEvenly(this->layout, aUpstreams, aPartSize);
    std::map<std::string, std::vector<LayerRange>> known;
    std::map<std::size_t, LayerRange> ranges;
    for (const DomainPart& part : parts) {
      const auto [planned, isNew] =
          known.try_emplace(CompositionOf(this->layout, part));
      if (isNew) {
        planned->second = this->PlanPart(part, parts.size()).ranges;
      }
      for (std::size_t i = 0; i < part.size(); ++i) {
        ranges[part[i]] = planned->second[i];
      }
    }
    std::vector<LayerRange> inOrder;
    for (const std::size_t upstream : aUpstreams) {
      inOrder.push_back(ranges.at(upstream));
    }
    return inOrder;
  }

  /// Plans one of so many parts.
  PartPlan PlanPart(const DomainPart& aPart, std::size_t aParts) {
    std::vector<PlacedUpstream> upstreams;
    double memory = 0;
    for (const std::size_t index : aPart) {
      upstreams.push_back(this->layout.At(index));
      memory += this->layout.MemoryOf(index);
    }
    const int times = static_cast<int>(aParts);
    const double all = this->AllMemory();
    const double share = all > 0 ? std::min(1.0, times * memory / all) : 0;
    DomainPlan plan(this->model, this->settings,
                    DomainLayout(this->model, this->settings.worth,
                                 this->layout.Demand() * share,
                                 std::move(upstreams), times));
    PartPlan made = plan.MakePart(kPartStepsEach * aPart.size());
    this->partSteps += plan.Steps();
    return made;
  }

  double AllMemory() const {
    double memory = 0;
    for (std::size_t i = 0; i < this->layout.Count(); ++i) {
      memory += this->layout.MemoryOf(i);
    }
    return memory;
  }

  /// One upstream of each class: what is tried with it stands for all.
  std::vector<std::size_t> Representatives() const {
    std::vector<bool> isSeen(this->layout.ClassBound());
    std::vector<std::size_t> upstreams;
    for (std::size_t i = 0; i < this->layout.Count(); ++i) {
      if (!isSeen[this->layout.ClassOf(i)]) {
        isSeen[this->layout.ClassOf(i)] = true;
        upstreams.push_back(i);
      }
    }
    return upstreams;
  }

  /// The same of those that may be changed.
  std::vector<std::size_t> Changeable() const {
    std::vector<bool> isSeen(this->layout.ClassBound());
    std::vector<std::size_t> upstreams;
    for (std::size_t i = 0; i < this->layout.Count(); ++i) {
      const std::size_t own = this->layout.ClassOf(i);
      if (this->MayChange(i) && !isSeen[own]) {
        isSeen[own] = true;
        upstreams.push_back(i);
      }
    }
    return upstreams;
  }

  void AddRange(std::vector<LayerRange>& aRanges, std::size_t aIndex,
                LayerRange aRange) const {
    const bool isInside = aRange.first >= 0 &&
                          aRange.last <= this->model.layers &&
                          aRange.Size() > 0;
    if (isInside && aRange.Size() <= this->layout.MostLayers(aIndex)) {
      aRanges.push_back(aRange);
    }
  }

  /// Layers at which an upstream's range begins or ends.
  std::vector<int> Edges() const {
    std::vector<int> edges{0, this->model.layers};
    for (const PlacedUpstream& upstream : this->layout.Upstreams()) {
      if (upstream.layers.Size() > 0) {
        edges.push_back(upstream.layers.first);
        edges.push_back(upstream.layers.last);
      }
    }
    std::sort(edges.begin(), edges.end());
    edges.erase(std::unique(edges.begin(), edges.end()), edges.end());
    return edges;
  }

  /// Ranges for an upstream that begin or end at one of `aEdges`.
  std::vector<LayerRange> RangesAt(std::size_t aIndex,
                                   const std::vector<int>& aEdges) const {
    std::vector<LayerRange> ranges;
    const int most = this->layout.MostLayers(aIndex);
    const int fewest = std::min(most, FewestLayers(this->model));
    const int step = std::max(1, (most - fewest) / kMostSizes);
    for (int size = most; size >= fewest && size > 0; size -= step) {
      for (const int edge : aEdges) {
        this->AddRange(ranges, aIndex, {edge, edge + size});
        this->AddRange(ranges, aIndex, {edge - size, edge});
      }
    }
    return ranges;
  }

  /// Its own range with either end moved a little.
  std::vector<LayerRange> RangesNear(std::size_t aIndex) const {
    std::vector<LayerRange> ranges;
    const LayerRange own = this->layout.At(aIndex).layers;
    for (int first = -kMostShift; first <= kMostShift; ++first) {
      for (int last = -kMostShift; last <= kMostShift; ++last) {
        const LayerRange range{own.first + first, own.last + last};
        if (range != own && range.Size() >= FewestLayers(this->model)) {
          this->AddRange(ranges, aIndex, range);
        }
      }
    }
    return ranges;
  }

  /// The change of an upstream to one of `aRanges` with the best score.
  Move BestOf(std::size_t aIndex, const std::vector<LayerRange>& aRanges) {
    Move best{aIndex, {}, {this->model.layers + 1, 0}};
    for (const LayerRange& range : aRanges) {
      const LayoutScore score = this->layout.ScoreWith(aIndex, range);
      if (score.IsBetterThan(best.score)) {
        best.layers = range;
        best.score = score;
      }
    }
    return best;
  }

  /// Gives each empty upstream the range that adds most.
  void PlaceEmpty() {
    for (std::size_t i = 0; i < this->layout.Count(); ++i) {
      if (!this->HasTimeLeft()) {
        return;  // The next look goes on.
      }
      if (!this->IsEmpty(i)) {
        continue;
      }
      const Move best = this->BestOf(i, this->RangesAt(i, this->Edges()));
      if (best.layers.Size() > 0) {
        this->Order(i, best.layers, GiveUp::CutRequests);
      }
    }
  }

  /// Ranges for an upstream that cover a gap or a part of it.
  std::vector<LayerRange> RangesFor(std::size_t aIndex, LayerRange aGap) const {
    auto ranges = this->RangesAt(aIndex, {aGap.first, aGap.last});
    const LayerRange own = this->layout.At(aIndex).layers;
    const int most = this->layout.MostLayers(aIndex);
    if (this->layout.Times() == 1) {
      // The last of a gap may be smaller than upstreams usually are; repeated
      // in each part that would make many chains longer.
      this->AddRange(ranges, aIndex,
                     {aGap.first, std::min(aGap.last, aGap.first + most)});
    }
    // It may keep its own, and with them the requests that run there.
    this->AddRange(ranges, aIndex,
                   {own.first, std::min(aGap.last, own.first + most)});
    this->AddRange(ranges, aIndex,
                   {std::max(aGap.first, own.last - most), own.last});
    return ranges;
  }

  /// The change that closes most of a gap; of equal ones, what costs least.
  Move BestFor(LayerRange aGap) {
    Move best;
    best.score = this->layout.Score();
    for (const std::size_t i : this->Changeable()) {
      Move move = this->BestOf(i, this->RangesFor(i, aGap));
      move.score.worth -= this->CostOf(i, move.layers);
      if (move.score.IsBetterThan(best.score)) {
        best = move;
      }
    }
    return best;
  }

  /// Moves upstreams, or grows them, into layers that nobody holds.
  void FillGaps() {
    int from = 0;
    while (true) {
      const LayerRange gap = this->layout.FirstGap(from);
      if (gap.Size() == 0) {
        return;
      }
      const int gaps = this->layout.Score().gaps;
      const Move best = this->BestFor(gap);
      if (best.score.gaps >= gaps) {
        from = gap.last;
        continue;
      }
      this->Order(best.index, best.layers, GiveUp::CutRequests);
    }
  }

  /// What it costs to change an upstream, as a share of the demand that is
  /// served over the time in which that has to pay: until it is done the domain
  /// has only the layers that stay.
  double CostOf(std::size_t aIndex, LayerRange aLayers) {
    const LayerRange own = this->layout.At(aIndex).layers;
    const LayerRange stays = Common(own, aLayers);
    const LayoutScore now = this->layout.Score();
    const LayoutScore meanwhile = this->layout.ScoreWith(aIndex, stays);
    const double lost = meanwhile.gaps > now.gaps
                            ? 1
                            : std::max(0.0, now.worth - meanwhile.worth);
    const double loading = ToSeconds(this->model.loadTime) *
                           (aLayers.Size() - stays.Size()) / this->model.layers;
    const double givingUp =
        stays.Size() < own.Size() ? kGivingUpSeconds : kGrowingSeconds;
    return lost * (loading + givingUp) / this->settings.horizonSeconds;
  }

  bool MayChange(std::size_t aIndex) const {
    const PlacedUpstream& upstream = this->layout.At(aIndex);
    return upstream.takesOrders && upstream.layers.Size() > 0;
  }

  /// Whether another upstream of the domain is being changed.
  bool IsChanging() const {
    const auto& upstreams = this->layout.Upstreams();
    return std::any_of(
        upstreams.begin(), upstreams.end(),
        [](const PlacedUpstream& aOne) { return !aOne.takesOrders; });
  }

  /// Changes one upstream after the other while that adds to the worth.
  void Refine() {
    const std::vector<int> edges = this->Edges();
    bool isBetter = true;
    while (isBetter && this->HasTimeLeft()) {
      Move best;
      best.score = this->layout.Score();
      best.score.worth += this->settings.leastGain;
      for (const std::size_t i : this->Representatives()) {
        const Move move = this->BestOf(i, this->RangesAt(i, edges));
        best = move.score.IsBetterThan(best.score) ? move : best;
      }
      isBetter = best.layers.Size() > 0;
      if (isBetter) {
        this->layout.Set(best.index, best.layers);
      }
    }
  }

  /// Changes one upstream where that serves more than it costs. While anything
  /// else changes, upstreams only grow, which takes nothing away.
  void Improve(bool aIsSteady, std::uint64_t aTurn) {
    const LayoutScore present = this->layout.Score();
    // Nothing is worth more than serving all without any loss.
    const double most = 1;
    if (present.gaps > 0 || present.worth + this->settings.leastGain >= most) {
      return;
    }
    const bool onlyGrows = !aIsSteady || this->IsChanging();
    Move best;
    best.score = present;
    best.score.worth += this->settings.leastGain;
    const std::vector<int> edges = this->Edges();
    std::vector<std::size_t> upstreams = this->Changeable();
    std::rotate(upstreams.begin(),
                upstreams.begin() +
                    static_cast<std::ptrdiff_t>(aTurn % (upstreams.size() + 1)),
                upstreams.end());
    for (const std::size_t i : upstreams) {
      if (!this->HasTimeLeft()) {
        break;
      }
      this->ConsiderRanges(best, i, edges, onlyGrows);
      if (!onlyGrows) {
        this->ConsiderShifts(best, i, upstreams);
      }
    }
    if (best.layers.Size() > 0) {
      this->Order(best.index, best.layers, GiveUp::WaitForRequests);
    }
  }

  void ConsiderRanges(Move& aBest, std::size_t aIndex,
                      const std::vector<int>& aEdges, bool aOnlyGrows) {
    const LayerRange own = this->layout.At(aIndex).layers;
    std::vector<LayerRange> ranges = this->RangesAt(aIndex, aEdges);
    const auto near = this->RangesNear(aIndex);
    ranges.insert(ranges.end(), near.begin(), near.end());
    for (const LayerRange& range : ranges) {
      if (!aOnlyGrows || range.Covers(own)) {
        this->Consider(aBest, aIndex, range);
      }
    }
  }

  void Consider(Move& aBest, std::size_t aIndex, LayerRange aRange) {
    LayoutScore score = this->layout.ScoreWith(aIndex, aRange);
    if (score.IsBetterThan(aBest.score)) {
      score.worth -= this->CostOf(aIndex, aRange);
      if (score.IsBetterThan(aBest.score)) {
        aBest = {aIndex, aRange, score};
      }
    }
  }

  /// Moves of the boundary between an upstream and the one behind it: the one
  /// grows first; the other is then better off with less.
  void ConsiderShifts(Move& aBest, std::size_t aIndex,
                      const std::vector<std::size_t>& aChangeable) {
    const LayerRange own = this->layout.At(aIndex).layers;
    for (const std::size_t next : aChangeable) {
      const LayerRange other = this->layout.At(next).layers;
      const bool isNext = next != aIndex && other.first == own.last;
      for (int shift = 1; isNext && shift <= kMostShift; ++shift) {
        this->ConsiderShift(aBest, aIndex, {own.first, own.last + shift}, next,
                            {other.first + shift, other.last});
        this->ConsiderShift(aBest, next, {other.first - shift, other.last},
                            aIndex, {own.first, own.last - shift});
      }
    }
  }

  void ConsiderShift(Move& aBest, std::size_t aGrowing, LayerRange aGrown,
                     std::size_t aShrinking, LayerRange aShrunk) {
    const int fewest = FewestLayers(this->model);
    if (aGrown.Size() > this->layout.MostLayers(aGrowing) ||
        aShrunk.Size() < fewest) {
      return;
    }
    const LayerRange before = this->layout.At(aShrinking).layers;
    const double cost =
        this->CostOf(aGrowing, aGrown) + this->CostOf(aShrinking, aShrunk);
    this->layout.Set(aShrinking, aShrunk);
    LayoutScore score = this->layout.ScoreWith(aGrowing, aGrown);
    this->layout.Set(aShrinking, before);
    score.worth -= cost;
    if (score.IsBetterThan(aBest.score)) {
      aBest = {aGrowing, aGrown, score};
    }
  }

  const ModelShape& model;
  const PlacementSettings& settings;
  /// See `PlacementSettings::mostSteps`.
  std::uint64_t mostSteps;
  DomainLayout layout;
  std::vector<PlacementOrder> orders;
  /// What the plans of parts have cost.
  std::uint64_t partSteps = 0;
};

/// Tokens of requests that one copy of the model leaves memory for.
double RoomBesideOneCopy(const ModelShape& aModel,
                         const std::vector<PlacedUpstream>& aUpstreams) {
  double memory = -aModel.layers * aModel.layerMb;
  for (const PlacedUpstream& upstream : aUpstreams) {
    const PoolKind* kind = aModel.FindKind(upstream.kind);
    memory += kind == nullptr ? 0 : kind->memoryMb;
  }
  return aModel.tokenMb > 0 ? std::max(0.0, memory / aModel.tokenMb) : 0;
}

}  // namespace

std::vector<PlacementOrder> PlacementPlanner::Plan(
    const ModelShape& aModel, const PlacementSituation& aSituation,
    PlanEffort* aEffort) const {
  std::map<std::string, std::vector<PlacedUpstream>> byDomain;
  for (const PlacedUpstream& upstream : aSituation.upstreams) {
    byDomain[upstream.failureDomain].push_back(upstream);
  }
  std::map<std::string, double> rooms;
  double allRoom = 0;
  for (const auto& [domain, upstreams] : byDomain) {
    rooms[domain] = RoomBesideOneCopy(aModel, upstreams);
    allRoom += rooms[domain];
  }
  std::vector<PlacementOrder> orders;
  for (auto& [domain, upstreams] : byDomain) {
    // Requests go where there is room for them.
    const double room = rooms[domain];
    const ObservedDemand seen = aSituation.demand.value_or(ObservedDemand{});
    const double demand =
        std::max(allRoom > 0 ? seen.tokens * room / allRoom : 0,
                 seen.priorLeft * this->settings.priorShare * room);
    DomainPlan plan(aModel, this->settings,
                    DomainLayout(aModel, this->settings.worth, demand,
                                 std::move(upstreams)));
    const bool improves =
        !aSituation.onlyImproved || *aSituation.onlyImproved == domain;
    const auto made = plan.Make(
        improves, aSituation.steadyDomains.contains(domain), aSituation.turn);
    orders.insert(orders.end(), made.begin(), made.end());
    if (aEffort != nullptr) {
      aEffort->steps += plan.Steps();
    }
  }
  return orders;
}

}  // namespace zincstep
