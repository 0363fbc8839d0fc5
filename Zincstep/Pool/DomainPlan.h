#pragma once

#include <vector>

#include "Zincstep/Pool/DomainLayout.h"
#include "Zincstep/Pool/DomainParts.h"
#include "Zincstep/Pool/PlacementPlanner.h"
#include "Zincstep/Pool/RangeChoices.h"

namespace zincstep {

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
        maxSteps(aSettings.maxSteps),
        layout(std::move(aLayout)),
        choices(aModel, this->layout) {}

  DomainPlan(const DomainPlan&) = delete;
  DomainPlan& operator=(const DomainPlan&) = delete;

  /// Orders for the domain as it is: what is empty is placed and gaps are
  /// closed; where `aImproves`, one upstream is changed to serve better.
  /// `aTurn` as in `PlacementInput`.
  std::vector<PlacementOrder> Make(bool aImproves, bool aIsStable,
                                   std::uint64_t aTurn);

  /// Ranges for a part of a domain that holds nothing yet, one for each
  /// upstream; what is not loaded yet is changed at no cost.
  PartPlan MakePart(std::uint64_t aMaxSteps);

  /// What the plan has cost so far, as `PlanCost::steps`.
  std::uint64_t Steps() const { return this->partSteps + this->layout.Steps(); }

 private:
  bool HasTimeLeft() const { return this->layout.Steps() < this->maxSteps; }

  bool IsEmpty(std::size_t aIndex) const;

  void Order(std::size_t aIndex, LayerRange aRange, ReleaseMode aReleaseMode);

  /// Lays out the upstreams that hold nothing: as a whole where nobody holds
  /// anything, in parts of the best size where they are many.
  void LayOut();

  /// The size of parts that is worth most, judged by the first part of each.
  std::size_t BestPartSize(const std::vector<std::size_t>& aUpstreams);

  /// The layout of a part that is not split any more.
  void LayOutWhole();

  void OrderAll(const std::vector<std::size_t>& aUpstreams,
                const std::vector<LayerRange>& aRanges);

  /// Ranges for upstreams that hold nothing: in parts of about that size, each
  /// laid out as if the domain consisted of such parts, those of one
  /// composition alike.
  std::vector<LayerRange> PlanParts(const std::vector<std::size_t>& aUpstreams,
                                    std::size_t aPartSize);

  /// Plans one of so many parts.
  PartPlan PlanPart(const DomainPart& aPart, std::size_t aParts);

  double AllMemory() const;

  /// One upstream of each class, what is tried with it stands for all; or one
  /// of those that may be changed.
  std::vector<std::size_t> Representatives() const;
  std::vector<std::size_t> Changeable() const;
  std::vector<std::size_t> OneOfEachClass(bool aIsToChange) const;

  /// The change of an upstream to one of `aRanges` with the best score.
  Move BestOf(std::size_t aIndex, const std::vector<LayerRange>& aRanges);

  /// Gives each empty upstream the range that adds most.
  void PlaceEmpty();

  /// The change that closes most of a gap; of equal ones, what costs least.
  Move BestFor(LayerRange aGap);

  /// Moves upstreams, or grows them, into layers that nobody holds.
  void FillGaps();

  /// What it costs to change an upstream, as a share of the demand that is
  /// served over the time in which that has to pay: until it is done the domain
  /// has only the layers that stay.
  double CostOf(std::size_t aIndex, LayerRange aLayers);

  bool MayChange(std::size_t aIndex) const;

  /// Whether another upstream of the domain is being changed.
  bool IsChanging() const;

  /// Changes one upstream after the other while that adds to the worth.
  void Refine();

  /// Changes one upstream where that serves more than it costs. While anything
  /// else changes, upstreams only grow, which takes nothing away.
  void Improve(bool aIsStable, std::uint64_t aTurn);

  void ConsiderRanges(Move& aBest, std::size_t aIndex,
                      const std::vector<int>& aEdges, bool aOnlyGrows);

  void Consider(Move& aBest, std::size_t aIndex, LayerRange aRange);

  /// Moves of the boundary between an upstream and the one behind it: the one
  /// grows first; the other is then better off with less.
  void ConsiderShifts(Move& aBest, std::size_t aIndex,
                      const std::vector<std::size_t>& aChangeable);

  void ConsiderShift(Move& aBest, std::size_t aGrowing, LayerRange aGrown,
                     std::size_t aShrinking, LayerRange aShrunk);

  const ModelShape& model;
  const PlacementSettings& settings;
  /// See `PlacementSettings::maxSteps`.
  std::uint64_t maxSteps;
  DomainLayout layout;
  RangeChoices choices;
  std::vector<PlacementOrder> orders;
  /// What the plans of parts have cost.
  std::uint64_t partSteps = 0;
};

}  // namespace zincstep
