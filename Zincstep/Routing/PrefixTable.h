#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Zincstep/Routing/Chain.h"

namespace zincstep {

/// Bytes of a prompt in one block of the prefix table.
inline constexpr std::size_t kPrefixBlockBytes = 64;
/// Bytes that one token stands for, where only the text is known.
inline constexpr std::size_t kBytesPerToken = 4;

/// Hashes of a prompt's leading blocks, each over all blocks before it.
///
/// The organisation is part of every hash. Two organisations with the same
/// prompt have different hashes, so that neither can learn from timing
/// what the other has asked.
std::vector<std::uint64_t> PrefixHashes(const std::string& aOrganisation,
                                        const std::string& aModelVersion,
                                        std::string_view aPrompt);

/// Remembers which chain ran which prefix last; a hint, never a promise.
class PrefixTable {
 public:
  explicit PrefixTable(std::size_t aCapacity) : capacity(aCapacity) {}

  /// Notes that `aChain` has run a prompt with these block hashes.
  void RecordPrefix(const std::vector<std::uint64_t>& aHashes,
                    const Chain& aChain);

  /// The chain that shares the longest beginning, if any does.
  const Chain* Find(const std::vector<std::uint64_t>& aHashes,
                    int& aMatchedTokens);

  /// Forgets a prefix that an upstream says it has dropped.
  void Forget(std::uint64_t aHash);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    Chain chain;
    std::list<std::uint64_t>::iterator place;
  };

  void Touch(Entry& aEntry);

  std::size_t capacity;
  std::unordered_map<std::uint64_t, Entry> entries;
  /// Most recently used first.
  std::list<std::uint64_t> order;
};

}  // namespace zincstep
