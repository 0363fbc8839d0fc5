#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/CallerListener.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {
namespace {

/// Answers each request at once.
class Answering final : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage) override {
    this->requests += 1;
    aConnection->Answer(200, {}, "ok");
  }
  void OnCallerDisconnected(CallerConnection&) override {}

  int requests = 0;
};

/// Requests that exceed a limit, of callers that send all of them before they
/// read.
class RejectedRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RejectedRequestTest);
  CPPUNIT_TEST(Body_OverLimit_WholeRequestIsTakenAndRefused);
  CPPUNIT_TEST(Body_OverLimitAndSentAtOnce_IsRefused);
  CPPUNIT_TEST(Body_BoundShrinks_NextRequestIsTakenAndRefused);
  CPPUNIT_TEST(Head_OverLimit_WholeRequestIsTakenAndRefused);
  CPPUNIT_TEST(Body_OverLimitBesideStop_RefusalIsReceived);
  CPPUNIT_TEST(Body_CallerNeverEnds_ConnectionIsClosed);
  CPPUNIT_TEST_SUITE_END();

  /// More than the buffers of a loopback connection hold.
  static constexpr std::size_t kLargeBytes = 16 << 20;

  /// Less than these buffers hold, and more than one read.
  static constexpr std::size_t kShortBytes = 64 << 10;

  asio::io_context loop;
  FakeClock clock;
  Answering handler;
  CallerLimits limits;
  CallerListener listener{loop, handler, clock};
  TcpSocket caller{loop};

  /// What a caller gets that sends all bytes, and then reads to the end.
  struct Outcome {
    std::optional<asio::error_code> sent;
    std::optional<asio::error_code> received;
    std::string text;
  };

  Outcome Exchange(const std::string& aRequest) {
    Outcome outcome;
    asio::async_write(
        caller, asio::buffer(aRequest),
        [&](const asio::error_code& aError, std::size_t) {
          outcome.sent = aError;
          asio::async_read(caller, asio::dynamic_buffer(outcome.text),
                           [&](const asio::error_code& aReadError,
                               std::size_t) { outcome.received = aReadError; });
        });
    while (!outcome.received) {
      loop.run_one();
    }
    return outcome;
  }

  void ExpectRefused(const std::string& aRequest, const char* aStatusLine) {
    const Outcome outcome = this->Exchange(aRequest);
    CPPUNIT_ASSERT_EQUAL(std::string("Success"), outcome.sent->message());
    CPPUNIT_ASSERT_MESSAGE(outcome.text.substr(0, 100),
                           outcome.text.starts_with(aStatusLine));
    CPPUNIT_ASSERT_EQUAL(std::string("End of file"),
                         outcome.received->message());
  }

  static std::string Post(std::size_t aBytes) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'x');
  }

 public:
  void setUp() override {
    CPPUNIT_ASSERT(listener.Start("127.0.0.1:0").has_value());
    listener.SetLimits(limits);
    caller.connect({asio::ip::address_v4::loopback(), listener.Port()});
    loop.run_one();
    loop.poll();
  }

  // Guards against a reset in the middle of the request: its caller got neither
  // an answer nor the refusal.
  void Body_OverLimit_WholeRequestIsTakenAndRefused() {
    this->ExpectRefused(Post(kLargeBytes), "HTTP/1.1 413 ");
    CPPUNIT_ASSERT_EQUAL(0, handler.requests);
  }

  // The same with a body that the buffers hold: its caller has sent all of it.
  void Body_OverLimitAndSentAtOnce_IsRefused() {
    limits.maxBodyBytes = 1 << 10;
    listener.SetLimits(limits);
    caller.close();
    caller.connect({asio::ip::address_v4::loopback(), listener.Port()});
    loop.run_one();
    const std::string request = Post(kShortBytes);
    asio::write(caller, asio::buffer(request));
    this->ExpectRefused("", "HTTP/1.1 413 ");
  }

  // Guards against the same for callers whose requests were accepted by the
  // former version of the configuration.
  void Body_BoundShrinks_NextRequestIsTakenAndRefused() {
    limits.maxBodyBytes = kLargeBytes;
    listener.SetLimits(limits);
    limits.maxBodyBytes = 1 << 10;
    listener.SetLimits(limits);
    asio::write(
        caller,
        asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::string answer;
    bool isDone = false;
    asio::async_read_until(
        caller, asio::dynamic_buffer(answer), "ok",
        [&](const asio::error_code&, std::size_t) { isDone = true; });
    while (!isDone) {
      loop.run_one();
    }
    this->ExpectRefused(Post(kLargeBytes), "HTTP/1.1 413 ");
    CPPUNIT_ASSERT_EQUAL(1, handler.requests);
  }

  void Head_OverLimit_WholeRequestIsTakenAndRefused() {
    this->ExpectRefused("GET / HTTP/1.1\r\nHost: h\r\nX-Padding: " +
                            std::string(kLargeBytes, 'x') + "\r\n\r\n",
                        "HTTP/1.1 431 ");
  }

  // Guards against a planned stop that ends the process while a caller still
  // sends the request that was refused: the reset discards the refusal.
  void Body_OverLimitBesideStop_RefusalIsReceived() {
    limits.maxBodyBytes = 1 << 10;
    listener.SetLimits(limits);
    caller.close();
    caller.connect({asio::ip::address_v4::loopback(), listener.Port()});
    loop.run_one();
    const std::string request = Post(kLargeBytes);
    asio::write(caller, asio::buffer(request.substr(0, kShortBytes)));
    bool isRefused = false;
    caller.async_wait(asio::ip::tcp::socket::wait_read,
                      [&](const asio::error_code&) { isRefused = true; });
    while (!isRefused || listener.PendingBytes() > 0) {
      loop.run_one();
    }
    listener.CloseIdle();
    listener.Tick();
    // Otherwise the process ends.
    CPPUNIT_ASSERT(listener.ExpectsRequests());
    this->ExpectRefused(request.substr(kShortBytes), "HTTP/1.1 413 ");
    caller.close();
    while (listener.ExpectsRequests()) {
      loop.run_one();
    }
  }

  // Guards against callers that hold a connection for ever by sending on after
  // their refusal.
  void Body_CallerNeverEnds_ConnectionIsClosed() {
    std::string rest(64 << 10, 'x');
    std::optional<asio::error_code> ended;
    std::function<void()> send = [&] {
      asio::async_write(caller, asio::buffer(rest),
                        [&](const asio::error_code& aError, std::size_t) {
                          if (aError) {
                            ended = aError;
                          } else {
                            send();
                          }
                        });
    };
    asio::write(caller, asio::buffer(std::string_view(
                            "POST / HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 99999999999\r\n\r\n")));
    send();
    while (!ended) {
      loop.run_one();
    }
    CPPUNIT_ASSERT_EQUAL(0, handler.requests);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RejectedRequestTest);

}  // namespace
}  // namespace zincstep
