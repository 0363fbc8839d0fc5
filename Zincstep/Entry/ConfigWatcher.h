#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

#include "Zincstep/Control/Control.h"
#include "Zincstep/Entry/EntrySettings.h"
#include "Zincstep/Entry/Snapshot.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// Reads the configuration on a thread of its own and parses it there.
///
/// The domain's reader waits in a watch; the others look now and then, and
/// are told by peers in between. Whatever the source, only a revision
/// above the last one is passed on.
class ConfigWatcher {
 public:
  using Sink = std::function<void(SnapshotPtr)>;

  /// `aSink` is called on the watcher's thread.
  ConfigWatcher(KeyValueStore& aStore, const EntrySettings& aSettings,
                const Clock& aClock, std::uint64_t aSeed, Sink aSink);
  ~ConfigWatcher();

  ConfigWatcher(const ConfigWatcher&) = delete;
  ConfigWatcher& operator=(const ConfigWatcher&) = delete;

  /// Whether this daemon is its domain's reader.
  void SetReader(bool aIsReader);
  /// A peer has given a configuration.
  void Offer(ConfigGiveMessage aGive);
  /// Microseconds of the monotonic clock at the last answer of the store.
  std::int64_t LastAnswerMicros() const { return this->lastAnswer; }

 private:
  void WatchLoop();
  void OfferLoop();
  void LookOnce(bool aWait);
  void TakeGive(const ConfigGiveMessage& aGive);
  void Accept(const StoredConfiguration& aStored);
  void Sleep(Micros aSpan);

  KeyValueStore& store;
  ConfigurationStore configurations;
  const EntrySettings& settings;
  const Clock& clock;
  Random random;
  Sink sink;
  std::atomic<bool> isReader{true};
  std::atomic<bool> stopping{false};
  std::atomic<std::int64_t> lastAnswer{0};
  std::uint64_t rootRevision = 0;
  WakeEvent watchBell;
  WakeEvent offerBell;
  Channel<ConfigGiveMessage> offers;
  /// Guards `known` and `revision`, which both threads use.
  std::mutex mutex;
  ConfigurationPieces known;
  std::uint64_t revision = 0;
  std::thread watchThread;
  std::thread offerThread;
};

}  // namespace zincstep
