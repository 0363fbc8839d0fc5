#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Platform/Platform.h"

namespace zincstep::standins {

/// The in-memory state of the stand-in key-value service, without network.
class MemoryStore {
 public:
  explicit MemoryStore(const Clock& aClock) : clock(aClock) {}

  /// Returns the value of a key, or nullopt if the key does not exist.
  std::optional<StoredValue> Get(const std::string& aKey);
  /// Returns all keys with a prefix, sorted, with their values.
  std::vector<KeyedValue> List(const std::string& aPrefix);
  /// Writes the value and returns its new revision.
  ///
  /// Returns nullopt if the key is not at revision `aExpected` (0: the key
  /// does not exist) or if the lease has expired. `aLease` 0 means no lease.
  std::optional<std::uint64_t> CompareAndSwap(const std::string& aKey,
                                              std::uint64_t aExpected,
                                              const std::string& aValue,
                                              LeaseId aLease);
  /// Removes the key; returns false if it is not at revision `aExpected`.
  bool Remove(const std::string& aKey, std::uint64_t aExpected);
  /// Grants a lease that expires after `aTtl` unless renewed.
  LeaseId GrantLease(Micros aTtl);
  /// Renews a lease for its TTL; returns false if it has expired.
  bool RenewLease(LeaseId aLease);
  /// Removes expired leases and their keys.
  void Expire();

 private:
  struct Row {
    StoredValue stored;
    LeaseId lease = 0;
  };
  struct Lease {
    Micros ttl{0};
    Instant expiresAt;
  };

  const Clock& clock;
  std::map<std::string, Row> rows;
  std::map<LeaseId, Lease> leases;
  std::uint64_t revision = 0;
  LeaseId lastLease = 0;
};

}  // namespace zincstep::standins
