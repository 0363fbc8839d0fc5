#pragma once

#include <array>
#include <cstdint>

#include "Zincstep/Sequence/TokenEvent.h"

namespace zincstep {

/// Result of checking a token event.
enum class StepVerdict {
  /// The next token of the answer, to be forwarded.
  Accepted,
  /// The event belongs to another request.
  OtherRequest,
  /// The event belongs to an abandoned attempt.
  Stale,
  /// A token at this position was accepted before.
  Duplicate,
  /// The position is beyond the next one: at least one token is missing.
  OutOfOrder,
  /// The stages do not cover every layer exactly once and in order.
  InvalidLayers,
};

inline constexpr NameTable<StepVerdict, 6> kStepVerdictNames{{
    {StepVerdict::Accepted, "accepted"},
    {StepVerdict::OtherRequest, "foreign"},
    {StepVerdict::Stale, "stale"},
    {StepVerdict::Duplicate, "duplicate"},
    {StepVerdict::OutOfOrder, "early"},
    {StepVerdict::InvalidLayers, "broken_cover"},
}};

using StepCounts = std::array<std::uint64_t, kStepVerdictNames.size()>;

/// Selects the token events that are part of one request's answer.
///
/// A step is identified by (request, attempt, position, layer range). Attempt
/// numbers only rise and each position is accepted once, so that events that
/// are late, duplicated, out of order or of another request have no effect.
class StepFilter {
 public:
  /// `aFirstAttempt` is the number of the first attempt.
  StepFilter(std::uint64_t aRequest, int aLayers, int aFirstAttempt = 1)
      : request(aRequest), layers(aLayers), attempt(aFirstAttempt - 1) {}

  /// Opens the next attempt and returns its number. Events of all earlier
  /// attempts are stale.
  int OpenAttempt() {
    this->isOpen = true;
    return ++this->attempt;
  }
  /// Closes the current attempt. Its events are stale from now on.
  void CloseAttempt() { this->isOpen = false; }

  /// Checks an event, counts the verdict, and advances to the next position if
  /// the event is accepted.
  StepVerdict Apply(const TokenEvent& aEvent);

  /// The current attempt; `aFirstAttempt` - 1 before the first one.
  int Attempt() const { return this->attempt; }
  /// Position of the next token, which is the number of accepted tokens.
  int NextPosition() const { return this->nextPosition; }
  /// Number of events by verdict.
  const StepCounts& Counts() const { return this->counts; }

 private:
  StepVerdict Check(const TokenEvent& aEvent) const;
  bool CoversAllLayers(const TokenEvent& aEvent) const;

  std::uint64_t request;
  int layers;
  int attempt;
  bool isOpen = false;
  int nextPosition = 0;
  StepCounts counts{};
};

}  // namespace zincstep
