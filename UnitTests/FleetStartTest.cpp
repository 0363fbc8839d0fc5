#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <deque>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/DaemonRegistrar.h"
#include "Zincstep/Edge/PeerMembers.h"

namespace zincstep {
namespace {

/// A store that completes calls at once; the daemons are notified of its
/// changes later.
class SharedStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange, Done<StoreCommit>) override {}
  void WriteAll(StoreWrites aWrites, Done<StoreRevision> aDone) override {
    this->calls += 1;
    this->revision.number += 1;
    for (const StorePut& put : aWrites.puts) {
      this->items[put.key] = {put.key, put.value, this->revision};
    }
    for (const std::string& key : aWrites.removed) {
      this->items.erase(key);
    }
    aDone(this->revision);
  }
  void Grant(Micros, Done<std::uint64_t> aDone) override {
    this->calls += 1;
    this->leases += 1;
    aDone(this->leases);
  }
  void Renew(std::uint64_t, Done<bool> aDone) override {
    this->calls += 1;
    aDone(true);
  }
  void End(std::uint64_t, Done<bool>) override {}

  int calls = 0;
  std::uint64_t leases = 0;
  StoreItems items;
  StoreRevision revision;
};

/// Simulates the discovery of a fleet of daemons in discrete time steps.
/// Messages arrive one step after they are sent.
class Fleet {
 public:
  static constexpr Micros kStep = 50ms;
  static constexpr int kDomains = 5;
  static constexpr int kFastPerDomain = 2;

