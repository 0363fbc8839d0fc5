// Responses of upstreams and of other daemons that stop midway: none may reach
// a caller of an edge daemon as a complete response.

#include "UnitTests/CutUpstream.h"
#include "UnitTests/RefusingPort.h"
#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

constexpr int kBadGateway = 502;

/// Fields that the relay requires of an upstream's response to `Request`.
const std::string kSealed = "X-Attempt-Id: r1\r\nX-Response-Seal: seal\r\n";

/// A response, split where its final head ends.
struct CutResponse {
  std::string name;
  std::string head;
  std::string body;
  bool endsWithConnection = false;
};

const std::vector<CutResponse> kServiceResponses = {
    {"length", "HTTP/1.1 200 OK\r\n" + kSealed + "Content-Length: 5\r\n\r\n",
     "whole"},
    {"chunked",
     "HTTP/1.1 200 OK\r\n" + kSealed + "Transfer-Encoding: chunked\r\n\r\n",
     "5\r\nwhole\r\n0\r\nX-T: t\r\n\r\n"},
    {"end of connection", "HTTP/1.1 200 OK\r\n" + kSealed + "\r\n", "whole",
     true},
    {"204", "HTTP/1.1 204 No Content\r\n" + kSealed + "\r\n", ""},
    {"103 first",
     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" +
         kSealed + "Content-Length: 5\r\n\r\n",
     "whole"},
};

const std::string kEventFields =
    kSealed + "Content-Type: text/event-stream\r\n";

const std::vector<CutResponse> kStreams = {
    {"chunked events",
     "HTTP/1.1 200 OK\r\n" + kEventFields +
         "Transfer-Encoding: chunked\r\n\r\n",
     "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"},
    {"events to the end", "HTTP/1.1 200 OK\r\n" + kEventFields + "\r\n",
     "id: 1\ndata: a\n\n", true},
};

/// The role of the process whose response is cut.
enum class Role { Upstream, OtherDaemon };

/// A relay whose upstream or other daemon cuts its responses.
class CutScene final : public RelayFixture {
 public:
  explicit CutScene(Role aRole) {
    this->setUp();
    settings.retries.burst = 100;
    if (aRole == Role::Upstream) {
      this->List("plain", cut.Address());
      this->List("model", cut.Address());
      return;
    }
    // Upstreams that refuse connections, so that requests are forwarded.
    this->List("plain", refusing.Address());
    this->List("model", refusing.Address());
    forwards.SetPeers({{"peer", cut.Address(), ""}});
  }

  using RelayFixture::Ask;
  using RelayFixture::List;

  /// A request with a short deadline, up to which a stream that was cut within
  /// its events waits for another upstream.
  std::string CutRequest(const std::string& aPath) {
    std::string request = this->Request(aPath);
    const std::string_view deadline = "X-Deadline-Ms: 3000";
    return request.replace(request.find(deadline), deadline.size(),
                           "X-Deadline-Ms: 1000");
  }

  CutUpstream cut{loop};
  const RefusingPort refusing{loop};
};

/// Whether the caller received a response that is framed as complete and is not
/// an error of the daemon.
bool IsTakenAsWhole(const Result<HttpResponse>& aAnswer) {
  return aAnswer && aAnswer->status < kBadGateway;
}

class CutRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutRelayTest);
  CPPUNIT_TEST(Unsafe_CutResponse_IsBadGateway);
  CPPUNIT_TEST(Safe_CutOnKeptConnection_IsBadGateway);
  CPPUNIT_TEST(Stream_CutResponse_IsNotWhole);
  CPPUNIT_TEST(Stream_CutOnKeptConnection_IsNotWhole);
  CPPUNIT_TEST(Stream_ResumedAndCut_IsNotWhole);
  CPPUNIT_TEST(Forwarded_CutResponse_IsBadGateway);
  CPPUNIT_TEST(Forwarded_CutStream_IsNotWhole);
  CPPUNIT_TEST(Request_WholeResponse_IsForwarded);
  CPPUNIT_TEST_SUITE_END();

  /// Calls `aCheck` for each way to cut a response: its bytes, how the
  /// connection ends and a text for messages. An unframed body is cut by a
  /// reset only, as a close ends it in order.
  static void ForEachCut(
      const std::vector<CutResponse>& aResponses,
      const std::function<void(const std::string&, CutKind,
                               const std::string&)>& aCheck) {
    for (const CutResponse& response : aResponses) {
      const std::string whole = response.head + response.body;
      for (const CutKind cut : {CutKind::Close, CutKind::Reset}) {
        const bool isHeadOnly =
            response.endsWithConnection && cut == CutKind::Close;
        const std::size_t end =
            isHeadOnly ? response.head.size() : whole.size();
        for (std::size_t size = 0; size < end; ++size) {
          aCheck(whole.substr(0, size), cut,
                 response.name +
                     (cut == CutKind::Close ? ", closed at " : ", reset at ") +
                     std::to_string(size));
        }
      }
    }
  }

  /// Sends a request whose response is cut; returns the caller's response.
  static Result<HttpResponse> AskCut(Role aRole, const std::string& aPath,
                                     const std::string& aBytes, CutKind aCut) {
    CutScene scene(aRole);
    scene.cut.Script(aBytes, aCut);
    const auto answer = scene.Ask(scene.CutRequest(aPath));
    CPPUNIT_ASSERT(scene.cut.Requests() > 0);
    return answer;
  }

  /// The same after a complete response on a connection that is kept.
  static Result<HttpResponse> AskCutKept(const std::string& aPath,
                                         const CutResponse& aWhole,
                                         const std::string& aBytes,
                                         CutKind aCut) {
    CutScene scene(Role::Upstream);
    scene.cut.whole = aWhole.head + aWhole.body;
    scene.cut.Script(aBytes, aCut, 1);
    CPPUNIT_ASSERT_EQUAL(200, scene.Ask(scene.CutRequest(aPath))->status);
    const auto answer = scene.Ask(scene.CutRequest(aPath));
    CPPUNIT_ASSERT_EQUAL(1, scene.cut.ReusedConnections());
    return answer;
  }

  static void CheckBadGateway(const std::string& aText,
                              const Result<HttpResponse>& aAnswer) {
    CPPUNIT_ASSERT_MESSAGE(aText, aAnswer.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aText, kBadGateway, aAnswer->status);
  }

 public:
  // Guards against a 200 with an empty or short body for a response that
  // stopped midway.
  void Unsafe_CutResponse_IsBadGateway() {
    ForEachCut(kServiceResponses, [](const auto& aBytes, CutKind aCut,
                                     const auto& aText) {
      CheckBadGateway(aText, AskCut(Role::Upstream, "/unsafe/x", aBytes, aCut));
    });
  }

  void Safe_CutOnKeptConnection_IsBadGateway() {
    ForEachCut(kServiceResponses, [](const auto& aBytes, CutKind aCut,
                                     const auto& aText) {
      CheckBadGateway(aText, AskCutKept("/safe/x", kServiceResponses.front(),
                                        aBytes, aCut));
    });
  }

  void Stream_CutResponse_IsNotWhole() {
    ForEachCut(
        kStreams, [](const auto& aBytes, CutKind aCut, const auto& aText) {
          CPPUNIT_ASSERT_MESSAGE(
              aText,
              !IsTakenAsWhole(AskCut(Role::Upstream, "/llm/x", aBytes, aCut)));
        });
  }

  void Stream_CutOnKeptConnection_IsNotWhole() {
    ForEachCut(
        kStreams, [](const auto& aBytes, CutKind aCut, const auto& aText) {
          CPPUNIT_ASSERT_MESSAGE(
              aText, !IsTakenAsWhole(
                         AskCutKept("/llm/x", kStreams.front(), aBytes, aCut)));
        });
  }

  // Guards against a stream that ends as complete since the response of the
  // upstream that should continue it stopped.
  void Stream_ResumedAndCut_IsNotWhole() {
    ForEachCut(kStreams, [](const auto& aBytes, CutKind aCut,
                            const auto& aText) {
      CutScene scene(Role::Upstream);
      CutUpstream other(scene.cut.Loop());
      scene.List("model", other.Address());
      int resumed = 0;
      const auto respond = [&](const std::string& aRequest) {
        const bool isResumed =
            aRequest.find("Last-Event-I") != std::string::npos;
        resumed += isResumed ? 1 : 0;
        return isResumed ? aBytes
                         : kStreams.back().head + "id: 1\ndata: a\n\nid: 2\nda";
      };
      scene.cut.Script(respond, aCut);
      other.Script(respond, aCut);
      const auto answer = scene.Ask(scene.CutRequest("/llm/x"));
      CPPUNIT_ASSERT_MESSAGE(aText, resumed > 0);
      CPPUNIT_ASSERT_MESSAGE(aText, !IsTakenAsWhole(answer));
    });
  }

  void Forwarded_CutResponse_IsBadGateway() {
    ForEachCut(kServiceResponses,
               [](const auto& aBytes, CutKind aCut, const auto& aText) {
                 CheckBadGateway(aText, AskCut(Role::OtherDaemon, "/unsafe/x",
                                               aBytes, aCut));
               });
  }

  void Forwarded_CutStream_IsNotWhole() {
    ForEachCut(kStreams, [](const auto& aBytes, CutKind aCut,
                            const auto& aText) {
      CPPUNIT_ASSERT_MESSAGE(
          aText,
          !IsTakenAsWhole(AskCut(Role::OtherDaemon, "/llm/x", aBytes, aCut)));
    });
  }

  // Guards against tests above that pass as no response is ever accepted.
  void Request_WholeResponse_IsForwarded() {
    for (const Role role : {Role::Upstream, Role::OtherDaemon}) {
      for (const CutResponse& response : kServiceResponses) {
        const auto answer = AskCut(
            role, "/unsafe/x", response.head + response.body, CutKind::Close);
        CPPUNIT_ASSERT_MESSAGE(response.name, answer.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            response.name, response.body.empty() ? 204 : 200, answer->status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            response.name, std::string(response.body.empty() ? "" : "whole"),
            answer->body);
      }
      for (const CutResponse& response : kStreams) {
        const auto answer = AskCut(
            role, "/llm/x", response.head + response.body, CutKind::Close);
        CPPUNIT_ASSERT_MESSAGE(response.name, answer.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response.name, 200, answer->status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            response.name, std::string("id: 1\ndata: a\n\n"), answer->body);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutRelayTest);

}  // namespace
}  // namespace zincstep
