// Heads that are no head of the protocol: none may reach a caller, and what
// follows such a head is no body.

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <regex>
#include <thread>

#include "UnitTests/CutUpstream.h"
#include "UnitTests/RelayFixture.h"
#include "Zincstep/Core/Random.h"
#include "Zincstep/Net/HttpClient.h"

namespace zincstep {
namespace {

/// Collects a message and the order of its parts.
struct MessageParts final : HttpParserListener {
  void OnHead(HttpHead aHead) override { this->head = std::move(aHead); }
  void OnBody(std::string_view aPart) override {
    this->isBodyBeforeHead = this->isBodyBeforeHead || !this->head;
    this->body += aPart;
  }
  void OnMessageEnd() override {}

  std::optional<HttpHead> head;
  std::string body;
  bool isBodyBeforeHead = false;
};

/// What a parser accepts of bytes that are followed by the end of the stream;
/// nothing where they are no complete message.
std::optional<MessageParts> Parse(HttpSide aSide, const std::string& aBytes) {
  MessageParts parts;
  HttpParser parser(aSide, parts);
  const bool isComplete = parser.Feed(aBytes).has_value() && parser.FeedEnd();
  CPPUNIT_ASSERT(!parts.isBodyBeforeHead);
  return isComplete ? std::optional(parts) : std::nullopt;
}

const std::string kWhole =
    "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 2\r\n\r\nok";

const std::vector<std::string> kStatuses = {
    "000", "001", "020", "099",  "20",   "2",    "101",  "600",
    "999", "-20", "2x0", "0200", "200x", " 200", "\t200"};

/// Field lines that are none: their name is no token.
std::vector<std::string> InvalidFields() {
  std::vector<std::string> fields = {
      " X: 1",
      "\tX: 1",
      "X : 1",
      "X\t: 1",
      "X Y: 1",
      ": 1",
      "X",
      "Content-Length : 2",
      "Transfer-Encoding : chunked",
      "X-Response-Seal : a",
      "X: a\r\n b",
      "X: a\r\n\tb",
      "X: a\nY: b",
      "X: a\rY: b",
      "X: a\r\r\nY: b",
      std::string("X: a\0b", 7),
      "X: a\x7f",
      "X: a\x1b[0m",
  };
  const std::string token =
      "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
      "ABCDEFGHIJKLMNOPQRSTUVWXYZ:\r\n";
  for (int byte = 0; byte < 256; ++byte) {
    if (token.find(static_cast<char>(byte)) == std::string::npos) {
      fields.push_back(std::string("X") + static_cast<char>(byte) + "Y: 1");
    }
  }
  return fields;
}

const std::vector<std::string> kInvalidCodings = {
    "gzip",          "gzip, chunked", "chunked, gzip", "xchunked",
    "chunked;q=0.5", "chunked,",      "identity"};

/// An independent reading of the grammar of a response's head.
bool IsResponse(const std::string& aBytes) {
  static const std::regex message(
      "^HTTP/1\\.[01] [1-5][0-9][0-9]( [^\\r\\n]*)?\\r\\n"
      "([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\r\\n]*\\r\\n)*\\r\\n[\\s\\S]*$");
  return std::regex_match(aBytes, message);
}

class MalformedHeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedHeadTest);
  CPPUNIT_TEST(Response_InvalidStatus_IsRejected);
  CPPUNIT_TEST(Response_InvalidStatusBeforeAnother_IsRejected);
  CPPUNIT_TEST(Response_InterimWithBody_IsRejected);
  CPPUNIT_TEST(Response_InvalidFieldName_IsRejected);
  CPPUNIT_TEST(Response_InvalidCoding_IsRejected);
  CPPUNIT_TEST(Response_InvalidVersion_IsRejected);
  CPPUNIT_TEST(Response_RandomBytesChanged_IsAcceptedOnlyByGrammar);
  CPPUNIT_TEST(Request_InvalidFieldName_IsRejected);
  CPPUNIT_TEST(Request_InvalidCoding_IsRejected);
  CPPUNIT_TEST(Request_AmbiguousHead_IsRejected);
  CPPUNIT_TEST(Messages_UnusualButValid_AreAccepted);
  CPPUNIT_TEST(Calls_MalformedHead_AreNotAnswered);
  CPPUNIT_TEST_SUITE_END();

