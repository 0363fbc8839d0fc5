// Responses without a length, to uploads that are still being written, whose
// connection the upstream resets: the part that arrived is no response. The
// failed write takes the error of the reset from the socket, so that the read
// behind it sees an orderly end.

#include "UnitTests/RefusingPort.h"
#include "UnitTests/RelayFixture.h"
#include "Zincstep/Net/HttpClient.h"

namespace zincstep {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
/// Body of a request, within the limit of callers.
constexpr std::size_t kUploadBytes = 3 << 20;
/// More than the buffers of two sockets hold.
constexpr std::size_t kLongUploadBytes = 8 << 20;
constexpr int kSmallBuffer = 8 << 10;

/// How an upstream goes on after its response.
enum class AfterResponse {
  /// Resets the connection.
  Reset,
  /// Closes with unread bytes of the upload, which resets the connection too.
  CloseUnread,
  /// Ends its direction and resets the connection a moment later, as a process
  /// that exits with all bytes read while more arrive.
  EndThenReset,
  /// Ends its direction, and reads the upload to its end.
  EndAndDrain,
};

/// An upstream that responds before it has read an upload.
class EarlyUpstream {
 public:
  EarlyUpstream(asio::io_context& aLoop, AfterResponse aAfter,
                std::string aPart, std::size_t aReadFirst = 0)
      : acceptor(aLoop),
        after(aAfter),
        part(std::move(aPart)),
        readFirst(aReadFirst) {
    const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    this->acceptor.open(any.protocol());
    this->acceptor.set_option(
        asio::socket_base::receive_buffer_size(kSmallBuffer));
    this->acceptor.bind(any);
    this->acceptor.listen();
    this->Accept();
  }

  asio::ip::tcp::endpoint Endpoint() const {
    return this->acceptor.local_endpoint();
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Endpoint().port());
  }

  int responses = 0;

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket aSocket)
        : socket(std::move(aSocket)), timer(this->socket.get_executor()) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string received;
    std::array<char, 4096> buffer{};
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
          const std::size_t end = aConnection->received.find("\r\n\r\n");
          if (end == std::string::npos ||
              aConnection->received.size() < end + this->readFirst) {
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
    this->responses += 1;
    constexpr std::string_view kId = "X-Attempt-Id: ";
    const std::size_t at = request.find(kId);
    const std::string id =
        at == std::string::npos
            ? ""
            : request.substr(at, request.find('\r', at) - at) + "\r\n";
    // Written and ended without a return to the loop, so that the client finds
    // the response and the reset together.
    asio::error_code ignored;
    asio::write(aConnection->socket,
                asio::buffer("HTTP/1.1 200 OK\r\n" + id +
                             "X-Response-Seal: seal\r\n\r\n" + this->part),
                ignored);
    this->GoOn(aConnection);
  }

  void GoOn(const std::shared_ptr<Connection>& aConnection) {
    asio::error_code ignored;  // The caller may have closed.
    switch (this->after) {
      case AfterResponse::Reset:
        Reset(*aConnection);
        break;
      case AfterResponse::EndThenReset:
        aConnection->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        aConnection->timer.expires_after(20ms);
        aConnection->timer.async_wait(
            [aConnection](const asio::error_code&) { Reset(*aConnection); });
        break;
      case AfterResponse::CloseUnread:
        aConnection->socket.close(ignored);
        break;
      case AfterResponse::EndAndDrain:
        aConnection->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        this->Drain(aConnection);
        break;
    }
  }

  static void Reset(Connection& aConnection) {
    asio::error_code ignored;  // The caller may have closed.
    aConnection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    aConnection.socket.close(ignored);
  }

  void Drain(const std::shared_ptr<Connection>& aConnection) {
    aConnection->socket.async_read_some(
        asio::buffer(aConnection->buffer),
        [this, aConnection](const asio::error_code& aError, std::size_t) {
          if (!aError) {
            this->Drain(aConnection);
          }
        });
  }

  asio::ip::tcp::acceptor acceptor;
  AfterResponse after;
  std::string part;
  std::size_t readFirst;
};

