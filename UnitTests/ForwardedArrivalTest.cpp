#include "RelayFixture.h"
#include "UnitTests/RefusingPort.h"
#include "Zincstep/Net/CallerListener.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kUnauthenticated = 401;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr const char* kRuns = "zincstep-runs";

}  // namespace

/// Requests that other daemons forward to this one.
class ForwardedArrivalTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(ForwardedArrivalTest);
  CPPUNIT_TEST(Forwarded_NoUpstreamReached_IsNotForwardedAgain);
  CPPUNIT_TEST(Forwarded_UnknownKey_IsRejected);
  CPPUNIT_TEST(Forwarded_AttemptsUsedBefore_AreCounted);
  CPPUNIT_TEST(Forwarded_Request_ReachesUpstreamWithoutTheHopsHeader);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<CallerListener> forwarded;

  /// Sends a request to the address for other daemons.
  Result<HttpResponse> AskForwarded(const std::string& aRequest) {
    forwarded = std::make_unique<CallerListener>(
        loop, relay->ForwardedRequests(), clock);
    CPPUNIT_ASSERT(forwarded->Start("127.0.0.1:0").has_value());
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(loop, {asio::ip::address_v4::loopback(), forwarded->Port()},
                  aRequest, 10s, [&](Result<HttpResponse> aAnswer) {
                    answer = std::move(aAnswer);
                  });
    this->RunUntil([&] { return answer.has_value(); });
    return *answer;
  }

  static std::string WithRuns(std::string aRequest, int aRuns) {
    const std::string header =
        std::string(kRuns) + ": " + std::to_string(aRuns) + "\r\n";
    return aRequest.insert(aRequest.find("\r\n") + 2, header);
  }

 public:
  void Forwarded_NoUpstreamReached_IsNotForwardedAgain() {
    const RefusingPort refusing(loop);
    this->List("plain", refusing.Address());
    ScriptedUpstream peer(loop, clock, [](const auto&, const auto&) {});
    forwards.SetPeers({{"peer", peer.Address(), ""}});
    const auto answer = this->AskForwarded(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kUnavailable, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_unreachable"), answer->body);
    CPPUNIT_ASSERT(peer.seen.empty());
  }

  void Forwarded_UnknownKey_IsRejected() {
    this->AddSound("plain");
    const auto answer = this->AskForwarded(this->Request("/safe/x", "nokey"));
    CPPUNIT_ASSERT_EQUAL(kUnauthenticated, answer->status);
  }

  // The route permits two runs.
  void Forwarded_AttemptsUsedBefore_AreCounted() {
    const ScriptedUpstream& upstream = this->AddUpstream(
        "plain", [](const auto& aTo, const auto&) { aTo->Abort(); });
    this->AddUpstream("plain",
                      [](const auto& aTo, const auto&) { aTo->Abort(); });
    const auto answer =
        this->AskForwarded(WithRuns(this->Request("/safe/x"), 1));
    CPPUNIT_ASSERT_EQUAL(kBadGateway, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         upstream.seen.size() + upstreams[1]->seen.size());
  }

  void Forwarded_Request_ReachesUpstreamWithoutTheHopsHeader() {
    const ScriptedUpstream& upstream =
        this->AddUpstream("plain", [](const auto& aTo, const auto& aMessage) {
          AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        });
    const auto answer =
        this->AskForwarded(WithRuns(this->Request("/unsafe/x"), 0));
    CPPUNIT_ASSERT_EQUAL(kOk, answer->status);
    const HttpHeaders& headers = upstream.seen.at(0).headers;
    CPPUNIT_ASSERT(FindHeader(headers, kRuns).empty());
    CPPUNIT_ASSERT(FindHeader(headers, "Authorization").empty());
    CPPUNIT_ASSERT_EQUAL(std::string("acme"),
                         std::string(FindHeader(headers, "X-Tenant")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedArrivalTest);

}  // namespace zincstep
