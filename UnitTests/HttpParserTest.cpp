#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/HttpParser.h"

namespace zincstep {
namespace {

/// Keeps what a parser tells.
struct Heard final : HttpParserListener {
  void OnHead(HttpHead aHead) override { this->head = std::move(aHead); }
  void OnBody(std::string_view aPart) override { this->body += aPart; }
  void OnMessageEnd() override { this->ends += 1; }

  HttpHead head;
  std::string body;
  int ends = 0;
};

class HttpParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpParserTest);
  CPPUNIT_TEST(Feed_TwoRequests_StopsBehindTheFirst);
  CPPUNIT_TEST(Feed_ChunkedBody_IsJoined);
  CPPUNIT_TEST(Feed_LengthAndChunks_IsRefused);
  CPPUNIT_TEST(Feed_LongHead_IsTooLarge);
  CPPUNIT_TEST(Feed_InterimAnswer_IsPassedOver);
  CPPUNIT_TEST(FeedEnd_AnswerWithoutLength_IsComplete);
  CPPUNIT_TEST(FeedEnd_ShortBody_IsNotComplete);
  CPPUNIT_TEST(FeedEnd_ChunksWithoutEnd_IsNotComplete);
  CPPUNIT_TEST_SUITE_END();

  Heard heard;

 public:
  void Feed_TwoRequests_StopsBehindTheFirst() {
    HttpParser parser(HttpSide::Request, heard);
    const std::string first =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    const auto used = parser.Feed(first + "GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(used.has_value());
    CPPUNIT_ASSERT_EQUAL(first.size(), *used);
    CPPUNIT_ASSERT(parser.IsComplete());
    CPPUNIT_ASSERT_EQUAL(std::string("/a?b=c"), heard.head.target);
    CPPUNIT_ASSERT_EQUAL(std::string("xyz"), heard.body);
    CPPUNIT_ASSERT_EQUAL(1, heard.ends);
  }

  void Feed_ChunkedBody_IsJoined() {
    HttpParser parser(HttpSide::Request, heard);
    CPPUNIT_ASSERT(parser
                       .Feed("POST / HTTP/1.1\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
                       .has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), heard.body);
    CPPUNIT_ASSERT(parser.IsComplete());
  }

  void Feed_LengthAndChunks_IsRefused() {
    HttpParser parser(HttpSide::Request, heard);
    CPPUNIT_ASSERT(
        !parser.Feed("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"));
  }

  void Feed_LongHead_IsTooLarge() {
    HttpParser parser(HttpSide::Request, heard);
    parser.SetMaxHeadBytes(64);
    const auto fed = parser.Feed(
        "GET / HTTP/1.1\r\nX: " + std::string(100, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT(!fed);
    CPPUNIT_ASSERT(fed.error().kind == ErrorKind::RequestTooLarge);
  }

  void Feed_InterimAnswer_IsPassedOver() {
    HttpParser parser(HttpSide::Answer, heard);
    CPPUNIT_ASSERT(parser
                       .Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"
                             "\r\nContent-Length: 2\r\n\r\nok")
                       .has_value());
    CPPUNIT_ASSERT_EQUAL(200, heard.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), heard.body);
    CPPUNIT_ASSERT(parser.IsComplete());
  }

  void FeedEnd_AnswerWithoutLength_IsComplete() {
    HttpParser parser(HttpSide::Answer, heard);
    CPPUNIT_ASSERT(parser.Feed("HTTP/1.1 200 OK\r\n\r\nbytes").has_value());
    CPPUNIT_ASSERT(!parser.IsComplete());
    CPPUNIT_ASSERT(parser.FeedEnd());
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), heard.body);
  }

  void FeedEnd_ShortBody_IsNotComplete() {
    HttpParser parser(HttpSide::Answer, heard);
    CPPUNIT_ASSERT(
        parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
            .has_value());
    CPPUNIT_ASSERT(!parser.FeedEnd());
  }

  void FeedEnd_ChunksWithoutEnd_IsNotComplete() {
    HttpParser parser(HttpSide::Answer, heard);
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
