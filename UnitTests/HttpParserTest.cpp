#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/HttpParser.h"

namespace zincstep {
namespace {

/// Records the events of a parser.
struct RecordingListener final : HttpParserListener {
  void OnHead(HttpHead aHead) override { this->head = std::move(aHead); }
  void OnBody(std::string_view aPart) override { this->body += aPart; }
  void OnMessageEnd() override { this->messageEnds += 1; }

  HttpHead head;
  std::string body;
  int messageEnds = 0;
};

class HttpParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpParserTest);
  CPPUNIT_TEST(Feed_TwoRequests_StopsAfterTheFirst);
  CPPUNIT_TEST(Feed_ChunkedBody_IsJoined);
  CPPUNIT_TEST(Feed_ContentLengthAndChunks_IsRejected);
  CPPUNIT_TEST(Feed_LongHead_IsTooLarge);
  CPPUNIT_TEST(Feed_InterimResponse_IsSkipped);
  CPPUNIT_TEST(Feed_ResponseWithoutBody_IsCompleteWhateverItsLength);
  CPPUNIT_TEST(FeedEnd_ResponseWithoutLength_IsComplete);
  CPPUNIT_TEST(FeedEnd_ShortBody_IsNotComplete);
  CPPUNIT_TEST(FeedEnd_ChunksWithoutLastChunk_IsNotComplete);
  CPPUNIT_TEST_SUITE_END();

  RecordingListener listener;

 public:
  void Feed_TwoRequests_StopsAfterTheFirst() {
    HttpParser parser(HttpSide::Request, listener);
    const std::string first =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    const auto consumed = parser.Feed(first + "GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(consumed.has_value());
    CPPUNIT_ASSERT_EQUAL(first.size(), *consumed);
    CPPUNIT_ASSERT(parser.IsComplete());
    CPPUNIT_ASSERT_EQUAL(std::string("/a?b=c"), listener.head.target);
    CPPUNIT_ASSERT_EQUAL(std::string("xyz"), listener.body);
    CPPUNIT_ASSERT_EQUAL(1, listener.messageEnds);
  }

  void Feed_ChunkedBody_IsJoined() {
    HttpParser parser(HttpSide::Request, listener);
    CPPUNIT_ASSERT(parser
                       .Feed("POST / HTTP/1.1\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
                       .has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), listener.body);
    CPPUNIT_ASSERT(parser.IsComplete());
  }

  void Feed_ContentLengthAndChunks_IsRejected() {
    HttpParser parser(HttpSide::Request, listener);
    CPPUNIT_ASSERT(
        !parser.Feed("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"));
  }

  void Feed_LongHead_IsTooLarge() {
    HttpParser parser(HttpSide::Request, listener);
    parser.SetMaxHeadBytes(64);
    const auto consumed = parser.Feed(
        "GET / HTTP/1.1\r\nX: " + std::string(100, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT(!consumed);
    CPPUNIT_ASSERT(consumed.error().kind == ErrorKind::RequestTooLarge);
  }

  void Feed_InterimResponse_IsSkipped() {
    HttpParser parser(HttpSide::Response, listener);
    CPPUNIT_ASSERT(parser
                       .Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"
                             "\r\nContent-Length: 2\r\n\r\nok")
                       .has_value());
    CPPUNIT_ASSERT_EQUAL(200, listener.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), listener.body);
    CPPUNIT_ASSERT(parser.IsComplete());
  }

  // Guards against a wait for a body that never follows: a 304 states the
  // length that a 200 would have.
  void Feed_ResponseWithoutBody_IsCompleteWhateverItsLength() {
    for (const char* status : {"204 No Content", "304 Not Modified"}) {
      HttpParser response(HttpSide::Response, listener);
      const std::string text =
          std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 5\r\n\r\n";
      CPPUNIT_ASSERT(response.Feed(text).has_value());
      CPPUNIT_ASSERT_MESSAGE(status, response.IsComplete());
    }
  }

  void FeedEnd_ResponseWithoutLength_IsComplete() {
    HttpParser parser(HttpSide::Response, listener);
    CPPUNIT_ASSERT(parser.Feed("HTTP/1.1 200 OK\r\n\r\nbytes").has_value());
    CPPUNIT_ASSERT(!parser.IsComplete());
    CPPUNIT_ASSERT(parser.FeedEnd());
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), listener.body);
  }

  void FeedEnd_ShortBody_IsNotComplete() {
    HttpParser parser(HttpSide::Response, listener);
    CPPUNIT_ASSERT(
        parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
            .has_value());
    CPPUNIT_ASSERT(!parser.FeedEnd());
  }

  void FeedEnd_ChunksWithoutLastChunk_IsNotComplete() {
    HttpParser parser(HttpSide::Response, listener);
    CPPUNIT_ASSERT(parser
                       .Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n2\r\nab\r\n")
                       .has_value());
    CPPUNIT_ASSERT(!parser.FeedEnd());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpParserTest);

}  // namespace
}  // namespace zincstep
