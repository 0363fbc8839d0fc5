#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Cluster/StoreEraTracker.h"
#include "Zincstep/Cluster/StoreRevision.h"
#include "Zincstep/Core/Core.h"

namespace zincstep {

/// A key with its value and the store revision of its last change.
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;
};

/// How many pages of a list a stale read returns.
enum class StalePages {
  All,
  /// A single page: all of a short list, the beginning of a long one.
  First,
};

/// All items under a prefix.
struct StoreRange {
  std::vector<StoreItem> items;
  /// Store revision at the time the first page was read. A watch that starts
  /// from it misses no change.
  StoreRevision at;
  /// Whether `items` holds every item; false if only the first page was
  /// requested and there are more.
  bool isComplete = true;
};

/// A change under a watched prefix.
struct StoreEvent {
  /// The value is empty if the key was removed.
  StoreItem item;
  bool isRemoved = false;
};

/// Changes under a watched prefix; empty if the wait timed out.
struct StoreEvents {
  std::vector<StoreEvent> events;
  StoreRevision at;
};

/// A conditional write: applies if the key's revision is as expected.
struct StoreChange {
  std::string key;
  /// None: the key must not exist.
  StoreRevision expected;
  /// None: nothing is written, only the condition is checked.
  std::optional<std::string> value;
  std::uint64_t lease = 0;
};

/// An unconditional write of one key.
struct StorePut {
  std::string key;
  std::string value;
};

/// Unconditional writes and removals of up to 32 keys, applied atomically.
struct StoreWrites {
  std::vector<StorePut> puts;
  /// Lease that all written keys are attached to; 0: none.
  std::uint64_t lease = 0;
  std::vector<std::string> removed;
};

/// Result of a conditional write.
struct StoreCommit {
  bool done = false;
  /// Revision of the store after the write, or its current revision if nothing
  /// was written.
  StoreRevision revision;
  /// If `done` is false: the current item; none if the key does not exist.
  std::optional<StoreItem> present;
};

/// Asynchronous client of the platform's store. Calls return at once; callbacks
/// run on the loop's thread.
///
/// Errors: `PlatformUnavailable` if it is unknown whether the call took effect,
/// `HistoryLost` if a watch cannot continue, `LeaseLost`, and `StoreRestored`
/// if the store was restored from a backup since the call began or the call
/// refers to a revision of an earlier era. The outcome of such a call is
/// unknown and its condition is void.
class AsyncStore {
 public:
  template <class T>
  using Done = std::function<void(Result<T>)>;

  virtual ~AsyncStore() = default;

  /// Reads the current items under a prefix.
  virtual void Range(const std::string& aPrefix, Done<StoreRange> aDone) = 0;
  /// Stale read of the items under a prefix: the data may be some seconds old
  /// and pages may differ in age. Used as a base for updates from peers; costs
  /// a tenth of a read.
  virtual void RangeStale(const std::string& aPrefix, StalePages aPages,
                          Done<StoreRange> aDone) = 0;
  /// Waits up to `aWait` for changes after a revision.
  virtual void Watch(const std::string& aPrefix, StoreRevision aAfter,
                     Micros aWait, Done<StoreEvents> aDone) = 0;
  /// Makes a conditional write, or only checks its condition.
  virtual void Commit(StoreChange aChange, Done<StoreCommit> aDone) = 0;
  /// Writes several keys; returns the store's revision after the write.
  virtual void WriteAll(StoreWrites aWrites, Done<StoreRevision> aDone) = 0;
  /// Grants a lease; returns its id.
  virtual void Grant(Micros aTtl, Done<std::uint64_t> aDone) = 0;
  /// Renews a lease.
  virtual void Renew(std::uint64_t aLease, Done<bool> aDone) = 0;
  /// Revokes a lease; the store removes the keys attached to it.
  virtual void End(std::uint64_t aLease, Done<bool> aDone) = 0;
};

}  // namespace zincstep
