#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <deque>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/DaemonRegistrar.h"
#include "Zincstep/Edge/PeerMembers.h"

namespace zincstep {
namespace {

/// A store that answers at once, and whose changes all daemons hear of late.
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

/// The daemons of a fleet with the parts of each that find out who is there, in
/// steps of time; what they tell each other comes a step later.
class Fleet {
 public:
  static constexpr Micros kStep = 50ms;
  static constexpr int kDomains = 5;
  static constexpr int kStrongOfDomain = 2;

  explicit Fleet(int aDaemons) : random(aDaemons) {
    this->daemons.resize(static_cast<std::size_t>(aDaemons));
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      EdgeSettings& settings = this->daemons[i].settings;
      settings.name = "vm-" + std::to_string(i);
      settings.peerListen = "h" + std::to_string(i) + ":1";
      settings.storePrefix = "";
      settings.failureDomain = "domain-" + std::to_string(i % kDomains);
      const bool isStrong =
          i >= this->daemons.size() - kDomains * kStrongOfDomain;
      settings.linkMbps = isStrong ? 1000 : 20;
      this->byAddress[settings.peerListen] = i;
    }
  }

  /// All processes start, within a third of a second.
  void StartAll() {
    this->messages.clear();
    for (Daemon& daemon : this->daemons) {
      daemon.members.reset();
      daemon.entries.reset();
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
      this->Watch();
    }
  }

  SharedStore store;
  /// Most daemons of one failure domain that were to ask the store at once, and
  /// all that ever were.
  int mostAskers = 0;
  std::set<std::size_t> askers;

  /// Daemons whose teller is the first of their domain, and those whose link is
  /// the larger one among the first.
  int AllRelyOnStrong() const {
    int count = 0;
    for (const Daemon& daemon : this->daemons) {
      const bool isStrong = daemon.settings.linkMbps > 100;
      count += isStrong || daemon.members->HasSyncSource() ? 1 : 0;
    }
    return count;
  }
  int Askers() const {
    int count = 0;
    for (const Daemon& daemon : this->daemons) {
      count += Asks(daemon) ? 1 : 0;
    }
    return count;
  }
  std::size_t Size() const { return this->daemons.size(); }

 private:
  struct Daemon {
    EdgeSettings settings;
    Instant startsAt{};
    std::unique_ptr<PeerMembers> members;
    std::unique_ptr<DaemonRegistrar> entries;
    Instant nextTellers{};
    bool isFresh = false;
    bool hasList = false;
    StoreRevision toldAt;
  };

  /// Whether a daemon asks the store now.
  static bool Asks(const Daemon& aDaemon) {
    return aDaemon.members && aDaemon.members->MayQueryStore() &&
           !aDaemon.members->HasFreshSyncSource();
  }

  enum class Kind { AskNames, Names, AskNews, News };
  struct Message {
    Kind kind;
    std::size_t from;
    std::size_t to;
    std::vector<PeerName> names;
    bool isFresh = false;
  };

  PeerName NameOf(std::size_t aDaemon) const {
    const EdgeSettings& settings = this->daemons[aDaemon].settings;
    return {settings.name, settings.peerListen, settings.failureDomain,
            settings.linkMbps};
  }

  std::vector<StoreItem> EarlyEntries(const std::string& aDomain) const {
    std::vector<StoreItem> early;
    const std::string prefix = DaemonEntry::PrefixOf(aDomain);
    for (const auto& [key, item] : this->store.items) {
      if (key.starts_with(prefix)) {
        early.push_back(item);
      }
    }
    return early;
  }

  void Begin(Daemon& aDaemon) {
    aDaemon.members =
        std::make_unique<PeerMembers>(aDaemon.settings, this->clock);
    aDaemon.entries = std::make_unique<DaemonRegistrar>(
        aDaemon.settings, this->store, this->clock);
    aDaemon.members->OnBootstrapEntries(
        this->EarlyEntries(aDaemon.settings.failureDomain));
    aDaemon.isFresh = false;
    aDaemon.hasList = false;
    aDaemon.toldAt = {};
  }

  void Deliver() {
    std::deque<Message> now;
    now.swap(this->messages);
    for (const Message& message : now) {
      Daemon& daemon = this->daemons[message.to];
      if (!daemon.members) {
        continue;
      }
      const std::string from = this->NameOf(message.from).address;
      switch (message.kind) {
        case Kind::AskNames:
        case Kind::AskNews:
          this->OnAsked(message, daemon);
          break;
        case Kind::Names:
          daemon.members->OnPeersDiscovered(message.names);
          break;
        case Kind::News:
          daemon.members->OnAnswer(from, message.isFresh
                                             ? std::optional<Micros>(0ms)
                                             : std::nullopt);
          daemon.isFresh = daemon.isFresh || message.isFresh;
          break;
      }
    }
  }

  void OnAsked(const Message& aMessage, Daemon& aDaemon) {
    const PeerName asker = this->NameOf(aMessage.from);
    aDaemon.members->OnQueryFrom(asker);
    aDaemon.entries->OnQueryFrom(asker);
    const bool isNames = aMessage.kind == Kind::AskNames;
    Message answer{isNames ? Kind::Names : Kind::News,
                   aMessage.to,
                   aMessage.from,
                   {},
                   aDaemon.isFresh};
    if (isNames) {
      answer.names = aDaemon.members->FirstOf(asker.failureDomain, asker.name);
    }
    this->messages.push_back(std::move(answer));
  }