  explicit Fleet(int aDaemons) : random(aDaemons) {
    this->daemons.resize(static_cast<std::size_t>(aDaemons));
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      EdgeSettings& settings = this->daemons[i].settings;
      settings.name = "vm-" + std::to_string(i);
      settings.peerListen = "h" + std::to_string(i) + ":1";
      settings.storePrefix = "";
      settings.failureDomain = "domain-" + std::to_string(i % kDomains);
      const bool hasFastLink =
          i >= this->daemons.size() - kDomains * kFastPerDomain;
      settings.linkMbps = hasFastLink ? 1000 : 20;
      this->byAddress[settings.peerListen] = i;
    }
  }

  /// Starts all processes within a third of a second.
  void StartAll() {
    this->messages.clear();
    for (Daemon& daemon : this->daemons) {
      daemon.members.reset();
      daemon.registrar.reset();
      daemon.startsAt = this->clock.Now() + FromSeconds(0.3 * random.Unit());
    }
  }

  void Run(Micros aSpan) {
    for (Micros passed{0}; passed < aSpan; passed += kStep) {
      this->clock.Advance(kStep);
      this->steps += 1;
      this->Deliver();
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->Step(i);
      }
      this->NotifyChanges();
    }
  }

  SharedStore store;
  /// Maximum number of daemons of one failure domain that read the store at the
  /// same time, and all daemons that ever did.
  int maxReaders = 0;
  std::set<std::size_t> readers;

  /// Number of daemons that have a fast link or a sync source.
  int CountFastOrSynced() const {
    int count = 0;
    for (const Daemon& daemon : this->daemons) {
      const bool hasFastLink = daemon.settings.linkMbps > 100;
      count += hasFastLink || daemon.members->HasSyncSource() ? 1 : 0;
    }
    return count;
  }
  int CountReaders() const {
    int count = 0;
    for (const Daemon& daemon : this->daemons) {
      count += ReadsStore(daemon) ? 1 : 0;
    }
    return count;
  }
  std::size_t Size() const { return this->daemons.size(); }

 private:
  struct Daemon {
    EdgeSettings settings;
    Instant startsAt{};
    std::unique_ptr<PeerMembers> members;
    std::unique_ptr<DaemonRegistrar> registrar;
    Instant nextSyncQuery{};
    bool isFresh = false;
    bool hasList = false;
    StoreRevision listRevision;
  };

  /// Whether a daemon reads the store now.
  static bool ReadsStore(const Daemon& aDaemon) {
    return aDaemon.members && aDaemon.members->MayQueryStore() &&
           !aDaemon.members->HasFreshSyncSource();
  }

  enum class Kind { QueryMembers, Members, QueryUpdates, Updates };
  struct Message {
    Kind kind;
    std::size_t from;
    std::size_t to;
    std::vector<PeerName> peers;
    bool isFresh = false;
  };

  PeerName PeerNameOf(std::size_t aDaemon) const {
    const EdgeSettings& settings = this->daemons[aDaemon].settings;
    return {settings.name, settings.peerListen, settings.failureDomain,
            settings.linkMbps};
  }

  std::vector<StoreItem> BootstrapEntries(const std::string& aDomain) const {
    std::vector<StoreItem> bootstrap;
    const std::string prefix = DaemonEntry::PrefixOf(aDomain);
    for (const auto& [key, item] : this->store.items) {
      if (key.starts_with(prefix)) {
        bootstrap.push_back(item);
      }
    }
    return bootstrap;
  }

  void StartDaemon(Daemon& aDaemon) {
    aDaemon.members =
        std::make_unique<PeerMembers>(aDaemon.settings, this->clock);
    aDaemon.registrar = std::make_unique<DaemonRegistrar>(
        aDaemon.settings, this->store, this->clock);
    aDaemon.members->OnBootstrapEntries(
        this->BootstrapEntries(aDaemon.settings.failureDomain));
    aDaemon.isFresh = false;
    aDaemon.hasList = false;
    aDaemon.listRevision = {};
  }

  void Deliver() {
    std::deque<Message> now;
    now.swap(this->messages);
    for (const Message& message : now) {
      Daemon& daemon = this->daemons[message.to];
      if (!daemon.members) {
        continue;
      }
      const std::string from = this->PeerNameOf(message.from).address;
      switch (message.kind) {
        case Kind::QueryMembers:
        case Kind::QueryUpdates:
          this->OnQuery(message, daemon);
          break;
        case Kind::Members:
          daemon.members->OnPeersDiscovered(message.peers);
          break;
        case Kind::Updates:
          daemon.members->OnResponse(from, message.isFresh
                                               ? std::optional<Micros>(0ms)
                                               : std::nullopt);
          daemon.isFresh = daemon.isFresh || message.isFresh;
          break;
      }
    }
  }

  void OnQuery(const Message& aMessage, Daemon& aDaemon) {
    const PeerName requester = this->PeerNameOf(aMessage.from);
    aDaemon.members->OnQueryFrom(requester);
    aDaemon.registrar->OnQueryFrom(requester);
    const bool requestsMembers = aMessage.kind == Kind::QueryMembers;
    Message response{requestsMembers ? Kind::Members : Kind::Updates,
                     aMessage.to,
                     aMessage.from,
                     {},
                     aDaemon.isFresh};
    if (requestsMembers) {
      response.peers = aDaemon.members->HighestRanked(requester.failureDomain,
                                                      requester.name);
    }
    this->messages.push_back(std::move(response));
  }

  void Step(std::size_t aNumber) {
    Daemon& daemon = this->daemons[aNumber];
    const Instant now = this->clock.Now();
    if (!daemon.members) {
      if (now < daemon.startsAt) {
        return;
      }
      this->StartDaemon(daemon);
    }
    if (ReadsStore(daemon)) {
      this->readers.insert(aNumber);
      daemon.isFresh = true;
    }
    if (this->steps % 5 == aNumber % 5) {
      daemon.registrar->Tick(daemon.members->IsDomainLeader());
    }
    if (now >= daemon.nextSyncQuery) {
      daemon.nextSyncQuery = now + (daemon.isFresh ? 250ms : 100ms);
      for (const std::string& address :
           daemon.members->NextSyncSources(daemon.isFresh ? 3 : 10)) {
        this->messages.push_back(
            {Kind::QueryUpdates, aNumber, this->byAddress.at(address), {}});
      }
    }
    if (!daemon.isFresh && !daemon.members->HasSyncSource() &&
        this->steps % 2 == 0) {
      for (std::size_t seed = 0; seed < 3; ++seed) {
        if (seed != aNumber) {
          this->messages.push_back({Kind::QueryMembers, aNumber, seed, {}});
        }
      }
    }
  }

  /// Sends the store's changes to the daemons every half second and counts the
  /// current readers.
  void NotifyChanges() {
    if (this->steps % 10 == 0) {
      for (const auto& [key, item] : this->store.items) {
        const std::string domain =
            DaemonEntry::Parse(key, item.value)->failureDomain;
        this->lists[domain].Put(item);
      }
      for (Daemon& daemon : this->daemons) {
        ItemList& list = this->lists[daemon.settings.failureDomain];
        list.AdvanceTo(this->store.revision);
        const bool hasChanged =
            !daemon.hasList || daemon.listRevision < list.At();
        if (daemon.members && daemon.isFresh && hasChanged) {
          daemon.hasList = true;
          daemon.members->OnEntries(list.UpdateSince(daemon.listRevision));
          daemon.registrar->OnEntries(list.Items());
          daemon.listRevision = list.At();
        }
      }
    }
    std::array<int, kDomains> readersOf{};
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      readersOf[i % kDomains] += ReadsStore(this->daemons[i]) ? 1 : 0;
    }
    this->maxReaders =
        std::max(this->maxReaders,
                 *std::max_element(readersOf.begin(), readersOf.end()));
  }

  FakeClock clock;
  Random random;
  std::vector<Daemon> daemons;
  std::map<std::string, std::size_t> byAddress;
  std::deque<Message> messages;
  /// The entries of each failure domain that its daemons are notified of.
  std::map<std::string, ItemList> lists;
  std::size_t steps = 0;
};

