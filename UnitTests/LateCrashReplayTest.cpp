#include "UnitTests/PartReplayCheck.h"

namespace zincstep {
namespace {

/// Guards against taking a completion for a proof that a part is sound: a
/// resumed run, or a short one, ends before its upstream crashes.
class LateCrashReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateCrashReplayTest);
  CPPUNIT_TEST(PoisonPart_CompletingBeforeItsCrash_IsBlocked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PoisonPart_CompletingBeforeItsCrash_IsBlocked() {
    for (const Micros delay : {300ms, 700ms, 1500ms}) {
      for (const double length : {0.9, 1.2, 1.7, 3.0}) {
        ReplayFaults faults{1, 2, 0, false, delay};
        faults.poisonLength = FromSeconds(length * ToSeconds(delay));
        CheckPartSends(faults, 24, 12);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateCrashReplayTest);

}  // namespace
}  // namespace zincstep
