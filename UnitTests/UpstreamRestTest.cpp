// An upstream turned a request away and asked for some seconds of rest; the
// next requests of the same daemon went there again.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class UpstreamRestTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(UpstreamRestTest);
  CPPUNIT_TEST(ServiceRequests_AtAnUpstreamThatAsksForRest_GoElsewhere);
  CPPUNIT_TEST(Streams_AtAnUpstreamThatAsksForRest_GoElsewhere);
  CPPUNIT_TEST(Reports_AtAnUpstreamThatAsksForRest_AreLeftOut);
  CPPUNIT_TEST(Upstream_WhoseRestIsOver_IsUsedAsBefore);
  CPPUNIT_TEST(Upstream_ThatAsksForLessLater_RestsAsLongAsItAskedFirst);
  CPPUNIT_TEST(Requests_WhereAllUpstreamsRest_AreRefusedWithTheTimeLeft);
  CPPUNIT_TEST(Rest_ThatIsNoNumberOfSeconds_IsNone);
  CPPUNIT_TEST(Stream_AtAnUpstreamThatRestsAndStops_GoesOnElsewhere);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kRequests = 40;
  /// Calls that may reach an upstream which asks for rest, the first of them
  /// included.
  static constexpr std::size_t kMostCalls = 3;

  /// Seconds that the upstream asks for; empty: it answers.
  std::string rest = "3";
  /// It does not answer the next request.
  bool holdsNext = false;
  ConnectionPtr held;

  ScriptedUpstream& AddTired(const std::string& aService) {
    return this->AddUpstream(
        aService, [this](const auto& aTo, const auto& aMessage) {
          const bool isRequest = aMessage.head.target != "/report";
          if (isRequest && holdsNext) {
            holdsNext = false;
            held = aTo;
          } else if (isRequest && !rest.empty()) {
            HttpHeaders headers = SealedHeaders(aMessage);
            headers.push_back({"X-Not-Executed", "shed"});
            headers.push_back({"Retry-After", rest});
            aTo->Answer(503, headers, "");
          } else {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
          }
        });
  }

  void CheckRequests(const std::string& aService, const std::string& aPath) {
    const ScriptedUpstream& tired = this->AddTired(aService);
    this->AddSound(aService);
    settings.retries.capacity = kRequests;
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath))->status);
    }
    CPPUNIT_ASSERT(!tired.seen.empty());
    CPPUNIT_ASSERT(tired.seen.size() <= kMostCalls);
  }

  /// How the only upstream's refusal with that rest is followed.
  int StatusAfterRest(const std::string& aRest) {
    rest = aRest;
    this->Ask(this->Attempt("/safe/x"));
    rest.clear();
    return this->Ask(this->Attempt("/safe/x"))->status;
  }

 public:
  void ServiceRequests_AtAnUpstreamThatAsksForRest_GoElsewhere() {
    this->CheckRequests("plain", "/safe/x");
  }

  void Streams_AtAnUpstreamThatAsksForRest_GoElsewhere() {
    // The pause after any refusal is shorter than what is asked for here.
    settings.refusalPause = 0ms;
    this->CheckRequests("model", "/llm/x");
  }

  void Reports_AtAnUpstreamThatAsksForRest_AreLeftOut() {
    ScriptedUpstream& tired = this->AddTired("model");
    holdsNext = true;
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 9s,
        [&](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    this->RunUntil([&] { return held != nullptr; });
    this->Ask(this->Attempt("/llm/x"));
    const std::size_t before = tired.seen.size();
    this->RunFor(2s);
    CPPUNIT_ASSERT(tired.seen.size() - before < kMostCalls);
    held->Abort();
    this->RunUntil([&] { return answer.has_value(); });
  }

  void Upstream_WhoseRestIsOver_IsUsedAsBefore() {
    this->AddTired("plain");
    CPPUNIT_ASSERT_EQUAL(503, this->StatusAfterRest("0.4"));
    this->RunFor(500ms);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("/safe/x"))->status);
  }

  void Upstream_ThatAsksForLessLater_RestsAsLongAsItAskedFirst() {
    const UpstreamPtr one = std::make_shared<LiveUpstream>(UpstreamEntry{});
    const Instant now = clock.Now();
    limits.OnNotice(one, {{}, 3s}, now);
    limits.OnNotice(one, {{}, 1s}, now);
    CPPUNIT_ASSERT(!one->MayCall(now + 2s));
    CPPUNIT_ASSERT(one->MayCall(clock.Now() + 3s));
  }

  void Requests_WhereAllUpstreamsRest_AreRefusedWithTheTimeLeft() {
    const ScriptedUpstream& tired = this->AddTired("plain");
    // Callers of this route, which ends after 2 s, heed a third of that.
    rest = "0.5";
    const Instant begin = clock.Now();
    this->Ask(this->Attempt("/safe/x"));
    const auto answer = this->Ask(this->Attempt("/safe/x"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    const double after =
        std::stod(std::string(FindHeader(answer->headers, "Retry-After")));
    CPPUNIT_ASSERT(after >= 0.5 - ToSeconds(clock.Now() - begin));
    CPPUNIT_ASSERT(after <= 0.75);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tired.seen.size());
  }

  void Rest_ThatIsNoNumberOfSeconds_IsNone() {
    this->AddTired("plain");
    for (const char* text :
         {"-3", "soon", "3s", "Thu, 03 Dec 2026 08:00:00 GMT", "nan", "inf",
          "0"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 200, this->StatusAfterRest(text));
    }
  }

  // It takes no question while it rests, and its connections stay open: the
  // stream stood still until its caller's time was over.
  void Stream_AtAnUpstreamThatRestsAndStops_GoesOnElsewhere() {
    ConnectionPtr begun;
    ScriptedUpstream& stopped =
        this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
          if (begun) {
            return;
          }
          begun = aTo;
          aTo->BeginChunks(200, SealedHeaders(aMessage));
          aTo->AppendChunk("id: 1\ndata: a\n\n");
          // Before the event is read, so that nobody asks in between.
          const auto& all = view.Directory().OfService("model");
          limits.OnNotice(all.front(), {{}, 8s}, clock.Now());
        });
    settings.retries.capacity = 10;
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 9s,
        [&](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    this->RunUntil([&] { return begun != nullptr; });
    this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
      aTo->BeginChunks(200, SealedHeaders(aMessage));
      aTo->AppendChunk("id: 2\ndata: b\n\n");
      aTo->EndChunks();
    });
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         (*answer)->body);
    // Not a call but the stream itself.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stopped.seen.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRestTest);

}  // namespace
}  // namespace zincstep
