#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/SingleCall.h"

namespace zincstep {
namespace {

constexpr const char* kResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok";

/// Behaviour of the test server on a connection.
enum class ServerBehaviour {
  /// Responds to each request.
  Responds,
  /// Responds, then closes the connection.
  ClosesAfterResponse,
  /// Sends surplus bytes after the response.
  SendsSurplus,
  /// Responds to the first request only; later requests get no response.
  StopsResponding,
  /// Responds to the first request immediately, and pauses within the response
  /// to the next.
  Pauses,
  /// Responds to the first request only, and closes on the next.
  ClosesOnSecond,
};

class ConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionPoolTest);
  CPPUNIT_TEST(Call_AfterCompleteResponse_ReusesTheConnection);
  CPPUNIT_TEST(Call_OtherIncarnation_OpensItsOwnConnection);
  CPPUNIT_TEST(Call_AfterClose_OpensNewConnection);
  CPPUNIT_TEST(Call_AfterSurplusBytes_OpensNewConnection);
  CPPUNIT_TEST(Call_AfterIdleTimeout_OpensNewConnection);
  CPPUNIT_TEST(Call_ReusedConnectionUnresponsive_RetriesAndQuarantines);
  CPPUNIT_TEST(Call_SlowResponseOnReusedConnection_GetsFullTimeout);
  CPPUNIT_TEST(Call_ReusedConnectionCloses_IsRetried);
  CPPUNIT_TEST(Call_WithoutPool_ConnectsEachTime);
  CPPUNIT_TEST(Put_OverMaxIdleConnections_AreClosed);
  CPPUNIT_TEST_SUITE_END();

  /// Longer than the half of `kLongTimeout` after which a reused connection
  /// without any response byte is abandoned.
  static constexpr Micros kPause = 1100ms;
  static constexpr Micros kLongTimeout = 2s;

  asio::io_context loop;
  FakeClock clock;
  ConnectionPool pool{ConnectionPoolSettings{}, clock};
  asio::ip::tcp::acceptor acceptor{
      loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0)};
  ServerBehaviour behaviour = ServerBehaviour::Responds;
  int connections = 0;
  /// Connections that stay open and get no response.
  std::vector<std::shared_ptr<TcpSocket>> unresponsive;

  void Accept() {
    acceptor.async_accept(
        [this](const asio::error_code& aError, TcpSocket aSocket) {
          if (aError) {
            return;
          }
          connections += 1;
          this->Serve(std::make_shared<TcpSocket>(std::move(aSocket)), 1);
          this->Accept();
        });
  }

  void Serve(const std::shared_ptr<TcpSocket>& aSocket, int aRequestNumber) {
    auto buffer = std::make_shared<std::array<char, 4096>>();
    aSocket->async_read_some(
        asio::buffer(*buffer),
        [this, aSocket, buffer, aRequestNumber](const asio::error_code& aError,
                                                std::size_t) {
          if (aError) {
            return;
          }
          if (behaviour == ServerBehaviour::StopsResponding &&
              aRequestNumber > 1) {
            unresponsive.push_back(aSocket);
            return;
          }
          if (behaviour == ServerBehaviour::ClosesOnSecond &&
              aRequestNumber > 1) {
            return;
          }
          if (behaviour == ServerBehaviour::Pauses && aRequestNumber > 1) {
            this->RespondWithPause(aSocket);
            return;
          }
          std::string response = kResponse;
          if (behaviour == ServerBehaviour::SendsSurplus) {
            response += kResponse;
          }
          asio::write(*aSocket, asio::buffer(response));
          if (behaviour != ServerBehaviour::ClosesAfterResponse) {
            this->Serve(aSocket, aRequestNumber + 1);
          }
        });
  }

  void RespondWithPause(const std::shared_ptr<TcpSocket>& aSocket) {
    const std::string_view response = kResponse;
    asio::write(*aSocket,
                asio::buffer(response.substr(0, response.size() - 1)));
    auto timer = std::make_shared<asio::steady_timer>(loop, kPause);
    timer->async_wait([aSocket, timer, response](const asio::error_code&) {
      asio::write(*aSocket, asio::buffer(response.substr(response.size() - 1)));
    });
  }

  Result<HttpResponse> Call(const std::string& aUpstream, bool aIsPooled = true,
                            Micros aTimeout = 150ms) {
    std::optional<Result<HttpResponse>> result;
    FetchResponse(
        loop, acceptor.local_endpoint(),
        "GET /report HTTP/1.1\r\nHost: h\r\n\r\n", aTimeout,
        [&](Result<HttpResponse> aResponse) { result = std::move(aResponse); },
        aIsPooled ? std::optional(PooledConnections{&pool, aUpstream})
                  : std::nullopt);
    while (!result) {
      loop.run_one();
    }
    loop.poll();
    return *result;
  }

 public:
  void setUp() override { this->Accept(); }

  void Call_AfterCompleteResponse_ReusesTheConnection() {
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    }
    CPPUNIT_ASSERT_EQUAL(1, connections);
  }

  void Call_OtherIncarnation_OpensItsOwnConnection() {
    this->Call("i1");
    this->Call("i2");
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  void Call_AfterClose_OpensNewConnection() {
    behaviour = ServerBehaviour::ClosesAfterResponse;
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    }
    CPPUNIT_ASSERT_EQUAL(3, connections);
  }

  void Call_AfterSurplusBytes_OpensNewConnection() {
    behaviour = ServerBehaviour::SendsSurplus;
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    }
    CPPUNIT_ASSERT_EQUAL(3, connections);
  }

  void Call_AfterIdleTimeout_OpensNewConnection() {
    this->Call("i1");
    clock.Advance(4s);
    this->Call("i1");
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  // An open connection may stop responding permanently while new ones work.
  void Call_ReusedConnectionUnresponsive_RetriesAndQuarantines() {
    behaviour = ServerBehaviour::StopsResponding;
    CPPUNIT_ASSERT(this->Call("i1").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    CPPUNIT_ASSERT_EQUAL(2, connections);
    CPPUNIT_ASSERT(this->Call("i1").has_value());
    CPPUNIT_ASSERT(this->Call("i1").has_value());
    CPPUNIT_ASSERT_EQUAL(4, connections);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.IdleCount());
  }

  void Call_SlowResponseOnReusedConnection_GetsFullTimeout() {
    behaviour = ServerBehaviour::Pauses;
    this->Call("i1");
    const auto response = this->Call("i1", true, kLongTimeout);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), response->body);
    CPPUNIT_ASSERT_EQUAL(1, connections);
  }

  // The server closes the connection when the request is sent; the call is
  // retried on a new connection.
  void Call_ReusedConnectionCloses_IsRetried() {
    behaviour = ServerBehaviour::ClosesOnSecond;
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  void Call_WithoutPool_ConnectsEachTime() {
    this->Call("i1", false);
    this->Call("i1", false);
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  void Put_OverMaxIdleConnections_AreClosed() {
    HttpHead head;
    for (std::size_t i = 0; i < 20; ++i) {
      pool.Put("i1", TcpSocket(loop), head);
    }
    CPPUNIT_ASSERT_EQUAL(ConnectionPoolSettings{}.maxIdleConnections,
                         pool.IdleCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);

}  // namespace
}  // namespace zincstep
