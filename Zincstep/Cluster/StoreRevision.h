#pragma once

#include <compare>
#include <cstdint>

namespace zincstep {

/// A state of the platform's store.
///
/// The store numbers its changes. Where it has come back from a copy it goes on
/// counting from an older number, and the same numbers stand for other changes:
/// only together with the era do they tell which state is the newer one.
struct StoreRevision {
  /// 0: none.
  std::uint64_t number = 0;
  /// Rises each time the store comes back from a copy.
  std::uint64_t era = 0;

  bool IsNone() const { return this->number == 0; }

  bool operator==(const StoreRevision&) const = default;
  std::strong_ordering operator<=>(const StoreRevision& aOther) const {
    return this->era != aOther.era ? this->era <=> aOther.era
                                   : this->number <=> aOther.number;
  }
};

}  // namespace zincstep
