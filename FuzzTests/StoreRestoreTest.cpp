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
/// What was written since the copy is written again within this.
constexpr Micros kWrittenAgain = 1s;
/// The operators' bound on withdrawn keys, as the daemons look at their proofs.
constexpr Micros kLongestProof = 4700ms;
constexpr Micros kRevocation = 5s;
constexpr const char* kConfigKey = "config";

/// What a history consists of.
enum class Step {
  WriteConfiguration,
  ChangeUpstream,
  RemoveUpstream,
  LoseStore,
  RestoreCopy,
  Pass,
  ReadLists,
  Check,
  AskPeer,
  RestartDaemon,
  DeliverLate,
};
constexpr int kSteps = 11;

struct Move {
  Step step = Step::Pass;
  int argument = 0;
};

std::string ConfigText(std::uint64_t aVersion) {
  return R"({"configVersion":)" + std::to_string(aVersion) +
         R"(,"routes":[],"services":[]})";
}

std::string EntryText(const std::string& aId, bool aIsLeaving, int aSlots) {
  return R"({"backend":"s","address":"10.0.0.)" + aId.substr(1) +
         R"(:80","zone":"a","slots":)" + std::to_string(aSlots) +
         R"(,"state":")" + (aIsLeaving ? "draining" : "ready") +
         R"(","born":1})";
}

/// The store, its copies, and who writes again what a copy lacks.
class Oracle {
 public:
  explicit Oracle(const FakeClock& aClock) : clock(aClock) {
    this->Write(kConfigKey, ConfigText(1));
    this->TakeCopy();
  }

  void Write(const std::string& aKey, const std::string& aValue) {
    this->wanted[aKey] = aValue;
    this->revision.number += 1;
    this->items[aKey] = {aKey, aValue, this->revision};
  }
  void Remove(const std::string& aKey) {
    this->wanted.erase(aKey);
    if (this->items.erase(aKey) > 0) {
      this->revision.number += 1;
    }
  }
  void TakeCopy() {
    this->copy = this->items;
    this->copyRevision = this->revision;
  }
  void Restore() {
    this->items = this->copy;
    this->revision = {this->copyRevision.number, this->revision.era + 1};
    for (auto& [key, item] : this->items) {
      item.revision.era = this->revision.era;
    }
    this->rewriteAt = this->clock.Now() + kWrittenAgain;
  }
  /// What the copy lacks is written again where it is time.
  void Tick() {
    if (!this->rewriteAt || this->clock.Now() < *this->rewriteAt) {
      return;
    }
    this->rewriteAt.reset();
    std::set<std::string> keys;
    for (const auto& [key, item] : this->items) {
      keys.insert(key);
    }
    for (const auto& [key, value] : std::map(this->wanted)) {
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

  bool isAway = false;

 private:
  const FakeClock& clock;
  StoreItems items;
  StoreItems copy;
  std::map<std::string, std::string> wanted;
  StoreRevision revision{0, 1};
  StoreRevision copyRevision;
  std::optional<Instant> rewriteAt;
};

/// One life of a daemon.
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
  std::uint64_t highest = 0;
  /// When the store first answered in this life.
  std::optional<Instant> lastSeenAt;
};

class World {
 public:
  World() {
    this->clock.Advance(100s);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->Start(i);
    }
  }

