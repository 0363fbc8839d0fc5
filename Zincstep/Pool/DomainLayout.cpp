#include "Zincstep/Pool/DomainLayout.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace zincstep {

namespace {

/// Usable share of the slots of a first upstream: requests of other daemons
/// that were not reported yet come in addition, and a request beyond the slots
/// waits until another one ends.
constexpr double kUsableSlotShare = 0.75;

/// The eighth power emphasises the scarcest layers, yet an improvement of any
/// scarce layer still shows in the score.
double ScarcityPower(double aValue) {
  const double square = aValue * aValue;
  const double fourth = square * square;
  return fourth * fourth;
}

/// The inverse of `ScarcityPower`.
double ScarcityRoot(double aValue) {
  return std::sqrt(std::sqrt(std::sqrt(aValue)));
}

/// Share of the demand that is served, by the ratio of memory to demand.
/// Requests vary in size and spread unevenly: with memory for exactly the
/// demand about 16 in 100 find none, with 1.5 times the demand 4.
double ServedShareAt(double aRatio) {
  const double square = aRatio * aRatio;
  return aRatio / std::sqrt(std::sqrt(1 + square * square));
}

}  // namespace

int MaxLayersBeside(const ModelShape& aModel, const PoolKind& aKind,
                    double aTokens) {
  const double tokenLayerMb = aModel.tokenMb / aModel.layers;
  return std::min(aModel.layers,
                  static_cast<int>(aKind.memoryMb /
                                   (aModel.layerMb + aTokens * tokenLayerMb)));
}

double RequestMemory(const ModelShape& aModel, const PoolKind& aKind,
                     LayerRange aLayers, int aSlots) {
  if (aModel.tokenMb <= 0) {
    return 0;
  }
  const double freeMb = aKind.memoryMb - aLayers.Size() * aModel.layerMb;
  const double memory = freeMb / (aModel.tokenMb / aModel.layers);
  if (aLayers.first > 0) {
    return std::max(0.0, memory);
  }
  const double usual = aModel.usualPrompt + aModel.usualAnswer;
  return std::max(0.0, std::min(memory, kUsableSlotShare * aSlots * usual *
                                            aLayers.Size()));
}

DomainLayout::DomainLayout(const ModelShape& aModel,
                           const LayoutScoreSettings& aSettings, double aDemand,
                           std::vector<PlacedUpstream> aUpstreams,
                           int aMultiplicity)
    : model(aModel),
      settings(aSettings),
      demand(std::max(1.0, aDemand)),
      multiplicity(aMultiplicity),
      upstreams(std::move(aUpstreams)),
      classOf(this->upstreams.size()) {
  const auto layers = static_cast<std::size_t>(this->model.layers);
  this->holders.assign(layers, 0);
  this->tokens.assign(layers, 0);
  for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
    PlacedUpstream& upstream = this->upstreams[i];
    this->kinds.push_back(this->model.FindKind(upstream.kind));
    if (upstream.layers.last > this->model.layers) {
      upstream.layers = {};  // Not layers of this model.
    }
    this->Join(i, upstream.layers);
  }
}

DomainLayout::HolderClass DomainLayout::MakeClass(std::size_t aIndex,
                                                  LayerRange aLayers) const {
  const PlacedUpstream& upstream = this->upstreams[aIndex];
  HolderClass result;
  result.layers = aLayers;
  result.key = {this->kinds[aIndex], aLayers.first, aLayers.last,
                upstream.slots};
  if (result.key.kind != nullptr && aLayers.Size() > 0) {
    result.tokensPerLayer =
        RequestMemory(this->model, *result.key.kind, aLayers, upstream.slots) /
        aLayers.Size();
  }
  return result;
}

void DomainLayout::Add(const HolderClass& aClass, int aSign) {
  const int last = std::min(aClass.layers.last, this->model.layers);
  const int count = aSign * this->multiplicity;
  for (int layer = aClass.layers.first; layer < last; ++layer) {
    this->holders[static_cast<std::size_t>(layer)] += count;
    this->tokens[static_cast<std::size_t>(layer)] +=
        count * aClass.tokensPerLayer;
  }
}

void DomainLayout::Join(std::size_t aIndex, LayerRange aLayers) {
  HolderClass target = this->MakeClass(aIndex, aLayers);
  const auto [entry, isNew] = this->classByKey.try_emplace(target.key, 0);
  if (isNew && this->unusedClasses.empty()) {
    entry->second = this->classes.size();
    this->classes.push_back(target);
  } else if (isNew) {
    entry->second = this->unusedClasses.back();
    this->unusedClasses.pop_back();
    this->classes[entry->second] = target;
  }
  HolderClass& joined = this->classes[entry->second];
  joined.count += 1;
  this->classOf[aIndex] = entry->second;
  this->upstreams[aIndex].layers = aLayers;
  this->Add(joined, 1);
}

