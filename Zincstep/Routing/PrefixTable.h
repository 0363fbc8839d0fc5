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
/// Assumed bytes per token, as only the text is known.
inline constexpr std::size_t kBytesPerToken = 4;

/// Returns the hashes of a prompt's blocks, each also over all blocks before
/// it.
///
/// Every hash includes the organisation, so that organisations can't learn each
/// other's prompts from timing. An incomplete last block is ignored.
std::vector<std::uint64_t> PrefixHashes(const std::string& aOrganisation,
                                        const std::string& aModelVersion,
                                        std::string_view aPrompt);

/// LRU table of the chain that last ran a prefix. Only a hint: the caches may
/// have dropped it.
class PrefixTable {
 public:
  explicit PrefixTable(std::size_t aCapacity) : capacity(aCapacity) {}

  /// Records that `aChain` ran a prompt with these block hashes.
  void RecordPrefix(const std::vector<std::uint64_t>& aHashes,
                    const Chain& aChain);

  /// Returns the chain with the longest matching prefix, or null, and the
  /// length of that prefix.
  const Chain* Find(const std::vector<std::uint64_t>& aHashes,
                    int& aMatchedTokens);

  /// Removes a prefix, if the table has it.
  void Remove(std::uint64_t aHash);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    Chain chain;
    std::list<std::uint64_t>::iterator position;
  };

  void Touch(Entry& aEntry);

  std::size_t capacity;
  std::unordered_map<std::uint64_t, Entry> entries;
  /// Most recently used first.
  std::list<std::uint64_t> recency;
};

}  // namespace zincstep
