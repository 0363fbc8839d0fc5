#pragma once

/// \file
/// Helpers shared by the attempt and the stage handlers of a stand-in engine.

#include <nlohmann/json.hpp>
#include <string_view>

#include "StandIns/LayerMath.h"

namespace zincstep::standins {

/// Path prefix of all calls about one sequence.
inline constexpr std::string_view kSequencePath = "/v1/sequences/";
/// Size of a block of the prefix cache, in tokens.
inline constexpr std::size_t kPrefixBlockTokens = 16;

/// Returns the math for the model, version and adapter in a call's body.
inline LayerMath MakeLayerMath(const nlohmann::json& aBody) {
  return {aBody.at("model").get<std::string>(),
          aBody.at("version").get<std::string>(), aBody.value("adapter", "")};
}

}  // namespace zincstep::standins
