#include "StandIns/MemoryStore.h"

namespace zincstep::standins {

void MemoryStore::Expire() {
  const Instant now = this->clock.Now();
  std::erase_if(this->leases, [&](const auto& aEntry) {
    return aEntry.second.expiresAt <= now;
  });
  std::erase_if(this->rows, [&](const auto& aEntry) {
    const LeaseId lease = aEntry.second.lease;
    return lease != 0 && !this->leases.contains(lease);
  });
}

std::optional<StoredValue> MemoryStore::Get(const std::string& aKey) {
  this->Expire();
  const auto found = this->rows.find(aKey);
  if (found == this->rows.end()) {
    return std::nullopt;
  }
  return found->second.stored;
}

std::vector<KeyedValue> MemoryStore::List(const std::string& aPrefix) {
  this->Expire();
  std::vector<KeyedValue> values;
  for (auto it = this->rows.lower_bound(aPrefix);
       it != this->rows.end() && it->first.starts_with(aPrefix); ++it) {
    values.push_back({it->first, it->second.stored});
  }
  return values;
}

std::optional<std::uint64_t> MemoryStore::CompareAndSwap(
    const std::string& aKey, std::uint64_t aExpected, const std::string& aValue,
    LeaseId aLease) {
  this->Expire();
  const auto found = this->rows.find(aKey);
  const std::uint64_t current =
      found == this->rows.end() ? 0 : found->second.stored.revision;
  const bool isLeaseValid = aLease == 0 || this->leases.contains(aLease);
  if (current != aExpected || !isLeaseValid) {
    return std::nullopt;
  }
  this->revision += 1;
  this->rows[aKey] = Row{{aValue, this->revision}, aLease};
  return this->revision;
}

bool MemoryStore::Remove(const std::string& aKey, std::uint64_t aExpected) {
  const auto found = this->rows.find(aKey);
  if (found == this->rows.end() || found->second.stored.revision != aExpected) {
    return false;
  }
  this->rows.erase(found);
  this->revision += 1;
  return true;
}

LeaseId MemoryStore::GrantLease(Micros aTtl) {
  this->lastLease += 1;
  this->leases[this->lastLease] = {aTtl, this->clock.Now() + aTtl};
  return this->lastLease;
}

bool MemoryStore::RenewLease(LeaseId aLease) {
  this->Expire();
  const auto found = this->leases.find(aLease);
  if (found == this->leases.end()) {
    return false;
  }
  found->second.expiresAt = this->clock.Now() + found->second.ttl;
  return true;
}

}  // namespace zincstep::standins
