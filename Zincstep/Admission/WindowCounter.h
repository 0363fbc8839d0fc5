#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Counts events in a sliding window, in steps of a twentieth of it.
class WindowCounter {
 public:
  explicit WindowCounter(Micros aWindow) : step(aWindow / kSteps) {
    ZINCSTEP_ASSERT(this->step > Micros{0});
  }

  void Add(Instant aNow) {
    const std::int64_t number = this->NumberOf(aNow);
    Slot& slot = this->slots[static_cast<std::size_t>(number % kSlots)];
    if (slot.number != number) {
      slot = {number, 0};
    }
    slot.count += 1;
  }
  /// Returns the events of the window, and those of up to one step before it.
  int CountAtLeastWindow(Instant aNow) const {
    return this->CountSlots(aNow, kSlots);
  }
  /// Returns the events of the window without those of up to its first step.
  int CountWithinWindow(Instant aNow) const {
    return this->CountSlots(aNow, kSteps);
  }

 private:
  static constexpr std::int64_t kSteps = 20;
  /// The window begins within a step.
  static constexpr std::int64_t kSlots = kSteps + 1;

  struct Slot {
    /// Number of the step since the clock's epoch; none is negative.
    std::int64_t number = -1;
    int count = 0;
  };

  std::int64_t NumberOf(Instant aNow) const {
    return aNow.time_since_epoch() / this->step;
  }
  int CountSlots(Instant aNow, std::int64_t aSlots) const {
    const std::int64_t last = this->NumberOf(aNow);
    int count = 0;
    for (const Slot& slot : this->slots) {
      count += slot.number > last - aSlots ? slot.count : 0;
    }
    return count;
  }

  Micros step;
  std::array<Slot, kSlots> slots{};
};

}  // namespace zincstep
