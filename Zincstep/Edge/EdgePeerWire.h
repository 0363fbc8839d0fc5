#pragma once

/// \file
/// Values with a special meaning in messages between daemons, for the encoder
/// and the decoder.

#include <cstdint>
#include <limits>

namespace zincstep::edgewire {

/// Age of what the sender does not have.
constexpr std::int64_t kNoAge = -1;
/// Encodes a limit that has ended.
constexpr double kNoLimit = -1;
/// Resolution of an encoded slowdown.
constexpr double kSlowdownStep = 0.01;
/// Age of an announced load that the sender does not have.
constexpr std::uint16_t kNoLoadAge = std::numeric_limits<std::uint16_t>::max();

}  // namespace zincstep::edgewire