  void Do(const Move& aMove) {
    const auto pick = static_cast<std::size_t>(aMove.argument);
    const std::string id = "i" + std::to_string(aMove.argument % kUpstreams);
    Daemon& daemon = *this->daemons[pick % kDaemons];
    switch (aMove.step) {
      case Step::WriteConfiguration:
        if (!this->oracle.isAway) {
          this->version += 1 + pick % 3;
          this->oracle.Write(kConfigKey, ConfigText(this->version));
          this->acknowledged[this->version] = this->clock.Now();
        }
        break;
      case Step::ChangeUpstream:
        this->Change(id, aMove.argument);
        break;
      case Step::RemoveUpstream:
        if (!this->oracle.isAway) {
          this->oracle.Remove(id);
          this->leaving.erase(id);
        }
        break;
      case Step::LoseStore:
        this->oracle.isAway = !this->oracle.isAway;
        break;
      case Step::RestoreCopy:
        pick % 2 == 0 ? this->oracle.TakeCopy() : this->oracle.Restore();
        break;
      case Step::Pass:
        this->Pass(Micros{50'000} * (1 + aMove.argument));
        break;
      case Step::ReadLists:
        this->Read(daemon);
        break;
      case Step::Check:
        this->Check(daemon);
        break;
      case Step::AskPeer:
        this->Ask(daemon, *this->daemons[(pick / kDaemons) % kDaemons]);
        break;
      case Step::RestartDaemon:
        this->Restart(pick % kDaemons);
        break;
      case Step::DeliverLate:
        this->Deliver();
        break;
    }
    this->CheckAll();
  }

  /// Everything heals: all daemons believe what the store has.
  void Settle() {
    this->oracle.isAway = false;
    this->Pass(kWrittenAgain + 100ms);
    for (int round = 0; round < 3; ++round) {
      for (const auto& daemon : this->daemons) {
        this->Check(*daemon);
        this->Read(*daemon);
      }
      for (const auto& daemon : this->daemons) {
        for (const auto& other : this->daemons) {
          this->Ask(*daemon, *other);
        }
      }
      this->Pass(2500ms);
      this->CheckAll();
    }
    for (const auto& daemon : this->daemons) {
      const StoreRange range = this->oracle.Upstreams();
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

  /// Another daemon that lives is heard before the store is believed.
  void Restart(std::size_t aIndex) {
    this->Start(aIndex);
    Daemon& daemon = *this->daemons[aIndex];
    daemon.view.AwaitPeers(this->clock.Now() + 600ms);
    for (const auto& other : this->daemons) {
      if (other.get() != &daemon) {
        this->Ask(daemon, *other);
      }
    }
    daemon.view.OnPeersResponded();
  }

  void Change(const std::string& aId, int aArgument) {
    if (this->oracle.isAway) {
      return;
    }
    // Who has announced its end does not take that back.
    const bool leaves = this->leaving.contains(aId) || aArgument % 5 == 4;
    if (leaves) {
      this->leaving.insert(aId);
    }
    this->oracle.Write(aId, EntryText(aId, leaves, 1 + aArgument));
  }

  void Pass(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += 50ms) {
      this->clock.Advance(50ms);
      this->oracle.Tick();
      for (const auto& daemon : this->daemons) {
        daemon->view.Tick();
      }
    }
  }

  /// Takes an answer as the adapter does: only if it may be believed.
  void Answer(Daemon& aDaemon, std::optional<std::uint64_t> aAsked,
              std::uint64_t aEra, const std::function<void()>& aTake) {
    if (aDaemon.eras.Accepts(aAsked, aEra)) {
      aDaemon.lastSeenAt = aDaemon.lastSeenAt.value_or(this->clock.Now());
      aTake();
    }
  }

  void Read(Daemon& aDaemon) {
    if (this->oracle.isAway) {
      return;
    }
    const StoreRange range = this->oracle.Upstreams();
    const auto asked = aDaemon.eras.CurrentEra();
    this->late.push_back([this, life = aDaemon.weak_from_this(), range, asked] {
      if (const auto daemon = life.lock()) {
        this->Answer(*daemon, asked, range.at.era,
                     [&] { daemon->view.OnUpstreams(range); });
      }
    });
    this->Answer(aDaemon, asked, range.at.era, [&] {
      aDaemon.view.OnUpstreams(range);
      aDaemon.view.OnDaemons({{}, range.at});
    });
  }

  void Check(Daemon& aDaemon) {
    if (this->oracle.isAway) {
      return;
    }
    const Instant began = this->clock.Now();
    const StoreItem present = this->oracle.Configuration();
    this->Answer(aDaemon, aDaemon.eras.CurrentEra(), present.revision.era, [&] {
      aDaemon.view.OnConfiguration(present);
      aDaemon.view.OnValidated(present.revision, began);
    });
  }

  void Ask(Daemon& aDaemon, Daemon& aPeer) {
    if (&aDaemon == &aPeer) {
      return;
    }
    aPeer.eras.OnPeerReport(aDaemon.eras.CurrentEra().value_or(0));
    const std::uint64_t era = aPeer.eras.CurrentEra().value_or(0);
    const ClusterUpdate copy = aPeer.view.UpdateFor(aDaemon.view.Revisions());
    aDaemon.eras.OnPeerReport(era);
    if (era == aDaemon.eras.CurrentEra()) {
      aDaemon.view.OnUpdate(copy, this->clock.Now());
    }
  }

  /// An answer from long ago comes at last.
  void Deliver() {
    std::vector<std::function<void()>> all;
    all.swap(this->late);
    for (const auto& answer : all) {
      answer();
    }
  }

  void CheckAll() {
    const Instant now = this->clock.Now();
    for (const auto& daemon : this->daemons) {
      const std::uint64_t inForce = daemon->view.ConfigVersion();
      RC_ASSERT(inForce >= daemon->highest);
      daemon->highest = inForce;
      const auto age = daemon->view.ValidationAge();
      if (!age || *age > kLongestProof) {
        continue;
      }
      // A key that a later version has taken away would still be accepted. What
      // the store had lost before it first answered nobody tells this daemon
      // but peers that know better.
      for (const auto& [version, at] : this->acknowledged) {
        const bool isKnowable = daemon->lastSeenAt && at >= *daemon->lastSeenAt;
        RC_ASSERT(!isKnowable || version <= inForce || now - at <= kRevocation);
      }
    }
  }

  FakeClock clock;
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  Oracle oracle{this->clock};
  std::vector<std::shared_ptr<Daemon>> daemons;
  std::vector<std::function<void()>> late;
  std::set<std::string> leaving;
  std::uint64_t version = 1;
  std::map<std::uint64_t, Instant> acknowledged;
};

class StoreRestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRestoreTest);
  CPPUNIT_TEST(Histories_WithRestores_KeepWhatMustHold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Histories_WithRestores_KeepWhatMustHold() {
    CPPUNIT_ASSERT(CheckState("restores of the store", [] {
      const auto numbers = *rc::gen::container<std::vector<int>>(
          rc::gen::inRange(0, kSteps * 20));
      World world;
      for (const int number : numbers) {
        world.Do({static_cast<Step>(number % kSteps), number / kSteps});
      }
      world.Settle();
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreTest);

}  // namespace
}  // namespace zincstep
