#include <cppunit/extensions/HelperMacros.h>
#include <pthread.h>
#include <signal.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>
#include <thread>

#include "UnitTests/DaemonChild.h"
#include "Zincstep/Edge/Edge.h"
#include "Zincstep/Process/Process.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// The moment from which a stop counts its grace period.
class StopSignalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopSignalTest);
  CPPUNIT_TEST(Stop_LoopHeldAfterSignal_CountsFromSignal);
  CPPUNIT_TEST(Stop_LoopHeldBeforeSignal_CountsFromSignal);
  CPPUNIT_TEST(ArrivedAt_FirstSignal_IsKeptAndHandled);
  CPPUNIT_TEST(ArrivedAt_OtherSignal_IsNone);
  CPPUNIT_TEST_SUITE_END();

  /// Time that the loop is held; longer than the shortest stop.
  static constexpr Micros kHeld = 3s;
  /// Time after the start at which the loop is held; some ticks have passed.
  static constexpr Micros kHoldDelay = 330ms;

  const SystemClock clock;
  std::ostringstream log;
  sigset_t mask{};

  static EdgeSettings Settings() {
    ChildProcessSettings drawn;
    constexpr std::array kVariables{"LISTEN", "ADMIN", "PEER"};
    DaemonChild::DrawPorts(drawn, kVariables);
    EdgeSettings settings;
    settings.name = "n1";
    settings.failureDomain = "a";
    settings.listen = drawn.environment.at("LISTEN");
    settings.adminListen = drawn.environment.at("ADMIN");
    settings.peerListen = drawn.environment.at("PEER");
    settings.store = "127.0.0.1:1";
    return settings;
  }

  /// Runs a daemon whose loop is held by `aHold`, which sends the stop signal.
  /// Returns the time that the daemon counted from the signal to its exit.
  Micros RunHeld(const std::function<void()>& aHold) {
    const int status = RunEdgeDaemon(
        Settings(),
        [&](asio::io_context& aLoop, const EdgeSettings& aSettings,
            StoreEraTracker& aEras) -> Result<EdgeAdapters> {
          const auto hold =
              std::make_shared<asio::steady_timer>(aLoop, kHoldDelay);
          hold->async_wait([aHold, hold](const asio::error_code&) { aHold(); });
          auto store = platform::MakeStore(aLoop, aSettings.store, aEras);
          CPPUNIT_ASSERT(store.has_value());
          return EdgeAdapters{platform::MakeDialect(), platform::MakeDecoder(),
                              std::move(*store),
                              platform::MakeUpstreamControl(aLoop),
                              platform::MakeClusterKeys(aSettings.storePrefix)};
        });
    CPPUNIT_ASSERT_EQUAL(0, status);
    constexpr std::string_view kField = "\"since_stop_ms\":";
    const std::string text = log.str();
    const std::size_t found = text.rfind(kField);
    CPPUNIT_ASSERT_MESSAGE(text, found != std::string::npos);
    return std::chrono::milliseconds(
        std::stoll(text.substr(found + kField.size())));
  }

 public:
  void setUp() override {
    ::pthread_sigmask(SIG_SETMASK, nullptr, &mask);
    spdlog::default_logger()->sinks().push_back(
        std::make_shared<spdlog::sinks::ostream_sink_mt>(log));
  }
  void tearDown() override {
    spdlog::default_logger()->sinks().pop_back();
    // The daemon leaves its signals blocked.
    ::pthread_sigmask(SIG_SETMASK, &mask, nullptr);
  }

  // Guards against a grace period that begins when the loop sees the signal, or
  // at a tick between: held for 3 s, the daemon ended its requests 10.5 s after
  // the signal, and was killed after 8 s.
  void Stop_LoopHeldAfterSignal_CountsFromSignal() {
    const Micros counted = this->RunHeld([] {
      ::raise(SIGTERM);
      std::this_thread::sleep_for(kHeld);
    });
    CPPUNIT_ASSERT_GREATEREQUAL((kHeld / 1ms), (counted / 1ms));
  }

  // Guards against a grace period that begins at the last tick before the
  // signal: running streams were truncated before its last sixth.
  void Stop_LoopHeldBeforeSignal_CountsFromSignal() {
    Instant signalledAt{};
    const Micros counted = this->RunHeld([&] {
      std::this_thread::sleep_for(kHeld);
      signalledAt = this->clock.Now();
      ::raise(SIGTERM);
    });
    CPPUNIT_ASSERT_LESSEQUAL((this->clock.Now() - signalledAt) / 1ms,
                             (counted / 1ms));
  }

  // Guards against a second signal that would extend the grace period, and
  // against a record that keeps the loop from handling the signal.
  void ArrivedAt_FirstSignal_IsKeptAndHandled() {
    asio::io_context loop;
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    int handled = 0;
    signals.async_wait(
        [&](const asio::error_code&, int aSignal) { handled = aSignal; });
    const StopSignalTime time;
    CPPUNIT_ASSERT(!time.ArrivedAt());
    const Instant before = this->clock.Now();
    ::raise(SIGINT);
    const Instant after = this->clock.Now();
    ::raise(SIGTERM);
    CPPUNIT_ASSERT(time.ArrivedAt() >= before && time.ArrivedAt() <= after);
    loop.run();
    CPPUNIT_ASSERT_EQUAL(SIGINT, handled);
  }

  void ArrivedAt_OtherSignal_IsNone() {
    asio::io_context loop;
    asio::signal_set signals(loop, SIGHUP);
    const StopSignalTime time;
    ::raise(SIGHUP);
    CPPUNIT_ASSERT(!time.ArrivedAt());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopSignalTest);

}  // namespace
}  // namespace zincstep
