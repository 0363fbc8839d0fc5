#pragma once

#include <compare>
#include <cstdint>

namespace zincstep {

/// A state of the platform's store.
///
/// The store numbers its changes. After a restore from a backup it continues
/// from an older number, and the same numbers stand for other changes:
/// revisions can only be compared together with the era.
struct StoreRevision {
  /// 0: none.
  std::uint64_t number = 0;
  /// Rises each time the store is restored from a backup.
  std::uint64_t era = 0;

  bool IsNone() const { return this->number == 0; }

  bool operator==(const StoreRevision&) const = default;
  std::strong_ordering operator<=>(const StoreRevision& aOther) const {
    return this->era != aOther.era ? this->era <=> aOther.era
                                   : this->number <=> aOther.number;
  }
};

}  // namespace zincstep
