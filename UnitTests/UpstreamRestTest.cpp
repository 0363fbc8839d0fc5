// Guards against ignoring the Retry-After of an upstream that refuses: the next
// requests of the same daemon were sent to it again.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class UpstreamRestTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(UpstreamRestTest);
  CPPUNIT_TEST(ServiceRequests_UpstreamBackingOff_GoElsewhere);
  CPPUNIT_TEST(Streams_UpstreamBackingOff_GoElsewhere);
  CPPUNIT_TEST(Reports_UpstreamBackingOff_AreNotQueried);
  CPPUNIT_TEST(Upstream_AfterBackoff_IsUsedAsBefore);
  CPPUNIT_TEST(Upstream_ShorterRetryAfterLater_KeepsLongerBackoff);
  CPPUNIT_TEST(Requests_AllUpstreamsBackingOff_AreRefusedWithTimeLeft);
  CPPUNIT_TEST(RetryAfter_NotANumberOfSeconds_IsIgnored);
  CPPUNIT_TEST(Stream_UpstreamBacksOffAndStops_ResumesElsewhere);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kRequests = 40;
  /// Maximum calls that reach an upstream that backs off, including the first.
  static constexpr std::size_t kMaxCalls = 3;

  /// Retry-After of the upstream in seconds; empty if it serves requests.
  std::string retryAfter = "3";
  /// The upstream does not respond to the next request.
  bool shouldHoldNext = false;
  ConnectionPtr held;

  ScriptedUpstream& AddBackingOff(const std::string& aService) {
    return this->AddUpstream(
        aService, [this](const auto& aTo, const auto& aMessage) {
          const bool isRequest = aMessage.head.target != "/report";
          if (isRequest && shouldHoldNext) {
            shouldHoldNext = false;
            held = aTo;
          } else if (isRequest && !retryAfter.empty()) {
            HttpHeaders headers = SealedHeaders(aMessage);
            headers.push_back({"X-Not-Executed", "shed"});
            headers.push_back({"Retry-After", retryAfter});
            aTo->Answer(503, headers, "");
          } else {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
          }
        });
  }

  void CheckRequests(const std::string& aService, const std::string& aPath) {
    const ScriptedUpstream& backingOff = this->AddBackingOff(aService);
    this->AddSound(aService);
    settings.retries.burst = kRequests;
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath))->status);
    }
    CPPUNIT_ASSERT(!backingOff.seen.empty());
    CPPUNIT_ASSERT(backingOff.seen.size() <= kMaxCalls);
  }

  /// Status of the request after one that the only upstream refused with that
  /// Retry-After.
  int StatusAfterBackoff(const std::string& aRetryAfter) {
    retryAfter = aRetryAfter;
    this->Ask(this->Attempt("/safe/x"));
    retryAfter.clear();
    return this->Ask(this->Attempt("/safe/x"))->status;
  }

 public:
  void ServiceRequests_UpstreamBackingOff_GoElsewhere() {
    this->CheckRequests("plain", "/safe/x");
  }

  void Streams_UpstreamBackingOff_GoElsewhere() {
    // The ejection after any refusal is shorter than the Retry-After.
    settings.refusalBackoff = 0ms;
    this->CheckRequests("model", "/llm/x");
  }

  void Reports_UpstreamBackingOff_AreNotQueried() {
    ScriptedUpstream& backingOff = this->AddBackingOff("model");
    shouldHoldNext = true;
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 9s,
        [&](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    this->RunUntil([&] { return held != nullptr; });
    this->Ask(this->Attempt("/llm/x"));
    const std::size_t before = backingOff.seen.size();
    this->RunFor(2s);
    CPPUNIT_ASSERT(backingOff.seen.size() - before < kMaxCalls);
    held->Abort();
    this->RunUntil([&] { return answer.has_value(); });
  }

  void Upstream_AfterBackoff_IsUsedAsBefore() {
    this->AddBackingOff("plain");
    CPPUNIT_ASSERT_EQUAL(503, this->StatusAfterBackoff("0.4"));
    this->RunFor(500ms);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("/safe/x"))->status);
  }

  void Upstream_ShorterRetryAfterLater_KeepsLongerBackoff() {
    const UpstreamPtr one = std::make_shared<LiveUpstream>(UpstreamEntry{});
    const Instant now = clock.Now();
    limits.OnNotice(one, {{}, 3s}, now);
    limits.OnNotice(one, {{}, 1s}, now);
    CPPUNIT_ASSERT(!one->MayCall(now + 2s));
    CPPUNIT_ASSERT(one->MayCall(clock.Now() + 3s));
  }

  void Requests_AllUpstreamsBackingOff_AreRefusedWithTimeLeft() {
    const ScriptedUpstream& backingOff = this->AddBackingOff("plain");
    // Callers honour a Retry-After up to a third of the route's timeout of 2 s.
    retryAfter = "0.5";
    const Instant begin = clock.Now();
    this->Ask(this->Attempt("/safe/x"));
    const auto answer = this->Ask(this->Attempt("/safe/x"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    const double after =
        std::stod(std::string(FindHeader(answer->headers, "Retry-After")));
    CPPUNIT_ASSERT(after >= 0.5 - ToSeconds(clock.Now() - begin));
    CPPUNIT_ASSERT(after <= 0.75);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backingOff.seen.size());
  }

  void RetryAfter_NotANumberOfSeconds_IsIgnored() {
    this->AddBackingOff("plain");
    for (const char* text :
         {"-3", "soon", "3s", "Thu, 03 Dec 2026 08:00:00 GMT", "nan", "inf",
          "0"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 200, this->StatusAfterBackoff(text));
    }
  }

  // Guards against a stalled stream on an upstream that stops while it backs
  // off. It can't be probed then, and its connections stay open, so the stream
  // stalled until the caller's deadline.
  void Stream_UpstreamBacksOffAndStops_ResumesElsewhere() {
    ConnectionPtr begun;
    ScriptedUpstream& stopped =
        this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
          if (begun) {
            return;
          }
          begun = aTo;
          aTo->BeginChunks(200, SealedHeaders(aMessage));
          aTo->AppendChunk("id: 1\ndata: a\n\n");
          // Before the event is read, so that no probe is sent in between.
          const auto& all = view.Directory().OfService("model");
          limits.OnNotice(all.front(), {{}, 8s}, clock.Now());
        });
    settings.retries.burst = 10;
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
    // No call other than the stream itself.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stopped.seen.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRestTest);

}  // namespace
}  // namespace zincstep
