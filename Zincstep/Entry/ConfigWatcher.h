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

/// Loads and parses configurations on its own threads.
///
/// The reader of the failure domain watches the store. The other daemons poll
/// it at a long interval and receive updates from their peers in between. From
/// either source, only a revision higher than the last one is accepted.
class ConfigWatcher {
 public:
  using Sink = std::function<void(SnapshotPtr)>;

  /// `aSink` receives each accepted configuration, on one of the watcher's
  /// threads.
  ConfigWatcher(KeyValueStore& aStore, const EntrySettings& aSettings,
                const Clock& aClock, std::uint64_t aSeed, Sink aSink);
  ~ConfigWatcher();

  ConfigWatcher(const ConfigWatcher&) = delete;
  ConfigWatcher& operator=(const ConfigWatcher&) = delete;

  /// Sets whether this daemon is the reader of its failure domain.
  void SetReader(bool aIsReader);
  /// Queues a configuration that a peer sent; drops it if the queue is full.
  void Submit(ConfigGiveMessage aUpdate);
  /// Time of the store's last response, in microseconds of the monotonic clock;
  /// 0 before the first.
  std::int64_t LastResponseMicros() const { return this->lastResponseAt; }

 private:
  void WatchLoop();
  void UpdateLoop();
  void ReadOnce(bool aWait);
  void ApplyUpdate(const ConfigGiveMessage& aUpdate);
  void Accept(const StoredConfiguration& aStored);
  void Sleep(Micros aDuration);

  KeyValueStore& store;
  ConfigurationStore configurations;
  const EntrySettings& settings;
  const Clock& clock;
  Random random;
  Sink sink;
  std::atomic<bool> isReader{true};
  std::atomic<bool> stopping{false};
  std::atomic<std::int64_t> lastResponseAt{0};
  std::uint64_t rootRevision = 0;
  WakeEvent watchEvent;
  WakeEvent updateEvent;
  Channel<ConfigGiveMessage> updates;
  /// Guards `known` and `revision`, which both threads access.
  std::mutex mutex;
  ConfigurationPieces known;
  std::uint64_t revision = 0;
  std::thread watchThread;
  std::thread updateThread;
};

}  // namespace zincstep
