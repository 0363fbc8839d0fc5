#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>

#include "UnitTests/UsersPool.h"

namespace zincstep {
namespace {

class DemandTargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandTargetsTest);
  CPPUNIT_TEST(Share_DomainsHoldTheirDemand_GetTheirOwn);
  CPPUNIT_TEST(Share_EqualDomains_GetTheirOwn);
  CPPUNIT_TEST(Share_DomainAskedForTooMuch_GetsWhatItHolds);
  CPPUNIT_TEST(Share_Excess_GoesWhereRoomIsLeft);
  CPPUNIT_TEST(Share_AllOverloaded_IsInProportionToRoom);
  CPPUNIT_TEST(Share_CallersInDomainWithoutUpstreams_AreTakenOver);
  CPPUNIT_TEST(Share_LargeDomainMayBeLost_IsCoveredByTheOthers);
  CPPUNIT_TEST(Update_SmallChanges_KeepTargets);
  CPPUNIT_TEST(Update_DemandRises_RaisesTargetAtOnce);
  CPPUNIT_TEST(Update_DemandFalls_LowersTargetLate);
  CPPUNIT_TEST(Update_DemandShiftsToAndFro_ChangesTargetsOnce);
  CPPUNIT_TEST(Update_Waves_ChangeTargetsAtFirstOnly);
  CPPUNIT_TEST(Update_Trend_IsExtrapolatedWithinBounds);
  CPPUNIT_TEST(Update_DomainsUnknown_HasNoTargets);
  CPPUNIT_TEST_SUITE_END();

  ModelShape model = UsersModel();
  std::vector<PlacedUpstream> pool = UsersPool();
  DemandTargets targets;
  Instant now{Micros{100s}};

  /// Updates with this demand of each domain, without a trend; returns the
  /// number of changed targets.
  int Update(const std::map<std::string, double>& aTokens) {
    ObservedDemand demand;
    for (const auto& [domain, tokens] : aTokens) {
      demand.byDomain[domain] = {tokens, tokens, 0};
    }
    return static_cast<int>(targets.Update(model, pool, demand, now).size());
  }
  double TargetOf(const std::string& aDomain) const {
    return targets.Targets().at(aDomain).target;
  }

 public:
  void Share_DomainsHoldTheirDemand_GetTheirOwn() {
    const auto shared = ShareDemand({{"a", 100}, {"b", 80}, {"c", 90}},
                                    {{"a", 300}, {"b", 300}, {"c", 900}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, shared.at("a").target, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, shared.at("a").takenOver, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80, shared.at("b").own, 1e-6);
  }

  // Guards against other layouts of domains with equal demand and hardware.
  void Share_EqualDomains_GetTheirOwn() {
    for (const double demand : {10.0, 100.0, 190.0}) {
      const auto shared =
          ShareDemand({{"a", demand}, {"b", demand}, {"c", demand}},
                      {{"a", 300}, {"b", 300}, {"c", 300}});
      for (const char* domain : {"a", "b", "c"}) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(demand, shared.at(domain).target, 1e-6);
      }
    }
  }

