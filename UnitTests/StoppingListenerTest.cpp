#include <cppunit/extensions/HelperMacros.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "Zincstep/Net/CallerListener.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {
namespace {

/// Answers each request at once.
class Refusing final : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage) override {
    aConnection->Answer(503, {}, "stopping");
  }
  void OnCallerDisconnected(CallerConnection&) override {}
};

/// Connections of a daemon that stops.
class StoppingListenerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoppingListenerTest);
  CPPUNIT_TEST(CloseIdle_RequestNotReadYet_IsAnswered);
  CPPUNIT_TEST(CloseIdle_NewConnection_MayStillSendItsRequest);
  CPPUNIT_TEST(CloseIdle_ConnectionWithoutRequestForLong_IsClosed);
  CPPUNIT_TEST(CloseIdle_ServedConnection_IsClosed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  asio::io_context loop;
  FakeClock clock;
  Refusing handler;
  CallerListener listener{loop, handler, clock};
  TcpSocket caller{loop};

  /// Sends a request, and waits until the other side has received it.
  void Send() {
    asio::write(caller, asio::buffer(std::string_view(kRequest)));
    int unacknowledged = 1;
    while (unacknowledged > 0) {
      CPPUNIT_ASSERT_EQUAL(
          0, ::ioctl(caller.native_handle(), SIOCOUTQ, &unacknowledged));
    }
  }

  /// Reads until the connection is closed; returns the bytes of the response.
  std::string Response() {
    std::string text;
    asio::error_code error = asio::error::would_block;
    asio::async_read(
        caller, asio::dynamic_buffer(text),
        [&](const asio::error_code& aError, std::size_t) { error = aError; });
    while (error == asio::error::would_block) {
      loop.run_one();
    }
    return text;
  }

 public:
  void setUp() override {
    CPPUNIT_ASSERT(listener.Start("127.0.0.1:0").has_value());
    caller.connect({asio::ip::address_v4::loopback(), listener.Port()});
    loop.run_one();
    loop.poll();
  }

  // Guards against closing a connection whose request has arrived: its caller
  // got no answer, and could not know whether it had run.
  void CloseIdle_RequestNotReadYet_IsAnswered() {
    this->Send();
    clock.Advance(10s);
    listener.CloseIdle();
    CPPUNIT_ASSERT(this->Response().starts_with("HTTP/1.1 503"));
  }

  // Guards against closing a connection that was accepted just before.
  void CloseIdle_NewConnection_MayStillSendItsRequest() {
    listener.CloseIdle();
    this->Send();
    CPPUNIT_ASSERT(this->Response().starts_with("HTTP/1.1 503"));
  }

  void CloseIdle_ConnectionWithoutRequestForLong_IsClosed() {
    clock.Advance(10s);
    listener.CloseIdle();
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Response());
  }

  void CloseIdle_ServedConnection_IsClosed() {
    this->Send();
    std::string head(12, ' ');
    loop.run_one();
    asio::async_read(caller, asio::buffer(head),
                     [](const asio::error_code&, std::size_t) {});
    while (listener.PendingBytes() > 0 || head[0] == ' ') {
      loop.run_one();
    }
    const ClosedConnections closed = listener.CloseIdle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed.idle);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, closed.unused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoppingListenerTest);

}  // namespace
}  // namespace zincstep
