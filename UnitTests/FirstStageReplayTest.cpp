#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "UnitTests/PoolReplay.h"
#include "UnitTests/UsersPool.h"

namespace zincstep {
namespace {

/// Each load runs with these seeds; shares are over all runs together.
constexpr std::uint64_t kInitialSeed = 5;
constexpr int kSeeds = 2;
constexpr std::array kDaemons{3, 26, 87, 295};

/// First stages of 99 upstreams of three kinds in three unequal domains, under
/// streams with few tokens and long answers: slots run short before memory.
class FirstStageReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstStageReplayTest);
  CPPUNIT_TEST(Burst_ManyDaemons_FirstEventsAreInTime);
  CPPUNIT_TEST(Burst_ManyDaemons_NoFirstStageIsCrowded);
  CPPUNIT_TEST(Overload_ManyDaemons_EstimateIsClose);
  CPPUNIT_TEST(Restart_AllDaemons_LearnAnnouncedLoads);
  CPPUNIT_TEST_SUITE_END();

  ModelShape model = UsersModel();

  static ReplayLoad Burst(int aDaemons, FeatureMode aMode) {
    ReplayLoad load;
    load.arrivals = 70;
    load.prompt = 100;
    load.steps = 350;
    load.longShare = 0.3;
    load.longPrompt = 600;
    load.longSteps = 500;
    load.burstFactor = 1.9;
    load.burstAt = 3s;
    load.burstLength = 4s;
    load.daemons = aDaemons;
    load.firstStageBalance = aMode;
    return load;
  }

  ReplayResult RunSeeds(const ReplayLoad& aLoad) const {
    std::vector<PlacedUpstream> pool = MakeDomain("a", 1, 6, 20, 0);
    for (const auto& more :
         {MakeDomain("b", 4, 10, 23, 0), MakeDomain("c", 2, 8, 25, 0)}) {
      pool.insert(pool.end(), more.begin(), more.end());
    }
    pool = InitialPlacement(model, pool);
    ReplayResult total;
    for (std::uint64_t seed = kInitialSeed; seed < kInitialSeed + kSeeds;
         ++seed) {
      total.Add(PoolReplay(model, pool, aLoad, seed).Run());
    }
    return total;
  }

 public:
  // Guards against first stages that look free by their memory while requests
  // queue for their slots.
  void Burst_ManyDaemons_FirstEventsAreInTime() {
    for (const int daemons : kDaemons) {
      const ReplayResult off = this->RunSeeds(Burst(daemons, FeatureMode::Off));
      const ReplayResult balanced =
          this->RunSeeds(Burst(daemons, FeatureMode::Auto));
      CPPUNIT_ASSERT(off.late > balanced.late);
      CPPUNIT_ASSERT(balanced.Share(balanced.late) <= 0.02);
      CPPUNIT_ASSERT(balanced.Share(balanced.refused) < 0.001);
      // A chain that begins at a slower first stage has slower steps.
      CPPUNIT_ASSERT(balanced.MeanStepMs() < 1.08 * off.MeanStepMs());
    }
  }

  void Burst_ManyDaemons_NoFirstStageIsCrowded() {
    for (const int daemons : kDaemons) {
      const ReplayResult off = this->RunSeeds(Burst(daemons, FeatureMode::Off));
      const ReplayResult balanced =
          this->RunSeeds(Burst(daemons, FeatureMode::Auto));
      CPPUNIT_ASSERT(off.MeanImbalance() > 2);
      CPPUNIT_ASSERT(balanced.MeanImbalance() < 1.5);
    }
  }

  void Overload_ManyDaemons_EstimateIsClose() {
    ReplayLoad load = Burst(87, FeatureMode::Auto);
    load.arrivals = 90;
    const ReplayResult result = this->RunSeeds(load);
    CPPUNIT_ASSERT(result.late > 0);
    CPPUNIT_ASSERT(result.MeanErrorMs() < 40);
  }

  // Guards against daemons that assume idle upstreams after all of them died:
  // the requests of the dead ones still run there.
  void Restart_AllDaemons_LearnAnnouncedLoads() {
    ReplayLoad load = Burst(87, FeatureMode::Off);
    load.arrivals = 60;
    load.restartAt = 5500ms;
    const ReplayResult off = this->RunSeeds(load);
    load.firstStageBalance = FeatureMode::Auto;
    const ReplayResult balanced = this->RunSeeds(load);
    CPPUNIT_ASSERT(off.lateRestarted > off.restarted / 10);
    CPPUNIT_ASSERT(balanced.lateRestarted < balanced.restarted / 50);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstStageReplayTest);

}  // namespace
}  // namespace zincstep