/// Starts hundreds of daemons together: their calls of the store have to grow
/// with the failure domains and entries, not with the daemons.
class FleetStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStartTest);
  CPPUNIT_TEST(FirstStart_ManyDaemons_FewReadTheStore);
  CPPUNIT_TEST(Restart_ManyDaemons_WritesLittle);
  CPPUNIT_TEST_SUITE_END();

  /// Maximum calls for this many entries: leases for each domain and 32 entries
  /// per call, doubled for entries that arrive late.
  static int MaxCalls(std::size_t aDaemons) {
    return 2 *
           static_cast<int>(Fleet::kDomains + Fleet::kDomains + aDaemons / 32);
  }

 public:
  // Guards against 38,000 calls at the start of 985 daemons, most of which were
  // rejected; each daemon wrote its own entry.
  void FirstStart_ManyDaemons_FewReadTheStore() {
    for (const int size : {30, 100, 300, 1000, 2000}) {
      Fleet fleet(size);
      fleet.StartAll();
      fleet.Run(5s);
      const std::string message =
          "daemons " + std::to_string(size) + ", readers " +
          std::to_string(fleet.readers.size()) + ", calls " +
          std::to_string(fleet.store.calls);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, fleet.Size(),
                                   fleet.store.items.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, Fleet::kDomains,
                                   fleet.CountReaders());
      CPPUNIT_ASSERT_MESSAGE(message, fleet.maxReaders <= 2);
      CPPUNIT_ASSERT_MESSAGE(message,
                             fleet.readers.size() <= 2 * Fleet::kDomains);
      CPPUNIT_ASSERT_MESSAGE(message, fleet.store.calls <= MaxCalls(size));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size, fleet.CountFastOrSynced());
    }
  }

  // The entries are still stored after all daemons have stopped.
  void Restart_ManyDaemons_WritesLittle() {
    for (const int size : {400, 1000}) {
      Fleet fleet(size);
      fleet.StartAll();
      fleet.Run(5s);
      const int before = fleet.store.calls;
      fleet.readers.clear();
      fleet.StartAll();
      fleet.Run(3s);
      CPPUNIT_ASSERT_EQUAL(Fleet::kDomains, fleet.CountReaders());
      CPPUNIT_ASSERT(fleet.readers.size() <= 2 * Fleet::kDomains);
      CPPUNIT_ASSERT_EQUAL(before, fleet.store.calls);
      fleet.Run(15s);
      CPPUNIT_ASSERT(fleet.store.calls - before <= MaxCalls(size));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStartTest);

}  // namespace
}  // namespace zincstep
