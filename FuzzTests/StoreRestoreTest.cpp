#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>

#include "FuzzTests/StateCheck.h"
#include "Zincstep/Cluster/Cluster.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

constexpr std::size_t kDaemons = 3;
constexpr int kUpstreams = 4;
/// Writes lost in a restore are repeated after this time.
constexpr Micros kRewriteDelay = 1s;
/// Maximum validation age at which a daemon accepts keys, and the operators'
/// bound on how long a revoked key may be accepted.
constexpr Micros kMaxValidationAge = 4700ms;
constexpr Micros kKeyRevocation = 5s;
constexpr const char* kConfigKey = "config";

/// Kinds of steps in a history.
enum class Step {
  WriteConfiguration,
  ChangeUpstream,
  RemoveUpstream,
  ToggleOutage,
  BackupOrRestore,
  AdvanceTime,
  ReadLists,
  Validate,
  SyncFromPeer,
  RestartDaemon,
  DeliverDelayed,
};
constexpr int kSteps = 11;

struct Action {
  Step step = Step::AdvanceTime;
  int argument = 0;
};

std::string ConfigText(std::uint64_t aVersion) {
  return R"({"configVersion":)" + std::to_string(aVersion) +
         R"(,"routes":[],"services":[]})";
}

std::string EntryText(const std::string& aId, bool aIsDraining, int aSlots) {
  return R"({"backend":"s","address":"10.0.0.)" + aId.substr(1) +
         R"(:80","zone":"a","slots":)" + std::to_string(aSlots) +
         R"(,"state":")" + (aIsDraining ? "draining" : "ready") +
         R"(","born":1})";
}

/// The store, its backup, and the writers that repeat writes lost in a restore.
class StoreModel {
 public:
  explicit StoreModel(const FakeClock& aClock) : clock(aClock) {
    this->Write(kConfigKey, ConfigText(1));
    this->TakeBackup();
  }

  void Write(const std::string& aKey, const std::string& aValue) {
    this->writtenValues[aKey] = aValue;
    this->revision.number += 1;
    this->items[aKey] = {aKey, aValue, this->revision};
  }
  void Remove(const std::string& aKey) {
    this->writtenValues.erase(aKey);
    if (this->items.erase(aKey) > 0) {
      this->revision.number += 1;
    }
  }
  void TakeBackup() {
    this->backup = this->items;
    this->backupRevision = this->revision;
  }
  void Restore() {
    this->items = this->backup;
    this->revision = {this->backupRevision.number, this->revision.era + 1};
    for (auto& [key, item] : this->items) {
      item.revision.era = this->revision.era;
    }
    this->rewriteAt = this->clock.Now() + kRewriteDelay;
  }
  /// Repeats the writes that the backup lacks, once they are due.
  void Tick() {
    if (!this->rewriteAt || this->clock.Now() < *this->rewriteAt) {
      return;
    }
    this->rewriteAt.reset();
    std::set<std::string> keys;
    for (const auto& [key, item] : this->items) {
      keys.insert(key);
    }
    for (const auto& [key, value] : std::map(this->writtenValues)) {
      keys.erase(key);
      if (!this->items.contains(key) || this->items[key].value != value) {
        this->Write(key, value);
      }
    }
    for (const std::string& key : keys) {
      this->Remove(key);
    }
  }
  StoreRange Upstreams() const {
    StoreRange range{{}, this->revision};
    for (const auto& [key, item] : this->items) {
      if (key != kConfigKey) {
        range.items.push_back(item);
      }
    }
    return range;
  }
  StoreItem Configuration() const { return this->items.at(kConfigKey); }
  StoreRevision Revision() const { return this->revision; }

  bool isDown = false;

 private:
  const FakeClock& clock;
  StoreItems items;
  StoreItems backup;
  std::map<std::string, std::string> writtenValues;
  StoreRevision revision{0, 1};
  StoreRevision backupRevision;
  std::optional<Instant> rewriteAt;
};

/// One daemon process, from start to restart.
struct Daemon final : public std::enable_shared_from_this<Daemon>,
                      private ClusterListener {
  Daemon(const ClusterDecoder& aDecoder, const FakeClock& aClock)
      : view(aDecoder, *this, aClock) {
    this->eras.SetOnRestored([this](std::uint64_t, std::uint64_t aEra) {
      this->view.OnRestored(aEra);
    });
  }

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  StoreEraTracker eras;
  ClusterView view;
  std::uint64_t highestVersion = 0;
  /// When a store response was first accepted in this process.
  std::optional<Instant> firstResponseAt;
};

