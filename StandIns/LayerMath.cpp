#include "StandIns/LayerMath.h"

#include <array>

namespace zincstep::standins {

namespace {

constexpr std::uint64_t kVocabularySize = 50000;
constexpr std::array<const char*, 32> kWords{
    " flour",  " bread",  " loaf",   " order",   " route",    " stock",
    " school", " resort", " shop",   " night",   " morning",  " yeast",
    " butter", " salt",   " water",  " oven",    " tray",     " driver",
    " thanks", " gift",   " parish", " shelter", " brigade",  " letter",
    " kind",   " warm",   " please", " confirm", " tomorrow", " ten",
    " twenty", " fifty"};

/// The finaliser of SplitMix64 (Steele et al., OOPSLA 2014).
std::uint64_t Mix(std::uint64_t aValue) {
  aValue += 0x9e3779b97f4a7c15ULL;
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

}  // namespace

LayerMath::LayerMath(const std::string& aModel, const std::string& aVersion,
                     const std::string& aAdapter)
    : seed(Hash64(aModel + "/" + aVersion + "/" + aAdapter)) {}

Activation LayerMath::Embed(std::int32_t aToken, std::size_t aPosition) const {
  return Mix(this->seed ^ Mix(static_cast<std::uint64_t>(aToken)) ^
             (aPosition << 32));
}

Activation LayerMath::RunLayer(int aLayer, Activation aInput,
                               LayerCache& aCache) const {
  const std::uint64_t previous = aCache.empty() ? 0 : aCache.back();
  aCache.push_back(Mix(previous ^ Mix(aInput)));
  return Mix(aInput ^ aCache.back() ^
             Mix(this->seed + static_cast<std::uint64_t>(aLayer)));
}

std::int32_t LayerMath::Sample(Activation aOutput) const {
  return static_cast<std::int32_t>(aOutput % kVocabularySize);
}

std::vector<std::int32_t> LayerMath::Tokenize(const std::string& aText) {
  std::vector<std::int32_t> tokens;
  for (std::size_t i = 0; i < aText.size(); i += 4) {
    const std::string part = aText.substr(i, 4);
    tokens.push_back(static_cast<std::int32_t>(Hash64(part) % kVocabularySize));
  }
  return tokens;
}

std::string LayerMath::TextOf(std::int32_t aToken) {
  return kWords[static_cast<std::size_t>(aToken) % kWords.size()];
}

std::vector<std::int32_t> LayerMath::Answer(int aLayers,
                                            const std::string& aPrompt,
                                            int aTokens) const {
  std::vector<std::int32_t> tokens = Tokenize(aPrompt);
  const std::size_t promptTokens = tokens.size();
  std::vector<LayerCache> caches(static_cast<std::size_t>(aLayers));
  for (std::size_t position = 0;; ++position) {
    Activation value = this->Embed(tokens[position], position);
    for (int layer = 0; layer < aLayers; ++layer) {
      value =
          this->RunLayer(layer, value, caches[static_cast<std::size_t>(layer)]);
    }
    if (position + 1 >= promptTokens) {
      tokens.push_back(this->Sample(value));
    }
    if (tokens.size() == promptTokens + static_cast<std::size_t>(aTokens)) {
      break;
    }
  }
  return {tokens.begin() + static_cast<std::ptrdiff_t>(promptTokens),
          tokens.end()};
}

}  // namespace zincstep::standins
