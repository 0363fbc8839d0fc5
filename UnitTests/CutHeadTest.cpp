// Responses that stop in their head or their body, and lengths that are wrong:
// none may reach a caller as a complete response.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>

#include "UnitTests/CutUpstream.h"
#include "Zincstep/Net/HttpClient.h"
#include "Zincstep/Net/SingleCall.h"

namespace zincstep {
namespace {

constexpr Micros kTimeout = 60s;

/// Whether the response is on a new connection or on one that was used before.
enum class Use { First, Kept };

/// A response, split where its final head ends.
struct Framing {
  std::string name;
  std::string head;
  std::string body;
  /// Whether only the end of the connection ends the body.
  bool endsWithConnection = false;
};

const std::string kFinal =
    "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 5\r\n\r\n";

const std::vector<Framing> kFramings = {
    {"length", kFinal, "whole"},
    {"chunked",
     "HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n",
     "3\r\nwho\r\n2;x=y\r\nle\r\n0\r\n\r\n"},
    {"chunked, trailer",
     "HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n"
     "Trailer: X-T\r\n\r\n",
     "5\r\nwhole\r\n0\r\nX-T: t\r\n\r\n"},
    {"end of connection", "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n", "whole",
     true},
    {"event stream",
     "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Type: text/event-stream\r\n\r\n",
     "data: a\n\n", true},
    {"204", "HTTP/1.1 204 No Content\r\nServer: s\r\n\r\n", ""},
    {"304", "HTTP/1.1 304 Not Modified\r\nServer: s\r\nETag: \"e\"\r\n\r\n",
     ""},
    {"100 first", "HTTP/1.1 100 Continue\r\n\r\n" + kFinal, "whole"},
    {"two 103 first",
     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
     "HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\n" +
         kFinal,
     "whole"},
};

/// Heads with a length that is no length, or is that of no body that follows.
const std::vector<std::string> kWrongLengths = {
    "Content-Length: 5\r\nContent-Length: 3\r\n",
    "Content-Length: 3\r\nContent-Length: 5\r\n",
    "Content-Length: 5, 3\r\n",
    "Content-Length: -5\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: +5\r\n",
    "Content-Length: 5x\r\n",
    "Content-Length: 0x5\r\n",
    "Content-Length: \r\n",
    "Content-Length: 6\r\n",
    "Content-Length: 9223372036854775807\r\n",
    "Content-Length: 9223372036854775808\r\n",
    "Content-Length: 18446744073709551615\r\n",
    "Content-Length: 18446744073709551621\r\n",
    "Content-Length: 99999999999999999999999999\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
};

/// What a client reports about a call.
struct Outcome {
  bool isAnswered = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// One of the clients with its connections.
class TestedClient {
 public:
  virtual ~TestedClient() = default;
  virtual void Call(const CutUpstream& aUpstream, const std::string& aMethod,
                    std::function<void(Outcome)> aDone) = 0;
};

/// The client of edge daemons.
class SingleCallClient final : public TestedClient {
 public:
  explicit SingleCallClient(asio::io_context& aLoop) : loop(aLoop) {}

  void Call(const CutUpstream& aUpstream, const std::string& aMethod,
            std::function<void(Outcome)> aDone) override {
    FetchResponse(
        this->loop, aUpstream.Endpoint(),
        aMethod + " / HTTP/1.1\r\nHost: h\r\n\r\n", kTimeout,
        [done = std::move(aDone)](Result<HttpResponse> aResult) {
          Outcome outcome;
          if (aResult) {
            outcome = {true, aResult->status, aResult->headers, aResult->body};
          }
          done(std::move(outcome));
        },
        PooledConnections{&this->pool, "u"});
  }

 private:
  asio::io_context& loop;
  SystemClock clock;
  ConnectionPool pool{ConnectionPoolSettings{}, this->clock};
};

/// The client of entry daemons, with a body that is buffered or streamed.
class CurlTestClient final : public TestedClient, private HttpCallListener {
 public:
  CurlTestClient(asio::io_context& aLoop, bool aIsStreamed)
      : loop(aLoop), isStreamed(aIsStreamed), http(MakeHttpClient()) {}

  void Call(const CutUpstream& aUpstream, const std::string& aMethod,
            std::function<void(Outcome)> aDone) override {
    this->done = std::move(aDone);
    this->parts.clear();
    HttpCall call;
    call.method = aMethod;
    call.url = "http://" + aUpstream.Address() + "/";
    call.timeout = kTimeout;
    call.streamed = this->isStreamed;
    this->http->Start(std::move(call), *this);
  }

 private:
  bool OnCallData(CallId, std::string aPart) override {
    this->parts += aPart;
    return true;
  }

