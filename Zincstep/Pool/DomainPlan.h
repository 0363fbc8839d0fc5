#pragma once

#include <optional>
#include <vector>

#include "Zincstep/Pool/DomainLayout.h"
#include "Zincstep/Pool/DomainParts.h"
#include "Zincstep/Pool/PlacementPlanner.h"
#include "Zincstep/Pool/RangeChoices.h"

namespace zincstep {

/// A change of one upstream's layers, and the score after it.
struct Move {
  std::size_t index = 0;
  LayerRange layers;
  LayoutScore score;
};

/// Layout of a part of a domain: one range per upstream.
struct PartPlan {
  std::vector<LayerRange> ranges;
  LayoutScore score;
};

/// Plans the layers of one failure domain.
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

  /// Returns orders for the domain: empty upstreams are placed and gaps are
  /// closed; if `aShouldImprove`, one upstream is changed to serve more.
  /// `aPassNumber` as in `PlacementInput`.
  std::vector<PlacementOrder> MakeOrders(bool aShouldImprove, bool aIsStable,
                                         std::uint64_t aPassNumber);

  /// Plans a part of a domain whose upstreams hold nothing, one range for each.
  /// Nothing is loaded yet, so changes are free.
  PartPlan MakePartPlan(std::uint64_t aMaxSteps);

  /// Cost of the plan so far, as `PlanCost::steps`.
  std::uint64_t Steps() const { return this->partSteps + this->layout.Steps(); }

 private:
  bool HasStepsLeft() const { return this->layout.Steps() < this->maxSteps; }

  bool IsEmpty(std::size_t aIndex) const;

  void Order(std::size_t aIndex, LayerRange aRange, ReleaseMode aReleaseMode);

  /// Plans the upstreams that hold nothing: unsplit if the whole domain is
  /// empty, in parts of the best size if they are many.
  void PlanInitial();

  /// Returns the part size with the best score, estimated from the first part
  /// of each size.
  std::size_t BestPartSize(const std::vector<std::size_t>& aUpstreams);

  /// Plans the layout as a single part.
  void PlanUnsplit();

  void OrderAll(const std::vector<std::size_t>& aUpstreams,
                const std::vector<LayerRange>& aRanges);

  /// Returns ranges for upstreams that hold nothing: in parts of about that
  /// size, each planned as if the domain consisted of such parts; parts of the
  /// same composition get the same layout.
  std::vector<LayerRange> PlanParts(const std::vector<std::size_t>& aUpstreams,
                                    std::size_t aPartSize);

  /// Plans one part of `aParts`.
  PartPlan PlanPart(const DomainPart& aPart, std::size_t aParts);

  double TotalMemory() const;

  /// One upstream of each class, representing all of the class: of all
  /// upstreams, or of those that can be changed. Of these it is the one with
  /// the fewest running requests, which a change would interrupt.
  std::vector<std::size_t> Representatives() const;
  std::vector<std::size_t> Changeable() const;
  std::vector<std::size_t> OneOfEachClass(bool aMustBeChangeable) const;

  /// Returns the change of an upstream to one of `aRanges` with the best score.
  Move BestMoveOf(std::size_t aIndex, const std::vector<LayerRange>& aRanges);

  /// Assigns each empty upstream the range with the best score.
  void PlaceEmpty();

  /// Returns the change that closes most of a gap; among equal ones, the one
  /// with the best score less its cost.
  Move BestMoveFor(LayerRange aGap);

  /// Moves or extends upstreams to cover layers without a holder.
  void FillGaps();

  /// Cost of changing an upstream, as a share of the demand served over
  /// `paybackSeconds`: until the change is complete the upstream only has the
  /// layers that it retains.
  double CostOf(std::size_t aIndex, LayerRange aLayers,
                ReleaseMode aReleaseMode);

  /// Share of the domain's running requests that pass an upstream.
  double RunningShare(std::size_t aIndex);

  bool CanChange(std::size_t aIndex) const;

  /// Whether any upstream of the domain is being changed.
  bool IsChanging() const;

  /// Changes one upstream at a time while the value improves by at least
  /// `minGain`.
  void Refine();

  /// Changes one upstream if the gain exceeds the cost. While another upstream
  /// of the domain changes, upstreams only grow, which removes no layer from
  /// service.
  void Improve(bool aIsStable, std::uint64_t aPassNumber);

  void ConsiderRanges(Move& aBest, std::size_t aIndex,
                      const std::vector<int>& aEdges, bool aOnlyGrows);

  /// Replaces `aBest` if the change scores higher less its cost.
  void Consider(Move& aBest, std::size_t aIndex, LayerRange aRange,
                ReleaseMode aReleaseMode);

  /// Considers moving the boundary between an upstream and the next one: the
  /// growing one is ordered first; shrinking the other pays off afterwards.
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
  /// Tokens of all running requests of the domain; computed on first use.
  std::optional<double> domainRunningTokens;
  /// Cost of the plans of parts.
  std::uint64_t partSteps = 0;
};

}  // namespace zincstep