/// Result of a call of the entry daemon's client, and its streamed parts.
class CurlCall final : public HttpCallListener {
 public:
  bool OnCallData(CallId, std::string) override { return true; }
  void OnCallEnd(CallId, HttpCallResult aResult) override {
    this->end = aResult.end;
  }
  std::atomic<std::optional<CallEnd>> end;
};

constexpr const char* kEvent = "id: 1\ndata: a\n\n";

class ResetUploadTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(ResetUploadTest);
  CPPUNIT_TEST(Call_ResetDuringUpload_IsNotComplete);
  CPPUNIT_TEST(Call_ClosedWithUnreadUpload_IsNotComplete);
  CPPUNIT_TEST(Call_EndedInOrderDuringUpload_IsComplete);
  CPPUNIT_TEST(Calls_RandomEnds_AreCompleteOnlyInOrder);
  CPPUNIT_TEST(CurlClient_ResetDuringUpload_IsNotAnswered);
  CPPUNIT_TEST(Unsafe_ResetDuringUpload_IsBadGateway);
  CPPUNIT_TEST(Safe_ResetDuringUpload_RunsElsewhere);
  CPPUNIT_TEST(Stream_ResetDuringUpload_ContinuesElsewhere);
  CPPUNIT_TEST(Forwarded_ResetDuringUpload_IsBadGateway);
  CPPUNIT_TEST(Unsafe_EndedInOrderDuringUpload_IsForwarded);
  CPPUNIT_TEST_SUITE_END();

  const RefusingPort refusing{loop};

  Result<HttpResponse> Upload(const EarlyUpstream& aUpstream) {
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(loop, aUpstream.Endpoint(),
                  "POST / HTTP/1.1\r\nContent-Length: " +
                      std::to_string(kLongUploadBytes) + "\r\n\r\n" +
                      std::string(kLongUploadBytes, 'u'),
                  10s,
                  [&](Result<HttpResponse> aOne) { answer = std::move(aOne); });
    this->RunUntil([&] { return answer.has_value(); });
    return *answer;
  }

  std::string UploadTo(const std::string& aPath) {
    std::string request = this->Attempt(aPath);
    const std::string_view none = "Content-Length: 0\r\n\r\n";
    request.replace(
        request.find(none), none.size(),
        "Content-Length: " + std::to_string(kUploadBytes) + "\r\n\r\n");
    return request + std::string(kUploadBytes, 'u');
  }

  int StatusOf(const std::string& aPath) {
    const auto answer = this->Ask(this->UploadTo(aPath));
    return answer ? answer->status : 0;
  }

 public:
  void setUp() override {
    RelayFixture::setUp();
    settings.retries.burst = 100;
  }

  // Guards against a part of a response that is taken for all of it, as the
  // write of the upload met the reset before the read did.
  void Call_ResetDuringUpload_IsNotComplete() {
    const EarlyUpstream upstream(loop, AfterResponse::Reset, "part");
    CPPUNIT_ASSERT(!this->Upload(upstream).has_value());
  }

  void Call_ClosedWithUnreadUpload_IsNotComplete() {
    const EarlyUpstream upstream(loop, AfterResponse::CloseUnread, "part");
    CPPUNIT_ASSERT(!this->Upload(upstream).has_value());
  }

  // Guards against an early response that is dropped although its upstream has
  // ended it in order and reads on.
  void Call_EndedInOrderDuringUpload_IsComplete() {
    const EarlyUpstream upstream(loop, AfterResponse::EndAndDrain, "whole");
    const auto response = this->Upload(upstream);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), response->body);
  }

  void Calls_RandomEnds_AreCompleteOnlyInOrder() {
    constexpr int kCalls = 200;
    constexpr std::size_t kMaxPart = 40'000;
    Random draws(9);
    for (int i = 0; i < kCalls; ++i) {
      const auto after = static_cast<AfterResponse>(draws.Below(4));
      const std::string part(draws.Below(kMaxPart), 'p');
      const EarlyUpstream upstream(loop, after, part,
                                   draws.Below(kUploadBytes / 2));
      const auto response = this->Upload(upstream);
      CPPUNIT_ASSERT_EQUAL(after == AfterResponse::EndAndDrain,
                           response.has_value());
      CPPUNIT_ASSERT(!response || response->body == part);
    }
  }

  void CurlClient_ResetDuringUpload_IsNotAnswered() {
    const std::unique_ptr<HttpClient> http = MakeHttpClient();
    for (const auto after :
         {AfterResponse::Reset, AfterResponse::CloseUnread,
          AfterResponse::EndThenReset, AfterResponse::EndAndDrain}) {
      const EarlyUpstream upstream(loop, after, "part");
      for (const bool isStreamed : {false, true}) {
        CurlCall listener;
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + upstream.Address() + "/";
        call.body = std::string(kUploadBytes, 'u');
        call.timeout = 60s;
        call.streamed = isStreamed;
        http->Start(std::move(call), listener);
        this->RunUntil([&] { return listener.end.load().has_value(); });
        const bool isAnswered = *listener.end.load() == CallEnd::Answered;
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(static_cast<int>(after)) +
                (isStreamed ? ", streamed" : ", buffered"),
            !isAnswered || after == AfterResponse::EndAndDrain);
      }
    }
  }

  void Unsafe_ResetDuringUpload_IsBadGateway() {
    const EarlyUpstream upstream(loop, AfterResponse::Reset, "part");
    this->List("plain", upstream.Address());
    CPPUNIT_ASSERT_EQUAL(kBadGateway, this->StatusOf("/unsafe/x"));
  }

  void Safe_ResetDuringUpload_RunsElsewhere() {
    const EarlyUpstream upstream(loop, AfterResponse::Reset, "part");
    this->List("plain", upstream.Address());
    this->AddSound("plain");
    while (upstream.responses == 0) {
      const auto answer = this->Ask(this->UploadTo("/safe/x"));
      CPPUNIT_ASSERT_EQUAL(kOk, answer->status);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer->body);
    }
  }

  void Stream_ResetDuringUpload_ContinuesElsewhere() {
    const EarlyUpstream upstream(loop, AfterResponse::Reset, kEvent);
    this->List("model", upstream.Address());
    this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
      const bool isResumed =
          !FindHeader(aMessage.head.headers, "Last-Event-Id").empty();
      aTo->BeginChunks(kOk, SealedHeaders(aMessage));
      aTo->AppendChunk((isResumed ? "" : std::string(kEvent)) +
                       "id: 2\ndata: b\n\n");
      aTo->EndChunks();
    });
    while (upstream.responses == 0) {
      const auto answer = this->Ask(this->UploadTo("/llm/x"));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(kEvent) + "id: 2\ndata: b\n\n",
                           answer->body);
    }
  }

  void Forwarded_ResetDuringUpload_IsBadGateway() {
    const EarlyUpstream daemon(loop, AfterResponse::Reset, "part");
    this->List("plain", refusing.Address());
    forwards.SetPeers({{"peer", daemon.Address(), ""}});
    CPPUNIT_ASSERT_EQUAL(kBadGateway, this->StatusOf("/unsafe/x"));
  }

  void Unsafe_EndedInOrderDuringUpload_IsForwarded() {
    const EarlyUpstream upstream(loop, AfterResponse::EndAndDrain, "whole");
    this->List("plain", upstream.Address());
    const auto answer = this->Ask(this->UploadTo("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kOk, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer->body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResetUploadTest);

}  // namespace
}  // namespace zincstep
