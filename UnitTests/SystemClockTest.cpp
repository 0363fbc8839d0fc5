#include <cppunit/extensions/HelperMacros.h>
#include <time.h>

#include "Zincstep/Core/Core.h"

namespace zincstep {
namespace {

class SystemClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SystemClockTest);
  CPPUNIT_TEST(Now_OfTheMachine_CountsSuspension);
  CPPUNIT_TEST_SUITE_END();

  static Instant BootTime() {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant{std::chrono::duration_cast<Micros>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec))};
  }

 public:
  // The steady clock stands still while a machine is suspended, so that what
  // had been proven before looked as young as then.
  void Now_OfTheMachine_CountsSuspension() {
    const SystemClock clock;
    const Instant before = BootTime();
    const Instant now = clock.Now();
    CPPUNIT_ASSERT(before <= now && now <= BootTime());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SystemClockTest);

}  // namespace
}  // namespace zincstep