  void Share_DomainAskedForTooMuch_GetsWhatItHolds() {
    const auto shared =
        ShareDemand({{"a", 300}, {"b", 100}}, {{"a", 150}, {"b", 450}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, shared.at("a").target, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, shared.at("b").takenOver, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(300, shared.at("b").target, 1e-6);
  }

  void Share_Excess_GoesWhereRoomIsLeft() {
    // "b" holds 200 and has 100 left, "c" holds 400 and has 300 left.
    const auto shared = ShareDemand({{"a", 240}, {"b", 100}, {"c", 100}},
                                    {{"a", 60}, {"b", 300}, {"c", 600}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, shared.at("b").takenOver, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(150, shared.at("c").takenOver, 1e-6);
  }

  void Share_AllOverloaded_IsInProportionToRoom() {
    const auto shared =
        ShareDemand({{"a", 300}, {"b", 150}}, {{"a", 100}, {"b", 500}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(75, shared.at("a").target, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(375, shared.at("b").target, 1e-6);
    const auto beyondRoom =
        ShareDemand({{"a", 900}, {"b", 900}}, {{"a", 100}, {"b", 500}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, beyondRoom.at("a").target, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, beyondRoom.at("b").target, 1e-6);
  }

  void Share_CallersInDomainWithoutUpstreams_AreTakenOver() {
    const auto shared = ShareDemand({{"a", 60}, {"b", 60}, {"none", 100}},
                                    {{"a", 300}, {"b", 300}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shared.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, shared.at("a").takenOver, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(110, shared.at("b").target, 1e-6);
  }

  // Guards against a large domain with so many holders of each layer that it
  // has no memory for the callers of the small one if that is lost.
  void Share_LargeDomainMayBeLost_IsCoveredByTheOthers() {
    const auto shared =
        ShareDemand({{"a", 200}, {"b", 20}}, {{"a", 300}, {"b", 900}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(110, shared.at("b").target, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, shared.at("a").target, 1e-6);
  }

  // Guards against orders for the variation of the demand's estimate.
  void Update_SmallChanges_KeepTargets() {
    CPPUNIT_ASSERT_EQUAL(
        3, this->Update({{"a", 50'000}, {"b", 50'000}, {"c", 50'000}}));
    const double initial = this->TargetOf("a");
    for (int second = 0; second < 100; ++second) {
      now += 1s;
      const double factor = second % 2 == 0 ? 0.92 : 1.08;
      CPPUNIT_ASSERT_EQUAL(0, this->Update({{"a", 50'000 * factor},
                                            {"b", 50'000 / factor},
                                            {"c", 50'000}}));
    }
    CPPUNIT_ASSERT_EQUAL(initial, this->TargetOf("a"));
  }

  void Update_DemandRises_RaisesTargetAtOnce() {
    this->Update({{"a", 50'000}, {"b", 50'000}, {"c", 50'000}});
    now += 250ms;
    CPPUNIT_ASSERT_EQUAL(
        1, this->Update({{"a", 60'000}, {"b", 50'000}, {"c", 50'000}}));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60'000, this->TargetOf("a"), 1e-6);
  }

  void Update_DemandFalls_LowersTargetLate() {
    this->Update({{"a", 60'000}, {"b", 50'000}, {"c", 50'000}});
    int changes = 0;
    for (int second = 1; second <= 45; ++second) {
      now += 1s;
      const int changed =
          this->Update({{"a", 45'000}, {"b", 50'000}, {"c", 50'000}});
      CPPUNIT_ASSERT(changed == 0 || second >= 20);
      changes += changed;
    }
    CPPUNIT_ASSERT_EQUAL(1, changes);
    // The loss of another domain is covered.
    CPPUNIT_ASSERT(this->TargetOf("a") < 50'000);
  }

  // Each change of a target may take upstreams out of service for seconds.
  void Update_DemandShiftsToAndFro_ChangesTargetsOnce() {
    int late = 0;
    for (int second = 0; second < 120; ++second) {
      now += 1s;
      const bool isMoved = second % 6 < 4;
      const int changed = this->Update({{"a", isMoved ? 25'000 : 65'000},
                                        {"b", isMoved ? 65'000 : 25'000},
                                        {"c", 40'000}});
      late += second > 6 ? changed : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, late);
  }

  void Update_Waves_ChangeTargetsAtFirstOnly() {
    int late = 0;
    for (int step = 0; step < 4 * 120; ++step) {
      now += 250ms;
      std::map<std::string, double> tokens;
      double phase = 0;
      for (const char* domain : {"a", "b", "c"}) {
        tokens[domain] =
            45'000 * (1 + 0.55 * std::sin((step * 0.25 / 17 + phase) * 6.2832));
        phase += 1.0 / 3;
      }
      const int changed = this->Update(tokens);
      late += step > 4 * 20 ? changed : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, late);
  }

  void Update_Trend_IsExtrapolatedWithinBounds() {
    ObservedDemand demand;
    demand.byDomain["a"] = {40'000, 40'000, 2'000};
    demand.byDomain["b"] = {10'000, 10'000, 50'000};
    demand.byDomain["c"] = {50'000, 40'000, -9'000};
    targets.Update(model, pool, demand, now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(48'000, targets.Targets().at("a").own, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20'000, targets.Targets().at("b").own, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50'000, targets.Targets().at("c").own, 1e-6);
    model.loadTime = 1s;
    targets.Clear();
    targets.Update(model, pool, demand, now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(42'000, targets.Targets().at("a").own, 1e-6);
  }

  void Update_DomainsUnknown_HasNoTargets() {
    this->Update({{"a", 50'000}, {"b", 50'000}, {"c", 50'000}});
    CPPUNIT_ASSERT_EQUAL(0, this->Update({}));
    CPPUNIT_ASSERT(targets.Targets().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandTargetsTest);

}  // namespace
}  // namespace zincstep
