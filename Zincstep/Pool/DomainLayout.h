#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "Zincstep/Pool/Placement.h"

namespace zincstep {

/// Minimum memory that an upstream reserves for requests, in tokens: about
/// twenty usual requests, so that a whole domain is not starved.
inline constexpr double kMinReservedTokens = 20'000;

/// Settings of the score of a layout.
struct LayoutScoreSettings {
  /// Losses of an upstream per second. One in two minutes is far above the rate
  /// of a real pool: it also covers an effect that the share of served requests
  /// leaves out, namely that a domain with an unheld layer serves no request at
  /// all (trials of docs/results/decisions.md).
  double lossRate = 1.0 / 120;
  /// Time until a lost upstream is detected and its layers are ordered
  /// elsewhere, in seconds; the load time comes in addition.
  double detectSeconds = 1;
  /// Cost of losing the upstream of a request, in seconds of the traffic that
  /// runs through that upstream: with another upstream that holds the layers
  /// the request resumes late (`repairedSeconds`), else its prompt is processed
  /// again in another domain or the request fails (`lostSeconds`).
  double repairedSeconds = 0.7;
  double lostSeconds = 2;
  /// Factor on the demand while another failure domain is lost and its callers
  /// use this one (1.5 with three domains), and the weight of such periods in
  /// the score.
  double domainLossDemandFactor = 1.5;
  double domainLossWeight = 0.3;
};

/// Score of a layout: fewer gaps win, then the higher value.
struct LayoutScore {
  /// Layers that no upstream holds.
  int gaps = 0;
  /// Mean share of the demand that is served, including the effect of losses.
  double value = 0;

  bool IsBetterThan(const LayoutScore& aOther) const {
    return this->gaps != aOther.gaps ? this->gaps < aOther.gaps
                                     : this->value > aOther.value;
  }
};

/// Layer ranges of the upstreams of one failure domain, and their score for a
/// given demand.
///
/// Requests use the memory that layers leave free, and the layer with the least
/// free memory bounds the domain; so each additional holder of a layer costs
/// memory for requests. Both are measured in one unit: the share of the demand
/// that is served, now and after the loss of any single upstream.
///
/// Upstreams of one kind that hold the same layers are interchangeable. They
/// form one class with a count, so that the time for a score depends on the
/// number of classes, a few dozen, and not on the number of upstreams.
class DomainLayout {
 public:
  /// `aDemand` is in tokens of requests in flight. Each upstream represents
  /// `aMultiplicity` equal ones, so that a part can stand for a large domain.
  DomainLayout(const ModelShape& aModel, const LayoutScoreSettings& aSettings,
               double aDemand, std::vector<PlacedUpstream> aUpstreams,
               int aMultiplicity = 1);

  const std::vector<PlacedUpstream>& Upstreams() const {
    return this->upstreams;
  }
  std::size_t Count() const { return this->upstreams.size(); }
  /// Number of equal upstreams that each one represents.
  int Multiplicity() const { return this->multiplicity; }
  /// Demand, in tokens of requests in flight.
  double Demand() const { return this->demand; }
  /// The kind of an upstream; null if the model has no such kind.
  const PoolKind* KindOf(std::size_t aIndex) const {
    return this->kinds[aIndex];
  }
  /// Memory of an upstream, in MB.
  double MemoryOf(std::size_t aIndex) const;
  const PlacedUpstream& At(std::size_t aIndex) const {
    return this->upstreams[aIndex];
  }
  int HoldersOf(int aLayer) const {
    return this->holders[static_cast<std::size_t>(aLayer)];
  }
  /// Request tokens for which the holders of each layer have memory.
  const std::vector<double>& Tokens() const { return this->tokens; }
  /// Changes the layers that an upstream holds.
  void Set(std::size_t aIndex, LayerRange aLayers);
  /// Marks an upstream as ordered: it accepts no further order.
  void SetOrdered(std::size_t aIndex) {
    this->upstreams[aIndex].acceptsOrders = false;
  }

  LayoutScore Score() const { return this->ScoreIncluding(nullptr); }
  /// Returns the score with one upstream changed; the layout itself is
  /// unchanged.
  LayoutScore ScoreWith(std::size_t aIndex, LayerRange aLayers);
  /// The class of an upstream; upstreams of one class have the same effect on
  /// the score.
  std::size_t ClassOf(std::size_t aIndex) const {
    return this->classOf[aIndex];
  }
  /// Exclusive upper bound of `ClassOf`.
  std::size_t ClassBound() const { return this->classes.size(); }
  /// Layers and classes evaluated by scores so far: a machine-independent
  /// measure of the planning cost.
  std::uint64_t Steps() const { return this->steps; }
  /// First range of layers without a holder at or after `aFrom`, or an empty
  /// one.
  LayerRange FirstGap(int aFrom) const;
  /// Maximum number of layers of an upstream, with `kMinReservedTokens`
  /// reserved for requests.
  int MaxLayers(std::size_t aIndex) const;

 private:
  /// Properties that distinguish classes.
  struct ClassKey {
    const PoolKind* kind = nullptr;
    int first = 0;
    int last = 0;
    int slots = 0;

    bool operator<(const ClassKey& aOther) const {
      return std::tie(this->kind, this->first, this->last, this->slots) <
             std::tie(aOther.kind, aOther.first, aOther.last, aOther.slots);
    }
  };
  /// Interchangeable upstreams: same kind, slots and layers.
  struct HolderClass {
    ClassKey key;
    LayerRange layers;
    /// Request tokens that one upstream of the class adds to each of its
    /// layers.
    double tokensPerLayer = 0;
    int count = 0;
  };

  HolderClass MakeClass(std::size_t aIndex, LayerRange aLayers) const;
  /// Assigns an upstream to the class of its layers.
  void Join(std::size_t aIndex, LayerRange aLayers);
  void Leave(std::size_t aIndex);
  /// Adds an upstream of a class to the totals of its layers (`aSign` 1) or
  /// subtracts it (-1).
  void Add(const HolderClass& aClass, int aSign);
  /// Returns the score including `aExtra`, an upstream that belongs to no
  /// class; null: none.
  LayoutScore ScoreIncluding(const HolderClass* aExtra) const;
  /// Returns the share of the demand that is served with memory for `aTokens`.
  double ServedShare(double aTokens) const;
  /// Cost of losing one upstream of a class, in seconds of the domain's
  /// traffic.
  double LossCost(const HolderClass& aClass, double aMinTokens,
                  double aServed) const;

  const ModelShape& model;
  const LayoutScoreSettings& settings;
  double demand;
  int multiplicity;
  std::vector<PlacedUpstream> upstreams;
  std::vector<const PoolKind*> kinds;
  /// Classes; an empty one has the count 0 and is reused.
  std::vector<HolderClass> classes;
  std::vector<std::size_t> classOf;
  std::map<ClassKey, std::size_t> classByKey;
  std::vector<std::size_t> unusedClasses;
  std::vector<int> holders;
  std::vector<double> tokens;
  mutable std::uint64_t steps = 0;
};

/// Returns how many layers an upstream of that kind can hold with memory for
/// `aTokens` tokens left.
int MaxLayersBeside(const ModelShape& aModel, const PoolKind& aKind,
                    double aTokens);

/// Returns the memory for requests of an upstream, in tokens x layers.
///
/// Chains begin at the first layer: there the slots limit the requests as well,
/// whatever their length.
double RequestMemory(const ModelShape& aModel, const PoolKind& aKind,
                     LayerRange aLayers, int aSlots);

}  // namespace zincstep
