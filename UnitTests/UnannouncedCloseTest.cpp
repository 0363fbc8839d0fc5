#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/CallerListener.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {
namespace {

/// Keeps the connection of each request, to respond later.
class Holding final : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage) override {
    this->connection = aConnection;
    this->requests += 1;
  }
  void OnCallerDisconnected(CallerConnection&) override {}

  std::shared_ptr<CallerConnection> connection;
  int requests = 0;
};

/// Responses that begin before a daemon stops and end afterwards.
class UnannouncedCloseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnannouncedCloseTest);
  CPPUNIT_TEST(DisableKeepAlive_StreamHasBegun_NextRequestIsAnswered);
  CPPUNIT_TEST(DisableKeepAlive_RequestReadAhead_IsAnswered);
  CPPUNIT_TEST(DisableKeepAlive_ResponseNotBegun_AnnouncesCloseAndCloses);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  asio::io_context loop;
  FakeClock clock;
  Holding handler;
  CallerListener listener{loop, handler, clock};
  TcpSocket caller{loop};

  void Send() {
    asio::write(caller, asio::buffer(std::string_view(kRequest)));
    const int before = handler.requests;
    while (handler.requests == before && loop.run_one() > 0) {
    }
  }

  /// Reads until `aEnd` has arrived or the connection ends.
  std::string ReadUntil(std::string_view aEnd) {
    std::string text;
    bool isDone = false;
    asio::async_read_until(
        caller, asio::dynamic_buffer(text), std::string(aEnd),
        [&](const asio::error_code&, std::size_t) { isDone = true; });
    while (!isDone) {
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

  // Guards against closing a connection whose response did not say so: the next
  // request of its caller got no response.
  void DisableKeepAlive_StreamHasBegun_NextRequestIsAnswered() {
    this->Send();
    handler.connection->BeginChunks(200, {});
    handler.connection->AppendChunk("a");
    listener.DisableKeepAlive();
    handler.connection->EndChunks();
    this->ReadUntil("0\r\n\r\n");
    loop.poll();
    CPPUNIT_ASSERT(!handler.connection->IsClosed());
    this->Send();
    handler.connection->Answer(503, {}, "stopping");
    const std::string response = this->ReadUntil("stopping");
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(response.find("Connection: close\r\n") != std::string::npos);
    loop.poll();
    CPPUNIT_ASSERT(handler.connection->IsClosed());
  }

  void DisableKeepAlive_RequestReadAhead_IsAnswered() {
    this->Send();
    handler.connection->BeginChunks(200, {});
    asio::write(caller, asio::buffer(std::string_view(kRequest)));
    loop.run_one();
    listener.DisableKeepAlive();
    handler.connection->EndChunks();
    this->ReadUntil("0\r\n\r\n");
    loop.poll();
    CPPUNIT_ASSERT_EQUAL(2, handler.requests);
  }

  void DisableKeepAlive_ResponseNotBegun_AnnouncesCloseAndCloses() {
    this->Send();
    listener.DisableKeepAlive();
    handler.connection->Answer(200, {}, "ok");
    const std::string response = this->ReadUntil("ok");
    CPPUNIT_ASSERT(response.find("Connection: close\r\n") != std::string::npos);
    loop.poll();
    CPPUNIT_ASSERT(handler.connection->IsClosed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnannouncedCloseTest);

}  // namespace
}  // namespace zincstep
