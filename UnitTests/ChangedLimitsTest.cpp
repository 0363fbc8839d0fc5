#include <cppunit/extensions/HelperMacros.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "Zincstep/Net/CallerListener.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {
namespace {

/// Answers each request at once.
class Answering final : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage) override {
    aConnection->Answer(200, {}, "ok");
  }
  void OnCallerDisconnected(CallerConnection&) override {}
};

/// Open connections while the loop is held, and when the limits change.
class ChangedLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangedLimitsTest);
  CPPUNIT_TEST(Tick_RequestNotReadOnIdleConnection_IsAnswered);
  CPPUNIT_TEST(Tick_IdleTimeShrinks_RequestNotRead_IsAnswered);
  CPPUNIT_TEST(Tick_IdleTimeShrinks_RestingConnection_KeepsItsTime);
  CPPUNIT_TEST(Tick_IdleTimeGrows_RestingConnection_GetsIt);
  CPPUNIT_TEST(Tick_RestOfHeadNotRead_IsAnswered);
  CPPUNIT_TEST(Tick_HeadTimeShrinks_StartedHead_KeepsItsTime);
  CPPUNIT_TEST(Limits_BodyBoundShrinks_StartedBody_IsAccepted);
  CPPUNIT_TEST(Limits_BodyBoundShrinks_RequestNotRead_IsAccepted);
  CPPUNIT_TEST(Limits_HeadBoundShrinks_LaterRequest_IsRefused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  /// Longer than the time that is added to the idle timeout.
  static constexpr Micros kMargin = 2s;

  asio::io_context loop;
  FakeClock clock;
  Answering handler;
  CallerLimits limits;
  CallerListener listener{loop, handler, clock};
  TcpSocket caller{loop};

  /// Sends bytes, and waits until the other side has received them.
  void Send(std::string_view aBytes) {
    asio::write(caller, asio::buffer(aBytes));
    int unacknowledged = 1;
    while (unacknowledged > 0) {
      CPPUNIT_ASSERT_EQUAL(
          0, ::ioctl(caller.native_handle(), SIOCOUTQ, &unacknowledged));
    }
  }

  /// Runs the loop until nothing is ready.
  void Poll() {
    while (loop.poll() > 0) {
    }
  }

  /// Returns what the caller has received, empty if there is nothing.
  std::string Received() {
    this->Poll();
    std::string text(4096, '\0');
    asio::error_code error;
    caller.non_blocking(true);
    text.resize(caller.read_some(asio::buffer(text), error));
    caller.non_blocking(false);
    return text;
  }

  bool IsOpen() {
    this->Poll();
    char byte = 0;
    asio::error_code error;
    caller.non_blocking(true);
    caller.read_some(asio::buffer(&byte, 1), error);
    caller.non_blocking(false);
    return error == asio::error::would_block;
  }

  void CompleteOneRequest() {
    this->Send(kRequest);
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
  }

 public:
  void setUp() override {
    CPPUNIT_ASSERT(listener.Start("127.0.0.1:0").has_value());
    listener.SetLimits(limits);
    caller.connect({asio::ip::address_v4::loopback(), listener.Port()});
    loop.run_one();
    this->Poll();
  }

  // Guards against closing a connection whose request has arrived: its caller
  // got no answer, and could not know whether it had run.
  void Tick_RequestNotReadOnIdleConnection_IsAnswered() {
    this->CompleteOneRequest();
    this->Send(kRequest);
    clock.Advance(limits.idleTimeout + kMargin);
    listener.Tick();
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
  }

  void Tick_IdleTimeShrinks_RequestNotRead_IsAnswered() {
    this->CompleteOneRequest();
    clock.Advance(limits.idleTimeout / 2);
    this->Send(kRequest);
    limits.idleTimeout = 1s;
    listener.SetLimits(limits);
    listener.Tick();
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
  }

  // Guards against closing connections that callers may still use by the limits
  // that held when they began to rest.
  void Tick_IdleTimeShrinks_RestingConnection_KeepsItsTime() {
    this->CompleteOneRequest();
    const Micros before = limits.idleTimeout;
    clock.Advance(before / 2);
    limits.idleTimeout = 1s;
    listener.SetLimits(limits);
    listener.Tick();
    CPPUNIT_ASSERT(this->IsOpen());
    clock.Advance(before / 2 + kMargin);
    listener.Tick();
    CPPUNIT_ASSERT(!this->IsOpen());
  }

  void Tick_IdleTimeGrows_RestingConnection_GetsIt() {
    this->CompleteOneRequest();
    const Micros before = limits.idleTimeout;
    limits.idleTimeout = 2 * before;
    listener.SetLimits(limits);
    clock.Advance(before + kMargin);
    listener.Tick();
    CPPUNIT_ASSERT(this->IsOpen());
    clock.Advance(before);
    listener.Tick();
    CPPUNIT_ASSERT(!this->IsOpen());
  }

  // Guards against taking the time in which the loop was held for the caller's.
  void Tick_RestOfHeadNotRead_IsAnswered() {
    this->Send("GET / HTTP/1.1\r\n");
    this->Poll();
    this->Send("Host: h\r\n\r\n");
    clock.Advance(limits.headerTimeout + 250ms);
    listener.Tick();
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
  }

  void Tick_HeadTimeShrinks_StartedHead_KeepsItsTime() {
    this->Send("GET / HTTP/1.1\r\n");
    this->Poll();
    clock.Advance(limits.headerTimeout / 2);
    limits.headerTimeout = 100ms;
    listener.SetLimits(limits);
    listener.Tick();
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Received());
    this->Send("Host: h\r\n\r\n");
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
  }

  void Limits_BodyBoundShrinks_StartedBody_IsAccepted() {
    this->Send("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n1234");
    this->Poll();
    limits.maxBodyBytes = 5;
    listener.SetLimits(limits);
    this->Send("5678");
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
    this->Send("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n12345678");
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 413 "));
  }

  // Guards against judging a request that arrived while the loop was held by
  // limits that its caller could not know.
  void Limits_BodyBoundShrinks_RequestNotRead_IsAccepted() {
    this->CompleteOneRequest();
    this->Send("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n12345678");
    limits.maxBodyBytes = 5;
    listener.SetLimits(limits);
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 200 "));
  }

  // Guards against limits that hold only for connections opened afterwards.
  void Limits_HeadBoundShrinks_LaterRequest_IsRefused() {
    limits.maxHeaderBytes = 64;
    listener.SetLimits(limits);
    this->CompleteOneRequest();
    this->Send("GET / HTTP/1.1\r\nX-Padding: " + std::string(100, 'x') +
               "\r\n\r\n");
    CPPUNIT_ASSERT(this->Received().starts_with("HTTP/1.1 431 "));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangedLimitsTest);

}  // namespace
}  // namespace zincstep
