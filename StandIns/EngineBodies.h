#pragma once

/// \file
/// What the heads and the stages of a stand-in engine's attempts share.

#include <nlohmann/json.hpp>
#include <string_view>

#include "StandIns/LayerMath.h"

namespace zincstep::standins {

/// Path of all calls that run one sequence.
inline constexpr std::string_view kSequencePath = "/v1/sequences/";
/// Tokens of a block of the prefix cache.
inline constexpr std::size_t kPrefixBlock = 16;

/// The mathematics that a call's body asks for.
inline LayerMath MathOf(const nlohmann::json& aBody) {
  return {aBody.at("model").get<std::string>(),
          aBody.at("version").get<std::string>(), aBody.value("adapter", "")};
}

}  // namespace zincstep::standins
