#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Core/Random.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A builder whose builds end when the test says so.
class HeldBuilder final : public ConfigurationBuilder {
 public:
  explicit HeldBuilder(const ClusterDecoder& aDecoder) : decoder(&aDecoder) {}

  void Start(std::shared_ptr<const std::string> aText,
             DecodedConfiguration aFormer, Done aDone) override {
    this->started += 1;
    this->builds.push_back(
        {std::move(aText), std::move(aFormer), std::move(aDone)});
  }

  /// Ends the build that started first.
  void End() {
    CPPUNIT_ASSERT(!this->builds.empty());
    const Held held = std::move(this->builds.front());
    this->builds.pop_front();
    held.done(BuildRouteTable(*this->decoder, *held.text, held.former));
  }
  void EndAll() {
    while (!this->builds.empty()) {
      this->End();
    }
  }

  std::size_t Running() const { return this->builds.size(); }

  int started = 0;

 private:
  struct Held {
    std::shared_ptr<const std::string> text;
    DecodedConfiguration former;
    Done done;
  };

  const ClusterDecoder* decoder;
  std::deque<Held> builds;
};

/// A configuration of that version; a large one has 40 KB of routes.
std::string VersionText(std::uint64_t aVersion, bool aIsLarge = true) {
  constexpr int kManyRoutes = 300;
  std::string text = R"({"configVersion":)" + std::to_string(aVersion) +
                     R"(,"services":[],"routes":[)";
  for (int i = 0; aIsLarge && i < kManyRoutes; ++i) {
    text += (i > 0 ? "," : "") + std::string(R"({"name":"r-)") +
            std::to_string(i) + R"(","hostname":"h","pathPrefix":"/p)" +
            std::to_string(i) +
            R"(/","routeType":"safe","timeoutMs":2000,)"
            R"("maxAttempts":2,"targetLatencyMs":500,"backend":"plain"})";
  }
  return text + "]}";
}

