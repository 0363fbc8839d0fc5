#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <new>
#include <stdexcept>

#include "Zincstep/Process/Process.h"

namespace zincstep {
namespace {

class RunGuardedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunGuardedTest);
  CPPUNIT_TEST(Handler_Throws_OthersStillRun);
  CPPUNIT_TEST(Handler_ThrowsEachTime_IsCalledAgain);
  CPPUNIT_TEST(Handler_ViolatesAnInvariant_EndsTheLoop);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  asio::steady_timer timer{loop};
  int calls = 0;

  /// Runs the loop until it has no work; returns the number of exceptions.
  int RunLoop() {
    int failures = 0;
    while (!RunGuarded("test", [this] { loop.run(); })) {
      failures += 1;
    }
    return failures;
  }

  /// A periodic handler, which schedules itself before it fails.
  void Tick() {
    constexpr int kCalls = 3;
    calls += 1;
    if (calls < kCalls) {
      timer.expires_after(std::chrono::milliseconds(1));
      timer.async_wait([this](const asio::error_code&) { this->Tick(); });
    }
    throw std::bad_alloc();
  }

 public:
  // Guards against a daemon that fails in the same way on each tick for good.
  void Handler_ViolatesAnInvariant_EndsTheLoop() {
    asio::post(loop, [] { throw std::out_of_range("no such request"); });
    CPPUNIT_ASSERT_THROW(this->RunLoop(), std::out_of_range);
  }

  // Guards against one request that ends all others with the process.
  void Handler_Throws_OthersStillRun() {
    asio::post(loop, [] { throw std::bad_alloc(); });
    asio::post(loop, [this] { calls += 1; });
    CPPUNIT_ASSERT_EQUAL(1, this->RunLoop());
    CPPUNIT_ASSERT_EQUAL(1, calls);
  }

  // Guards against a loop that runs out of work, which looks like a stop that
  // was asked for.
  void Handler_ThrowsEachTime_IsCalledAgain() {
    asio::post(loop, [this] { this->Tick(); });
    CPPUNIT_ASSERT_EQUAL(3, this->RunLoop());
    CPPUNIT_ASSERT_EQUAL(3, calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunGuardedTest);

}  // namespace
}  // namespace zincstep