void DomainLayout::Leave(std::size_t aIndex) {
  const std::size_t number = this->classOf[aIndex];
  HolderClass& previous = this->classes[number];
  this->Add(previous, -1);
  previous.count -= 1;
  if (previous.count == 0) {
    this->classByKey.erase(previous.key);
    this->unusedClasses.push_back(number);
  }
}

void DomainLayout::Set(std::size_t aIndex, LayerRange aLayers) {
  this->Leave(aIndex);
  this->Join(aIndex, aLayers);
}

double DomainLayout::ServedShare(double aTokens) const {
  const double normal = ServedShareAt(aTokens / this->demand);
  const double domainLost = ServedShareAt(
      aTokens / (this->demand * this->settings.domainLossDemandFactor));
  return normal + this->settings.domainLossWeight * (domainLost - normal);
}

double DomainLayout::LossCost(const HolderClass& aClass, double aMinTokens,
                              double aServed) const {
  const LayerRange layers = aClass.layers;
  const double ownTokens = aClass.tokensPerLayer;
  double share = 0;
  double remaining = aMinTokens;
  bool leavesGap = false;
  for (int layer = layers.first; layer < layers.last; ++layer) {
    const double total = this->tokens[static_cast<std::size_t>(layer)];
    share += total > 0 ? ownTokens / total : 0;
    remaining = std::min(remaining, total - ownTokens);
    leavesGap = leavesGap || this->HoldersOf(layer) < 2;
  }
  share /= layers.Size();
  const double served =
      leavesGap ? 0 : this->ServedShare(std::max(0.0, remaining));
  const double restoreSeconds =
      this->settings.detectSeconds +
      ToSeconds(this->model.loadTime) * layers.Size() / this->model.layers;
  const double interruptionSeconds =
      leavesGap ? this->settings.lostSeconds : this->settings.repairedSeconds;
  return restoreSeconds * std::max(0.0, aServed - served) +
         interruptionSeconds * share;
}

LayoutScore DomainLayout::ScoreIncluding(const HolderClass* aExtra) const {
  LayoutScore score;
  double scarcity = 0;
  double minTokens = std::numeric_limits<double>::max();
  for (std::size_t layer = 0; layer < this->tokens.size(); ++layer) {
    score.gaps += this->holders[layer] == 0 ? 1 : 0;
    minTokens = std::min(minTokens, this->tokens[layer]);
    scarcity +=
        ScarcityPower(this->demand / std::max(1.0, this->tokens[layer]));
  }
  const auto layers = static_cast<double>(this->tokens.size());
  const double ratedTokens = this->demand / ScarcityRoot(scarcity / layers);
  const double served = this->ServedShare(std::max(0.0, minTokens));
  double lossCost = 0;
  for (const HolderClass& one : this->classes) {
    if (one.count > 0 && one.layers.Size() > 0) {
      lossCost += one.count * this->LossCost(one, minTokens, served);
    }
  }
  if (aExtra != nullptr && aExtra->layers.Size() > 0) {
    lossCost += this->LossCost(*aExtra, minTokens, served);
  }
  lossCost *= this->multiplicity;
  this->steps += this->tokens.size() + this->classes.size();
  score.value =
      this->ServedShare(ratedTokens) - this->settings.lossRate * lossCost;
  return score;
}

LayoutScore DomainLayout::ScoreWith(std::size_t aIndex, LayerRange aLayers) {
  HolderClass& present = this->classes[this->classOf[aIndex]];
  const HolderClass changed = this->MakeClass(aIndex, aLayers);
  this->Add(present, -1);
  present.count -= 1;
  this->Add(changed, 1);
  const LayoutScore score = this->ScoreIncluding(&changed);
  this->Add(changed, -1);
  present.count += 1;
  this->Add(present, 1);
  return score;
}

LayerRange DomainLayout::FirstGap(int aFrom) const {
  LayerRange gap{this->model.layers, this->model.layers};
  for (int layer = aFrom; layer < this->model.layers; ++layer) {
    if (this->HoldersOf(layer) == 0) {
      gap.first = std::min(gap.first, layer);
      gap.last = layer + 1;
    } else if (gap.first < layer) {
      break;
    }
  }
  return gap;
}

double DomainLayout::MemoryOf(std::size_t aIndex) const {
  const PoolKind* kind = this->kinds[aIndex];
  return kind == nullptr ? 0 : kind->memoryMb;
}

int DomainLayout::MaxLayers(std::size_t aIndex) const {
  const PoolKind* kind = this->kinds[aIndex];
  return kind == nullptr
             ? 0
             : MaxLayersBeside(this->model, *kind, kMinReservedTokens);
}

}  // namespace zincstep
