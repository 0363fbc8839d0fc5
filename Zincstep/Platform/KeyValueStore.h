#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HttpClient.h"

namespace zincstep {

/// A value with the store revision of its last change.
struct StoredValue {
  std::string value;
  std::uint64_t revision = 0;
};

/// A stored value with its key.
struct KeyedValue {
  std::string key;
  StoredValue stored;
};

/// Id of a lease; the platform assigns it.
using LeaseId = std::uint64_t;

/// The platform's small key-value service.
///
/// Each call may fail with `PlatformUnavailable`. A write that fails so may
/// have taken effect, since only the response may have been lost; the writer
/// must read the store to find out.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  /// Returns the value at `aKey`, or none if the key does not exist.
  virtual Result<std::optional<StoredValue>> Get(const std::string& aKey) = 0;
  /// Returns all keys that begin with `aPrefix`, with their values.
  virtual Result<std::vector<KeyedValue>> List(const std::string& aPrefix) = 0;
  /// Writes if the key's revision is still `aExpected` (0: the key must not
  /// exist).
  ///
  /// Returns the new revision, or none if the key has changed. A key with a
  /// lease is removed when the lease ends.
  virtual Result<std::optional<std::uint64_t>> CompareAndSwap(
      const std::string& aKey, std::uint64_t aExpected,
      const std::string& aValue, LeaseId aLease) = 0;
  /// Removes the key if its revision is still `aExpected`.
  ///
  /// Returns false if the key has changed or was removed.
  virtual Result<bool> Remove(const std::string& aKey,
                              std::uint64_t aExpected) = 0;
  /// Grants a lease that expires after `aTtl` without renewal.
  virtual Result<LeaseId> GrantLease(Micros aTtl) = 0;
  /// Renews a lease; fails with `LeaseLost` if it has expired.
  virtual Result<void> RenewLease(LeaseId aLease) = 0;
  /// Waits up to `aWait` until the key's revision exceeds `aAfter`.
  ///
  /// Returns none if it did not change in that time.
  virtual Result<std::optional<StoredValue>> Watch(const std::string& aKey,
                                                   std::uint64_t aAfter,
                                                   Micros aWait) = 0;
};

/// Role of a VM in the platform's list.
enum class VmRole { Entry, Upstream };

/// Names of the roles in the platform's responses.
inline constexpr NameTable<VmRole, 2> kVmRoleNames{{
    {VmRole::Entry, "entry"},
    {VmRole::Upstream, "upstream"},
}};

/// One VM in the platform's list, which may lag behind the real state.
struct VmEntry {
  std::string name;
  std::string failureDomain;
  VmRole role = VmRole::Entry;
  /// Address for callers (entry daemons) or for the daemons (upstreams).
  std::string address;
  /// Address for other entry daemons; empty for upstreams.
  std::string peerAddress;
  bool leaving = false;
};

/// The platform's list of live and leaving VMs.
class VmList {
 public:
  virtual ~VmList() = default;

  /// Returns the full list.
  virtual Result<std::vector<VmEntry>> List() = 0;
};

/// How to reach the platform.
struct PlatformSettings {
  /// Written host:port.
  std::string address;
  /// User-Agent header, such as `zincstep-entry/hall-a`.
  std::string userAgent = "zincstep/";
  /// Timeout of a call, in addition to the wait of a watch.
  Micros timeout = 3s;
  /// Budget of the calls' responses, which are up to 16 MiB each.
  std::shared_ptr<ByteBudget> responseBytes = DefaultResponseBudget();
};

/// Creates an HTTP client of the key-value service.
std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(
    PlatformSettings aSettings);
/// Wraps a store so that `Get` and `List` are attempted up to `aMaxAttempts`
/// times. For the client, whose user waits; daemons retry by themselves.
std::unique_ptr<KeyValueStore> MakeRetryingReads(
    std::unique_ptr<KeyValueStore> aStore, int aMaxAttempts);
/// Creates an HTTP client of the VM list.
std::unique_ptr<VmList> MakeHttpVmList(PlatformSettings aSettings);

}  // namespace zincstep
