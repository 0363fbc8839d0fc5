// Guards against daemons that ignore a call limit: an upstream stated a limit
// for all daemons together, but each daemon still selected it by its memory and
// speed alone.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class UpstreamLimitTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(UpstreamLimitTest);
  CPPUNIT_TEST(Streams_UpstreamWithLimit_StayBelowIt);
  CPPUNIT_TEST(ServiceRequests_UpstreamWithLimit_StayBelowIt);
  CPPUNIT_TEST(Reports_UpstreamWithLimit_StayBelowIt);
  CPPUNIT_TEST(Requests_BeyondLimitOfAllUpstreams_AreRefusedAsNotRun);
  CPPUNIT_TEST(Limit_NotANumber_IsIgnored);
  CPPUNIT_TEST(Upstream_LimitEnded_IsUsedAsBefore);
  CPPUNIT_TEST(Upstream_SlowPastResponses_IsTriedWithinLimit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kLimit = 1;
  /// Maximum calls to an upstream with that limit: `kTolerance` times the limit
  /// in each window, plus a margin.
  static constexpr Micros kWindow = 4s;
  static constexpr double kTolerance = 1.5;
  static constexpr double kMarginCalls = 5;
  static constexpr int kRequests = 60;

  /// Limit that the upstream states now; empty: none.
  std::string statedLimit = "1";
  /// Whether the upstream leaves the next request without a response.
  bool ignoresNext = false;
  ConnectionPtr ignoredConnection;

  void Respond(const ConnectionPtr& aTo, const CallerMessage& aMessage,
               const std::string& aLimit) {
    HttpHeaders headers = SealedHeaders(aMessage);
    if (!aLimit.empty()) {
      headers.push_back({"Server-Limit", aLimit});
    }
    AnswerWhole(aTo, aMessage, headers);
  }

  ScriptedUpstream& AddLimited(const std::string& aService) {
    return this->AddUpstream(
        aService, [this](const auto& aTo, const auto& aMessage) {
          const bool isRequest = aMessage.head.target != "/report";
          if (ignoresNext && isRequest) {
            ignoresNext = false;
            ignoredConnection = aTo;
            return;
          }
          this->Respond(aTo, aMessage, statedLimit);
        });
  }

  /// Sends requests at one instant and waits for all responses; returns how
  /// many were served.
  int SendTogether(const std::string& aPath) {
    int pending = kRequests;
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      FetchResponse(
          loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
          this->Attempt(aPath), 9s, [&](const Result<HttpResponse>& aResponse) {
            pending -= 1;
            served += aResponse && aResponse->status == 200 ? 1 : 0;
          });
    }
    this->RunUntil([&] { return pending == 0; });
    return served;
  }

  /// Calls that the limited upstream may receive since `aSince`.
  double Allowed(Instant aSince) const {
    const double windows =
        std::floor(ToSeconds(clock.Now() - aSince) / ToSeconds(kWindow)) + 1;
    return windows * (kTolerance * kLimit * ToSeconds(kWindow) + kMarginCalls);
  }

  void CheckRequests(const std::string& aService, const std::string& aPath) {
    const ScriptedUpstream& limited = this->AddLimited(aService);
    this->AddSound(aService);
    const Instant begin = clock.Now();
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath))->status);
    }
    CPPUNIT_ASSERT(!limited.seen.empty());
    CPPUNIT_ASSERT(static_cast<double>(limited.seen.size()) <=
                   this->Allowed(begin));
  }

 public:
  void Streams_UpstreamWithLimit_StayBelowIt() {
    this->CheckRequests("model", "/llm/x");
  }

  void ServiceRequests_UpstreamWithLimit_StayBelowIt() {
    this->CheckRequests("plain", "/safe/x");
  }

  void Reports_UpstreamWithLimit_StayBelowIt() {
    ScriptedUpstream& limited = this->AddLimited("model");
    const Instant begin = clock.Now();
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("/llm/x"))->status);
    this->RunFor(1500ms);
    ignoresNext = true;
    std::optional<Result<HttpResponse>> response;
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 9s, [&](Result<HttpResponse> aResponse) {
          response = std::move(aResponse);
        });
    this->RunFor(2400ms);
    CPPUNIT_ASSERT(ignoredConnection);
    CPPUNIT_ASSERT(static_cast<double>(limited.seen.size()) <=
                   this->Allowed(begin));
    ignoredConnection->Abort();
    this->RunUntil([&] { return response.has_value(); });
  }

  void Requests_BeyondLimitOfAllUpstreams_AreRefusedAsNotRun() {
    this->AddLimited("plain");
    this->SendTogether("/safe/x");
    const auto response = this->Ask(this->Attempt("/safe/x"));
    CPPUNIT_ASSERT_EQUAL(503, response->status);
    CPPUNIT_ASSERT(!FindHeader(response->headers, "Retry-After").empty());
  }

  void Limit_NotANumber_IsIgnored() {
    this->AddLimited("plain");
    for (const char* text : {"-1", "few", "1/s", "nan", "inf", " "}) {
      statedLimit = text;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, kRequests,
                                   this->SendTogether("/safe/x"));
    }
  }

  void Upstream_SlowPastResponses_IsTriedWithinLimit() {
    UpstreamEntry entry;
    entry.slots = 4;
    entry.id = "slow";
    const auto slow = std::make_shared<LiveUpstream>(entry);
    entry.id = "quick";
    const auto quick = std::make_shared<LiveUpstream>(entry);
    slow->responseSeconds = 1;
    quick->responseSeconds = 0.001;
    const Instant now = clock.Now();
    slow->SetCallRate(kLimit, now);
    CPPUNIT_ASSERT(services.Choose({slow, quick}, "", {}, now, random) ==
                   quick);
    CPPUNIT_ASSERT(services.Choose({slow, quick}, "", {}, now + 3s, random) ==
                   slow);
  }

  void Upstream_LimitEnded_IsUsedAsBefore() {
    this->AddLimited("plain");
    this->SendTogether("/safe/x");
    statedLimit.clear();
    this->RunFor(2s);
    // The daemon's share allows one call, which discovers the end of the limit.
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("/safe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(kRequests, this->SendTogether("/safe/x"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLimitTest);

}  // namespace
}  // namespace zincstep
