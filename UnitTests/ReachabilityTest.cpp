#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {
namespace {

/// What an attempt to connect tells of who listens on loopback.
class ReachabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityTest);
  CPPUNIT_TEST(Connection_ThatIsAcceptedAndKept_IsReached);
  CPPUNIT_TEST(Connection_ThatNobodyTakes_IsReached);
  CPPUNIT_TEST(Connection_ThatIsAcceptedAndReset_IsDropped);
  CPPUNIT_TEST(Connection_ThatIsAcceptedAndClosedLater_IsDropped);
  CPPUNIT_TEST(Connection_ToAClosedPort_IsRefused);
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

  void AcceptAnd(std::function<void()> aThen) {
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
  void Connection_ThatIsAcceptedAndKept_IsReached() {
    this->AcceptAnd([] {});
    CPPUNIT_ASSERT(this->Check(50ms) == Reachability::Reached);
  }

  // The kernel accepts for a process that is stopped.
  void Connection_ThatNobodyTakes_IsReached() {
    CPPUNIT_ASSERT(this->Check(50ms) == Reachability::Reached);
  }

  void Connection_ThatIsAcceptedAndReset_IsDropped() {
    this->AcceptAnd([this] { this->Reset(); });
    CPPUNIT_ASSERT(this->Check(10s) == Reachability::Dropped);
  }

  void Connection_ThatIsAcceptedAndClosedLater_IsDropped() {
    this->AcceptAnd([this] {
      closeTimer.expires_after(30ms);
      closeTimer.async_wait(
          [this](const asio::error_code&) { accepted->close(); });
    });
    CPPUNIT_ASSERT(this->Check(10s) == Reachability::Dropped);
  }

  void Connection_ToAClosedPort_IsRefused() {
    acceptor.close();
    CPPUNIT_ASSERT(this->Check(10s) == Reachability::Refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachabilityTest);

}  // namespace
}  // namespace zincstep
