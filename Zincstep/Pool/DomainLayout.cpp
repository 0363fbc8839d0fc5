#include "Zincstep/Pool/DomainLayout.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace zincstep {

namespace {

/// Share of a first upstream's slots that is used: others' requests that were
/// not heard of yet come on top, and one beyond the slots waits until another
/// has ended.
constexpr double kSlotsUsed = 0.75;

/// To the eighth power: the smallest of many then decides, yet raising any of
/// the scarce ones shows.
double ScarcityPower(double aValue) {
  const double square = aValue * aValue;
  const double fourth = square * square;
  return fourth * fourth;
}

/// The inverse of `ScarcityPower`.
double ScarcityRoot(double aValue) {
  return std::sqrt(std::sqrt(std::sqrt(aValue)));
}

/// Share of the demand that is served with so much memory for each token of
/// it. Requests vary and spread unevenly: with memory for just the demand some
/// 16 in 100 find none, with 1.5 times the demand 4.
double ServedAt(double aRatio) {
  const double square = aRatio * aRatio;
  return aRatio / std::sqrt(std::sqrt(1 + square * square));
}

}  // namespace

int LayersBeside(const ModelShape& aModel, const PoolKind& aKind,
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
  return std::max(
      0.0, std::min(memory, kSlotsUsed * aSlots * usual * aLayers.Size()));
}

DomainLayout::DomainLayout(const ModelShape& aModel,
                           const LayoutScoreSettings& aSettings, double aDemand,
                           std::vector<PlacedUpstream> aUpstreams, int aTimes)
    : model(aModel),
      settings(aSettings),
      demand(std::max(1.0, aDemand)),
      times(aTimes),
      upstreams(std::move(aUpstreams)),
      classOf(this->upstreams.size()) {
  const auto layers = static_cast<std::size_t>(this->model.layers);
  this->holders.assign(layers, 0);
  this->tokens.assign(layers, 0);
  for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
    this->kinds.push_back(this->model.FindKind(this->upstreams[i].kind));
    this->Join(i, this->upstreams[i].layers);
  }
}

DomainLayout::HolderClass DomainLayout::MakeClass(std::size_t aIndex,
                                                  LayerRange aLayers) const {
  const PlacedUpstream& upstream = this->upstreams[aIndex];
  HolderClass made;
  made.layers = aLayers;
  made.key = {this->kinds[aIndex], aLayers.first, aLayers.last, upstream.slots};
  if (made.key.kind != nullptr && aLayers.Size() > 0) {
    made.beside =
        RequestMemory(this->model, *made.key.kind, aLayers, upstream.slots) /
        aLayers.Size();
  }
  return made;
}

void DomainLayout::Add(const HolderClass& aClass, int aSign) {
  const int last = std::min(aClass.layers.last, this->model.layers);
  const int count = aSign * this->times;
  for (int layer = aClass.layers.first; layer < last; ++layer) {
    this->holders[static_cast<std::size_t>(layer)] += count;
    this->tokens[static_cast<std::size_t>(layer)] += count * aClass.beside;
  }
}

void DomainLayout::Join(std::size_t aIndex, LayerRange aLayers) {
  HolderClass wanted = this->MakeClass(aIndex, aLayers);
  const auto [place, isNew] = this->classByKey.try_emplace(wanted.key, 0);
  if (isNew && this->unusedClasses.empty()) {
    place->second = this->classes.size();
    this->classes.push_back(wanted);
  } else if (isNew) {
    place->second = this->unusedClasses.back();
    this->unusedClasses.pop_back();
    this->classes[place->second] = wanted;
  }
  HolderClass& joined = this->classes[place->second];
  joined.count += 1;
  this->classOf[aIndex] = place->second;
  this->upstreams[aIndex].layers = aLayers;
  this->Add(joined, 1);
}

void DomainLayout::Leave(std::size_t aIndex) {
  const std::size_t number = this->classOf[aIndex];
  HolderClass& left = this->classes[number];
  this->Add(left, -1);
  left.count -= 1;
  if (left.count == 0) {
    this->classByKey.erase(left.key);
    this->unusedClasses.push_back(number);
  }
}

void DomainLayout::Set(std::size_t aIndex, LayerRange aLayers) {
  this->Leave(aIndex);
  this->Join(aIndex, aLayers);
}

double DomainLayout::Served(double aTokens) const {
  const double own = ServedAt(aTokens / this->demand);
  const double away =
      ServedAt(aTokens / (this->demand * this->settings.otherLostDemand));
  return own + this->settings.otherLostShare * (away - own);
}

double DomainLayout::LossCost(const HolderClass& aClass, double aLeast,
                              double aServed) const {
  const LayerRange layers = aClass.layers;
  const double own = aClass.beside;
  double share = 0;
  double rest = aLeast;
  bool leavesGap = false;
  for (int layer = layers.first; layer < layers.last; ++layer) {
    const double held = this->tokens[static_cast<std::size_t>(layer)];
    share += held > 0 ? own / held : 0;
    rest = std::min(rest, held - own);
    leavesGap = leavesGap || this->HoldersOf(layer) < 2;
  }
  share /= layers.Size();
  const double served = leavesGap ? 0 : this->Served(std::max(0.0, rest));
  const double restored =
      this->settings.detectSeconds +
      ToSeconds(this->model.loadTime) * layers.Size() / this->model.layers;
  const double broken =
      leavesGap ? this->settings.lostSeconds : this->settings.repairedSeconds;
  return restored * std::max(0.0, aServed - served) + broken * share;
}

LayoutScore DomainLayout::ScoreBeside(const HolderClass* aExtra) const {
  LayoutScore score;
  double scarcity = 0;
  double least = std::numeric_limits<double>::max();
  for (std::size_t layer = 0; layer < this->tokens.size(); ++layer) {
    score.gaps += this->holders[layer] == 0 ? 1 : 0;
    least = std::min(least, this->tokens[layer]);
    scarcity +=
        ScarcityPower(this->demand / std::max(1.0, this->tokens[layer]));
  }
  const auto layers = static_cast<double>(this->tokens.size());
  const double rated = this->demand / ScarcityRoot(scarcity / layers);
  const double served = this->Served(std::max(0.0, least));
  double lossCost = 0;
  for (const HolderClass& one : this->classes) {
    if (one.count > 0 && one.layers.Size() > 0) {
      lossCost += one.count * this->LossCost(one, least, served);
    }
  }
  if (aExtra != nullptr && aExtra->layers.Size() > 0) {
    lossCost += this->LossCost(*aExtra, least, served);
  }
  lossCost *= this->times;
  this->steps += this->tokens.size() + this->classes.size();
  score.value = this->Served(rated) - this->settings.lossRate * lossCost;
  return score;
}

LayoutScore DomainLayout::ScoreWith(std::size_t aIndex, LayerRange aLayers) {
  HolderClass& own = this->classes[this->classOf[aIndex]];
  const HolderClass changed = this->MakeClass(aIndex, aLayers);
  this->Add(own, -1);
  own.count -= 1;
  this->Add(changed, 1);
  const LayoutScore score = this->ScoreBeside(&changed);
  this->Add(changed, -1);
  own.count += 1;
  this->Add(own, 1);
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
  return kind == nullptr ? 0
                         : LayersBeside(this->model, *kind, kMinReservedTokens);
}

}  // namespace zincstep
