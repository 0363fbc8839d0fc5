#pragma once

#include <cstdint>
#include <set>

#include "Zincstep/Cluster/StoreRevision.h"

namespace zincstep {

/// Revisions of the store's changes that this daemon observed.
///
/// The store numbers its changes consecutively, so a change that was not
/// observed leaves a gap. Only the changes of the latest era are kept.
class ObservedChanges {
 public:
  /// Records an observed change, under any prefix.
  void Add(StoreRevision aRevision) {
    if (aRevision.era > this->era) {
      this->era = aRevision.era;
      this->numbers.clear();
    }
    if (aRevision.era == this->era) {
      this->numbers.insert(aRevision.number);
    }
  }

  /// Returns the last revision up to which every change after `aFrom` was
  /// observed; `aFrom` if the next one was not.
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

  /// Discards the changes up to a revision; they are no longer needed.
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
