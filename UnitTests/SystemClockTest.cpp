#include <cppunit/extensions/HelperMacros.h>
#include <time.h>

#include "Zincstep/Core/Core.h"

namespace zincstep {
namespace {

class SystemClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SystemClockTest);
  CPPUNIT_TEST(Now_SystemClock_CountsSuspension);
  CPPUNIT_TEST_SUITE_END();

  static Instant BootTime() {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant{std::chrono::duration_cast<Micros>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec))};
  }

 public:
  // Guards against the use of the steady clock, which stops while a VM is
  // suspended: validations from before the suspension would seem too young.
  void Now_SystemClock_CountsSuspension() {
    const SystemClock clock;
    const Instant before = BootTime();
    const Instant now = clock.Now();
    CPPUNIT_ASSERT(before <= now && now <= BootTime());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SystemClockTest);

}  // namespace
}  // namespace zincstep
