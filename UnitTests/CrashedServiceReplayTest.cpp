#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/CrashedServiceReplay.h"

namespace zincstep {
namespace {

/// Guards against counting no crash of a request that crashes all upstreams of
/// its service at once, so that none is left as a witness.
class CrashedServiceReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashedServiceReplayTest);
  CPPUNIT_TEST(Poison_CrashingAllUpstreamsThatRefuse_IsBlocked);
  CPPUNIT_TEST(Poison_CrashingAllUpstreamsThatAreSilent_IsBlocked);
  CPPUNIT_TEST(Poison_CrashingAllUpstreamsBehindProxies_IsBlocked);
  CPPUNIT_TEST(SeveralPoisons_CrashingAllUpstreams_AreBlocked);
  CPPUNIT_TEST(Sound_WhileDaemonsLosePathsToAll_AreServedAfterwards);
  CPPUNIT_TEST(Poison_WhileDaemonHearsNoPeers_IsBlockedThereAfterwards);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kTime = 30s;
  /// The operators' bound.
  static constexpr int kMaxLateSends = 3;
  static constexpr std::uint64_t kSeeds = 10;

  static void CheckPoison(const ServiceReplaySettings& aSettings) {
    for (const std::size_t daemons : {1, 4, 7, 26}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        ServiceReplaySettings settings = aSettings;
        settings.daemons = daemons;
        settings.seed = seed;
        CrashedServiceReplay replay(settings);
        replay.Run(kTime);
        CPPUNIT_ASSERT(replay.crashes >= 3);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(daemons) + " daemons, seed " + std::to_string(seed) +
                ": " + std::to_string(replay.MaxLateSends()) + " late sends, " +
                std::to_string(replay.crashes) + " crashes",
            replay.MaxLateSends() <= kMaxLateSends);
        CPPUNIT_ASSERT(replay.refusedSound * 1000 < replay.sound);
      }
    }
  }

 public:
  void Poison_CrashingAllUpstreamsThatRefuse_IsBlocked() { CheckPoison({}); }

  void Poison_CrashingAllUpstreamsThatAreSilent_IsBlocked() {
    ServiceReplaySettings settings;
    settings.down = DownLink::Silent;
    CheckPoison(settings);
  }

  void Poison_CrashingAllUpstreamsBehindProxies_IsBlocked() {
    ServiceReplaySettings settings;
    settings.down = DownLink::Drops;
    CheckPoison(settings);
  }

  void SeveralPoisons_CrashingAllUpstreams_AreBlocked() {
    ServiceReplaySettings settings;
    settings.poisonRequests = 3;
    settings.poisonPerSecond = 2;
    CheckPoison(settings);
  }

  // Guards against reporting a crash once: a daemon that is paused or cut from
  // its peers just then never learns of it, and the store may be away too.
  void Poison_WhileDaemonHearsNoPeers_IsBlockedThereAfterwards() {
    ServiceReplaySettings settings;
    settings.upstreams = 6;
    settings.peerCuts = {{1s, 3s, 1, DownLink::Silent}};
    settings.poisonToFirstFrom = 5s;
    CheckPoison(settings);
  }

  void Sound_WhileDaemonsLosePathsToAll_AreServedAfterwards() {
    for (const std::size_t cut : {1, 4, 7}) {
      for (const DownLink how :
           {DownLink::Refuses, DownLink::Silent, DownLink::Drops}) {
        ServiceReplaySettings settings;
        settings.poisonRequests = 0;
        for (const Micros at : {3s, 9s, 15s, 21s}) {
          settings.cuts.push_back({at, 4s, cut, how});
        }
        CrashedServiceReplay replay(settings);
        replay.Run(kTime);
        CPPUNIT_ASSERT(replay.completedSound > 0);
        CPPUNIT_ASSERT_EQUAL(0, replay.refusedSound);
        // The same with requests that many callers send.
        settings.soundTargets = 5;
        CrashedServiceReplay shared(settings);
        shared.Run(kTime);
        CPPUNIT_ASSERT_EQUAL(0, shared.refusedSound);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashedServiceReplayTest);

}  // namespace
}  // namespace zincstep