  void Step(std::size_t aNumber) {
    Daemon& daemon = this->daemons[aNumber];
    const Instant now = this->clock.Now();
    if (!daemon.members) {
      if (now < daemon.startsAt) {
        return;
      }
      this->Begin(daemon);
    }
    if (Asks(daemon)) {
      this->askers.insert(aNumber);
      daemon.isFresh = true;
    }
    if (this->steps % 5 == aNumber % 5) {
      daemon.entries->Keep(daemon.members->IsDomainLeader());
    }
    if (now >= daemon.nextTellers) {
      daemon.nextTellers = now + (daemon.isFresh ? 250ms : 100ms);
      for (const std::string& address :
           daemon.members->NextSyncSources(daemon.isFresh ? 3 : 10)) {
        this->messages.push_back(
            {Kind::AskNews, aNumber, this->byAddress.at(address), {}});
      }
    }
    if (!daemon.isFresh && !daemon.members->HasSyncSource() &&
        this->steps % 2 == 0) {
      for (std::size_t seed = 0; seed < 3; ++seed) {
        if (seed != aNumber) {
          this->messages.push_back({Kind::AskNames, aNumber, seed, {}});
        }
      }
    }
  }

  /// What the store holds is told each half second.
  void Watch() {
    if (this->steps % 10 == 0) {
      for (const auto& [key, item] : this->store.items) {
        const std::string domain =
            DaemonEntry::Read(key, item.value)->failureDomain;
        this->told[domain].Put(item);
      }
      for (Daemon& daemon : this->daemons) {
        ItemList& list = this->told[daemon.settings.failureDomain];
        list.Advance(this->store.revision);
        const bool isNews = !daemon.hasList || daemon.toldAt < list.At();
        if (daemon.members && daemon.isFresh && isNews) {
          daemon.hasList = true;
          daemon.members->OnEntries(list.UpdateSince(daemon.toldAt));
          daemon.entries->OnEntries(list.Items());
          daemon.toldAt = list.At();
        }
      }
    }
    std::array<int, kDomains> now{};
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      now[i % kDomains] += Asks(this->daemons[i]) ? 1 : 0;
    }
    this->mostAskers =
        std::max(this->mostAskers, *std::max_element(now.begin(), now.end()));
  }

  FakeClock clock;
  Random random;
  std::vector<Daemon> daemons;
  std::map<std::string, std::size_t> byAddress;
  std::deque<Message> messages;
  /// Each failure domain's daemons as all of it hear of them.
  std::map<std::string, ItemList> told;
  std::size_t steps = 0;
};

/// Hundreds of daemons that start together: what they ask of the store has to
/// grow with failure domains and entries, not with daemons.
class FleetStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStartTest);
  CPPUNIT_TEST(FirstStart_OfManyDaemons_AsksTheStoreByFew);
  CPPUNIT_TEST(SecondStart_OfManyDaemons_WritesLittle);
  CPPUNIT_TEST_SUITE_END();

  /// Calls for so many entries: a lease for each domain, 32 entries a call, and
  /// as much again for entries that come late.
  static int MostCalls(std::size_t aDaemons) {
    return 2 *
           static_cast<int>(Fleet::kDomains + Fleet::kDomains + aDaemons / 32);
  }

 public:
  // 985 daemons made 38,000 calls, most of them refused, and each wrote its
  // entry by itself.
  void FirstStart_OfManyDaemons_AsksTheStoreByFew() {
    for (const int size : {30, 100, 300, 1000, 2000}) {
      Fleet fleet(size);
      fleet.StartAll();
      fleet.Run(5s);
      const std::string message =
          "daemons " + std::to_string(size) + ", askers " +
          std::to_string(fleet.askers.size()) + ", calls " +
          std::to_string(fleet.store.calls);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, fleet.Size(),
                                   fleet.store.items.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, Fleet::kDomains, fleet.Askers());
      CPPUNIT_ASSERT_MESSAGE(message, fleet.mostAskers <= 2);
      CPPUNIT_ASSERT_MESSAGE(message,
                             fleet.askers.size() <= 2 * Fleet::kDomains);
      CPPUNIT_ASSERT_MESSAGE(message, fleet.store.calls <= MostCalls(size));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size, fleet.AllRelyOnStrong());
    }
  }

  // After the end of all daemons their entries still stand in the store.
  void SecondStart_OfManyDaemons_WritesLittle() {
    for (const int size : {400, 1000}) {
      Fleet fleet(size);
      fleet.StartAll();
      fleet.Run(5s);
      const int before = fleet.store.calls;
      fleet.askers.clear();
      fleet.StartAll();
      fleet.Run(3s);
      CPPUNIT_ASSERT_EQUAL(Fleet::kDomains, fleet.Askers());
      CPPUNIT_ASSERT(fleet.askers.size() <= 2 * Fleet::kDomains);
      CPPUNIT_ASSERT_EQUAL(before, fleet.store.calls);
      fleet.Run(15s);
      CPPUNIT_ASSERT(fleet.store.calls - before <= MostCalls(size));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStartTest);

}  // namespace
}  // namespace zincstep
