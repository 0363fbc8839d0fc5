#pragma once

#include <cstdint>
#include <set>

#include "Zincstep/Cluster/StoreRevision.h"

namespace zincstep {

/// The store's changes that were told, by their revisions.
///
/// Each change of the store has the number that follows on the one before, so
/// that a change which nobody told leaves a gap. Those of one era are kept.
class ObservedChanges {
 public:
  /// A change was told, under whatever prefix.
  void Add(StoreRevision aRevision) {
    if (aRevision.era > this->era) {
      this->era = aRevision.era;
      this->numbers.clear();
    }
    if (aRevision.era == this->era) {
      this->numbers.insert(aRevision.number);
    }
  }

  /// The last revision behind `aFrom` up to which every change was told;
  /// `aFrom` where the next one was not.
  StoreRevision LastContiguous(StoreRevision aFrom) const {
    StoreRevision last = aFrom;
    if (aFrom.era != this->era) {
      return last;
    }
    for (auto next = this->numbers.upper_bound(aFrom.number);
         next != this->numbers.end() && *next == last.number + 1; ++next) {
      last.number = *next;
    }
    return last;
  }

  /// Nobody asks for changes up to that revision any more.
  void DiscardUpTo(StoreRevision aUpTo) {
    if (aUpTo.era == this->era) {
      this->numbers.erase(this->numbers.begin(),
                          this->numbers.upper_bound(aUpTo.number));
    }
  }

  std::size_t Size() const { return this->numbers.size(); }

 private:
  std::uint64_t era = 0;
  std::set<std::uint64_t> numbers;
};

}  // namespace zincstep
