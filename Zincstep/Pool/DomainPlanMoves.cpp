/// \file
/// Moves that improve a domain which serves all layers, and what they cost.

#include <algorithm>

#include "Zincstep/Pool/DomainPlan.h"
#include "Zincstep/Pool/EmptyDomain.h"

namespace zincstep {

namespace {

/// Time for the requests on released layers to end.
constexpr double kReleaseSeconds = 3;
/// An order that releases nothing only requires a report and the order.
constexpr double kGrowSeconds = 0.2;
/// Cost of a running request that an order aborts, in seconds of its traffic.
/// Its stream stalls, and where no other holder has room and no run is left its
/// caller closes the connection. Far above `interruptedSeconds`, whose requests
/// may complete.
constexpr double kAbortedSeconds = 20;

/// Returns the intersection of two ranges; empty if they are disjoint.
LayerRange Intersection(LayerRange aOne, LayerRange aOther) {
  const int first = std::max(aOne.first, aOther.first);
  const int last = std::min(aOne.last, aOther.last);
  return first < last ? LayerRange{first, last} : LayerRange{};
}

}  // namespace

double DomainPlan::CostOf(std::size_t aIndex, LayerRange aLayers,
                          ReleaseMode aReleaseMode) {
  const LayerRange own = this->layout.At(aIndex).layers;
  const LayerRange retained = Intersection(own, aLayers);
  const LayoutScore now = this->layout.Score();
  const LayoutScore duringChange = this->layout.ScoreWith(aIndex, retained);
  const double lost = duringChange.gaps > now.gaps
                          ? 1
                          : std::max(0.0, now.value - duringChange.value);
  const double loading = ToSeconds(this->model.loadTime) *
                         (aLayers.Size() - retained.Size()) /
                         this->model.layers;
  const bool releases = retained.Size() < own.Size();
  const double releasing = releases ? kReleaseSeconds : kGrowSeconds;
  const double perRequest = aReleaseMode == ReleaseMode::AbortRequests
                                ? kAbortedSeconds
                                : this->settings.interruptedSeconds;
  const double interrupted =
      releases ? this->RunningShare(aIndex) * perRequest : 0;
  return (lost * (loading + releasing) + interrupted) /
         this->settings.paybackSeconds;
}

double DomainPlan::RunningShare(std::size_t aIndex) {
  if (!this->domainRunningTokens) {
    // Each request passes all layers once, so the layer with the most tokens
    // has nearly all of them.
    std::vector<double> tokens(static_cast<std::size_t>(this->model.layers));
    for (const PlacedUpstream& one : this->layout.Upstreams()) {
      const int last = std::min(one.layers.last, this->model.layers);
      for (int layer = one.layers.first; layer < last; ++layer) {
        tokens[static_cast<std::size_t>(layer)] += one.runningTokens;
      }
    }
    this->domainRunningTokens = *std::max_element(tokens.begin(), tokens.end());
  }
  return *this->domainRunningTokens > 0
             ? std::min(1.0, this->layout.At(aIndex).runningTokens /
                                 *this->domainRunningTokens)
             : 0;
}

void DomainPlan::Improve(bool aIsStable, std::uint64_t aPassNumber) {
  const LayoutScore present = this->layout.Score();
  // The maximum value: all demand is served without any loss.
  const double maxValue = 1;
  if (present.gaps > 0 || present.value + this->settings.minGain >= maxValue) {
    return;
  }
  const bool onlyGrows = !aIsStable || this->IsChanging();
  Move best;
  best.score = present;
  best.score.value += this->settings.minGain;
  const std::vector<int> edges = this->choices.Edges();
  std::vector<std::size_t> upstreams = this->Changeable();
  std::rotate(upstreams.begin(),
              upstreams.begin() + static_cast<std::ptrdiff_t>(
                                      aPassNumber % (upstreams.size() + 1)),
              upstreams.end());
  for (const std::size_t i : upstreams) {
    if (!this->HasStepsLeft()) {
      break;
    }
    this->ConsiderRanges(best, i, edges, onlyGrows);
    if (!onlyGrows) {
      this->ConsiderShifts(best, i, upstreams);
    }
  }
  if (best.layers.Size() > 0) {
    this->Order(best.index, best.layers, ReleaseMode::DrainRequests);
  }
}

void DomainPlan::ConsiderRanges(Move& aBest, std::size_t aIndex,
                                const std::vector<int>& aEdges,
                                bool aOnlyGrows) {
  const LayerRange own = this->layout.At(aIndex).layers;
  std::vector<LayerRange> ranges = this->choices.AtEdges(aIndex, aEdges);
  const auto shifted = this->choices.Shifted(aIndex);
  ranges.insert(ranges.end(), shifted.begin(), shifted.end());
  for (const LayerRange& range : ranges) {
    if (!aOnlyGrows || range.Covers(own)) {
      this->Consider(aBest, aIndex, range, ReleaseMode::DrainRequests);
    }
  }
}

void DomainPlan::Consider(Move& aBest, std::size_t aIndex, LayerRange aRange,
                          ReleaseMode aReleaseMode) {
  LayoutScore score = this->layout.ScoreWith(aIndex, aRange);
  if (score.IsBetterThan(aBest.score)) {
    score.value -= this->CostOf(aIndex, aRange, aReleaseMode);
    if (score.IsBetterThan(aBest.score)) {
      aBest = {aIndex, aRange, score};
    }
  }
}

void DomainPlan::ConsiderShifts(Move& aBest, std::size_t aIndex,
                                const std::vector<std::size_t>& aChangeable) {
  const LayerRange own = this->layout.At(aIndex).layers;
  for (const std::size_t next : aChangeable) {
    const LayerRange other = this->layout.At(next).layers;
    const bool isAdjacent = next != aIndex && other.first == own.last;
    for (int shift = 1; isAdjacent && shift <= kMaxShift; ++shift) {
      this->ConsiderShift(aBest, aIndex, {own.first, own.last + shift}, next,
                          {other.first + shift, other.last});
      this->ConsiderShift(aBest, next, {other.first - shift, other.last},
                          aIndex, {own.first, own.last - shift});
    }
  }
}

void DomainPlan::ConsiderShift(Move& aBest, std::size_t aGrowing,
                               LayerRange aGrown, std::size_t aShrinking,
                               LayerRange aShrunk) {
  const int minLayers = MinLayers(this->model);
  if (aGrown.Size() > this->layout.MaxLayers(aGrowing) ||
      aShrunk.Size() < minLayers) {
    return;
  }
  const LayerRange before = this->layout.At(aShrinking).layers;
  const double cost =
      this->CostOf(aGrowing, aGrown, ReleaseMode::DrainRequests) +
      this->CostOf(aShrinking, aShrunk, ReleaseMode::DrainRequests);
  this->layout.Set(aShrinking, aShrunk);
  LayoutScore score = this->layout.ScoreWith(aGrowing, aGrown);
  this->layout.Set(aShrinking, before);
  score.value -= cost;
  if (score.IsBetterThan(aBest.score)) {
    aBest = {aGrowing, aGrown, score};
  }
}

}  // namespace zincstep
