#include "RelayFixture.h"
#include "UnitTests/RefusingPort.h"
#include "Zincstep/Net/CallerListener.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kUnauthenticated = 401;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr const char* kRuns = "zincstep-runs";
constexpr const char* kAdmittedVersion = "zincstep-admitted-version";
constexpr const char* kRefusingVersion = "zincstep-refusing-version";

}  // namespace

/// Requests that other daemons forward to this one.
class ForwardedArrivalTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(ForwardedArrivalTest);
  CPPUNIT_TEST(Forwarded_NoUpstreamReached_IsNotForwardedAgain);
  CPPUNIT_TEST(Forwarded_UnknownKey_IsRejected);
  CPPUNIT_TEST(Forwarded_AttemptsUsedBefore_AreCounted);
  CPPUNIT_TEST(Forwarded_Request_ReachesUpstreamWithoutTheHopsHeader);
  CPPUNIT_TEST(Forwarded_KeyRemovedSinceAdmission_IsServed);
  CPPUNIT_TEST(Forwarded_KeyRemovedSeveralVersionsAgo_IsServed);
  CPPUNIT_TEST(Forwarded_RouteRemovedSinceAdmission_IsServed);
  CPPUNIT_TEST(Forwarded_KeyRemovedWithoutAdmission_IsRejected);
  CPPUNIT_TEST(Forwarded_RevocationTimePassed_IsRejected);
  CPPUNIT_TEST(Forwarded_AdmittedByNewerVersion_IsNotRefusedForGood);
  CPPUNIT_TEST(Caller_StatesAdmission_IsRejected);
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

  static std::string With(std::string aRequest, const std::string& aName,
                          int aNumber) {
    const std::string header = aName + ": " + std::to_string(aNumber) + "\r\n";
    return aRequest.insert(aRequest.find("\r\n") + 2, header);
  }

  static std::string WithRuns(std::string aRequest, int aRuns) {
    return With(std::move(aRequest), kRuns, aRuns);
  }

  /// A request that another daemon admitted by that version.
  std::string Admitted(const std::string& aPath, int aVersion) {
    return With(this->Request(aPath), kAdmittedVersion, aVersion);
  }

  /// Puts a version in force in which `aOld` is replaced.
  void Replace(int aVersion, const std::string& aOld, const std::string& aNew) {
    std::string config = kRelayConfig;
    config.replace(config.find("\"configVersion\":1"), 17,
                   "\"configVersion\":" + std::to_string(aVersion));
    config.replace(config.find(aOld), aOld.size(), aNew);
    const auto revision = static_cast<std::uint64_t>(10 * aVersion);
    view.OnConfiguration({"", config, revision});
    view.OnValidated({revision}, clock.Now());
  }

  void RemoveKey(int aVersion) {
    this->Replace(aVersion, "[\"key1\"]",
                  "[\"other" + std::to_string(aVersion) + "\"]");
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

  // Guards against streams that no daemon continues as their key was removed
  // after their admission: each refused, until the deadline.
  void Forwarded_KeyRemovedSinceAdmission_IsServed() {
    this->AddSound("plain");
    this->RemoveKey(2);
    const auto answer = this->AskForwarded(this->Admitted("/unsafe/x", 1));
    CPPUNIT_ASSERT_EQUAL(kOk, answer->status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("acme"),
        std::string(FindHeader(upstreams[0]->seen.at(0).headers, "X-Tenant")));
  }

  // Guards against the loss of the last version with the key in a storm.
  void Forwarded_KeyRemovedSeveralVersionsAgo_IsServed() {
    this->AddSound("plain");
    for (int version = 2; version <= 5; ++version) {
      this->RemoveKey(version);
    }
    CPPUNIT_ASSERT_EQUAL(
        kOk, this->AskForwarded(this->Admitted("/unsafe/x", 1))->status);
  }

  void Forwarded_RouteRemovedSinceAdmission_IsServed() {
    this->AddSound("plain");
    this->Replace(2, "/unsafe/", "/elsewhere/");
    CPPUNIT_ASSERT_EQUAL(
        kOk, this->AskForwarded(this->Admitted("/unsafe/x", 1))->status);
    const auto answer = this->AskForwarded(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kNotFound, answer->status);
  }

  // Guards against new requests with a removed key.
  void Forwarded_KeyRemovedWithoutAdmission_IsRejected() {
    this->AddSound("plain");
    this->RemoveKey(2);
    for (const std::string& request :
         {this->Request("/unsafe/x"), this->Admitted("/unsafe/x", 2)}) {
      const auto answer = this->AskForwarded(request);
      CPPUNIT_ASSERT_EQUAL(kUnauthenticated, answer->status);
      CPPUNIT_ASSERT_EQUAL(
          std::string("2"),
          std::string(FindHeader(answer->headers, kRefusingVersion)));
    }
    CPPUNIT_ASSERT(upstreams[0]->seen.empty());
  }

  // Guards against runs with a removed key after the time in which it has to be
  // out of use, counted from the last time it was known to be in the
  // configuration.
  void Forwarded_RevocationTimePassed_IsRejected() {
    this->AddSound("plain");
    clock.Advance(2s);
    this->RemoveKey(2);
    clock.Advance(settings.maxValidationAge - 2s + 10ms);
    view.OnValidated({20}, clock.Now());
    CPPUNIT_ASSERT_EQUAL(
        kUnauthenticated,
        this->AskForwarded(this->Admitted("/unsafe/x", 1))->status);
    CPPUNIT_ASSERT(upstreams[0]->seen.empty());
  }

  // Guards against requests with a new key that end as a daemon does not have
  // the version with it yet.
  void Forwarded_AdmittedByNewerVersion_IsNotRefusedForGood() {
    this->AddSound("plain");
    const std::string request = this->Request("/unsafe/x", "new");
    const auto answer =
        this->AskForwarded(this->With(request, kAdmittedVersion, 2));
    CPPUNIT_ASSERT_EQUAL(kUnavailable, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), answer->body);
  }

  // Guards against callers that state what only daemons may state.
  void Caller_StatesAdmission_IsRejected() {
    this->AddSound("plain");
    this->RemoveKey(2);
    const auto answer = this->Ask(this->Admitted("/unsafe/x", 1));
    CPPUNIT_ASSERT_EQUAL(kUnauthenticated, answer->status);
    CPPUNIT_ASSERT(FindHeader(answer->headers, kRefusingVersion).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedArrivalTest);

}  // namespace zincstep
