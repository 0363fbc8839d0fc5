#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {
namespace {

/// Results of connection probes against listeners on loopback.
class ReachabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityTest);
  CPPUNIT_TEST(Connection_AcceptedAndLeftOpen_IsReached);
  CPPUNIT_TEST(Connection_NotAcceptedByProcess_IsReached);
  CPPUNIT_TEST(Connection_AcceptedAndReset_IsDropped);
  CPPUNIT_TEST(Connection_AcceptedAndClosedLater_IsDropped);
  CPPUNIT_TEST(Connection_ToClosedPort_IsRefused);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop{1};
  asio::ip::tcp::acceptor acceptor{
      loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0)};
  TcpEndpoint endpoint = acceptor.local_endpoint();
  std::optional<TcpSocket> accepted;
  asio::steady_timer closeTimer{loop};

  Reachability Check(Micros aTimeout) {
    std::optional<Reachability> result;
    CheckReachable(loop, endpoint, aTimeout,
                   [&](Reachability aReachability) { result = aReachability; });
    while (!result) {
      loop.run_one();
    }
    return *result;
  }

  void AcceptThen(std::function<void()> aThen) {
    acceptor.async_accept(
        [this, then = std::move(aThen)](const asio::error_code& aError,
                                        TcpSocket aSocket) {
          if (!aError) {
            accepted = std::move(aSocket);
            then();
          }
        });
  }

  void Reset() {
    accepted->set_option(asio::socket_base::linger(true, 0));
    accepted->close();
  }

 public:
  void Connection_AcceptedAndLeftOpen_IsReached() {
    this->AcceptThen([] {});
    CPPUNIT_ASSERT(this->Check(50ms) == Reachability::Reached);
  }

  // The kernel accepts connections for a stopped process.
  void Connection_NotAcceptedByProcess_IsReached() {
    CPPUNIT_ASSERT(this->Check(50ms) == Reachability::Reached);
  }

  void Connection_AcceptedAndReset_IsDropped() {
    this->AcceptThen([this] { this->Reset(); });
    CPPUNIT_ASSERT(this->Check(10s) == Reachability::Dropped);
  }

  void Connection_AcceptedAndClosedLater_IsDropped() {
    this->AcceptThen([this] {
      closeTimer.expires_after(30ms);
      closeTimer.async_wait(
          [this](const asio::error_code&) { accepted->close(); });
    });
    CPPUNIT_ASSERT(this->Check(10s) == Reachability::Dropped);
  }

  void Connection_ToClosedPort_IsRefused() {
    acceptor.close();
    CPPUNIT_ASSERT(this->Check(10s) == Reachability::Refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachabilityTest);

}  // namespace
}  // namespace zincstep