  static std::string ResponseWith(const std::string& aField) {
    return "HTTP/1.1 200 OK\r\n" + aField + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  }
  static std::string RequestWith(const std::string& aField) {
    return "POST / HTTP/1.1\r\nHost: h\r\n" + aField +
           "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  }

 public:
  // Guards against a response whose status is none, which was read as an
  // interim one.
  void Response_InvalidStatus_IsRejected() {
    for (const std::string& status : kStatuses) {
      const std::string head = "HTTP/1.1 " + status + " X\r\n";
      for (const char* rest : {"Content-Length: 2\r\n\r\nok", "\r\nok"}) {
        CPPUNIT_ASSERT_MESSAGE(status, !Parse(HttpSide::Response, head + rest));
      }
    }
  }

  // Guards against a body that begins with what followed a malformed head.
  void Response_InvalidStatusBeforeAnother_IsRejected() {
    for (const std::string& status : kStatuses) {
      for (const char* rest : {"Content-Length: 2\r\n\r\nhi", "\r\n"}) {
        CPPUNIT_ASSERT_MESSAGE(
            status, !Parse(HttpSide::Response,
                           "HTTP/1.1 " + status + " X\r\n" + rest + kWhole));
      }
    }
  }

  void Response_InterimWithBody_IsRejected() {
    for (const char* status : {"100", "103", "199"}) {
      CPPUNIT_ASSERT_MESSAGE(
          status, !Parse(HttpSide::Response,
                         std::string("HTTP/1.1 ") + status +
                             " X\r\nContent-Length: 2\r\n\r\nhi" + kWhole));
    }
  }

  // Guards against a field with a blank or a control byte in its name, which
  // was passed on, or hid how long the body is.
  void Response_InvalidFieldName_IsRejected() {
    for (const std::string& field : InvalidFields()) {
      CPPUNIT_ASSERT_MESSAGE(field,
                             !Parse(HttpSide::Response, ResponseWith(field)));
    }
  }

  void Response_InvalidCoding_IsRejected() {
    for (const std::string& coding : kInvalidCodings) {
      CPPUNIT_ASSERT_MESSAGE(
          coding, !Parse(HttpSide::Response,
                         ResponseWith("Transfer-Encoding: " + coding)));
    }
    CPPUNIT_ASSERT(
        !Parse(HttpSide::Response, ResponseWith("Transfer-Encoding: chunked\r\n"
                                                "Transfer-Encoding: chunked")));
  }

  void Response_InvalidVersion_IsRejected() {
    for (const char* version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/1.2",
                                "HTTP/1.10", "http/1.1", "HTTP/1", "ICY", ""}) {
      CPPUNIT_ASSERT_MESSAGE(
          version,
          !Parse(HttpSide::Response,
                 version + std::string(" 200 OK\r\nContent-Length: 2\r\n\r\n"
                                       "ok")));
    }
  }

  void Response_RandomBytesChanged_IsAcceptedOnlyByGrammar() {
    constexpr int kTries = 20'000;
    const std::string response =
        "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
        "Content-Length: 2\r\n\r\nok";
    const std::size_t interim = response.find("HTTP/1.1 200");
    const std::size_t body = response.size() - 2;
    Random draws(7);
    for (int i = 0; i < kTries; ++i) {
      std::string bytes = response;
      for (std::uint64_t n = 1 + draws.Below(3); n > 0; --n) {
        bytes[interim + draws.Below(body - interim)] =
            static_cast<char>(draws.Below(256));
      }
      if (Parse(HttpSide::Response, bytes)) {
        CPPUNIT_ASSERT_MESSAGE(bytes, IsResponse(bytes.substr(interim)));
      }
    }
  }

  // Guards against a second reading of a request by its upstream, with a length
  // or an organisation of the caller's choice.
  void Request_InvalidFieldName_IsRejected() {
    for (const std::string& field : InvalidFields()) {
      CPPUNIT_ASSERT_MESSAGE(field,
                             !Parse(HttpSide::Request, RequestWith(field)));
    }
  }

  void Request_InvalidCoding_IsRejected() {
    for (const std::string& coding : kInvalidCodings) {
      CPPUNIT_ASSERT_MESSAGE(
          coding, !Parse(HttpSide::Request,
                         RequestWith("Transfer-Encoding: " + coding)));
    }
  }

