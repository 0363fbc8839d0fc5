#include "Zincstep/Entry/ConfigWatcher.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

constexpr std::size_t kMaxUpdates = 64;
constexpr Micros kPollInterval = 30s;
constexpr Micros kInitialBackoff = 500ms;
constexpr Micros kMaxBackoff = 10s;

}  // namespace

ConfigWatcher::ConfigWatcher(KeyValueStore& aStore,
                             const EntrySettings& aSettings,
                             const Clock& aClock, std::uint64_t aSeed,
                             Sink aSink)
    : store(aStore),
      configurations(aStore),
      settings(aSettings),
      clock(aClock),
      random(aSeed),
      sink(std::move(aSink)),
      updates(kMaxUpdates, this->updateEvent),
      watchThread([this] { this->WatchLoop(); }),
      updateThread([this] { this->UpdateLoop(); }) {}

ConfigWatcher::~ConfigWatcher() {
  this->stopping = true;
  this->watchEvent.Notify();
  this->updateEvent.Notify();
  this->watchThread.join();
  this->updateThread.join();
}

void ConfigWatcher::SetReader(bool aIsReader) {
  if (this->isReader.exchange(aIsReader) != aIsReader && aIsReader) {
    this->watchEvent.Notify();
  }
}

void ConfigWatcher::Submit(ConfigGiveMessage aUpdate) {
  this->updates.Push(std::move(aUpdate));
}

void ConfigWatcher::Sleep(Micros aDuration) {
  this->watchEvent.Wait(aDuration);
}

void ConfigWatcher::WatchLoop() {
  Micros backoff = kInitialBackoff;
  bool isFirst = true;
  while (!this->stopping) {
    const std::int64_t before = this->lastResponseAt;
    this->ReadOnce(this->isReader && !isFirst);
    isFirst = false;
    const double jitter = 0.5 + this->random.Unit();
    const bool hasResponded = this->lastResponseAt != before;
    if (!hasResponded) {
      this->Sleep(Micros{static_cast<std::int64_t>(
          jitter * static_cast<double>(backoff.count()))});
      backoff = std::min(2 * backoff, kMaxBackoff);
      continue;
    }
    backoff = kInitialBackoff;
    if (!this->isReader) {
      this->Sleep(Micros{static_cast<std::int64_t>(
          jitter * static_cast<double>(kPollInterval.count()))});
    }
  }
}

void ConfigWatcher::ReadOnce(bool aWait) {
  const auto value = aWait ? this->store.Watch(kRootKey, this->rootRevision,
                                               this->settings.watchTimeout)
                           : this->store.Get(kRootKey);
  if (!value) {
    return;
  }
  this->lastResponseAt = this->clock.Now().time_since_epoch().count();
  if (!*value || (*value)->revision <= this->rootRevision) {
    return;
  }
  ConfigurationPieces cached;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    cached = this->known;
  }
  const auto stored = this->configurations.LoadPieces(**value, &cached);
  if (!stored) {
    LogWarning("configuration_not_read", {{"why", stored.error().message}});
    return;
  }
  this->rootRevision = (*value)->revision;
  this->Accept(*stored);
}

void ConfigWatcher::UpdateLoop() {
  while (!this->stopping) {
    this->updateEvent.Wait(1s);
    while (const auto update = this->updates.Pop()) {
      this->ApplyUpdate(*update);
    }
  }
}

void ConfigWatcher::ApplyUpdate(const ConfigGiveMessage& aUpdate) {
  Result<ConfigurationRoot> root = ReadRoot(aUpdate.root);
  if (!root) {
    return;
  }
  StoredConfiguration stored;
  stored.root = std::move(*root);
  stored.pieces.names = stored.root.pieces;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (stored.root.revision <= this->revision) {
      return;
    }
    for (const PieceName& name : stored.pieces.names) {
      const auto cached = this->known.texts.find(name.digest);
      if (cached != this->known.texts.end()) {
        stored.pieces.texts.insert(*cached);
      }
    }
  }
  for (const auto& [digest, text] : aUpdate.pieces) {
    stored.pieces.texts[digest] = text;
  }
  this->Accept(stored);
}

void ConfigWatcher::Accept(const StoredConfiguration& aStored) {
  const Result<SnapshotPtr> snapshot =
      MakeSnapshot(aStored, this->settings.failureDomain);
  if (!snapshot) {
    LogError("configuration_not_usable", {{"revision", aStored.root.revision},
                                          {"why", snapshot.error().message}});
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (aStored.root.revision <= this->revision) {
    return;
  }
  this->revision = aStored.root.revision;
  this->known = aStored.pieces;
  this->sink(*snapshot);
}

}  // namespace zincstep
