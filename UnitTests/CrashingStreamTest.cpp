// Guards against requests that deliver events before they crash their upstream:
// such runs counted against nobody, and one part crashed upstream after
// upstream.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class CrashingStreamTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(CrashingStreamTest);
  CPPUNIT_TEST(Requests_CrashingAfterOneEvent_AreBlocked);
  CPPUNIT_TEST(Requests_CrashingAfterManyEvents_AreBlocked);
  CPPUNIT_TEST(Requests_CrashingLate_AreBlocked);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kUpstreams = 24;
  static constexpr int kAttempts = 20;
  /// The operators' bound: requests that may reach upstreams later than
  /// `kDetectionTime` after the fifth crash.
  static constexpr std::size_t kCrashes = 5;
  static constexpr int kMaxLateSends = 3;
  static constexpr Micros kDetectionTime = 3s;

  std::size_t crashCount = 0;
  std::array<bool, kUpstreams> hasCrashed{};
  int sends = 0;
  asio::steady_timer timer{loop};

  /// A request with a body of its own and these parts before its last one.
  std::string Attempt(const std::string& aParts) {
    attempts += 1;
    const std::string own = std::to_string(attempts);
    return "POST /llm/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r" + own +
           "\r\nX-Prompt-Prefix: " + aParts + ",e" + own +
           ":700\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n"
           "Content-Length: " +
           std::to_string(own.size()) + "\r\n\r\n" + own;
  }

  /// Adds upstreams that crash under requests with the part "bad", `aDelay`
  /// after they have sent `aEvents`.
  void AddUpstreams(int aEvents, Micros aDelay) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      this->AddUpstream("model", [=, this](const auto& aTo,
                                           const auto& aMessage) {
        if (hasCrashed[i]) {
          aTo->Abort();  // It is closed in the next turn of the loop.
          return;
        }
        const std::string_view parts =
            FindHeader(aMessage.head.headers, "X-Prompt-Prefix");
        const bool isBad = parts.find("bad:40,") != std::string_view::npos;
        if (aMessage.head.target == "/report" || !isBad) {
          AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
          return;
        }
        sends += 1;
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        const std::string last(
            FindHeader(aMessage.head.headers, "Last-Event-Id"));
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        for (int event = first; event < first + aEvents; ++event) {
          aTo->AppendChunk("id: " + std::to_string(event) + "\ndata: a\n\n");
        }
        timer.expires_after(aDelay);
        timer.async_wait([this, i, aTo](const asio::error_code&) {
          crashCount += 1;
          hasCrashed[i] = true;
          aTo->CloseWhenSent();
          asio::post(loop, [this, i] { upstreams[i]->Close(); });
        });
      });
    }
  }

  /// Sends sound requests and ones with the part, until well after the fifth
  /// crash; checks the operators' bound.
  void Check(int aEvents, Micros aDelay) {
    this->AddUpstreams(aEvents, aDelay);
    for (int i = 0; i < kAttempts && crashCount < kCrashes; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("a1:40"))->status);
      this->Ask(this->Attempt("a1:40,bad:40"));
      // The time in which a crash is detected.
      this->RunFor(300ms);
    }
    clock.Advance(kDetectionTime);
    view.OnValidated({10}, clock.Now());
    sends = 0;
    for (int i = 0; i < kAttempts && sends <= kMaxLateSends; ++i) {
      this->Ask(this->Attempt("b" + std::to_string(i) + ":40,bad:40"));
      this->RunFor(100ms);
    }
    CPPUNIT_ASSERT(sends <= kMaxLateSends);
    const auto answer = this->Ask(this->Attempt("c1:40,bad:40"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("request_blocked"), answer->body);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("a1:40"))->status);
  }

 public:
  void Requests_CrashingAfterOneEvent_AreBlocked() { this->Check(1, 0ms); }

  void Requests_CrashingAfterManyEvents_AreBlocked() { this->Check(200, 70ms); }

  void Requests_CrashingLate_AreBlocked() { this->Check(3, 700ms); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingStreamTest);

}  // namespace
}  // namespace zincstep
