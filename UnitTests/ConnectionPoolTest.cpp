#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/SingleCall.h"

namespace zincstep {
namespace {

constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok";

/// What the scripted peer does with a connection.
enum class Manner {
  /// Answers each request.
  Answers,
  /// Answers, then closes.
  Closes,
  /// Answers with bytes behind the answer.
  AnswersTooMuch,
  /// Answers the first request only, and is silent from then on.
  FallsSilent,
  /// Answers the first request at once, and takes its time in the midst of the
  /// next answer.
  Pauses,
  /// Answers the first request only, and closes on the next.
  BreaksSecond,
};

class ConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionPoolTest);
  CPPUNIT_TEST(Call_AfterAWholeAnswer_ReusesTheConnection);
  CPPUNIT_TEST(Call_OtherIncarnation_HasItsOwnConnection);
  CPPUNIT_TEST(Call_AfterAClose_ConnectsAnew);
  CPPUNIT_TEST(Call_AfterSurplusBytes_ConnectsAnew);
  CPPUNIT_TEST(Call_AfterALongRest_ConnectsAnew);
  CPPUNIT_TEST(Call_OnASilentConnection_GoesOnANewOneAndIsDistrusted);
  CPPUNIT_TEST(Call_AnsweredSlowlyOnAKeptConnection_HasItsWholeTime);
  CPPUNIT_TEST(Call_OnAConnectionThatBreaks_IsMadeAgain);
  CPPUNIT_TEST(Call_WithoutKept_ConnectsEachTime);
  CPPUNIT_TEST(Put_MoreThanMayRest_AreClosed);
  CPPUNIT_TEST_SUITE_END();

  /// More than the half of `kLongTimeout` that a silent connection has.
  static constexpr Micros kPause = 1100ms;
  static constexpr Micros kLongTimeout = 2s;

  asio::io_context loop;
  FakeClock clock;
  ConnectionPool pool{ConnectionPoolSettings{}, clock};
  asio::ip::tcp::acceptor acceptor{
      loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0)};
  Manner manner = Manner::Answers;
  int connections = 0;
  /// Connections that stay open and say nothing.
  std::vector<std::shared_ptr<TcpSocket>> silent;

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

  void Serve(const std::shared_ptr<TcpSocket>& aSocket, int aNumber) {
    auto buffer = std::make_shared<std::array<char, 4096>>();
    aSocket->async_read_some(
        asio::buffer(*buffer),
        [this, aSocket, buffer, aNumber](const asio::error_code& aError,
                                         std::size_t) {
          if (aError) {
            return;
          }
          if (manner == Manner::FallsSilent && aNumber > 1) {
            silent.push_back(aSocket);
            return;
          }
          if (manner == Manner::BreaksSecond && aNumber > 1) {
            return;
          }
          if (manner == Manner::Pauses && aNumber > 1) {
            this->AnswerWithAPause(aSocket);
            return;
          }
          std::string answer = kAnswer;
          if (manner == Manner::AnswersTooMuch) {
            answer += kAnswer;
          }
          asio::write(*aSocket, asio::buffer(answer));
          if (manner != Manner::Closes) {
            this->Serve(aSocket, aNumber + 1);
          }
        });
  }

  void AnswerWithAPause(const std::shared_ptr<TcpSocket>& aSocket) {
    const std::string_view answer = kAnswer;
    asio::write(*aSocket, asio::buffer(answer.substr(0, answer.size() - 1)));
    auto timer = std::make_shared<asio::steady_timer>(loop, kPause);
    timer->async_wait([aSocket, timer, answer](const asio::error_code&) {
      asio::write(*aSocket, asio::buffer(answer.substr(answer.size() - 1)));
    });
  }

  Result<HttpResponse> Call(const std::string& aUpstream, bool aKept = true,
                            Micros aTimeout = 150ms) {
    std::optional<Result<HttpResponse>> result;
    FetchResponse(
        loop, acceptor.local_endpoint(),
        "GET /report HTTP/1.1\r\nHost: h\r\n\r\n", aTimeout,
        [&](Result<HttpResponse> aAnswer) { result = std::move(aAnswer); },
        aKept ? std::optional(PooledConnections{&pool, aUpstream})
              : std::nullopt);
    while (!result) {
      loop.run_one();
    }
    loop.poll();
    return *result;
  }

 public:
  void setUp() override { this->Accept(); }

  void Call_AfterAWholeAnswer_ReusesTheConnection() {
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    }
    CPPUNIT_ASSERT_EQUAL(1, connections);
  }

  void Call_OtherIncarnation_HasItsOwnConnection() {
    this->Call("i1");
    this->Call("i2");
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  void Call_AfterAClose_ConnectsAnew() {
    manner = Manner::Closes;
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    }
    CPPUNIT_ASSERT_EQUAL(3, connections);
  }

  void Call_AfterSurplusBytes_ConnectsAnew() {
    manner = Manner::AnswersTooMuch;
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    }
    CPPUNIT_ASSERT_EQUAL(3, connections);
  }

  void Call_AfterALongRest_ConnectsAnew() {
    this->Call("i1");
    clock.Advance(4s);
    this->Call("i1");
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  // An open connection may fall silent for good while new ones work.
  void Call_OnASilentConnection_GoesOnANewOneAndIsDistrusted() {
    manner = Manner::FallsSilent;
    CPPUNIT_ASSERT(this->Call("i1").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    CPPUNIT_ASSERT_EQUAL(2, connections);
    CPPUNIT_ASSERT(this->Call("i1").has_value());
    CPPUNIT_ASSERT(this->Call("i1").has_value());
    CPPUNIT_ASSERT_EQUAL(4, connections);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.IdleCount());
  }

  void Call_AnsweredSlowlyOnAKeptConnection_HasItsWholeTime() {
    manner = Manner::Pauses;
    this->Call("i1");
    const auto answer = this->Call("i1", true, kLongTimeout);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer->body);
    CPPUNIT_ASSERT_EQUAL(1, connections);
  }

  // The other side closed it as the call was sent: it is made once more.
  void Call_OnAConnectionThatBreaks_IsMadeAgain() {
    manner = Manner::BreaksSecond;
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Call("i1")->body);
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  void Call_WithoutKept_ConnectsEachTime() {
    this->Call("i1", false);
    this->Call("i1", false);
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }

  void Put_MoreThanMayRest_AreClosed() {
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
