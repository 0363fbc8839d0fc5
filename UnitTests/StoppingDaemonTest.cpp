#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// Requests that arrive while the daemon stops.
class StoppingDaemonTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(StoppingDaemonTest);
  CPPUNIT_TEST(Exit_DeferredRequest_HasItsAnswer);
  CPPUNIT_TEST(Order_MayOutlastStop_IsRefusedAsNotRun);
  CPPUNIT_TEST_SUITE_END();

  const StopPolicySettings policy{};

  /// Time from the stop signal until running requests are ended.
  Micros StopDuration() const {
    return this->policy.gracePeriod - this->policy.killMargin;
  }

  /// Moves the clock to `aRemaining` before the end of the stop.
  void StopWithRemaining(Micros aRemaining) {
    stop.Begin(clock.Now());
    clock.Advance(this->StopDuration() - aRemaining);
  }

 public:
  void setUp() override { this->Begin(); }

  // Guards against exiting without an answer to a request that waits for the
  // first configuration: its caller's connection was closed.
  void Exit_DeferredRequest_HasItsAnswer() {
    this->StopWithRemaining(700ms);
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/unsafe/")));
    this->RunUntil(
        [&] { return relay->Active() == 1 || caller.available() > 0; });
    clock.Advance(700ms);
    relay->Tick();
    CPPUNIT_ASSERT(stop.CanExit(relay->Active(), clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
    this->RunUntil([&] { return caller.available() > 0; });
    std::string status(12, ' ');
    asio::read(caller, asio::buffer(status));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), status);
  }

  // Guards against accepting an order that may run past the exit: one that took
  // 1.9 s of its 2 s was run, and its caller never told.
  void Order_MayOutlastStop_IsRefusedAsNotRun() {
    this->StopWithRemaining(1900ms);
    this->Configure(kRelayConfig);
    this->AddSound("plain");
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("stopping"), answer->body);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
    CPPUNIT_ASSERT(upstreams[0]->seen.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoppingDaemonTest);

}  // namespace
}  // namespace zincstep
