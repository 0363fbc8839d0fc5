#pragma once

#include <cstdint>
#include <functional>
#include <optional>

namespace zincstep {

/// Tracks the era of the platform's store and decides which of its responses
/// are valid.
///
/// Each response carries the era of the store that sent it. A response to a
/// request of another era refers to revisions that now stand for other changes:
/// a condition may hold by chance and a watch may skip what was lost.
class StoreEraTracker {
 public:
  /// Called with the previous and the current era.
  using OnRestored = std::function<void(std::uint64_t, std::uint64_t)>;

  /// Sets the callback for a restore of the store from a backup.
  void SetOnRestored(OnRestored aOnRestored) {
    this->onRestored = std::move(aOnRestored);
  }
  /// The current era; none before the first response or report.
  std::optional<std::uint64_t> CurrentEra() const { return this->current; }
  /// Records the era of a response, 0 if it carries none, and returns whether
  /// the response is valid; `aRequestEra` is the era that was current when the
  /// request was sent.
  bool Accepts(std::optional<std::uint64_t> aRequestEra,
               std::uint64_t aResponseEra);
  /// Records the era that another daemon has seen; 0: it has seen none.
  void OnPeerReport(std::uint64_t aEra) {
    if (aEra > 0) {
      this->Update(aEra);
    }
  }

 private:
  void Update(std::uint64_t aEra);

  std::optional<std::uint64_t> current;
  OnRestored onRestored;
};

}  // namespace zincstep
