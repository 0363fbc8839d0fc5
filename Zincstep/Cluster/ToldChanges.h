#pragma once

#include <cstdint>
#include <set>

namespace zincstep {

/// The store's changes that were told, by their revisions.
///
/// Each change of the store has the revision that follows on the one before, so
/// that a change which nobody told leaves a gap.
class ToldChanges {
 public:
  /// A change was told, under whatever prefix.
  void Add(std::uint64_t aRevision) { this->revisions.insert(aRevision); }

  /// The last revision behind `aFrom` up to which every change was told;
  /// `aFrom` where the next one was not.
  std::uint64_t WithoutGap(std::uint64_t aFrom) const {
    std::uint64_t last = aFrom;
    for (auto next = this->revisions.upper_bound(aFrom);
         next != this->revisions.end() && *next == last + 1; ++next) {
      last = *next;
    }
    return last;
  }

  /// Nobody asks for changes up to that revision any more.
  void Forget(std::uint64_t aUpTo) {
    this->revisions.erase(this->revisions.begin(),
                          this->revisions.upper_bound(aUpTo));
  }

  std::size_t Size() const { return this->revisions.size(); }

 private:
  std::set<std::uint64_t> revisions;
};

}  // namespace zincstep
