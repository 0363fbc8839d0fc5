#include <cppunit/extensions/HelperMacros.h>

#include "PriorityReplayCheck.h"

namespace zincstep {

/// A burst while a third of the daemons is cut off from the reports of the
/// others, and one organisation at ten times its usual rate.
class PriorityPartitionTest final : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PriorityPartitionTest);
  CPPUNIT_TEST(Burst_PartitionedPeers_UrgentIsServedFirst);
  CPPUNIT_TEST(Organisation_TenTimesItsRate_DoesNotTakeOthersRoom);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Burst_PartitionedPeers_UrgentIsServedFirst() {
    for (const int daemons : kDaemons) {
      PriorityLoad load;
      load.daemons = daemons;
      load.partitioned = daemons / 3;
      AssertOrdered(Replay("partition", load));
    }
  }

  void Organisation_TenTimesItsRate_DoesNotTakeOthersRoom() {
    for (const int daemons : kDaemons) {
      PriorityLoad load;
      load.daemons = daemons;
      load.burstFactor = 1;
      load.mix = {0, 1, 0};
      load.organisationFactor = 10;
      const auto on = Replay("organisation", load);
      load.isOn = false;
      const auto off = Replay("organisation", load);
      CPPUNIT_ASSERT(on.otherOrganisations.InTimeShare() >= 0.9);
      CPPUNIT_ASSERT(on.otherOrganisations.InTimeShare() >
                     off.otherOrganisations.InTimeShare());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityPartitionTest);

}  // namespace zincstep
