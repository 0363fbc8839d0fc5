#include <cppunit/extensions/HelperMacros.h>

#include "PriorityReplayCheck.h"

namespace zincstep {

/// Decisions of the daemons of a domain under scarcity, with delayed reports.
class PriorityReplayTest final : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PriorityReplayTest);
  CPPUNIT_TEST(Burst_UrgentBesideBatch_UrgentIsServedFirst);
  CPPUNIT_TEST(Callers_RetryAtOnce_GainNothing);
  CPPUNIT_TEST(Burst_LostReports_UrgentIsServedFirst);
  CPPUNIT_TEST(Burst_NewDaemons_UrgentIsServedFirst);
  CPPUNIT_TEST(Room_OneDaemon_IsNeverGivenTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Burst_UrgentBesideBatch_UrgentIsServedFirst() {
    for (const int daemons : kDaemons) {
      PriorityLoad load;
      load.daemons = daemons;
      const auto on = Replay("burst", load);
      load.isOn = false;
      const auto off = Replay("burst", load);
      AssertOrdered(on);
      CPPUNIT_ASSERT(on.burst[0].InTimeShare() >= 0.95);
      CPPUNIT_ASSERT(on.burst[0].InTimeShare() >= off.burst[0].InTimeShare());
    }
  }

  void Callers_RetryAtOnce_GainNothing() {
    for (const int daemons : kDaemons) {
      PriorityLoad load;
      load.daemons = daemons;
      load.load = 1.15;
      load.earlyShare = 0.5;
      const auto on = Replay("early", load);
      CPPUNIT_ASSERT(on.early.InTimeShare() <= on.patient.InTimeShare() + 0.02);
    }
  }

  void Burst_LostReports_UrgentIsServedFirst() {
    for (const int daemons : kDaemons) {
      PriorityLoad load;
      load.daemons = daemons;
      load.lostReports = 0.3;
      AssertOrdered(Replay("lost reports", load));
    }
  }

  void Burst_NewDaemons_UrgentIsServedFirst() {
    for (const int daemons : kDaemons) {
      PriorityLoad load;
      load.daemons = daemons;
      load.restarted = daemons / 3;
      AssertOrdered(Replay("new daemons", load));
    }
  }

  // With an exact view, no upstream ever gets a request beyond its slots.
  void Room_OneDaemon_IsNeverGivenTwice() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      PriorityLoad load;
      load.daemons = 1;
      load.load = 1.3;
      const auto result = Replay("one daemon", load, seed);
      CPPUNIT_ASSERT_EQUAL(0, result.rejected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityReplayTest);

}  // namespace zincstep
