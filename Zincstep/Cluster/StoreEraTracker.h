#pragma once

#include <cstdint>
#include <functional>
#include <optional>

namespace zincstep {

/// Knows in which era the platform's store is, and which of its answers may be
/// believed.
///
/// Each answer tells the era of the store that gave it. One that was asked for
/// in another era is about numbers that stand for other changes now: a
/// condition may hold by chance, a watch may pass over what was lost.
class StoreEraTracker {
 public:
  /// Called with the era before and the present one.
  using OnRestored = std::function<void(std::uint64_t, std::uint64_t)>;

  /// Sets who is told that the store has come back from a copy.
  void SetOnRestored(OnRestored aOnRestored) {
    this->onRestored = std::move(aOnRestored);
  }
  /// The present era; none before anybody told of it.
  std::optional<std::uint64_t> CurrentEra() const { return this->present; }
  /// Takes the era that an answer tells, 0 where it tells none, and says
  /// whether the answer may be believed; `aAsked` is what was present when it
  /// was asked for.
  bool Accepts(std::optional<std::uint64_t> aAsked, std::uint64_t aAnswered);
  /// Another daemon has seen this era; 0: it has seen none.
  void OnPeerReport(std::uint64_t aEra) {
    if (aEra > 0) {
      this->Note(aEra);
    }
  }

 private:
  void Note(std::uint64_t aEra);

  std::optional<std::uint64_t> present;
  OnRestored onRestored;
};

}  // namespace zincstep
