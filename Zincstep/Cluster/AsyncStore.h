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

/// A key with its value and the store's revision of its last change.
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;
};

/// How much of a list a stale read brings.
enum class StalePages {
  All,
  /// One call's worth: a short list whole, the beginning of a long one.
  First,
};

/// All items under a prefix.
struct StoreRange {
  std::vector<StoreItem> items;
  /// The store's revision when the first page was read: a watch that goes
  /// on from there misses nothing.
  StoreRevision at;
  /// Whether all items are here; else there were more pages than were wanted.
  bool isComplete = true;
};

/// One change under a watched prefix.
struct StoreEvent {
  /// Its value is empty where the key was removed.
  StoreItem item;
  bool isRemoved = false;
};

/// Changes under a watched prefix, none where the wait has passed.
struct StoreEvents {
  std::vector<StoreEvent> events;
  StoreRevision at;
};

/// A change that takes place if a key's revision is as expected.
struct StoreChange {
  std::string key;
  /// None: the key must not be there.
  StoreRevision expected;
  /// None: nothing is written, the condition alone is checked.
  std::optional<std::string> value;
  std::uint64_t lease = 0;
};

/// A value that a key gets, whatever stands there.
struct StorePut {
  std::string key;
  std::string value;
};

/// Keys that are written or removed without a condition, all or none of them;
/// 32 at the most.
struct StoreWrites {
  std::vector<StorePut> puts;
  /// Of all that are put.
  std::uint64_t lease = 0;
  std::vector<std::string> removed;
};

/// What became of a change.
struct StoreCommit {
  bool done = false;
  /// The revision of the store that it left; where nothing was written, the one
  /// that the store has.
  StoreRevision revision;
  /// Where not done: the item as it is; none where there is no such key.
  std::optional<StoreItem> present;
};

/// The platform's store, called without waiting, on the loop's thread.
///
/// Failures: `PlatformUnavailable` where nobody knows whether a call took
/// effect, `HistoryLost` where a watch cannot go on, `LeaseLost`,
/// `StoreRestored` where the store came back from a copy since the call began,
/// or the call is about a revision of an earlier era: nobody knows what became
/// of it, and what it asked about is void.
class AsyncStore {
 public:
  template <class T>
  using Done = std::function<void(Result<T>)>;

  virtual ~AsyncStore() = default;

  /// Reads all items under a prefix, as of now.
  virtual void Range(const std::string& aPrefix, Done<StoreRange> aDone) = 0;
  /// A stale read of the same: as it was some seconds ago at most, and not at
  /// one instant. A base for what peers tell; it costs a tenth of a read.
  virtual void RangeStale(const std::string& aPrefix, StalePages aPages,
                          Done<StoreRange> aDone) = 0;
  /// Waits for changes after a revision, at most `aWait`.
  virtual void Watch(const std::string& aPrefix, StoreRevision aAfter,
                     Micros aWait, Done<StoreEvents> aDone) = 0;
  /// Makes a change, or checks its condition alone.
  virtual void Commit(StoreChange aChange, Done<StoreCommit> aDone) = 0;
  /// Writes several keys; gives the revision of the store that it left.
  virtual void WriteAll(StoreWrites aWrites, Done<StoreRevision> aDone) = 0;
  /// Grants a lease; gives its number.
  virtual void Grant(Micros aTtl, Done<std::uint64_t> aDone) = 0;
  /// Renews a lease.
  virtual void Renew(std::uint64_t aLease, Done<bool> aDone) = 0;
  /// Ends a lease; its keys go with it.
  virtual void End(std::uint64_t aLease, Done<bool> aDone) = 0;
};

}  // namespace zincstep
