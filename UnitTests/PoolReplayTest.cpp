#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/PoolReplay.h"
#include "UnitTests/UsersPool.h"

namespace zincstep {
namespace {

/// Each load is played with these seeds; shares are of all plays together.
constexpr std::uint64_t kFirstSeed = 5;
constexpr int kSeeds = 3;

/// Loads at their worst, against pools of 39 and of 216 upstreams with 6 and
/// 295 daemons that choose chains on views that lag.
class PoolReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolReplayTest);
  CPPUNIT_TEST(Calm_HundredsOfUpstreams_KeepsChainsShort);
  CPPUNIT_TEST(TenthsLost_HundredsOfUpstreams_InterruptFewStreams);
  CPPUNIT_TEST(ManySlow_HundredsOfUpstreams_AreLeftOut);
  CPPUNIT_TEST(Burst_HundredsOfDaemons_RefusesNone);
  CPPUNIT_TEST(BurstOfThreeTimes_HundredsOfDaemons_ServesMost);
  CPPUNIT_TEST(ShiftToOneDomain_HundredsOfDaemons_IsServedByAll);
  CPPUNIT_TEST(Burst_FewDaemons_RefusesNone);
  CPPUNIT_TEST(TwoLost_FewUpstreams_ServesMost);
  CPPUNIT_TEST_SUITE_END();

  ModelShape model = UsersModel();

  std::vector<PlacedUpstream> Large() const {
    std::vector<PlacedUpstream> pool = Hall("a", 1, 6, 16, 22);
    for (const auto& more :
         {Hall("b", 1, 2, 19, 22), Hall("c", 1, 3, 28, 11),
          Hall("d", 0, 5, 15, 21), Hall("e", 1, 2, 19, 21)}) {
      pool.insert(pool.end(), more.begin(), more.end());
    }
    return LaidOut(model, pool);
  }
  std::vector<PlacedUpstream> Small() const {
    return LaidOut(model, UsersPool());
  }

  static ReplayLoad SmallLoad() {
    ReplayLoad load;
    load.arrivals = 23;
    load.daemonsPerDomain = 2;
    return load;
  }

  ReplayResult Play(const std::vector<PlacedUpstream>& aPool,
                    const ReplayLoad& aLoad) const {
    ReplayResult all;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      all.Add(PoolReplay(model, aPool, aLoad, seed).Run());
    }
    return all;
  }

  /// A tenth of the upstreams is lost, and another two seconds later.
  static std::vector<ReplayTrouble> TwoTenthsLost() {
    return {{2s, 0.1, 0, 0s}, {4s, 0.1, 0, 0s}};
  }

 public:
  // Chains of 13 members where 7 do: any loss met nearly every stream.
  void Calm_HundredsOfUpstreams_KeepsChainsShort() {
    const ReplayResult result = this->Play(this->Large(), {});
    CPPUNIT_ASSERT_EQUAL(result.arrivals, result.served);
    CPPUNIT_ASSERT(result.MeanHops() < 8);
  }

  // A third of all streams of eight seconds was interrupted.
  void TenthsLost_HundredsOfUpstreams_InterruptFewStreams() {
    ReplayLoad load;
    load.troubles = TwoTenthsLost();
    const ReplayResult result = this->Play(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.interrupted) < 0.24);
    CPPUNIT_ASSERT(result.Share(result.served) > 0.98);
  }

  void ManySlow_HundredsOfUpstreams_AreLeftOut() {
    ReplayLoad load;
    load.troubles = {{2s, 0.4, 12, 4s}};
    const ReplayResult result = this->Play(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.refused) < 0.001);
    CPPUNIT_ASSERT(result.Share(result.slow) < 0.002);
  }

  void Burst_HundredsOfDaemons_RefusesNone() {
    ReplayLoad load;
    load.arrivals *= 1.7;
    const ReplayResult result = this->Play(this->Large(), load);
    CPPUNIT_ASSERT_EQUAL(0, result.refused);
    CPPUNIT_ASSERT(result.Share(result.rejected) < 0.001);
  }

  // The quickest members are few: daemons that all prefer them on a view that
  // lags must not fill them between two tellings.
  void BurstOfThreeTimes_HundredsOfDaemons_ServesMost() {
    ReplayLoad load;
    load.arrivals *= 3;
    const ReplayResult result = this->Play(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.served) > 0.97);
    CPPUNIT_ASSERT(result.Share(result.refusedWhileFree) < 0.005);
  }

  void ShiftToOneDomain_HundredsOfDaemons_IsServedByAll() {
    ReplayLoad load;
    load.shift = 3;
    load.shiftAt = 2s;
    const ReplayResult result = this->Play(this->Large(), load);
    CPPUNIT_ASSERT(result.Share(result.refused) < 0.001);
    CPPUNIT_ASSERT(result.Share(result.rejected) < 0.01);
  }

  void Burst_FewDaemons_RefusesNone() {
    ReplayLoad load = SmallLoad();
    load.arrivals *= 1.7;
    const ReplayResult result = this->Play(this->Small(), load);
    CPPUNIT_ASSERT(result.Share(result.refused) < 0.001);
  }

  void TwoLost_FewUpstreams_ServesMost() {
    ReplayLoad load = SmallLoad();
    load.troubles = {{2s, 0.06, 0, 0s}};
    const ReplayResult result = this->Play(this->Small(), load);
    CPPUNIT_ASSERT(result.Share(result.served) > 0.98);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolReplayTest);

}  // namespace
}  // namespace zincstep
