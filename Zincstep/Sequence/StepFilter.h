#pragma once

#include <array>
#include <cstdint>

#include "Zincstep/Sequence/TokenEvent.h"

namespace zincstep {

/// What the ledger says of a token event.
enum class StepVerdict {
  /// The next token of the answer: pass it on.
  Accepted,
  /// Of another request.
  Foreign,
  /// Of an attempt that has been given up.
  Stale,
  /// Its position has been passed on before.
  Duplicate,
  /// Its position lies beyond the next one.
  Early,
  /// Its stages do not cover every layer once and in order.
  BrokenCover,
};

inline constexpr NameTable<StepVerdict, 6> kStepVerdictNames{{
    {StepVerdict::Accepted, "accepted"},
    {StepVerdict::Foreign, "foreign"},
    {StepVerdict::Stale, "stale"},
    {StepVerdict::Duplicate, "duplicate"},
    {StepVerdict::Early, "early"},
    {StepVerdict::BrokenCover, "broken_cover"},
}};

using StepCounts = std::array<std::uint64_t, kStepVerdictNames.size()>;

/// Decides for one request which token events are part of its answer.
///
/// A step is named by (request, attempt, position, layer range). Attempts
/// only rise and a position is accepted once, so that whatever comes late,
/// twice, out of order or from another request changes nothing.
class StepFilter {
 public:
  /// Attempts are numbered from `aFirstAttempt` on.
  StepFilter(std::uint64_t aRequest, int aLayers, int aFirstAttempt = 1)
      : request(aRequest), layers(aLayers), attempt(aFirstAttempt - 1) {}

  /// Opens a further attempt; events of all earlier ones are stale.
  int OpenAttempt() {
    this->isOpen = true;
    return ++this->attempt;
  }
  /// Closes the attempt: its events are stale from now on.
  void CloseAttempt() { this->isOpen = false; }

  /// Judges an event, and moves to the next position if it is accepted.
  StepVerdict Judge(const TokenEvent& aEvent);

  /// The attempt that is open, 0 before the first.
  int Attempt() const { return this->attempt; }
  /// The position of the next token; also the number of tokens so far.
  int NextPosition() const { return this->nextPosition; }
  /// How often each verdict was given.
  const StepCounts& Counts() const { return this->counts; }

 private:
  StepVerdict VerdictOn(const TokenEvent& aEvent) const;
  bool CoversAllLayers(const TokenEvent& aEvent) const;

  std::uint64_t request;
  int layers;
  int attempt;
  bool isOpen = false;
  int nextPosition = 0;
  StepCounts counts{};
};

}  // namespace zincstep
