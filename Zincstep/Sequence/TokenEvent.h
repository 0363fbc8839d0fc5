#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Zincstep/Routing/Routing.h"

namespace zincstep {

/// One stage's report on its part in one token.
struct StageReport {
  LayerRange layers;
  /// Time that the step waited for a batch slot.
  Micros queue{0};
  /// Time to compute the layers.
  Micros compute{0};
  /// Round-trip time to the next stage, without that stage's own time.
  Micros link{0};
};

/// One token as received from the engines.
struct TokenEvent {
  std::uint64_t request = 0;
  int attempt = 0;
  /// Index in the answer, from 0.
  int position = 0;
  std::int32_t token = 0;
  std::string text;
  /// Tokens of the prompt, as the engine counts them.
  int promptTokens = 0;
  /// Prompt tokens that the engine read from its prefix cache.
  int cachedTokens = 0;
  /// The model has ended the answer with this token.
  bool ends = false;
  std::vector<StageReport> stages;
};

/// How an attempt failed, as far as the router can tell.
enum class HopFailure {
  /// The connection was refused or lost.
  Dead,
  /// No response within the time limits.
  Hung,
  /// The stage responds, but much more slowly than before.
  Slow,
  /// The stage accepts no new work.
  Refused,
  /// The stage is healthy but has lost the sequence's KV cache.
  CacheLost,
};

inline constexpr NameTable<HopFailure, 5> kHopFailureNames{{
    {HopFailure::Dead, "dead"},
    {HopFailure::Hung, "hung"},
    {HopFailure::Slow, "slow"},
    {HopFailure::Refused, "refused"},
    {HopFailure::CacheLost, "cache_lost"},
}};

}  // namespace zincstep
