#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "Zincstep/Pool/Placement.h"

namespace zincstep {

/// The least memory that an upstream keeps for requests, in tokens: some
/// twenty of the usual ones, as a guard against starving a whole domain.
inline constexpr double kMinReservedTokens = 20'000;

/// Settings of what a layout is worth.
struct LayoutScoreSettings {
  /// Losses of an upstream a second. One in two minutes is far above what a
  /// real pool sees: it also stands for what the share of served requests
  /// leaves out, that a domain without a layer serves nobody at all (trials of
  /// docs/results/decisions.md).
  double lossRate = 1.0 / 120;
  /// Time until a lost upstream is known to be lost and its layers are ordered
  /// elsewhere, in seconds; loading comes on top.
  double detectSeconds = 1;
  /// What a request costs whose upstream is lost, in seconds of the traffic
  /// that runs through that upstream: with another holder of its layers it goes
  /// on late, else it is read anew in another domain or breaks off.
  double repairedSeconds = 0.7;
  double lostSeconds = 2;
  /// Demand while another failure domain is lost and its callers come here, as
  /// a factor, and the share of the weight that such times get. With three
  /// domains the factor is 1.5.
  double otherLostDemand = 1.5;
  double otherLostShare = 0.3;
};

/// How good a layout is: the fewest gaps first, then the highest worth.
struct LayoutScore {
  /// Layers that nobody holds.
  int gaps = 0;
  /// Share of the demand that is served in the mean, losses included.
  double value = 0;

  bool IsBetterThan(const LayoutScore& aOther) const {
    return this->gaps != aOther.gaps ? this->gaps < aOther.gaps
                                     : this->value > aOther.value;
  }
};

/// What the upstreams of one failure domain hold, and what that is worth
/// against a demand.
///
/// Memory that layers leave free holds requests, and the layer with the least
/// of it bounds the domain; so a second holder of a layer is bought with memory
/// for requests. Both are weighed in one unit: the share of the demand that is
/// served, now and after the loss of any one upstream.
///
/// Upstreams of one kind that hold the same layers are interchangeable. They
/// are kept as one class with a count, so that a score takes as long as there
/// are classes, some dozens, and not as there are upstreams.
class DomainLayout {
 public:
  /// `aDemand` is in tokens of requests in flight. Each upstream stands for
  /// `aTimes` equal ones, so that a large domain can be weighed by a part of
  /// it.
  DomainLayout(const ModelShape& aModel, const LayoutScoreSettings& aSettings,
               double aDemand, std::vector<PlacedUpstream> aUpstreams,
               int aTimes = 1);

  const std::vector<PlacedUpstream>& Upstreams() const {
    return this->upstreams;
  }
  std::size_t Count() const { return this->upstreams.size(); }
  /// How many equal upstreams each one stands for.
  int Times() const { return this->times; }
  /// Tokens of requests in flight that are asked for.
  double Demand() const { return this->demand; }
  /// The kind of an upstream; null where the model has no such kind.
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
  /// Tokens of requests that the holders of each layer have memory for.
  const std::vector<double>& Tokens() const { return this->tokens; }
  /// Changes what an upstream holds.
  void Set(std::size_t aIndex, LayerRange aLayers);
  /// It has been given an order and takes no other.
  void SetOrdered(std::size_t aIndex) {
    this->upstreams[aIndex].acceptsOrders = false;
  }

  LayoutScore Score() const { return this->ScoreBeside(nullptr); }
  /// The score with one upstream changed; the layout stays as it is.
  LayoutScore ScoreWith(std::size_t aIndex, LayerRange aLayers);
  /// The class of an upstream; two of one class score alike.
  std::size_t ClassOf(std::size_t aIndex) const {
    return this->classOf[aIndex];
  }
  /// Bound of what `ClassOf` gives.
  std::size_t ClassBound() const { return this->classes.size(); }
  /// Layers and classes that scores have looked at since the start: what
  /// planning has cost, whatever the machine.
  std::uint64_t Steps() const { return this->steps; }
  /// First range without a holder from `aFrom` on, or an empty one.
  LayerRange FirstGap(int aFrom) const;
  /// Most layers that an upstream may hold: memory for few requests is left.
  int MaxLayers(std::size_t aIndex) const;

 private:
  /// What tells classes apart.
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
  /// Upstreams that no score tells apart.
  struct HolderClass {
    ClassKey key;
    LayerRange layers;
    /// What each of them adds to each of its layers, in tokens.
    double beside = 0;
    int count = 0;
  };

  HolderClass MakeClass(std::size_t aIndex, LayerRange aLayers) const;
  /// Puts an upstream into the class of its layers.
  void Join(std::size_t aIndex, LayerRange aLayers);
  void Leave(std::size_t aIndex);
  /// Adds an upstream of a class to its layers (`aSign` 1), or takes it away.
  void Add(const HolderClass& aClass, int aSign);
  /// The score with an upstream that stands in no class.
  LayoutScore ScoreBeside(const HolderClass* aExtra) const;
  /// Share of the demand that is served with memory for `aTokens`.
  double Served(double aTokens) const;
  /// What losses of one upstream of a class cost, in seconds of the domain's
  /// traffic.
  double LossCost(const HolderClass& aClass, double aLeast,
                  double aServed) const;

  const ModelShape& model;
  const LayoutScoreSettings& settings;
  double demand;
  int times;
  std::vector<PlacedUpstream> upstreams;
  std::vector<const PoolKind*> kinds;
  /// Classes; one that nobody is in any more has the count 0 and is used anew.
  std::vector<HolderClass> classes;
  std::vector<std::size_t> classOf;
  std::map<ClassKey, std::size_t> classByKey;
  std::vector<std::size_t> unusedClasses;
  std::vector<int> holders;
  std::vector<double> tokens;
  mutable std::uint64_t steps = 0;
};

/// Layers that an upstream of that kind holds beside `aTokens` tokens.
int LayersBeside(const ModelShape& aModel, const PoolKind& aKind,
                 double aTokens);

/// Tokens x layers that an upstream with that kind and range has for requests.
///
/// Chains begin at the first layer: there, slots bound the requests as well,
/// whatever their length.
double RequestMemory(const ModelShape& aModel, const PoolKind& aKind,
                     LayerRange aLayers, int aSlots);

}  // namespace zincstep
