#include "Zincstep/Pool/DomainPlan.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

#include "Zincstep/Pool/EmptyDomain.h"

namespace zincstep {

namespace {

/// Maximum number of empty upstreams that are planned unsplit: the time grows
/// faster than the square of their number.
constexpr std::size_t kMaxUnsplit = 80;
/// Part sizes that are tried beyond that; one copy of the model takes five to
/// twelve upstreams.
constexpr std::size_t kPartSizes[] = {12, 16, 24, 36};
/// Step limit of a part's refinement, per upstream of the part.
constexpr std::uint64_t kPartStepsPerUpstream = 4'000;

}  // namespace

std::vector<PlacementOrder> DomainPlan::MakeOrders(bool aShouldImprove,
                                                   bool aIsStable,
                                                   std::uint64_t aPassNumber) {
  this->PlanInitial();
  this->PlaceEmpty();
  this->FillGaps();
  if (aShouldImprove && this->orders.empty()) {
    this->Improve(aIsStable, aPassNumber);
  }
  return std::move(this->orders);
}

PartPlan DomainPlan::MakePartPlan(std::uint64_t aMaxSteps) {
  this->maxSteps = aMaxSteps;
  this->PlanUnsplit();
  this->PlaceEmpty();
  this->FillGaps();
  this->Refine();
  PartPlan plan{{}, this->layout.Score()};
  for (const PlacedUpstream& one : this->layout.Upstreams()) {
    plan.ranges.push_back(one.layers);
  }
  return plan;
}

bool DomainPlan::IsEmpty(std::size_t aIndex) const {
  const PlacedUpstream& upstream = this->layout.At(aIndex);
  return upstream.layers.Size() == 0 && upstream.acceptsOrders;
}

void DomainPlan::Order(std::size_t aIndex, LayerRange aRange,
                       ReleaseMode aReleaseMode) {
  this->layout.Set(aIndex, aRange);
  this->layout.SetOrdered(aIndex);
  this->orders.push_back({this->layout.At(aIndex).id, aRange, aReleaseMode});
}

void DomainPlan::PlanInitial() {
  std::vector<std::size_t> empty;
  for (std::size_t i = 0; i < this->layout.Count(); ++i) {
    if (this->IsEmpty(i)) {
      empty.push_back(i);
    }
  }
  if (empty.size() > kMaxUnsplit) {
    const std::size_t size = this->BestPartSize(empty);
    this->OrderAll(empty, this->PlanParts(empty, size));
  } else if (empty.size() == this->layout.Count()) {
    this->OrderAll(empty, PlanEmptyDomain(this->model, this->layout));
  }
}

std::size_t DomainPlan::BestPartSize(
    const std::vector<std::size_t>& aUpstreams) {
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

void DomainPlan::PlanUnsplit() {
  SetAll(this->layout, PlanEmptyDomain(this->model, this->layout));
}

void DomainPlan::OrderAll(const std::vector<std::size_t>& aUpstreams,
                          const std::vector<LayerRange>& aRanges) {
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    if (aRanges[i].Size() > 0) {
      this->Order(aUpstreams[i], aRanges[i], ReleaseMode::AbortRequests);
    }
  }
}

std::vector<LayerRange> DomainPlan::PlanParts(
    const std::vector<std::size_t>& aUpstreams, std::size_t aPartSize) {
  const auto parts = SplitEvenly(this->layout, aUpstreams, aPartSize);
  std::map<std::string, std::vector<LayerRange>> plansByComposition;
  std::map<std::size_t, LayerRange> ranges;
  for (const DomainPart& part : parts) {
    const auto [planned, isNew] =
        plansByComposition.try_emplace(CompositionOf(this->layout, part));
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

PartPlan DomainPlan::PlanPart(const DomainPart& aPart, std::size_t aParts) {
  std::vector<PlacedUpstream> upstreams;
  double memory = 0;
  for (const std::size_t index : aPart) {
    upstreams.push_back(this->layout.At(index));
    memory += this->layout.MemoryOf(index);
  }
  const int multiplicity = static_cast<int>(aParts);
  const double total = this->TotalMemory();
  const double share =
      total > 0 ? std::min(1.0, multiplicity * memory / total) : 0;
  DomainPlan plan(this->model, this->settings,
                  DomainLayout(this->model, this->settings.layoutScore,
                               this->layout.Demand() * share,
                               std::move(upstreams), multiplicity));
  PartPlan partPlan = plan.MakePartPlan(kPartStepsPerUpstream * aPart.size());
  this->partSteps += plan.Steps();
  return partPlan;
}

double DomainPlan::TotalMemory() const {
  double memory = 0;
  for (std::size_t i = 0; i < this->layout.Count(); ++i) {
    memory += this->layout.MemoryOf(i);
  }
  return memory;
}

std::vector<std::size_t> DomainPlan::Representatives() const {
  return this->OneOfEachClass(false);
}

std::vector<std::size_t> DomainPlan::Changeable() const {
  return this->OneOfEachClass(true);
}

std::vector<std::size_t> DomainPlan::OneOfEachClass(
    bool aMustBeChangeable) const {
  constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
  std::vector<std::size_t> slotOf(this->layout.ClassBound(), kNone);
  std::vector<std::size_t> upstreams;
  for (std::size_t i = 0; i < this->layout.Count(); ++i) {
    if (aMustBeChangeable && !this->CanChange(i)) {
      continue;
    }
    std::size_t& slot = slotOf[this->layout.ClassOf(i)];
    if (slot == kNone) {
      slot = upstreams.size();
      upstreams.push_back(i);
    } else if (aMustBeChangeable &&
               this->layout.At(i).runningTokens <
                   this->layout.At(upstreams[slot]).runningTokens) {
      upstreams[slot] = i;
    }
  }
  return upstreams;
}

Move DomainPlan::BestMoveOf(std::size_t aIndex,
                            const std::vector<LayerRange>& aRanges) {
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

void DomainPlan::PlaceEmpty() {
  for (std::size_t i = 0; i < this->layout.Count(); ++i) {
    if (!this->HasStepsLeft()) {
      return;  // The next pass continues.
    }
    if (!this->IsEmpty(i)) {
      continue;
    }
    const Move best =
        this->BestMoveOf(i, this->choices.AtEdges(i, this->choices.Edges()));
    if (best.layers.Size() > 0) {
      this->Order(i, best.layers, ReleaseMode::AbortRequests);
    }
  }
}

Move DomainPlan::BestMoveFor(LayerRange aGap) {
  Move best;
  best.score = this->layout.Score();
  for (const std::size_t i : this->Changeable()) {
    for (const LayerRange& range : this->choices.Covering(i, aGap)) {
      this->Consider(best, i, range, ReleaseMode::AbortRequests);
    }
  }
  return best;
}

void DomainPlan::FillGaps() {
  int from = 0;
  while (true) {
    const LayerRange gap = this->layout.FirstGap(from);
    if (gap.Size() == 0) {
      return;
    }
    const int gaps = this->layout.Score().gaps;
    const Move best = this->BestMoveFor(gap);
    if (best.score.gaps >= gaps) {
      from = gap.last;
      continue;
    }
    this->Order(best.index, best.layers, ReleaseMode::AbortRequests);
  }
}

bool DomainPlan::CanChange(std::size_t aIndex) const {
  const PlacedUpstream& upstream = this->layout.At(aIndex);
  return upstream.acceptsOrders && upstream.layers.Size() > 0;
}

bool DomainPlan::IsChanging() const {
  const auto& upstreams = this->layout.Upstreams();
  return std::any_of(
      upstreams.begin(), upstreams.end(),
      [](const PlacedUpstream& aOne) { return !aOne.acceptsOrders; });
}

void DomainPlan::Refine() {
  const std::vector<int> edges = this->choices.Edges();
  bool isBetter = true;
  while (isBetter && this->HasStepsLeft()) {
    Move best;
    best.score = this->layout.Score();
    best.score.value += this->settings.minGain;
    for (const std::size_t i : this->Representatives()) {
      const Move move = this->BestMoveOf(i, this->choices.AtEdges(i, edges));
      best = move.score.IsBetterThan(best.score) ? move : best;
    }
    isBetter = best.layers.Size() > 0;
    if (isBetter) {
      this->layout.Set(best.index, best.layers);
    }
  }
}

}  // namespace zincstep
