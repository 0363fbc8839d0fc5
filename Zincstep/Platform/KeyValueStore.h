#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// A value with the store's revision of its last change.
struct StoredValue {
  std::string value;
  std::uint64_t revision = 0;
};

/// A stored value with its key.
struct KeyedValue {
  std::string key;
  StoredValue stored;
};

using LeaseId = std::uint64_t;

/// The platform's small key-value service.
///
/// Each call may fail with `PlatformUnavailable`. For a write that means
/// that nobody knows whether it took effect: the answer may have been
/// lost on its way, so that the writer must find out from the store.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  /// The value at `aKey`, or none where there is no such key.
  virtual Result<std::optional<StoredValue>> Get(const std::string& aKey) = 0;
  /// All keys that begin with `aPrefix`.
  virtual Result<std::vector<KeyedValue>> List(const std::string& aPrefix) = 0;
  /// Writes if the key's revision is still `aExpected` (0: no such key).
  ///
  /// Gives the new revision, or none where the key has changed. With a
  /// lease the key goes when the lease does.
  virtual Result<std::optional<std::uint64_t>> CompareAndSwap(
      const std::string& aKey, std::uint64_t aExpected,
      const std::string& aValue, LeaseId aLease) = 0;
  /// Removes the key if its revision is still `aExpected`.
  ///
  /// Gives false where the key has changed or is gone.
  virtual Result<bool> Remove(const std::string& aKey,
                              std::uint64_t aExpected) = 0;
  /// Grants a lease that lapses after `aTtl` without renewal.
  virtual Result<LeaseId> GrantLease(Micros aTtl) = 0;
  /// Renews a lease; fails with `LeaseLost` where it has lapsed.
  virtual Result<void> RenewLease(LeaseId aLease) = 0;
  /// Waits until the key's revision passes `aAfter`, at most `aWait`.
  ///
  /// Gives none where it did not change in that time.
  virtual Result<std::optional<StoredValue>> Watch(const std::string& aKey,
                                                   std::uint64_t aAfter,
                                                   Micros aWait) = 0;
};

/// What runs on a VM of the platform's list.
enum class VmRole { Entry, Upstream };

inline constexpr NameTable<VmRole, 2> kVmRoleNames{{
    {VmRole::Entry, "entry"},
    {VmRole::Upstream, "upstream"},
}};

/// One VM in the platform's list, which lags.
struct VmEntry {
  std::string name;
  std::string failureDomain;
  VmRole role = VmRole::Entry;
  /// Where callers or the system reach it.
  std::string address;
  /// Where other entry daemons reach it; empty for upstreams.
  std::string peerAddress;
  bool leaving = false;
};

/// The platform's list of live and leaving VMs.
class VmList {
 public:
  virtual ~VmList() = default;

  /// The whole list.
  virtual Result<std::vector<VmEntry>> List() = 0;
};

/// Where the platform is reached.
struct PlatformSettings {
  /// Host and port.
  std::string address;
  /// Name of the caller, such as `zincstep-entry/hall-a`.
  std::string userAgent = "zincstep/";
  Micros timeout = 3s;
};

/// The service over HTTP.
std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(
    PlatformSettings aSettings);
/// A store whose reads are tried up to `aTries` times, for a client whose
/// user waits; daemons come back by themselves.
std::unique_ptr<KeyValueStore> MakeRetryingReads(
    std::unique_ptr<KeyValueStore> aStore, int aTries);
/// The list over HTTP.
std::unique_ptr<VmList> MakeHttpVmList(PlatformSettings aSettings);

}  // namespace zincstep
