#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <atomic>
#include <mutex>
#include <thread>

#include "Zincstep/Net/Net.h"

namespace zincstep {
namespace {

/// Holds the server's thread while it passes on a request to `/hold`; answers
/// the others at once.
class HoldingListener final : public HttpRequestListener {
 public:
  void OnRequest(HttpRequest aRequest) override {
    if (aRequest.path == "/hold") {
      std::this_thread::sleep_for(this->held);
    }
    if (aRequest.path == "/truncated") {
      this->server->StartStream(aRequest.exchange, 200, {});
      this->server->Append(aRequest.exchange, "part");
      this->truncated = aRequest.exchange;
      return;
    }
    this->server->Respond(aRequest.exchange, JsonResponse("[1]"));
  }
  void OnCallerDisconnected(ExchangeId) override {}

  HttpServer* server = nullptr;
  Micros held{0};
  std::atomic<ExchangeId> truncated{0};
};

/// Idle connections while the server's thread is held.
class HeldServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldServerTest);
  CPPUNIT_TEST(IdleConnection_RequestArrivesInTime_HasItsResponse);
  CPPUNIT_TEST(IdleConnection_NothingArrives_IsClosedWithoutResponse);
  CPPUNIT_TEST(TruncatedStream_NextRequestHasArrived_NothingFollows);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kReadTimeout = 2s;
  /// Longer than the interval of RESTinio's checks of time limits; two of them
  /// exceed the time limit.
  static constexpr Micros kHeld = 1200ms;

  HoldingListener listener;
  std::unique_ptr<HttpServer> server;
  asio::io_context loop;

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::address_v4::loopback(), server->Port()});
    return socket;
  }

  static void Send(asio::ip::tcp::socket& aSocket, const char* aPath) {
    asio::write(aSocket, asio::buffer("GET " + std::string(aPath) +
                                      " HTTP/1.1\r\nHost: x\r\n\r\n"));
  }

  /// Reads a response; empty if the connection ends before.
  static std::string Read(asio::ip::tcp::socket& aSocket) {
    std::string text;
    asio::error_code error;
    asio::read_until(aSocket, asio::dynamic_buffer(text), "\r\n\r\n", error);
    return text;
  }

  /// Returns what follows until the connection ends.
  static std::string ReadToEnd(asio::ip::tcp::socket& aSocket) {
    std::string text;
    asio::error_code error;
    asio::read(aSocket, asio::dynamic_buffer(text), error);
    return text;
  }

 public:
  void setUp() override {
    HttpServerSettings settings;
    settings.readTimeout = kReadTimeout;
    server = MakeHttpServer(settings, listener);
    listener.server = server.get();
    listener.held = kHeld;
    CPPUNIT_ASSERT(server->Start().has_value());
  }
  void tearDown() override { server->Stop(); }

  // Guards against a time limit that counts the time in which the server did
  // not read: the connection was closed with a whole request on it, and its
  // caller got neither an answer nor a refusal.
  void IdleConnection_RequestArrivesInTime_HasItsResponse() {
    auto first = this->Connect();
    auto second = this->Connect();
    auto idle = this->Connect();
    for (auto* one : {&first, &second, &idle}) {
      Send(*one, "/");
      CPPUNIT_ASSERT(Read(*one).starts_with("HTTP/1.1 200 "));
    }
    // The checks of all connections are due behind the second request, which
    // arrives while the first one holds the thread.
    Send(first, "/hold");
    std::this_thread::sleep_for(kHeld / 2);
    Send(second, "/hold");
    CPPUNIT_ASSERT(Read(first).starts_with("HTTP/1.1 200 "));
    Send(idle, "/");
    const std::string response = Read(idle);
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 "));
  }

  void IdleConnection_NothingArrives_IsClosedWithoutResponse() {
    auto idle = this->Connect();
    Send(idle, "/");
    const std::string response = ReadToEnd(idle);
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("[1]"));
  }

  // Guards against a refusal in the middle of a response.
  void TruncatedStream_NextRequestHasArrived_NothingFollows() {
    auto caller = this->Connect();
    Send(caller, "/truncated");
    for (int i = 0; i < 40; ++i) {
      Send(caller, "/");
    }
    CPPUNIT_ASSERT(Read(caller).starts_with("HTTP/1.1 200 "));
    server->Abort(listener.truncated);
    const std::string rest = ReadToEnd(caller);
    CPPUNIT_ASSERT_MESSAGE(rest, rest.find("HTTP/1.1") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldServerTest);

}  // namespace
}  // namespace zincstep
