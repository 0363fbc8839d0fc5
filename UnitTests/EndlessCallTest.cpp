// Guards against calls of libcurl's client that read a response without end
// until their timeout.

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "UnitTests/CutUpstream.h"
#include "UnitTests/EndlessUpstream.h"
#include "Zincstep/Net/HttpClient.h"

namespace zincstep {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nServer: s\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
/// More than a client's bound and the sockets' buffers hold.
constexpr std::size_t kMaxSentBytes = 64 << 20;
/// The same for each of many calls, which share a bound.
constexpr std::size_t kMaxSharedBytes = 12 << 20;
constexpr int kCalls = 20;
/// A test ends by the bytes sent, never by a timeout.
constexpr Micros kNoTimeout = 0s;

/// Passes the ends of calls to the loop's thread.
class CallEnds final : public HttpCallListener {
 public:
  explicit CallEnds(asio::io_context& aLoop) : loop(aLoop) {}

  bool OnCallData(CallId, std::string) override { return true; }
  void OnCallEnd(CallId, HttpCallResult aResult) override {
    asio::post(this->loop, [this, result = std::move(aResult)]() mutable {
      this->results.push_back(std::move(result));
    });
  }

  std::vector<HttpCallResult> results;

 private:
  asio::io_context& loop;
};

class EndlessCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessCallTest);
  CPPUNIT_TEST(Body_WithoutLength_EndsCall);
  CPPUNIT_TEST(Body_WithHugeLength_EndsCall);
  CPPUNIT_TEST(Body_InChunks_EndsCall);
  CPPUNIT_TEST(Body_InHugeChunk_EndsCall);
  CPPUNIT_TEST(Body_OfError_EndsCall);
  CPPUNIT_TEST(Body_OfBlockingCall_EndsCall);
  CPPUNIT_TEST(Bodies_AtOnce_EndCalls);
  CPPUNIT_TEST(Budget_Exceeded_EndsCall);
  CPPUNIT_TEST(Budget_UsedUp_LeavesShortBodies);
  CPPUNIT_TEST(Body_Long_IsAnswered);
  CPPUNIT_TEST(Head_WithoutEnd_EndsCall);
  CPPUNIT_TEST(StatusLine_WithoutEnd_EndsCall);
  CPPUNIT_TEST(Field_WithoutEnd_EndsCall);
  CPPUNIT_TEST(InterimResponses_WithoutEnd_EndCall);
  CPPUNIT_TEST(SwitchingProtocols_WithoutEnd_EndsCall);
  CPPUNIT_TEST(Trailers_WithoutEnd_EndCall);
  CPPUNIT_TEST(ChunkExtension_WithoutEnd_EndsCall);
  CPPUNIT_TEST(ChunkSize_WithoutEnd_EndsCall);
  CPPUNIT_TEST(Bytes_ThatAreNoResponse_EndCall);
  CPPUNIT_TEST(Surplus_WithoutEnd_IsNotRead);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  CallEnds ends{loop};
  std::unique_ptr<HttpClient> http = MakeHttpClient();
  std::unique_ptr<EndlessUpstream> endless;
  CutUpstream upstream{loop};
  bool usesFreshConnections = false;

  /// Makes calls that receive `aBegin` and then `aPiece` again and again.
  ///
  /// Fails if the calls have not ended when the upstream has sent `aMaxBytes`.
  void Call(const std::string& aBegin, const std::string& aPiece,
            int aCount = 1, std::size_t aMaxBytes = kMaxSentBytes) {
    endless = std::make_unique<EndlessUpstream>(loop, aBegin, aPiece);
    for (int i = 0; i < aCount; ++i) {
      HttpCall call;
      call.url = "http://" + endless->Address() + "/";
      call.timeout = kNoTimeout;
      call.freshConnection = usesFreshConnections;
      http->Start(std::move(call), ends);
    }
    const auto count = static_cast<std::size_t>(aCount);
    while (ends.results.size() < count && endless->sentBytes < aMaxBytes) {
      loop.run_one();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ends.results.size()) + " of " +
                               std::to_string(aCount) + " calls ended, " +
                               std::to_string(endless->sentBytes) +
                               " bytes sent",
                           ends.results.size() == count);
  }

  /// Checks that one call fails, without a claim that it did not run, and that
  /// its connection is closed.
  void CheckEnds(const std::string& aBegin, const std::string& aPiece) {
    this->Call(aBegin, aPiece);
    CPPUNIT_ASSERT(ends.results.front().end == CallEnd::Unknown);
    CPPUNIT_ASSERT(!ends.results.front().fault.empty());
    this->CheckClosed();
  }

  /// Makes a call whose response is complete.
  void FetchWhole(const std::string& aBody) {
    upstream.Script(kHead + "\r\n" + aBody, CutKind::Close);
    HttpCall call;
    call.url = "http://" + upstream.Address() + "/";
    call.timeout = kNoTimeout;
    http->Start(std::move(call), ends);
    while (ends.results.empty()) {
      loop.run_one();
    }
  }

  /// Fails if the upstream could send its maximum on each connection before.
  void CheckClosed() {
    const auto count = static_cast<std::size_t>(endless->requests);
    while (endless->closed < endless->requests &&
           endless->sentBytes < count * EndlessUpstream::kMaxBytes) {
      loop.run_one();
    }
    CPPUNIT_ASSERT_EQUAL(endless->requests, endless->closed);
  }

 public:
  // The client's thread calls the listener until it has ended.
  void tearDown() override { http.reset(); }

  void Body_WithoutLength_EndsCall() { this->CheckEnds(kHead + "\r\n", "x"); }

  void Body_WithHugeLength_EndsCall() {
    this->CheckEnds(kHead + "Content-Length: 1099511627776\r\n\r\n", "x");
  }

  void Body_InChunks_EndsCall() {
    this->CheckEnds(kChunkedHead, "4\r\nabcd\r\n");
  }

  void Body_InHugeChunk_EndsCall() {
    this->CheckEnds(kChunkedHead + "10000000000\r\n", "x");
  }

  void Body_OfError_EndsCall() {
    this->CheckEnds("HTTP/1.1 503 Service Unavailable\r\n\r\n", "x");
  }

  void Body_OfBlockingCall_EndsCall() {
    endless = std::make_unique<EndlessUpstream>(loop, kHead + "\r\n", "x");
    HttpCall call;
    call.url = "http://" + endless->Address() + "/";
    call.timeout = kNoTimeout;
    std::thread thread([&] { ends.OnCallEnd(0, FetchBlocking(call)); });
    while (ends.results.empty() && endless->sentBytes < kMaxSentBytes) {
      loop.run_one();
    }
    const std::size_t sentBytes = endless->sentBytes;
    const bool hasEnded = !ends.results.empty();
    // The blocking call has no other end if it has no bound.
    endless->Close();
    thread.join();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sentBytes) + " bytes sent", hasEnded);
    CPPUNIT_ASSERT(ends.results.front().end == CallEnd::Unknown);
  }

  // Bodies that are each below the bound of one must not fill the memory
  // together.
  void Bodies_AtOnce_EndCalls() {
    this->Call(kHead + "\r\n", "x", kCalls, kCalls * kMaxSharedBytes);
    for (const HttpCallResult& result : ends.results) {
      CPPUNIT_ASSERT(result.end == CallEnd::Unknown);
    }
    this->CheckClosed();
  }

  void Budget_Exceeded_EndsCall() {
    const auto budget = std::make_shared<ByteBudget>(1 << 20);
    http = MakeHttpClient(budget);
    this->CheckEnds(kHead + "\r\n", "x");
    CPPUNIT_ASSERT_EQUAL(
        std::string("the responses exceed their maximum size together"),
        ends.results.front().fault);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget->UsedBytes());
  }

  // Guards against long bodies that leave nothing for load reports.
  void Budget_UsedUp_LeavesShortBodies() {
    http = MakeHttpClient(std::make_shared<ByteBudget>(0));
    for (const std::size_t size : {16 << 10, (16 << 10) + 1}) {
      ends.results.clear();
      this->FetchWhole(std::string(size, 'x'));
      CPPUNIT_ASSERT_EQUAL(size == 16 << 10,
                           ends.results.front().end == CallEnd::Answered);
    }
  }

  // Guards against a bound that rejects sound responses, or that counts bodies
  // of earlier calls.
  void Body_Long_IsAnswered() {
    const std::string body(3 << 20, 'x');
    for (int i = 0; i < kCalls; ++i) {
      ends.results.clear();
      this->FetchWhole(body);
      CPPUNIT_ASSERT(ends.results.back().end == CallEnd::Answered);
      CPPUNIT_ASSERT(ends.results.back().body == body);
    }
  }

  void Head_WithoutEnd_EndsCall() {
    this->CheckEnds(kHead, "X-More: of the same\r\n");
  }

  void StatusLine_WithoutEnd_EndsCall() {
    this->CheckEnds("HTTP/1.1 200 ", "x");
  }

  void Field_WithoutEnd_EndsCall() { this->CheckEnds(kHead + "X-More: ", "x"); }

  void InterimResponses_WithoutEnd_EndCall() {
    this->CheckEnds("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
  }

  void SwitchingProtocols_WithoutEnd_EndsCall() {
    this->CheckEnds(
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
        "Upgrade: x\r\n\r\n",
        "x");
  }

  void Trailers_WithoutEnd_EndCall() {
    this->CheckEnds(kChunkedHead + "1\r\nx\r\n0\r\n",
                    "X-More: of the same\r\n");
  }

  void ChunkExtension_WithoutEnd_EndsCall() {
    this->CheckEnds(kChunkedHead + "1;", "x");
  }

  void ChunkSize_WithoutEnd_EndsCall() { this->CheckEnds(kChunkedHead, "0"); }

  void Bytes_ThatAreNoResponse_EndCall() { this->CheckEnds("", "x"); }

  // The response is complete; what follows is not read, on a connection that is
  // kept or closed.
  void Surplus_WithoutEnd_IsNotRead() {
    for (const char* begin :
         {"HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "1\r\nx\r\n0\r\n\r\n"}) {
      for (const bool isFreshOnly : {false, true}) {
        usesFreshConnections = isFreshOnly;
        http = MakeHttpClient();
        ends.results.clear();
        this->Call(begin, "x");
        CPPUNIT_ASSERT(ends.results.front().end == CallEnd::Answered);
        if (isFreshOnly) {
          this->CheckClosed();
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessCallTest);

}  // namespace
}  // namespace zincstep
