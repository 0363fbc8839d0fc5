#include "Zincstep/Routing/PrefixTable.h"

namespace zincstep {

std::vector<std::uint64_t> PrefixHashes(const std::string& aOrganisation,
                                        const std::string& aModelVersion,
                                        std::string_view aPrompt) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = Hash64(aModelVersion, Hash64(aOrganisation));
  const std::size_t blocks = aPrompt.size() / kPrefixBlockBytes;
  for (std::size_t block = 0; block < blocks; ++block) {
    const std::size_t start = block * kPrefixBlockBytes;
    hash = Hash64(aPrompt.substr(start, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

void PrefixTable::Touch(Entry& aEntry) {
  this->recency.splice(this->recency.begin(), this->recency, aEntry.position);
}

void PrefixTable::RecordPrefix(const std::vector<std::uint64_t>& aHashes,
                               const Chain& aChain) {
  for (const std::uint64_t hash : aHashes) {
    const auto found = this->entries.find(hash);
    if (found != this->entries.end()) {
      found->second.chain = aChain;
      this->Touch(found->second);
      continue;
    }
    if (this->entries.size() >= this->capacity) {
      this->Remove(this->recency.back());
    }
    this->recency.push_front(hash);
    this->entries.emplace(hash, Entry{aChain, this->recency.begin()});
  }
}

const Chain* PrefixTable::Find(const std::vector<std::uint64_t>& aHashes,
                               int& aMatchedTokens) {
  for (std::size_t i = aHashes.size(); i > 0; --i) {
    const auto found = this->entries.find(aHashes[i - 1]);
    if (found != this->entries.end()) {
      this->Touch(found->second);
      aMatchedTokens = static_cast<int>(i * kPrefixBlockBytes / kBytesPerToken);
      return &found->second.chain;
    }
  }
  aMatchedTokens = 0;
  return nullptr;
}

void PrefixTable::Remove(std::uint64_t aHash) {
  const auto found = this->entries.find(aHash);
  if (found != this->entries.end()) {
    this->recency.erase(found->second.position);
    this->entries.erase(found);
  }
}

}  // namespace zincstep