/// The order in which large configurations become active.
class ConfigurationStateTest : public CppUnit::TestFixture,
                               private ClusterListener {
  CPPUNIT_TEST_SUITE(ConfigurationStateTest);
  CPPUNIT_TEST(Large_UntilBuilt_KeepsThePrevious);
  CPPUNIT_TEST(Large_SeveralWaiting_BuildsOnlyTheNewest);
  CPPUNIT_TEST(Large_StormOfChanges_EachBuildBecomesActive);
  CPPUNIT_TEST(Small_BehindALarge_IsActiveAtOnce);
  CPPUNIT_TEST(SameAsActive_BehindALarge_StaysActive);
  CPPUNIT_TEST(Large_Invalid_KeepsThePrevious);
  CPPUNIT_TEST(Large_BuildFailed_IsAcceptedAgain);
  CPPUNIT_TEST(Validation_OfAPendingBuild_CountsOnceItIsActive);
  CPPUNIT_TEST(Validation_OfAReplacedBuild_CountsOnceTheNewerIsActive);
  CPPUNIT_TEST(PeerConfiguration_UntilBuilt_DefersValidations);
  CPPUNIT_TEST(PeerUpdate_WhileBuilding_IsNotRequestedAgain);
  CPPUNIT_TEST(PeerUpdate_WaitingBehindAnother_IsNotRequestedAgain);
  CPPUNIT_TEST(PeerUpdate_BuildFailed_IsRequestedAgain);
  CPPUNIT_TEST(PeerConfiguration_WhileBuilding_IsNotRequestedAgain);
  CPPUNIT_TEST(PeersResponded_WhileBuilding_EndsTheWaitAfterIt);
  CPPUNIT_TEST(Restored_WhileBuilding_NeverGoesBack);
  CPPUNIT_TEST(RandomChanges_ManySeeds_EndWithTheNewest);
  CPPUNIT_TEST(Replaced_KeyRemoved_IsKeptForAWhile);
  CPPUNIT_TEST(Replaced_SameKeysAndRoutes_IsNotKept);
  CPPUNIT_TEST(Replaced_NeverValidated_IsNotKept);
  CPPUNIT_TEST(Replaced_Storm_KeepsTheNewestFour);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  HeldBuilder builder{*decoder};
  std::unique_ptr<ClusterView> view;
  int activations = 0;

  void OnConfiguration() override { this->activations += 1; }
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

 public:
  void setUp() override { this->Begin(); }

  /// Starts with version 1, built on the loop, of revision 10.
  void Begin(std::uint64_t aEra = 0) {
    builder = HeldBuilder{*decoder};
    ClusterListener& listener = *this;
    view = std::make_unique<ClusterView>(*decoder, listener, clock);
    view->SetConfigurationBuilder(builder);
    view->OnConfiguration({"", VersionText(1, false), {10, aEra}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view->ConfigVersion());
    activations = 0;
  }

  void Large_UntilBuilt_KeepsThePrevious() {
    view->OnConfiguration({"", VersionText(2), 20});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view->ConfigVersion());
    CPPUNIT_ASSERT(view->ConfigStoreRevision() == StoreRevision{10});
    // The store and peers are asked for what is newer than that one.
    CPPUNIT_ASSERT(view->Revisions().config == StoreRevision{20});
    CPPUNIT_ASSERT(view->UpdateFor({}).configRevision == StoreRevision{10});
    CPPUNIT_ASSERT_EQUAL(0, activations);
    builder.End();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view->ConfigVersion());
    CPPUNIT_ASSERT(view->ConfigStoreRevision() == StoreRevision{20});
    CPPUNIT_ASSERT_EQUAL(1, activations);
  }

  void Large_SeveralWaiting_BuildsOnlyTheNewest() {
    for (std::uint64_t version = 2; version <= 9; ++version) {
      view->OnConfiguration({"", VersionText(version), 10 * version});
    }
    builder.EndAll();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view->ConfigVersion());
    CPPUNIT_ASSERT_EQUAL(2, builder.started);
  }

  // Guards against starvation: if a newer version ended the build of an older
  // one, changes that follow each other faster than a build takes would keep
  // each of them from becoming active.
  void Large_StormOfChanges_EachBuildBecomesActive() {
    std::uint64_t last = 1;
    for (std::uint64_t version = 2; version <= 40; ++version) {
      view->OnConfiguration({"", VersionText(version), 10 * version});
      if (version % 4 == 0) {
        builder.End();
        CPPUNIT_ASSERT(view->ConfigVersion() > last);
        last = view->ConfigVersion();
      }
    }
  }

  // A key that is revoked must not wait for a large table that it replaces.
  void Small_BehindALarge_IsActiveAtOnce() {
    view->OnConfiguration({"", VersionText(2), 20});
    view->OnConfiguration({"", VersionText(3), 30});
    view->OnConfiguration({"", VersionText(4, false), 40});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, view->ConfigVersion());
    builder.EndAll();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, view->ConfigVersion());
    CPPUNIT_ASSERT_EQUAL(1, builder.started);
    CPPUNIT_ASSERT(view->ConfigStoreRevision() == StoreRevision{40});
  }

  void SameAsActive_BehindALarge_StaysActive() {
    view->OnConfiguration({"", VersionText(2), 20});
    view->OnConfiguration({"", VersionText(1, false), 30});
    builder.EndAll();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view->ConfigVersion());
    CPPUNIT_ASSERT(view->ConfigStoreRevision() == StoreRevision{30});
  }

  void Large_Invalid_KeepsThePrevious() {
    view->OnConfiguration({"", VersionText(2) + "]", 20});
    view->OnValidated({20}, clock.Now());
    builder.End();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view->ConfigVersion());
    CPPUNIT_ASSERT(view->ConfigStoreRevision() == StoreRevision{10});
    CPPUNIT_ASSERT(!view->ValidationAge());
    view->OnConfiguration({"", VersionText(2) + "]", 20});
    CPPUNIT_ASSERT_EQUAL(1, builder.started);
  }

  // A lack of memory says nothing about the configuration.
  void Large_BuildFailed_IsAcceptedAgain() {
    class FailingBuilder final : public ConfigurationBuilder {
     public:
      void Start(std::shared_ptr<const std::string>, DecodedConfiguration,
                 Done aDone) override {
        this->done = std::move(aDone);
      }
      Done done;
    } failing;
    view->SetConfigurationBuilder(failing);
    view->OnConfiguration({"", VersionText(2), 20});
    failing.done(Fail(ErrorKind::NotReady, "no memory"));
    CPPUNIT_ASSERT(view->Revisions().config == StoreRevision{10});
    view->SetConfigurationBuilder(builder);
    view->OnConfiguration({"", VersionText(2), 20});
    builder.End();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view->ConfigVersion());
  }

  // The pending one may have revoked a key that the active one still grants.
  void Validation_OfAPendingBuild_CountsOnceItIsActive() {
    view->OnConfiguration({"", VersionText(2), 20});
    view->OnValidated({20}, clock.Now());
    CPPUNIT_ASSERT(!view->ValidationAge());
    clock.Advance(700ms);
    builder.End();
    CPPUNIT_ASSERT(*view->ValidationAge() == 700ms);
  }

  void Validation_OfAReplacedBuild_CountsOnceTheNewerIsActive() {
    view->OnConfiguration({"", VersionText(2), 20});
    view->OnConfiguration({"", VersionText(3), 30});
    view->OnValidated({30}, clock.Now());
    view->OnConfiguration({"", VersionText(4), 40});
    builder.End();
    CPPUNIT_ASSERT(!view->ValidationAge());
    clock.Advance(300ms);
    builder.End();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, view->ConfigVersion());
    CPPUNIT_ASSERT(*view->ValidationAge() == 300ms);
  }

  // Guards against a validation of the restored store's older configuration
  // while a newer one, which a peer still knows, is being built.
  void PeerConfiguration_UntilBuilt_DefersValidations() {
    this->Begin(2);
    ClusterUpdate update;
    update.configRevision = {5, 2};
    update.configVersion = 7;
    update.configText = VersionText(7);
    view->OnUpdate(update, clock.Now());
    view->OnValidated({10, 2}, clock.Now());
    CPPUNIT_ASSERT(!view->ValidationAge());
    builder.EndAll();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, view->ConfigVersion());
    CPPUNIT_ASSERT(view->ValidationAge().has_value());
  }

  /// Returns what a peer sends whose active configuration has that version,
  /// and was found in the store.
  static ClusterUpdate UpdateOf(std::uint64_t aVersion) {
    ClusterUpdate update;
    update.configRevision = {10 * aVersion};
    update.configVersion = aVersion;
    update.configText = VersionText(aVersion);
    return update;
  }

  /// Whether a peer with that update sends its text again to the next query.
  bool IsRequestedAgain(const ClusterUpdate& aUpdate) {
    ClusterListener& listener = *this;
    ClusterView peer{*decoder, listener, clock};
    peer.OnUpdate(aUpdate, clock.Now());
    CPPUNIT_ASSERT_EQUAL(aUpdate.configVersion, peer.ConfigVersion());
    return peer.LacksConfigText(view->Revisions());
  }

  // Guards against peers that pack and send a configuration to each query, and
  // a daemon that unpacks it each time, until it is built: a query reported the
  // version of the active configuration only.
  void PeerUpdate_WhileBuilding_IsNotRequestedAgain() {
    const ClusterUpdate update = UpdateOf(2);
    view->OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view->ConfigVersion());
    CPPUNIT_ASSERT(!this->IsRequestedAgain(update));
    CPPUNIT_ASSERT(this->IsRequestedAgain(UpdateOf(3)));
    builder.End();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view->ConfigVersion());
    CPPUNIT_ASSERT(!this->IsRequestedAgain(update));
  }

  // Guards against the same fault for a configuration whose build has not begun
  // yet, and for one that has taken the place of another that waited.
  void PeerUpdate_WaitingBehindAnother_IsNotRequestedAgain() {
    for (std::uint64_t version = 2; version <= 4; ++version) {
      view->OnUpdate(UpdateOf(version), clock.Now());
      CPPUNIT_ASSERT(!this->IsRequestedAgain(UpdateOf(version)));
    }
    CPPUNIT_ASSERT_EQUAL(1, builder.started);
  }

  // Guards against a daemon that never gets a configuration whose build failed
  // for lack of memory.
  void PeerUpdate_BuildFailed_IsRequestedAgain() {
    class FailingBuilder final : public ConfigurationBuilder {
     public:
      void Start(std::shared_ptr<const std::string>, DecodedConfiguration,
                 Done aDone) override {
        this->done = std::move(aDone);
      }
      Done done;
    } failing;
    view->SetConfigurationBuilder(failing);
    const ClusterUpdate update = UpdateOf(2);
    view->OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT(!this->IsRequestedAgain(update));
    failing.done(Fail(ErrorKind::NotReady, "no memory"));
    CPPUNIT_ASSERT(this->IsRequestedAgain(update));
  }

  // The same for a configuration that the restored store has lost: it has no
  // revision by which a peer could tell that it is known here.
  void PeerConfiguration_WhileBuilding_IsNotRequestedAgain() {
    this->Begin(2);
    ClusterUpdate update = UpdateOf(7);
    update.configRevision = {5, 2};
    view->OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view->ConfigVersion());
    CPPUNIT_ASSERT(!this->IsRequestedAgain(update));
  }

  void PeersResponded_WhileBuilding_EndsTheWaitAfterIt() {
    this->Begin(2);
    view->AwaitPeers(clock.Now() + 600ms);
    view->OnValidated({10, 2}, clock.Now());
    ClusterUpdate update;
    update.configRevision = {5, 2};
    update.configVersion = 7;
    update.configText = VersionText(7);
    view->OnUpdate(update, clock.Now());
    view->OnPeersResponded();
    clock.Advance(1s);
    view->Tick();
    CPPUNIT_ASSERT(!view->ValidationAge());
    builder.EndAll();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, view->ConfigVersion());
    CPPUNIT_ASSERT(view->ValidationAge().has_value());
  }

  // The backup holds an older version than the one that is being built.
  void Restored_WhileBuilding_NeverGoesBack() {
    view->OnConfiguration({"", VersionText(9), 90});
    view->OnRestored(1);
    view->OnConfiguration({"", VersionText(7), {70, 1}});
    builder.EndAll();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, view->ConfigVersion());
    CPPUNIT_ASSERT(view->ConfigStoreRevision() == StoreRevision({70, 1}));
  }

  // A store with random changes, restores from backups of up to three versions
  // before, invalid texts, and stalls in which nothing is built. A daemon reads
  // it by checks as `StoreFollower` does.
  void RandomChanges_ManySeeds_EndWithTheNewest() {
    constexpr int kSeeds = 300;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      this->PlayRandomChanges(seed);
    }
  }

 private:
  /// A configuration as it is in the store.
  struct Stored {
    std::uint64_t version = 1;
    StoreRevision revision{10, 0};
    bool isLarge = false;
    bool isValid = true;
  };

  static StoreItem ItemOf(const Stored& aStored) {
    const std::string text = VersionText(aStored.version, aStored.isLarge);
    return {"", aStored.isValid ? text : text + "]", aStored.revision};
  }

  void PlayRandomChanges(int aSeed) {
    Random random{static_cast<std::uint64_t>(aSeed)};
    const auto isDrawn = [&](double aShare) { return random.Unit() < aShare; };
    this->Begin();
    std::vector<Stored> history{Stored{}};
    std::uint64_t lastVersion = 1;
    std::uint64_t lastNumber = 10;
    std::uint64_t era = 0;
    /// By version, when a newer one was written.
    std::map<std::uint64_t, Instant> newestUntil;
    const std::string context = "seed " + std::to_string(aSeed);
    std::uint64_t active = 1;
    const auto check = [&] {
      CPPUNIT_ASSERT_MESSAGE(context, view->ConfigVersion() >= active);
      active = view->ConfigVersion();
      CPPUNIT_ASSERT_MESSAGE(context, builder.Running() <= 1);
      // The last validation is no younger than the time at which a newer valid
      // version replaced the active one.
      const auto replaced = newestUntil.find(active);
      if (view->ValidationAge() && replaced != newestUntil.end()) {
        CPPUNIT_ASSERT_MESSAGE(
            context, clock.Now() - *view->ValidationAge() <= replaced->second);
      }
    };
    const auto change = [&] {
      lastVersion += 1;
      lastNumber += 1 + random.Below(3);
      history.push_back(
          {lastVersion, {lastNumber, era}, isDrawn(0.7), isDrawn(0.9)});
      for (std::uint64_t older = 1; older < lastVersion; ++older) {
        newestUntil.emplace(older, clock.Now());
      }
    };
    const auto restore = [&] {
      const std::size_t lost =
          std::min<std::size_t>(random.Below(3), history.size() - 1);
      history.resize(history.size() - lost);
      era += 1;
      history.back().revision.era = era;
      lastNumber = history.back().revision.number;
      // What the restored store holds is the newest again, and versions that it
      // has lost stay active.
      newestUntil.erase(newestUntil.lower_bound(history.back().version),
                        newestUntil.end());
      view->OnRestored(history.back().revision.era);
    };
    const auto read = [&] {
      const StoreRevision expected = view->AcceptedConfiguration();
      const Stored& newest = history.back();
      if (expected == newest.revision) {
        view->OnValidated(expected, clock.Now());
      } else {
        view->OnConfiguration(ItemOf(newest));
        view->OnValidated(newest.revision, clock.Now());
      }
    };
    constexpr int kSteps = 60;
    for (int step = 0; step < kSteps; ++step) {
      clock.Advance(Micros{1000 + random.Below(400'000)});
      if (isDrawn(0.4)) {
        change();
      }
      if (isDrawn(0.03)) {
        restore();
      }
      if (isDrawn(0.8)) {
        read();
      }
      check();
      if (builder.Running() > 0 && isDrawn(0.4)) {
        builder.End();
      }
      check();
    }
    // The operators write the newest version again.
    clock.Advance(2s);
    change();
    history.back().isValid = true;
    read();
    builder.EndAll();
    check();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, lastVersion, view->ConfigVersion());
    clock.Advance(1s);
    read();
    CPPUNIT_ASSERT_MESSAGE(context, view->ValidationAge() == Micros{0});
  }

  /// Puts a version in force whose only key is `aKey`.
  void PutKey(std::uint64_t aVersion, const std::string& aKey) {
    view->OnConfiguration({"",
                           R"({"configVersion":)" + std::to_string(aVersion) +
                               R"(,"services":[],"routes":[],"tenants":[)"
                               R"({"name":"acme","apiKeys":[")" +
                               aKey + R"("]}]})",
                           10 * aVersion});
    CPPUNIT_ASSERT_EQUAL(aVersion, view->ConfigVersion());
  }

  // Guards against admitted requests with a removed key that no daemon
  // finishes, and against use of the key after the time in which it has to be
  // out of use.
  void Replaced_KeyRemoved_IsKeptForAWhile() {
    this->PutKey(2, "removed");
    view->OnValidated({20}, clock.Now());
    const Instant validatedAt = clock.Now();
    clock.Advance(1s);
    this->PutKey(3, "other");
    const auto& former = view->FormerConfigurations();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, former.size());
    CPPUNIT_ASSERT(former[0].validatedAt == validatedAt);
    CPPUNIT_ASSERT(former[0].table->FindOrganisation("removed") != nullptr);
    clock.Advance(4s);
    view->Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, former.size());
    clock.Advance(1ms);
    view->Tick();
    CPPUNIT_ASSERT(former.empty());
  }

  // Guards against memory that changes without an effect on admission hold.
  void Replaced_SameKeysAndRoutes_IsNotKept() {
    this->PutKey(2, "same");
    view->OnValidated({20}, clock.Now());
    this->PutKey(3, "same");
    CPPUNIT_ASSERT(view->FormerConfigurations().empty());
  }

  void Replaced_NeverValidated_IsNotKept() {
    this->PutKey(2, "removed");
    this->PutKey(3, "other");
    CPPUNIT_ASSERT(view->FormerConfigurations().empty());
  }

  // Guards against memory that grows with the rate of changes.
  void Replaced_Storm_KeepsTheNewestFour() {
    for (std::uint64_t version = 2; version <= 10; ++version) {
      this->PutKey(version, "key" + std::to_string(version));
      view->OnValidated({10 * version}, clock.Now());
    }
    const auto& former = view->FormerConfigurations();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, former.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                         former[0].table->Configuration().version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6},
                         former[3].table->Configuration().version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStateTest);

}  // namespace
}  // namespace zincstep