  void OnCallEnd(CallId, HttpCallResult aResult) override {
    Outcome outcome{aResult.end == CallEnd::Answered, aResult.status,
                    aResult.headers,
                    this->isStreamed ? this->parts : aResult.body};
    asio::post(this->loop, [done = std::move(this->done),
                            outcome = std::move(outcome)] { done(outcome); });
  }

  asio::io_context& loop;
  bool isStreamed;
  std::string parts;
  std::function<void(Outcome)> done;
  std::unique_ptr<HttpClient> http;
};

/// Which client a test uses.
enum class Client { SingleCall, Curl, CurlStreamed };

class CutHeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutHeadTest);
  CPPUNIT_TEST(SingleCall_CutHead_IsNotAnswered);
  CPPUNIT_TEST(SingleCall_CutBody_IsNotAnswered);
  CPPUNIT_TEST(SingleCall_WrongLength_IsNotAnswered);
  CPPUNIT_TEST(SingleCall_WholeResponse_IsAnswered);
  CPPUNIT_TEST(CurlClient_CutHead_IsNotAnswered);
  CPPUNIT_TEST(CurlClient_CutBody_IsNotAnswered);
  CPPUNIT_TEST(CurlClient_WrongLength_IsNotAnswered);
  CPPUNIT_TEST(CurlClient_WholeResponse_IsAnswered);
  CPPUNIT_TEST(CurlClient_HeadRequest_IsAnsweredWithoutBody);
  CPPUNIT_TEST(CurlClient_StreamedCutHead_IsNotAnswered);
  CPPUNIT_TEST(CurlClient_StreamedCutBody_IsNotAnswered);
  CPPUNIT_TEST(CurlClient_StreamedWholeResponse_IsAnswered);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  CutUpstream upstream{loop};

  std::unique_ptr<TestedClient> client;
  std::optional<Client> kind;

  /// Returns a client without open connections. That of libcurl has a thread,
  /// and closes the connection of each response that was cut; the pool of the
  /// other one refuses connections to an upstream that cut a response.
  TestedClient& ClientOf(Client aKind) {
    if (aKind == Client::SingleCall) {
      client = std::make_unique<SingleCallClient>(loop);
    } else if (kind != aKind) {
      client =
          std::make_unique<CurlTestClient>(loop, aKind == Client::CurlStreamed);
    }
    kind = aKind;
    return *client;
  }

  Outcome Call(TestedClient& aClient, const std::string& aMethod) {
    std::optional<Outcome> outcome;
    aClient.Call(upstream, aMethod,
                 [&](Outcome aOutcome) { outcome = std::move(aOutcome); });
    while (!outcome) {
      loop.run_one();
    }
    return *outcome;
  }

  /// Returns the outcome of a call whose response is `aBytes`.
  Outcome Ask(Client aClient, const std::string& aBytes, CutKind aCut, Use aUse,
              const std::string& aMethod = "GET") {
    TestedClient& caller = this->ClientOf(aClient);
    upstream.Script(aBytes, aCut, aUse == Use::Kept ? 1 : 0);
    if (aUse == Use::Kept) {
      CPPUNIT_ASSERT(this->Call(caller, "GET").isAnswered);
    }
    const Outcome outcome = this->Call(caller, aMethod);
    CPPUNIT_ASSERT_EQUAL(aUse == Use::Kept ? 1 : 0,
                         upstream.ReusedConnections());
    return outcome;
  }

  /// Returns one line for each way in which a response that stops at one of the
  /// offsets is reported as answered.
  std::string AnsweredCuts(Client aClient, const Framing& aFraming,
                           std::size_t aFirst, std::size_t aEnd, CutKind aCut) {
    const std::string whole = aFraming.head + aFraming.body;
    std::string lines;
    for (const Use use : {Use::First, Use::Kept}) {
      std::string offsets;
      for (std::size_t size = aFirst; size < aEnd; ++size) {
        const Outcome outcome =
            this->Ask(aClient, whole.substr(0, size), aCut, use);
        if (outcome.isAnswered) {
          offsets += " " + std::to_string(size);
        }
      }
      if (!offsets.empty()) {
        lines += "\n" + aFraming.name +
                 (aCut == CutKind::Close ? ", closed" : ", reset") +
                 (use == Use::First ? ", first use" : ", kept") + ", of " +
                 std::to_string(whole.size()) + " bytes answered at:" + offsets;
      }
    }
    return lines;
  }

  void CheckCutHeads(Client aClient) {
    std::string lines;
    for (const Framing& framing : kFramings) {
      for (const CutKind cut : {CutKind::Close, CutKind::Reset}) {
        lines +=
            this->AnsweredCuts(aClient, framing, 0, framing.head.size(), cut);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), lines);
  }

