#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep::standins {

/// The data passed between two layers: one number in place of a vector.
using Activation = std::uint64_t;

/// The cache of one layer: for each position, a digest of all inputs so far.
using LayerCache = std::vector<std::uint64_t>;

/// A deterministic model whose answer depends on every layer and position.
///
/// Each layer mixes its input with a digest of all of its earlier inputs.
/// A layer that is skipped, run twice or out of order, a lost or duplicate
/// token, or the cache of another request changes all later tokens.
/// Comparing an answer with `Answer` therefore detects all of these faults.
class LayerMath {
 public:
  LayerMath(const std::string& aModel, const std::string& aVersion,
            const std::string& aAdapter);

  /// Returns the input of layer 0 for a token.
  Activation Embed(std::int32_t aToken, std::size_t aPosition) const;
  /// Runs one layer at the next position of `aCache` and extends the cache.
  Activation RunLayer(int aLayer, Activation aInput, LayerCache& aCache) const;
  /// Returns the token for an output of the last layer.
  std::int32_t Sample(Activation aOutput) const;

  /// Splits a text into tokens of four bytes each.
  static std::vector<std::int32_t> Tokenize(const std::string& aText);
  /// Returns the text of a token.
  static std::string TextOf(std::int32_t aToken);

  /// Computes the reference answer to a prompt with all layers in one process.
  std::vector<std::int32_t> Answer(int aLayers, const std::string& aPrompt,
                                   int aTokens) const;

 private:
  std::uint64_t seed;
};

}  // namespace zincstep::standins
