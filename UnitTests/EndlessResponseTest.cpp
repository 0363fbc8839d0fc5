// Guards against responses whose head or body never ends.

#include "UnitTests/EndlessUpstream.h"
#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

constexpr const char* kHead =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: seal\r\n";
/// More than the sockets between an upstream and the daemon hold, and less than
/// a VM's memory.
constexpr std::size_t kMaxSentBytes = 32 << 20;

class EndlessResponseTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(EndlessResponseTest);
  CPPUNIT_TEST(Service_BodyWithoutEnd_IsRejected);
  CPPUNIT_TEST(Service_ChunksWithoutEnd_AreRejected);
  CPPUNIT_TEST(Service_BodyWithoutEnd_RunsElsewhere);
  CPPUNIT_TEST(Service_BodiesWithoutEndAtOnce_AreRejected);
  CPPUNIT_TEST(Service_BesideBodiesWithoutEnd_IsServed);
  CPPUNIT_TEST(Service_HeadWithoutEnd_IsRejected);
  CPPUNIT_TEST(Service_InterimResponsesWithoutEnd_AreRejected);
  CPPUNIT_TEST(Service_BytesThatAreNoResponse_AreRejected);
  CPPUNIT_TEST(Service_LongBody_IsForwarded);
  CPPUNIT_TEST(Stream_EventWithoutEnd_ContinuesElsewhere);
  CPPUNIT_TEST(Stream_ErrorBodyWithoutEnd_RunsElsewhere);
  CPPUNIT_TEST(Stream_RefusalBodyWithoutEnd_RunsElsewhere);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<EndlessUpstream> endless;

  void AddEndless(const std::string& aService, const std::string& aBegin,
                  const std::string& aPiece) {
    endless = std::make_unique<EndlessUpstream>(loop, aBegin, aPiece);
    this->List(aService, endless->Address());
    settings.retries.burst = 100;
  }

  /// Asks the upstream alone, for a request that may not run twice.
  void CheckRejected(const std::string& aBegin, const std::string& aPiece) {
    this->AddEndless("plain", aBegin, aPiece);
    const auto answer = this->Ask(this->Attempt("/unsafe/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(502, answer->status);
    CPPUNIT_ASSERT_EQUAL(
        std::string(ErrorInfoFor(ErrorKind::ResponseIncomplete).name),
        answer->body);
    this->CheckClosed();
  }

  void CheckClosed() {
    this->RunUntil([&] {
      return endless->closed == endless->requests ||
             endless->sentBytes >= EndlessUpstream::kMaxBytes;
    });
    CPPUNIT_ASSERT_EQUAL(endless->requests, endless->closed);
    CPPUNIT_ASSERT(endless->sentBytes < kMaxSentBytes);
  }

  /// Sends streams to the upstream, beside one that completes any stream.
  void CheckStream(const std::string& aBegin, const std::string& aPiece) {
    this->AddEndless("model", aBegin, aPiece);
    this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
      aTo->BeginChunks(200, SealedHeaders(aMessage));
      const bool isResumed =
          !FindHeader(aMessage.head.headers, "Last-Event-Id").empty();
      aTo->AppendChunk(isResumed ? "id: 2\ndata: b\n\n"
                                 : "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      aTo->EndChunks();
    });
    while (endless->requests == 0) {
      const auto answer = this->Ask(this->Attempt("/llm/x"));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(200, answer->status);
      CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                           answer->body);
    }
    this->CheckClosed();
  }

 public:
  void Service_BodyWithoutEnd_IsRejected() {
    this->CheckRejected(std::string(kHead) + "\r\n", "x");
  }

  void Service_ChunksWithoutEnd_AreRejected() {
    this->CheckRejected(
        std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n",
        "4\r\nabcd\r\n");
  }

  void Service_BodyWithoutEnd_RunsElsewhere() {
    this->AddEndless("plain", std::string(kHead) + "\r\n", "x");
    this->AddSound("plain");
    while (endless->requests == 0) {
      const auto answer = this->Ask(this->Attempt("/safe/x"));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(200, answer->status);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer->body);
    }
    this->CheckClosed();
  }

  // The bodies together must stay below a VM's memory too.
  void Service_BodiesWithoutEndAtOnce_AreRejected() {
    constexpr int kRequests = 40;
    this->AddEndless("plain", std::string(kHead) + "\r\n", "x");
    int answered = 0;
    int rejected = 0;
    for (int i = 0; i < kRequests; ++i) {
      FetchResponse(
          loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
          this->Attempt("/unsafe/x"), 60s, [&](Result<HttpResponse> aAnswer) {
            answered += 1;
            rejected += aAnswer && aAnswer->status == 502 ? 1 : 0;
          });
    }
    this->RunUntil([&] { return answered == kRequests; });
    CPPUNIT_ASSERT_EQUAL(kRequests, rejected);
    this->RunUntil([&] { return endless->closed == endless->requests; });
    CPPUNIT_ASSERT(endless->sentBytes < kRequests * kMaxSentBytes / 4);
  }

  void Service_BesideBodiesWithoutEnd_IsServed() {
    constexpr int kRequests = 20;
    this->AddEndless("model", std::string(kHead) + "\r\n", "x");
    this->AddSound("plain");
    for (int i = 0; i < kRequests; ++i) {
      FetchResponse(
          loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
          this->Attempt("/llm/x"), 60s, [](const Result<HttpResponse>&) {});
      const auto answer = this->Ask(this->Attempt("/unsafe/x"));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(200, answer->status);
    }
  }

  void Service_HeadWithoutEnd_IsRejected() {
    this->CheckRejected(kHead, "X-More: of the same\r\n");
  }

  void Service_InterimResponsesWithoutEnd_AreRejected() {
    this->CheckRejected("", "HTTP/1.1 100 Continue\r\n\r\n");
  }

  void Service_BytesThatAreNoResponse_AreRejected() {
    this->CheckRejected("", "\x01\x7f no response \xff");
  }

  void Service_LongBody_IsForwarded() {
    const std::string body(2 << 20, 'x');
    this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
      aTo->Answer(200, SealedHeaders(aMessage), body);
    });
    const auto answer = this->Ask(this->Attempt("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT(body == answer->body);
  }

  void Stream_EventWithoutEnd_ContinuesElsewhere() {
    this->CheckStream(
        std::string(kHead) + "\r\nid: 1\ndata: a\n\nid: 2\ndata: ", "x");
  }

  void Stream_ErrorBodyWithoutEnd_RunsElsewhere() {
    this->CheckStream(
        "HTTP/1.1 500 Error\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\n",
        "x");
  }

  void Stream_RefusalBodyWithoutEnd_RunsElsewhere() {
    this->CheckStream(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\r\n",
        "x");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);

}  // namespace
}  // namespace zincstep
