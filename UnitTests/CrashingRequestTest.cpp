// One request crashed each upstream that began to run it. Its caller got a 502,
// came again with a new id at any daemon, and the next upstream went down with
// up to 82 streams: 20 upstreams in 13 s, twice in one day. Every bound held,
// because each of them counts within one attempt or for a whole service;
// nothing remembered that upstreams had ended under this request.
//
//   "run_lost", "has_events": false, "reason": "the stream broke off"
//   "retry_denied", "saved": 0.64, "most": 19.8
//
// A run that breaks off without an event is no proof by itself: on a day
// without such requests 11 others lost three runs in a row on upstreams that
// lived. Of 25 upstreams that ended, 21 had one to four streams without an
// event; the rest of what they ran had got some.

#include <set>

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class CrashingRequestTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(CrashingRequestTest);
  CPPUNIT_TEST(Stream_ThatCrashesUpstreams_IsRefusedAsNotRunAfterThree);
  CPPUNIT_TEST(Service_ThatCrashesUpstreams_IsRefusedAsNotRunAfterThree);
  CPPUNIT_TEST(Stream_LostBesideOneThatCrashes_IsServedEachTime);
  CPPUNIT_TEST(Stream_OnUpstreamsThatResetAndLive_IsTriedAgain);
  CPPUNIT_TEST(Stream_ThatCrashesUpstreamsBehindAProxy_IsRefusedAfterThree);
  CPPUNIT_TEST(Service_WhoseUpstreamIsSucceeded_IsBlamedForItsEnd);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kUpstreams = 12;
  static constexpr int kAttempts = 8;
  /// Three that prove it, and one that was sent before the third was proven.
  static constexpr int kMostCrashes = 4;
  static constexpr const char* kReport =
      R"({"layers":{"from":0,"targetVersion":2},"running":1,"queued":0,)"
      R"("kvUsed":10,"kvTotal":1000,"stalled":[]})";

  int crashes = 0;
  /// The next request with "held" in its body is not answered.
  bool holdsNext = false;
  /// Where one waits until whatever crashes takes its upstream along.
  ConnectionPtr held;
  std::size_t heldAt = 0;
  /// A proxy accepts connections for upstreams that have ended, and resets them
  /// once a request comes.
  bool hasProxy = false;
  std::set<std::size_t> endedBehindProxy;

  /// A request to be answered; "bad" in its body crashes whoever runs it.
  std::string Attempt(const std::string& aPath, const std::string& aBody) {
    attempts += 1;
    return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r" +
           std::to_string(attempts) +
           "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n"
           "Content-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static void AnswerWhole(const ConnectionPtr& aTo,
                          const CallerMessage& aMessage) {
    if (!aMessage.head.target.starts_with("/llm/")) {
      aTo->Answer(200, SealedHeaders(aMessage), "ok");
      return;
    }
    aTo->BeginChunks(200, SealedHeaders(aMessage));
    aTo->AppendChunk("id: 1\ndata: a\n\n");
    aTo->EndChunks();
  }

  void Crash(std::size_t aUpstream, const ConnectionPtr& aTo) {
    crashes += 1;
    std::vector<std::size_t> ended{aUpstream};
    aTo->Abort();
    if (hasProxy) {
      endedBehindProxy.insert(aUpstream);
      return;
    }
    if (held) {
      held->Abort();
      held.reset();
      ended.push_back(heldAt);
    }
    asio::post(loop, [this, ended] {
      for (const std::size_t one : ended) {
        upstreams[one]->Close();
      }
    });
  }

  void AddUpstreams(const std::string& aService) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      this->AddUpstream(
          aService, [this, i](const auto& aTo, const auto& aMessage) {
            if (endedBehindProxy.contains(i)) {
              aTo->Abort();
            } else if (aMessage.head.target == "/report") {
              aTo->Answer(200, {}, kReport);
            } else if (aMessage.body.starts_with("bad")) {
              this->Crash(i, aTo);
            } else if (aMessage.body.starts_with("held") && holdsNext) {
              holdsNext = false;
              held = aTo;
              heldAt = i;
            } else {
              AnswerWhole(aTo, aMessage);
            }
          });
    }
  }

  /// Time in which an upstream's end is proven.
  void Settle() {
    const Instant end = clock.Now() + 300ms;
    this->RunUntil([&] { return clock.Now() >= end; });
  }

  void CheckRefusedAfterThree(const std::string& aPath) {
    for (int i = 0; i < kAttempts; ++i) {
      this->Ask(this->Attempt(aPath, "bad"));
      this->Settle();
    }
    const auto answer = this->Ask(this->Attempt(aPath, "bad"));
    CPPUNIT_ASSERT(crashes >= 3);
    CPPUNIT_ASSERT(crashes <= kMostCrashes);
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
    CPPUNIT_ASSERT(FindHeader(answer->headers, "X-Response-Seal").empty());
    // Others with the same route and organisation are served.
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath, "good"))->status);
  }

 public:
  void Stream_ThatCrashesUpstreams_IsRefusedAsNotRunAfterThree() {
    this->AddUpstreams("model");
    this->CheckRefusedAfterThree("/llm/x");
  }

  void Service_ThatCrashesUpstreams_IsRefusedAsNotRunAfterThree() {
    this->AddUpstreams("plain");
    this->CheckRefusedAfterThree("/unsafe/x");
  }

  void Stream_LostBesideOneThatCrashes_IsServedEachTime() {
    this->AddUpstreams("model");
    settings.retries.capacity = 100;
    for (int i = 0; i < kMostCrashes; ++i) {
      holdsNext = true;
      std::optional<Result<HttpResponse>> answer;
      FetchResponse(
          loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
          this->Attempt("/llm/x", "held"), 10s,
          [&](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
      this->RunUntil([&] { return answer || held; });
      // Whichever upstream crashes now takes the other's with it.
      this->Ask(this->Attempt("/llm/x", "bad"));
      this->RunUntil([&] { return answer.has_value(); });
      CPPUNIT_ASSERT_EQUAL(200, (*answer)->status);
      this->Settle();
    }
    CPPUNIT_ASSERT_EQUAL(200,
                         this->Ask(this->Attempt("/llm/x", "held"))->status);
  }

  // Each accepted connection was taken for life, and no end was counted.
  void Stream_ThatCrashesUpstreamsBehindAProxy_IsRefusedAfterThree() {
    hasProxy = true;
    this->AddUpstreams("model");
    this->CheckRefusedAfterThree("/llm/x");
  }

  // The successor's refusal was taken for a sign of life of the one that ended.
  void Service_WhoseUpstreamIsSucceeded_IsBlamedForItsEnd() {
    bool hasEnded = false;
    this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
      if (!hasEnded) {
        hasEnded = true;
        aTo->Abort();
        return;
      }
      HttpHeaders headers = SealedHeaders(aMessage);
      headers.push_back({"X-Instance-Id", "successor"});
      aTo->Answer(421, headers, "");
    });
    this->Ask(this->Attempt("/unsafe/x", "bad"));
    // By then its connection has been watched, and nothing is known.
    this->RunFor(150ms);
    this->Ask(this->Attempt("/unsafe/x", "good"));
    this->RunFor(1s);
    CPPUNIT_ASSERT(!RelayFixture::crashes.IsEmpty());
  }

  void Stream_OnUpstreamsThatResetAndLive_IsTriedAgain() {
    int resets = 0;
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
        if (aMessage.head.target == "/report") {
          aTo->Answer(200, {}, kReport);
        } else if (resets < 2 * kMostCrashes) {
          resets += 1;
          aTo->Abort();
        } else {
          AnswerWhole(aTo, aMessage);
        }
      });
    }
    for (int i = 0; i < 3 * kMostCrashes; ++i) {
      this->Ask(this->Attempt("/llm/x", "good"));
      this->Settle();
    }
    CPPUNIT_ASSERT_EQUAL(200,
                         this->Ask(this->Attempt("/llm/x", "good"))->status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

}  // namespace
}  // namespace zincstep
