#include "Zincstep/Entry/ConfigWatcher.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

constexpr std::size_t kOffers = 64;
constexpr Micros kLookInterval = 30s;
constexpr Micros kFailurePause = 500ms;
constexpr Micros kLongestFailurePause = 10s;

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
      offers(kOffers, this->offerBell),
      watchThread([this] { this->WatchLoop(); }),
      offerThread([this] { this->OfferLoop(); }) {}

ConfigWatcher::~ConfigWatcher() {
  this->stopping = true;
  this->watchBell.Notify();
  this->offerBell.Notify();
  this->watchThread.join();
  this->offerThread.join();
}

void ConfigWatcher::SetReader(bool aIsReader) {
  if (this->isReader.exchange(aIsReader) != aIsReader && aIsReader) {
    this->watchBell.Notify();
  }
}

void ConfigWatcher::Offer(ConfigGiveMessage aGive) {
  this->offers.Push(std::move(aGive));
}

void ConfigWatcher::Sleep(Micros aSpan) { this->watchBell.Wait(aSpan); }

void ConfigWatcher::WatchLoop() {
  Micros pause = kFailurePause;
  bool isFirst = true;
  while (!this->stopping) {
    const std::int64_t before = this->lastAnswer;
    this->LookOnce(this->isReader && !isFirst);
    isFirst = false;
    const double jitter = 0.5 + this->random.Unit();
    const bool answered = this->lastAnswer != before;
    if (!answered) {
      this->Sleep(Micros{static_cast<std::int64_t>(
          jitter * static_cast<double>(pause.count()))});
      pause = std::min(2 * pause, kLongestFailurePause);
      continue;
    }
    pause = kFailurePause;
    if (!this->isReader) {
      this->Sleep(Micros{static_cast<std::int64_t>(
          jitter * static_cast<double>(kLookInterval.count()))});
    }
  }
}

void ConfigWatcher::LookOnce(bool aWait) {
  const auto value = aWait ? this->store.Watch(kRootKey, this->rootRevision,
                                               this->settings.watchWait)
                           : this->store.Get(kRootKey);
  if (!value) {
    return;
  }
  this->lastAnswer = this->clock.Now().time_since_epoch().count();
  if (!*value || (*value)->revision <= this->rootRevision) {
    return;
  }
  ConfigurationPieces have;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    have = this->known;
  }
  const auto stored = this->configurations.LoadPieces(**value, &have);
  if (!stored) {
    LogWarning("configuration_not_read", {{"why", stored.error().message}});
    return;
  }
  this->rootRevision = (*value)->revision;
  this->Accept(*stored);
}

void ConfigWatcher::OfferLoop() {
  while (!this->stopping) {
    this->offerBell.Wait(1s);
    while (const auto offer = this->offers.Pop()) {
      this->TakeGive(*offer);
    }
  }
}

void ConfigWatcher::TakeGive(const ConfigGiveMessage& aGive) {
  Result<ConfigurationRoot> root = ReadRoot(aGive.root);
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
      const auto have = this->known.texts.find(name.digest);
      if (have != this->known.texts.end()) {
        stored.pieces.texts.insert(*have);
      }
    }
  }
  for (const auto& [digest, text] : aGive.pieces) {
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
