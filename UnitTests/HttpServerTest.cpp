#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <mutex>

#include "UnitTests/LocalDomain.h"
#include "Zincstep/Net/Net.h"

namespace zincstep {
namespace {

/// Records the requests that a server passes on.
class RecordingListener final : public HttpRequestListener {
 public:
  void OnRequest(HttpRequest aRequest) override {
    const std::lock_guard lock(this->mutex);
    this->exchanges.push_back(aRequest.exchange);
  }
  void OnCallerDisconnected(ExchangeId) override {}
  void OnRequestsEnded() override { this->hasEnded = true; }

  std::vector<ExchangeId> Exchanges() {
    const std::lock_guard lock(this->mutex);
    return this->exchanges;
  }
  bool HasEnded() const { return this->hasEnded; }

 private:
  std::mutex mutex;
  std::vector<ExchangeId> exchanges;
  std::atomic<bool> hasEnded{false};
};

/// Guards against a server that is stopped with requests or responses in it.
class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(RefuseRequests_NewRequest_IsAnsweredAndNotPassedOn);
  CPPUNIT_TEST(Unsent_ReaderIsSlow_CountsUntilItHasRead);
  CPPUNIT_TEST(Unsent_ReaderCloses_IsZero);
  CPPUNIT_TEST(Unsent_StreamOfSlowReader_CountsUntilItHasRead);
  CPPUNIT_TEST_SUITE_END();

  /// More than the buffers of a loopback connection hold.
  static constexpr std::size_t kLargeBody = 64 << 20;

  static constexpr std::string_view kRequest =
      "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  RecordingListener listener;
  std::unique_ptr<HttpServer> server;

  /// Sends a request on a connection of its own, and waits until it was read.
  asio::ip::tcp::socket Request(asio::io_context& aLoop) {
    asio::ip::tcp::socket socket(aLoop);
    socket.connect({asio::ip::address_v4::loopback(), this->server->Port()});
    asio::write(socket, asio::buffer(kRequest));
    CPPUNIT_ASSERT(LocalDomain::Eventually(
        [this] { return !this->listener.Exchanges().empty(); }));
    return socket;
  }

  /// Reads until the received text ends with `aSuffix`; returns false if the
  /// connection closes before.
  static bool ReadsUntil(asio::ip::tcp::socket& aSocket,
                         std::string_view aSuffix) {
    std::string tail;
    std::vector<char> buffer(1 << 20);
    while (!tail.ends_with(aSuffix)) {
      asio::error_code error;
      const std::size_t length = aSocket.read_some(asio::buffer(buffer), error);
      if (error) {
        return false;
      }
      tail.append(buffer.data(), length);
      tail.erase(0, tail.size() - std::min(tail.size(), aSuffix.size()));
    }
    return true;
  }

  bool EventuallySent() {
    return LocalDomain::Eventually(
        [this] { return this->server->Unsent() == 0; });
  }

 public:
  void setUp() override {
    this->server = MakeHttpServer({}, this->listener);
    CPPUNIT_ASSERT(this->server->Start().has_value());
  }
  void tearDown() override { this->server->Stop(); }

  void RefuseRequests_NewRequest_IsAnsweredAndNotPassedOn() {
    asio::io_context loop;
    asio::ip::tcp::socket caller = this->Request(loop);
    this->server->Respond(this->listener.Exchanges()[0], JsonResponse("[1]"));
    CPPUNIT_ASSERT(ReadsUntil(caller, "[1]"));
    this->server->RefuseRequests(
        ErrorResponse({ErrorKind::Stopping, "stopping", {}}));
    CPPUNIT_ASSERT(
        LocalDomain::Eventually([this] { return this->listener.HasEnded(); }));
    asio::write(caller, asio::buffer(kRequest));
    asio::error_code error;
    std::string text;
    asio::read(caller, asio::dynamic_buffer(text), error);
    CPPUNIT_ASSERT(error == asio::error::eof);
    CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_MESSAGE(text,
                           text.find("\"stopping\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->listener.Exchanges().size());
    CPPUNIT_ASSERT(this->EventuallySent());
  }

  void Unsent_ReaderIsSlow_CountsUntilItHasRead() {
    asio::io_context loop;
    asio::ip::tcp::socket caller = this->Request(loop);
    HttpResponse response;
    response.body = std::string(kLargeBody, 'x') + "[end]";
    this->server->Respond(this->listener.Exchanges()[0], response);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server->Unsent());
    CPPUNIT_ASSERT(ReadsUntil(caller, "[end]"));
    CPPUNIT_ASSERT(this->EventuallySent());
  }

  void Unsent_ReaderCloses_IsZero() {
    asio::io_context loop;
    asio::ip::tcp::socket caller = this->Request(loop);
    HttpResponse response;
    response.body = std::string(kLargeBody, 'x');
    this->server->Respond(this->listener.Exchanges()[0], response);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server->Unsent());
    caller.close();
    CPPUNIT_ASSERT(this->EventuallySent());
    // The exchange is gone, so there is nothing to send.
    this->server->Respond(this->listener.Exchanges()[0], {});
    CPPUNIT_ASSERT(this->EventuallySent());
  }

  void Unsent_StreamOfSlowReader_CountsUntilItHasRead() {
    asio::io_context loop;
    asio::ip::tcp::socket caller = this->Request(loop);
    const ExchangeId exchange = this->listener.Exchanges()[0];
    this->server->StartStream(exchange, 200, {});
    this->server->Append(exchange, std::string(kLargeBody, 'x'));
    this->server->Finish(exchange);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server->Unsent());
    CPPUNIT_ASSERT(ReadsUntil(caller, "\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT(this->EventuallySent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace zincstep