  void CheckCutBodies(Client aClient) {
    std::string lines;
    for (const Framing& framing : kFramings) {
      const std::size_t size = framing.head.size() + framing.body.size();
      if (framing.endsWithConnection) {
        // A close ends it in order at any offset, a reset at none.
        lines += this->AnsweredCuts(aClient, framing, framing.head.size(),
                                    size + 1, CutKind::Reset);
        continue;
      }
      for (const CutKind cut : {CutKind::Close, CutKind::Reset}) {
        lines += this->AnsweredCuts(aClient, framing, framing.head.size(), size,
                                    cut);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), lines);
  }

  void CheckWrongLengths(Client aClient) {
    std::string lines;
    for (const std::string& fields : kWrongLengths) {
      for (const Use use : {Use::First, Use::Kept}) {
        const Outcome outcome =
            this->Ask(aClient, "HTTP/1.1 200 OK\r\n" + fields + "\r\nwhole",
                      CutKind::Close, use);
        if (outcome.isAnswered) {
          lines += "\nanswered with \"" + outcome.body +
                   (use == Use::First ? "\", first use: " : "\", kept: ") +
                   fields;
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), lines);
  }

  // Guards against a client that takes no response as complete, and against
  // fields of interim responses and of trailers in the final head.
  void CheckWholeResponses(Client aClient) {
    for (const Framing& framing : kFramings) {
      for (const Use use : {Use::First, Use::Kept}) {
        const Outcome outcome = this->Ask(aClient, framing.head + framing.body,
                                          CutKind::Close, use);
        const bool hasBody = !framing.body.empty();
        const bool isStream = framing.name == "event stream";
        CPPUNIT_ASSERT_MESSAGE(framing.name, outcome.isAnswered);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(framing.name,
                                     hasBody ? 200 : std::stoi(framing.name),
                                     outcome.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(framing.name,
                                     std::string(isStream  ? "data: a\n\n"
                                                 : hasBody ? "whole"
                                                           : ""),
                                     outcome.body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            framing.name, std::string("s"),
            std::string(FindHeader(outcome.headers, "Server")));
        for (const char* field : {"Link", "X-T"}) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
              framing.name, std::string(),
              std::string(FindHeader(outcome.headers, field)));
        }
      }
    }
  }

 public:
  void SingleCall_CutHead_IsNotAnswered() {
    this->CheckCutHeads(Client::SingleCall);
  }
  void SingleCall_CutBody_IsNotAnswered() {
    this->CheckCutBodies(Client::SingleCall);
  }
  void SingleCall_WrongLength_IsNotAnswered() {
    this->CheckWrongLengths(Client::SingleCall);
  }
  void SingleCall_WholeResponse_IsAnswered() {
    this->CheckWholeResponses(Client::SingleCall);
  }

  // Guards against a 200 without fields and body for a response that stopped
  // after its status line, which libcurl 7.88 reports as a success.
  void CurlClient_CutHead_IsNotAnswered() { this->CheckCutHeads(Client::Curl); }
  void CurlClient_CutBody_IsNotAnswered() {
    this->CheckCutBodies(Client::Curl);
  }
  // Guards against a body whose length libcurl ignores or takes from one of two
  // fields.
  void CurlClient_WrongLength_IsNotAnswered() {
    this->CheckWrongLengths(Client::Curl);
  }
  void CurlClient_WholeResponse_IsAnswered() {
    this->CheckWholeResponses(Client::Curl);
  }

  // Guards against waiting for the body whose length the response states.
  void CurlClient_HeadRequest_IsAnsweredWithoutBody() {
    for (const Use use : {Use::First, Use::Kept}) {
      const Outcome outcome =
          this->Ask(Client::Curl, kFinal, CutKind::Close, use, "HEAD");
      CPPUNIT_ASSERT(outcome.isAnswered);
      CPPUNIT_ASSERT_EQUAL(200, outcome.status);
      CPPUNIT_ASSERT_EQUAL(std::string(), outcome.body);
    }
    std::string offsets;
    for (std::size_t size = 0; size < kFinal.size(); ++size) {
      if (this->Ask(Client::Curl, kFinal.substr(0, size), CutKind::Close,
                    Use::First, "HEAD")
              .isAnswered) {
        offsets += " " + std::to_string(size);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), offsets);
  }

  void CurlClient_StreamedCutHead_IsNotAnswered() {
    this->CheckCutHeads(Client::CurlStreamed);
  }
  void CurlClient_StreamedCutBody_IsNotAnswered() {
    this->CheckCutBodies(Client::CurlStreamed);
  }
  void CurlClient_StreamedWholeResponse_IsAnswered() {
    this->CheckWholeResponses(Client::CurlStreamed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutHeadTest);

}  // namespace
}  // namespace zincstep
