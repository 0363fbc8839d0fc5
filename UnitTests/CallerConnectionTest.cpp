#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/CallerListener.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {
namespace {

/// Answers each request at once.
class Answering final : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override {
    this->requests += 1;
    this->bodyBytes = aMessage.body.size();
    if (this->lacksMemory) {
      throw std::bad_alloc();
    }
    aConnection->Answer(200, {}, this->response);
  }
  void OnCallerDisconnected(CallerConnection&) override {
    this->disconnects += 1;
  }

  bool lacksMemory = false;
  int disconnects = 0;
  std::size_t bodyBytes = 0;
  int requests = 0;
  std::string response = "ok";
};

class CallerConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerConnectionTest);
  CPPUNIT_TEST(Head_Trickled_Is408);
  CPPUNIT_TEST(Head_TrickledOnKeptConnection_Is408);
  CPPUNIT_TEST(Head_WithinTimeoutAfterIdleTime_IsServed);
  CPPUNIT_TEST(Body_SlowButProgressing_IsServed);
  CPPUNIT_TEST(Body_Stalled_Is408);
  CPPUNIT_TEST(Connection_IdleBeforeFirstByte_ClosesAtIdleTimeout);
  CPPUNIT_TEST(Body_RestAfterRejection_IsNoRequest);
  CPPUNIT_TEST(Request_AfterLastOfConnection_IsNotRun);
  CPPUNIT_TEST(Request_HandlerThrows_ClosesItsConnection);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  FakeClock clock;
  Answering handler;
  CallerLimits limits;
  CallerListener listener{loop, handler, clock};
  TcpSocket caller{loop};

  /// Sends bytes, and waits until the listener has read them.
  void Send(const std::string& aBytes) {
    asio::write(caller, asio::buffer(aBytes));
    loop.run_one();
    loop.poll();
  }

  /// Passes time, with a tick as often as the daemon has it.
  void Pass(Micros aDuration) {
    constexpr Micros kTick = 250ms;
    for (Micros passed{0}; passed < aDuration; passed += kTick) {
      clock.Advance(kTick);
      listener.Tick();
    }
    loop.poll();
  }

  /// Returns the received bytes, empty if there are none.
  std::string Received() {
    std::string text(4096, '\0');
    asio::error_code error;
    caller.non_blocking(true);
    text.resize(caller.read_some(asio::buffer(text), error));
    caller.non_blocking(false);
    return text;
  }

  bool IsClosed() {
    char byte = 0;
    asio::error_code error;
    caller.non_blocking(true);
    caller.read_some(asio::buffer(&byte, 1), error);
    caller.non_blocking(false);
    return error == asio::error::eof;
  }

  /// Sends a head byte by byte, each well within the timeout, until there is a
  /// response; returns that.
  std::string Trickle() {
    const std::string head =
        "GET / HTTP/1.1\r\nX-Padding: " + std::string(40, 'x');
    for (const char byte : head) {
      this->Send(std::string(1, byte));
      this->Pass(limits.headerTimeout / 3);
      const std::string received = this->Received();
      if (!received.empty()) {
        return received;
      }
    }
    return "";
  }

 public:
  void setUp() override {
    CPPUNIT_ASSERT(listener.Start("127.0.0.1:0").has_value());
    listener.SetLimits(limits);
    caller.connect({asio::ip::address_v4::loopback(), listener.Port()});
    loop.run_one();
    loop.poll();
  }

  // Guards against callers that hold a connection for ever: each byte of the
  // head renewed its timeout.
  void Head_Trickled_Is408() {
    CPPUNIT_ASSERT(this->Trickle().starts_with("HTTP/1.1 408 "));
  }

  void Head_TrickledOnKeptConnection_Is408() {
    this->Send("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
    this->Pass(10s);
    CPPUNIT_ASSERT(this->Trickle().starts_with("HTTP/1.1 408 "));
  }

  // Guards against counting the idle time before a request as part of it.
  void Head_WithinTimeoutAfterIdleTime_IsServed() {
    for (int i = 0; i < 3; ++i) {
      this->Pass(limits.idleTimeout - 1s);
      this->Send("GET / HTTP/1.1\r\n");
      this->Pass(limits.headerTimeout - 1s);
      this->Send("\r\n");
      CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
    }
  }

  // Guards against refusing a large body over a slow link: the limit on its
  // whole duration is that of the head only.
  void Body_SlowButProgressing_IsServed() {
    this->Send("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n");
    for (int i = 0; i < 8; ++i) {
      this->Pass(limits.headerTimeout - 1s);
      CPPUNIT_ASSERT_EQUAL(std::string(), this->Received());
      this->Send("x");
    }
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, handler.bodyBytes);
  }

  void Body_Stalled_Is408() {
    this->Send("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nx");
    this->Pass(limits.headerTimeout + 250ms);
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 408 "));
  }

  void Connection_IdleBeforeFirstByte_ClosesAtIdleTimeout() {
    this->Pass(limits.idleTimeout);
    CPPUNIT_ASSERT(!this->IsClosed());
    this->Pass(3s);
    CPPUNIT_ASSERT(this->IsClosed());
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Received());
  }

  // Guards against answering or running what follows the last request of a
  // connection, as long as the caller has not received the last response.
  void Body_RestAfterRejection_IsNoRequest() {
    handler.response = std::string(16 << 20, 'x');
    this->Send("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(listener.PendingBytes() > handler.response.size() / 4);
    this->Send("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" +
               std::string(limits.maxBodyBytes + 1, 'x'));
    while (loop.poll() > 0) {
    }
    const std::size_t pending = listener.PendingBytes();
    this->Send("rest of the body\r\n");
    this->Send("GET /in-body HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(pending, listener.PendingBytes());
    CPPUNIT_ASSERT_EQUAL(1, handler.requests);
  }

  void Request_AfterLastOfConnection_IsNotRun() {
    handler.response = std::string(16 << 20, 'x');
    this->Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    this->Send("GET /second HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(1, handler.requests);
  }

  // Guards against a connection that is neither served nor read any more, and
  // keeps its descriptor for ever.
  void Request_HandlerThrows_ClosesItsConnection() {
    handler.lacksMemory = true;
    CPPUNIT_ASSERT_THROW(this->Send("GET / HTTP/1.1\r\n\r\n"), std::bad_alloc);
    handler.lacksMemory = false;
    CPPUNIT_ASSERT(this->IsClosed());
    CPPUNIT_ASSERT_EQUAL(1, handler.disconnects);
    caller = TcpSocket(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener.Port()});
    loop.run_one();
    this->Send("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTest);

}  // namespace
}  // namespace zincstep
