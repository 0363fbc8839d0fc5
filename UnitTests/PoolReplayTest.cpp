#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/PoolReplay.h"
#include "UnitTests/UsersPool.h"

namespace zincstep {
namespace {

/// Each load runs with these seeds; shares are over all runs together.
constexpr std::uint64_t kInitialSeed = 5;
constexpr int kSeeds = 3;

/// Peak loads and faults on pools of 39 and of 216 upstreams with 6 and 295
/// daemons, which select chains on delayed views.
class PoolReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolReplayTest);
  CPPUNIT_TEST(NormalLoad_HundredsOfUpstreams_KeepsChainsShort);
  CPPUNIT_TEST(TenthsLost_HundredsOfUpstreams_InterruptFewStreams);
  CPPUNIT_TEST(ManySlow_HundredsOfUpstreams_AreAvoided);
  CPPUNIT_TEST(Burst_HundredsOfDaemons_RefusesNone);
  CPPUNIT_TEST(BurstOfThreeTimes_HundredsOfDaemons_ServesMost);
  CPPUNIT_TEST(ShiftToOneDomain_HundredsOfDaemons_IsServedByAll);
  CPPUNIT_TEST(Burst_FewDaemons_RefusesNone);
  CPPUNIT_TEST(TwoLost_FewUpstreams_ServesMost);
  CPPUNIT_TEST_SUITE_END();

  ModelShape model = UsersModel();

  std::vector<PlacedUpstream> Large() const {
    std::vector<PlacedUpstream> pool = MakeDomain("a", 1, 6, 16, 22);
    for (const auto& more :
         {MakeDomain("b", 1, 2, 19, 22), MakeDomain("c", 1, 3, 28, 11),
          MakeDomain("d", 0, 5, 15, 21), MakeDomain("e", 1, 2, 19, 21)}) {
      pool.insert(pool.end(), more.begin(), more.end());
    }
    return InitialPlacement(model, pool);
  }
  std::vector<PlacedUpstream> Small() const {
    return InitialPlacement(model, UsersPool());
  }

  static ReplayLoad SmallLoad() {
    ReplayLoad load;
    load.arrivals = 23;
    load.daemonsPerDomain = 2;
    return load;
  }

  ReplayResult RunSeeds(const std::vector<PlacedUpstream>& aPool,
                        const ReplayLoad& aLoad) const {
    ReplayResult total;
    for (std::uint64_t seed = kInitialSeed; seed < kInitialSeed + kSeeds;
         ++seed) {
      total.Add(PoolReplay(model, aPool, aLoad, seed).Run());
    }
    return total;
  }

  /// A tenth of the upstreams is lost, and another tenth two seconds later.
  static std::vector<ReplayFault> TwoTenthsLost() {
    return {{2s, 0.1, 0, 0s}, {4s, 0.1, 0, 0s}};
  }

 public:
  // Guards against chains of 13 members where 7 suffice: any loss affected
  // nearly every stream.
  void NormalLoad_HundredsOfUpstreams_KeepsChainsShort() {
    const ReplayResult result = this->RunSeeds(this->Large(), {});
    CPPUNIT_ASSERT_EQUAL(result.arrivals, result.served);
    CPPUNIT_ASSERT(result.MeanHops() < 8);
  }

  // Guards against long chains, with which a third of all streams of eight
  // seconds was interrupted.
  void TenthsLost_HundredsOfUpstreams_InterruptFewStreams() {
    ReplayLoad load;
    load.faults = TwoTenthsLost();
    const ReplayResult result = this->RunSeeds(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.interrupted) < 0.24);
    CPPUNIT_ASSERT(result.Share(result.served) > 0.98);
  }

  void ManySlow_HundredsOfUpstreams_AreAvoided() {
    ReplayLoad load;
    load.faults = {{2s, 0.4, 12, 4s}};
    const ReplayResult result = this->RunSeeds(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.refused) < 0.001);
    CPPUNIT_ASSERT(result.Share(result.slow) < 0.002);
  }

  void Burst_HundredsOfDaemons_RefusesNone() {
    ReplayLoad load;
    load.arrivals *= 1.7;
    const ReplayResult result = this->RunSeeds(this->Large(), load);
    CPPUNIT_ASSERT_EQUAL(0, result.refused);
    CPPUNIT_ASSERT(result.Share(result.rejected) < 0.001);
  }

  // There are few of the fastest upstreams: daemons that all prefer them on a
  // delayed view must not overload them between two reports.
  void BurstOfThreeTimes_HundredsOfDaemons_ServesMost() {
    ReplayLoad load;
    load.arrivals *= 3;
    const ReplayResult result = this->RunSeeds(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.served) > 0.97);
    CPPUNIT_ASSERT(result.Share(result.refusedWhileFree) < 0.005);
  }

  void ShiftToOneDomain_HundredsOfDaemons_IsServedByAll() {
    ReplayLoad load;
    load.shiftFactor = 3;
    load.shiftAt = 2s;
    const ReplayResult result = this->RunSeeds(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.refused) < 0.001);
    CPPUNIT_ASSERT(result.Share(result.rejected) < 0.01);
  }

  void Burst_FewDaemons_RefusesNone() {
    ReplayLoad load = SmallLoad();
    load.arrivals *= 1.7;
    const ReplayResult result = this->RunSeeds(this->Small(), load);
    CPPUNIT_ASSERT(result.Share(result.refused) < 0.001);
  }

  void TwoLost_FewUpstreams_ServesMost() {
    ReplayLoad load = SmallLoad();
    load.faults = {{2s, 0.06, 0, 0s}};
    const ReplayResult result = this->RunSeeds(this->Small(), load);
    CPPUNIT_ASSERT(result.Share(result.served) > 0.98);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolReplayTest);

}  // namespace
}  // namespace zincstep