class RestoreWorld {
 public:
  RestoreWorld() {
    this->clock.Advance(100s);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->Start(i);
    }
  }

  void Apply(const Action& aAction) {
    const auto pick = static_cast<std::size_t>(aAction.argument);
    const std::string id = "i" + std::to_string(aAction.argument % kUpstreams);
    Daemon& daemon = *this->daemons[pick % kDaemons];
    switch (aAction.step) {
      case Step::WriteConfiguration:
        if (!this->store.isDown) {
          this->version += 1 + pick % 3;
          this->store.Write(kConfigKey, ConfigText(this->version));
          this->writtenAt[this->version] = this->clock.Now();
        }
        break;
      case Step::ChangeUpstream:
        this->Change(id, aAction.argument);
        break;
      case Step::RemoveUpstream:
        if (!this->store.isDown) {
          this->store.Remove(id);
          this->draining.erase(id);
        }
        break;
      case Step::ToggleOutage:
        this->store.isDown = !this->store.isDown;
        break;
      case Step::BackupOrRestore:
        pick % 2 == 0 ? this->store.TakeBackup() : this->store.Restore();
        break;
      case Step::AdvanceTime:
        this->AdvanceTime(Micros{50'000} * (1 + aAction.argument));
        break;
      case Step::ReadLists:
        this->Read(daemon);
        break;
      case Step::Validate:
        this->Validate(daemon);
        break;
      case Step::SyncFromPeer:
        this->Sync(daemon, *this->daemons[(pick / kDaemons) % kDaemons]);
        break;
      case Step::RestartDaemon:
        this->Restart(pick % kDaemons);
        break;
      case Step::DeliverDelayed:
        this->FlushDelayed();
        break;
    }
    this->CheckInvariants();
  }

  /// After all faults have ended, all daemons agree with the store.
  void CheckConverges() {
    this->store.isDown = false;
    this->AdvanceTime(kRewriteDelay + 100ms);
    for (int round = 0; round < 3; ++round) {
      for (const auto& daemon : this->daemons) {
        this->Validate(*daemon);
        this->Read(*daemon);
      }
      for (const auto& daemon : this->daemons) {
        for (const auto& other : this->daemons) {
          this->Sync(*daemon, *other);
        }
      }
      this->AdvanceTime(2500ms);
      this->CheckInvariants();
    }
    for (const auto& daemon : this->daemons) {
      const StoreRange range = this->store.Upstreams();
      RC_ASSERT(daemon->view.Directory().All().size() == range.items.size());
      for (const StoreItem& item : range.items) {
        RC_ASSERT(daemon->view.Directory().Find(item.key) != nullptr);
      }
      RC_ASSERT(daemon->view.ConfigVersion() == this->version);
      RC_ASSERT(daemon->view.ValidationAge().has_value());
    }
  }

 private:
  void Start(std::size_t aIndex) {
    if (this->daemons.size() <= aIndex) {
      this->daemons.push_back(nullptr);
    }
    this->daemons[aIndex] =
        std::make_shared<Daemon>(*this->decoder, this->clock);
  }

  /// Restarts a daemon, which queries its live peers before it trusts the
  /// store.
  void Restart(std::size_t aIndex) {
    this->Start(aIndex);
    Daemon& daemon = *this->daemons[aIndex];
    daemon.view.AwaitPeers(this->clock.Now() + 600ms);
    for (const auto& other : this->daemons) {
      if (other.get() != &daemon) {
        this->Sync(daemon, *other);
      }
    }
    daemon.view.OnPeersResponded();
  }

  void Change(const std::string& aId, int aArgument) {
    if (this->store.isDown) {
      return;
    }
    // An upstream that has started draining does not revert that.
    const bool isDraining = this->draining.contains(aId) || aArgument % 5 == 4;
    if (isDraining) {
      this->draining.insert(aId);
    }
    this->store.Write(aId, EntryText(aId, isDraining, 1 + aArgument));
  }

  void AdvanceTime(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += 50ms) {
      this->clock.Advance(50ms);
      this->store.Tick();
      for (const auto& daemon : this->daemons) {
        daemon->view.Tick();
      }
    }
  }

  /// Applies a store response as the adapter does: only if its era is accepted.
  void ApplyResponse(Daemon& aDaemon, std::optional<std::uint64_t> aRequestEra,
                     std::uint64_t aEra, const std::function<void()>& aApply) {
    if (aDaemon.eras.Accepts(aRequestEra, aEra)) {
      aDaemon.firstResponseAt =
          aDaemon.firstResponseAt.value_or(this->clock.Now());
      aApply();
    }
  }

  void Read(Daemon& aDaemon) {
    if (this->store.isDown) {
      return;
    }
    const StoreRange range = this->store.Upstreams();
    const auto requestEra = aDaemon.eras.CurrentEra();
    this->delayedResponses.push_back(
        [this, weakDaemon = aDaemon.weak_from_this(), range, requestEra] {
          if (const auto daemon = weakDaemon.lock()) {
            this->ApplyResponse(*daemon, requestEra, range.at.era,
                                [&] { daemon->view.OnUpstreams(range); });
          }
        });
    this->ApplyResponse(aDaemon, requestEra, range.at.era, [&] {
      aDaemon.view.OnUpstreams(range);
      aDaemon.view.OnDaemons({{}, range.at});
    });
  }

  void Validate(Daemon& aDaemon) {
    if (this->store.isDown) {
      return;
    }
    const Instant startedAt = this->clock.Now();
    const StoreItem current = this->store.Configuration();
    this->ApplyResponse(aDaemon, aDaemon.eras.CurrentEra(),
                        current.revision.era, [&] {
                          aDaemon.view.OnConfiguration(current);
                          aDaemon.view.OnValidated(current.revision, startedAt);
                        });
  }

  void Sync(Daemon& aDaemon, Daemon& aPeer) {
    if (&aDaemon == &aPeer) {
      return;
    }
    aPeer.eras.OnPeerReport(aDaemon.eras.CurrentEra().value_or(0));
    const std::uint64_t era = aPeer.eras.CurrentEra().value_or(0);
    const ClusterUpdate update = aPeer.view.UpdateFor(aDaemon.view.Revisions());
    aDaemon.eras.OnPeerReport(era);
    if (era == aDaemon.eras.CurrentEra()) {
      aDaemon.view.OnUpdate(update, this->clock.Now());
    }
  }

  /// Delivers all delayed store responses.
  void FlushDelayed() {
    std::vector<std::function<void()>> all;
    all.swap(this->delayedResponses);
    for (const auto& deliver : all) {
      deliver();
    }
  }

  void CheckInvariants() {
    const Instant now = this->clock.Now();
    for (const auto& daemon : this->daemons) {
      const std::uint64_t activeVersion = daemon->view.ConfigVersion();
      RC_ASSERT(activeVersion >= daemon->highestVersion);
      daemon->highestVersion = activeVersion;
      const auto age = daemon->view.ValidationAge();
      if (!age || *age > kMaxValidationAge) {
        continue;
      }
      // An older active version would still accept a key that a later version
      // revoked. Versions that the store lost before its first response to this
      // daemon can only be learnt from peers, so they are exempt.
      for (const auto& [version, at] : this->writtenAt) {
        const bool isObservable =
            daemon->firstResponseAt && at >= *daemon->firstResponseAt;
        RC_ASSERT(!isObservable || version <= activeVersion ||
                  now - at <= kKeyRevocation);
      }
    }
  }

  FakeClock clock;
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  StoreModel store{this->clock};
  std::vector<std::shared_ptr<Daemon>> daemons;
  std::vector<std::function<void()>> delayedResponses;
  std::set<std::string> draining;
  std::uint64_t version = 1;
  std::map<std::uint64_t, Instant> writtenAt;
};

class StoreRestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRestoreTest);
  CPPUNIT_TEST(Histories_WithRestores_PreserveInvariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Histories_WithRestores_PreserveInvariants() {
    CPPUNIT_ASSERT(CheckState("restores of the store", [] {
      const auto numbers = *rc::gen::container<std::vector<int>>(
          rc::gen::inRange(0, kSteps * 20));
      RestoreWorld world;
      for (const int number : numbers) {
        world.Apply({static_cast<Step>(number % kSteps), number / kSteps});
      }
      world.CheckConverges();
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreTest);

}  // namespace
}  // namespace zincstep
