// An upstream in need named a limit of calls for all daemons together, and got
// what its memory and pace let each daemon's choice give it.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class UpstreamLimitTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(UpstreamLimitTest);
  CPPUNIT_TEST(Streams_AtAnUpstreamThatNamesALimit_StayBelowIt);
  CPPUNIT_TEST(ServiceRequests_AtAnUpstreamThatNamesALimit_StayBelowIt);
  CPPUNIT_TEST(Reports_AtAnUpstreamThatNamesALimit_StayBelowIt);
  CPPUNIT_TEST(Requests_BeyondTheLimitOfAllUpstreams_AreRefusedAsNotRun);
  CPPUNIT_TEST(Limit_ThatIsNoNumber_IsNone);
  CPPUNIT_TEST(Upstream_ThatNamesNoLimitAnyMore_IsUsedAsBefore);
  CPPUNIT_TEST(Upstream_WhoseOldAnswersWereSlow_IsTriedWithinItsLimit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kLimit = 1;
  /// What an upstream with that limit gets in some seconds at the most.
  static constexpr Micros kWindow = 4s;
  static constexpr double kTolerance = 1.5;
  static constexpr double kSpare = 5;
  static constexpr int kRequests = 60;

  /// What the limited upstream names now.
  std::string named = "1";
  /// It does not answer the next request.
  bool holdsNext = false;
  ConnectionPtr held;

  void Answer(const ConnectionPtr& aTo, const CallerMessage& aMessage,
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
          if (holdsNext && isRequest) {
            holdsNext = false;
            held = aTo;
            return;
          }
          this->Answer(aTo, aMessage, named);
        });
  }

  /// Sends requests at one instant and waits for all answers; gives how many
  /// were served.
  int AskTogether(const std::string& aPath) {
    int open = kRequests;
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      FetchResponse(
          loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
          this->Attempt(aPath), 9s, [&](const Result<HttpResponse>& aAnswer) {
            open -= 1;
            served += aAnswer && aAnswer->status == 200 ? 1 : 0;
          });
    }
    this->RunUntil([&] { return open == 0; });
    return served;
  }

  /// Calls that the limited upstream may get in the time since `aSince`.
  double Allowed(Instant aSince) const {
    const double windows =
        std::floor(ToSeconds(clock.Now() - aSince) / ToSeconds(kWindow)) + 1;
    return windows * (kTolerance * kLimit * ToSeconds(kWindow) + kSpare);
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
  void Streams_AtAnUpstreamThatNamesALimit_StayBelowIt() {
    this->CheckRequests("model", "/llm/x");
  }

  void ServiceRequests_AtAnUpstreamThatNamesALimit_StayBelowIt() {
    this->CheckRequests("plain", "/safe/x");
  }

  void Reports_AtAnUpstreamThatNamesALimit_StayBelowIt() {
    ScriptedUpstream& limited = this->AddLimited("model");
    const Instant begin = clock.Now();
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("/llm/x"))->status);
    this->RunFor(1500ms);
    holdsNext = true;
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 9s,
        [&](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    this->RunFor(2400ms);
    CPPUNIT_ASSERT(held);
    CPPUNIT_ASSERT(static_cast<double>(limited.seen.size()) <=
                   this->Allowed(begin));
    held->Abort();
    this->RunUntil([&] { return answer.has_value(); });
  }

  void Requests_BeyondTheLimitOfAllUpstreams_AreRefusedAsNotRun() {
    this->AddLimited("plain");
    this->AskTogether("/safe/x");
    const auto answer = this->Ask(this->Attempt("/safe/x"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
  }

  void Limit_ThatIsNoNumber_IsNone() {
    this->AddLimited("plain");
    for (const char* text : {"-1", "few", "1/s", "nan", "inf", " "}) {
      named = text;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, kRequests,
                                   this->AskTogether("/safe/x"));
    }
  }

  void Upstream_WhoseOldAnswersWereSlow_IsTriedWithinItsLimit() {
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

  void Upstream_ThatNamesNoLimitAnyMore_IsUsedAsBefore() {
    this->AddLimited("plain");
    this->AskTogether("/safe/x");
    named.clear();
    this->RunFor(2s);
    // Its part allows one call, which finds it out.
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("/safe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(kRequests, this->AskTogether("/safe/x"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLimitTest);

}  // namespace
}  // namespace zincstep
