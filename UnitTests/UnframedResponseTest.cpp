// Responses with neither a length nor chunks, which end with their connection.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// How an upstream ends the connection of its response.
enum class ConnectionEnd { Close, Reset };

/// An upstream that writes bytes as they are and ends the connection.
class RawUpstream {
 public:
  RawUpstream(asio::io_context& aLoop, std::string aBody, ConnectionEnd aEnd)
      : acceptor(aLoop, {asio::ip::address_v4::loopback(), 0}),
        body(std::move(aBody)),
        end(aEnd) {
    this->Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  int requests = 0;

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket aSocket)
        : socket(std::move(aSocket)) {}
    asio::ip::tcp::socket socket;
    std::string received;
    std::array<char, 4096> buffer{};
    std::string response;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
          if (!aError) {
            this->Read(std::make_shared<Connection>(std::move(aSocket)));
            this->Accept();
          }
        });
  }

  void Read(const std::shared_ptr<Connection>& aConnection) {
    aConnection->socket.async_read_some(
        asio::buffer(aConnection->buffer),
        [this, aConnection](const asio::error_code& aError, std::size_t aSize) {
          if (aError) {
            return;
          }
          aConnection->received.append(aConnection->buffer.data(), aSize);
          if (aConnection->received.find("\r\n\r\n") == std::string::npos) {
            this->Read(aConnection);
          } else {
            this->Respond(aConnection);
          }
        });
  }

  void Respond(const std::shared_ptr<Connection>& aConnection) {
    const std::string& request = aConnection->received;
    if (request.starts_with("GET /report")) {
      aConnection->socket.close();
      return;
    }
    this->requests += 1;
    constexpr std::string_view kId = "X-Attempt-Id: ";
    const std::size_t at = request.find(kId) + kId.size();
    aConnection->response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                            request.substr(at, request.find('\r', at) - at) +
                            "\r\nX-Response-Seal: seal\r\n\r\n" + this->body;
    asio::async_write(
        aConnection->socket, asio::buffer(aConnection->response),
        [this, aConnection](const asio::error_code&, std::size_t) {
          if (this->end == ConnectionEnd::Reset) {
            aConnection->socket.set_option(asio::socket_base::linger(true, 0));
          }
          aConnection->socket.close();
        });
  }

  asio::ip::tcp::acceptor acceptor;
  std::string body;
  ConnectionEnd end;
};

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";

class UnframedResponseTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(UnframedResponseTest);
  CPPUNIT_TEST(Service_ConnectionClosed_IsComplete);
  CPPUNIT_TEST(Service_ConnectionReset_IsNotComplete);
  CPPUNIT_TEST(Stream_ClosedAtEndOfEvent_IsComplete);
  CPPUNIT_TEST(Stream_ClosedWithinEvent_ContinuesElsewhere);
  CPPUNIT_TEST(Stream_ClosedBeforeFirstEvent_RunsElsewhere);
  CPPUNIT_TEST(Stream_ClosedBeforeFirstEvent_IsPossibleCrash);
  CPPUNIT_TEST(Stream_Reset_ContinuesElsewhere);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<RawUpstream> raw;

  void AddRaw(const std::string& aService, const std::string& aBody,
              ConnectionEnd aEnd) {
    raw = std::make_unique<RawUpstream>(loop, aBody, aEnd);
    this->List(aService, raw->Address());
  }

  /// Sends streams to an upstream with this response, beside one that completes
  /// any stream; returns the body of one that ran on both.
  std::string AskStream(const std::string& aBody, ConnectionEnd aEnd) {
    this->AddRaw("model", aBody, aEnd);
    this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
      aTo->BeginChunks(200, SealedHeaders(aMessage));
      const bool isResumed =
          !FindHeader(aMessage.head.headers, "Last-Event-Id").empty();
      aTo->AppendChunk(isResumed ? "id: 2\ndata: b\n\n"
                                 : "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      aTo->EndChunks();
    });
    settings.retries.burst = 100;
    std::string body;
    while (raw->requests == 0) {
      const auto answer = this->Ask(this->Attempt("/llm/x"));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(200, answer->status);
      body = answer->body;
    }
    return body;
  }

 public:
  void Service_ConnectionClosed_IsComplete() {
    this->AddRaw("plain", "whole", ConnectionEnd::Close);
    const auto answer = this->Ask(this->Attempt("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer->body);
  }

  void Service_ConnectionReset_IsNotComplete() {
    this->AddRaw("plain", "part", ConnectionEnd::Reset);
    CPPUNIT_ASSERT_EQUAL(502, this->Ask(this->Attempt("/unsafe/x"))->status);
  }

  void Stream_ClosedAtEndOfEvent_IsComplete() {
    this->AddRaw("model", kFirstEvent, ConnectionEnd::Close);
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent), answer->body);
  }

  void Stream_ClosedWithinEvent_ContinuesElsewhere() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
        this->AskStream("id: 1\ndata: a\n\nid: 2\nda", ConnectionEnd::Close));
  }

  void Stream_ClosedBeforeFirstEvent_RunsElsewhere() {
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         this->AskStream("", ConnectionEnd::Close));
  }

  // Guards against overlooking an upstream whose kernel closes the connections
  // of its crashed process in order.
  void Stream_ClosedBeforeFirstEvent_IsPossibleCrash() {
    this->AddRaw("model", "", ConnectionEnd::Close);
    this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(crashes.MayBlock());
  }

  void Stream_Reset_ContinuesElsewhere() {
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         this->AskStream(kFirstEvent, ConnectionEnd::Reset));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnframedResponseTest);

}  // namespace
}  // namespace zincstep