  // Guards against a request that its upstream takes for another one.
  void Request_AmbiguousHead_IsRejected() {
    for (const char* head :
         {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
          "CONNECT a:1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n",
          "GET /a\tb HTTP/1.1\r\n\r\n", "GET / HTTP/2.0\r\n\r\n",
          "GET / HTTP/1.1\nHost: a\n\n",
          "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n"
          "\r\nx",
          "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
      CPPUNIT_ASSERT_MESSAGE(head, !Parse(HttpSide::Request, head));
    }
    CPPUNIT_ASSERT(
        Parse(HttpSide::Request, "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  }

  // Guards against checks above that reject everything.
  void Messages_UnusualButValid_AreAccepted() {
    for (const char* field :
         {"X:1", "X: ", "X:\t1 ", "!#$%&'*+-.^_`|~: 1", "X: \x80\xff",
          "Transfer-Encoding: Chunked", "Transfer-Encoding: chunked "}) {
      CPPUNIT_ASSERT_MESSAGE(field,
                             Parse(HttpSide::Response, ResponseWith(field)));
      CPPUNIT_ASSERT_MESSAGE(
          field,
          Parse(HttpSide::Request,
                std::string("GET / HTTP/1.1\r\n") + field + "\r\n\r\n" +
                    (std::string(field).find("unked") == std::string::npos
                         ? ""
                         : "0\r\n\r\n")));
    }
    for (const char* status : {"200", "200 ", "404 Not Found", "599 X"}) {
      CPPUNIT_ASSERT_MESSAGE(
          status, Parse(HttpSide::Response,
                        std::string("HTTP/1.0 ") + status + "\r\n\r\nok"));
    }
  }

  void Calls_MalformedHead_AreNotAnswered() {
    asio::io_context loop;
    CutUpstream upstream(loop);
    std::vector<std::string> responses;
    for (const std::string& status : kStatuses) {
      responses.push_back("HTTP/1.1 " + status +
                          " X\r\nContent-Length: 2\r\n\r\nok");
    }
    for (const char* field : {"X Y: 1", "X : 1", "Content-Length : 2"}) {
      responses.push_back(ResponseWith(field));
    }
    std::thread other(
        [&loop, work = asio::make_work_guard(loop)] { loop.run(); });
    std::string answered;
    for (const std::string& response : responses) {
      std::promise<bool> single;
      asio::post(loop, [&] {
        upstream.Script(response, CutKind::Close);
        FetchResponse(loop, upstream.Endpoint(),
                      "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 60s,
                      [&](const Result<HttpResponse>& aResult) {
                        single.set_value(aResult.has_value());
                      });
      });
      answered += single.get_future().get() ? "\nedge: " + response : "";
      HttpCall call;
      call.url = "http://" + upstream.Address() + "/";
      call.timeout = 60s;
      const HttpCallResult result = FetchBlocking(call);
      answered += result.end == CallEnd::Answered ? "\nentry: " + response : "";
    }
    loop.stop();
    other.join();
    CPPUNIT_ASSERT_EQUAL(std::string(), answered);
  }
};

/// The same through a relay: the head and the body that a caller gets.
class MalformedRelayTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(MalformedRelayTest);
  CPPUNIT_TEST(Unsafe_MalformedHead_IsBadGateway);
  CPPUNIT_TEST(Safe_MalformedHead_RunsElsewhere);
  CPPUNIT_TEST(Request_BlankInFieldName_IsBadRequest);
  CPPUNIT_TEST_SUITE_END();

  CutUpstream cut{loop};

 public:
  void Unsafe_MalformedHead_IsBadGateway() {
    constexpr int kBadGateway = 502;
    const std::string sealed = "X-Attempt-Id: r1\r\nX-Response-Seal: seal\r\n";
    this->List("plain", cut.Address());
    for (const std::string& response :
         {"HTTP/1.1 000 X\r\n" + sealed + "Content-Length: 2\r\n\r\nhi",
          "HTTP/1.1 000 X\r\n" + sealed + "Content-Length: 2\r\n\r\nhi" +
              "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 2\r\n\r\nok",
          "HTTP/1.1 100 X\r\n" + sealed + "Content-Length: 2\r\n\r\nhi" +
              "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 2\r\n\r\nok",
          "HTTP/1.1 200 OK\r\n" + sealed + "X Y: 1\r\n" +
              "Content-Length: 2\r\n\r\nok",
          "HTTP/1.1 200 OK\r\n" + sealed +
              "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n" + sealed +
              "Transfer-Encoding: gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
      cut.Script(response, CutKind::Close);
      const auto answer = this->Ask(this->Request("/unsafe/x"));
      CPPUNIT_ASSERT_MESSAGE(response, answer.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, kBadGateway, answer->status);
    }
  }

  void Safe_MalformedHead_RunsElsewhere() {
    this->List("plain", cut.Address());
    this->AddSound("plain");
    settings.retries.burst = 100;
    cut.Script("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nhi", CutKind::Close);
    while (cut.Requests() == 0) {
      const auto answer = this->Ask(this->Attempt("/safe/x"));
      CPPUNIT_ASSERT_EQUAL(200, answer->status);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer->body);
    }
  }

  void Request_BlankInFieldName_IsBadRequest() {
    constexpr int kBadRequest = 400;
    this->AddSound("plain");
    for (const char* field : {"X-Tenant : other", "Content-Length : 5",
                              "Transfer-Encoding : chunked"}) {
      std::string request = this->Request("/unsafe/x");
      request.insert(request.find("X-Attempt-Id"), std::string(field) + "\r\n");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(field, kBadRequest,
                                   this->Ask(request)->status);
    }
    CPPUNIT_ASSERT(upstreams[0]->seen.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedHeadTest);
CPPUNIT_TEST_SUITE_REGISTRATION(MalformedRelayTest);

}  // namespace
}  // namespace zincstep
