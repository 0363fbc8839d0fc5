// Guards against requests that share one part of their prompts, no two alike,
// and crash each upstream that starts to answer them: 49 upstreams in a run of
// which each had crashed under at most three attempts of one request.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class CrashingPartTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(CrashingPartTest);
  CPPUNIT_TEST(Requests_SharingCrashingPart_AreRefusedAsNotRunAfterThree);
  CPPUNIT_TEST(Request_SharingOtherParts_IsServed);
  CPPUNIT_TEST(Request_WithCrashingPartAsItsOwn_IsServed);
  CPPUNIT_TEST(Request_LostBesideCrashingPart_IsServed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kUpstreams = 12;
  static constexpr int kAttempts = 8;
  /// Three that block the part, and one sent before the third was detected.
  static constexpr int kMaxCrashes = 4;
  static constexpr const char* kReport =
      R"({"layers":{"from":0,"targetVersion":2},"running":1,"queued":0,)"
      R"("kvUsed":10,"kvTotal":1000,"stalled":[]})";

  int crashCount = 0;

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

  void Crash(std::size_t aUpstream, const ConnectionPtr& aTo) {
    crashCount += 1;
    aTo->Abort();
    asio::post(loop, [this, aUpstream] { upstreams[aUpstream]->Close(); });
  }

  /// Adds upstreams that crash under requests with the part "bad" before their
  /// last one.
  void AddUpstreams() {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      this->AddUpstream(
          "model", [this, i](const auto& aTo, const auto& aMessage) {
            const std::string_view parts =
                FindHeader(aMessage.head.headers, "X-Prompt-Prefix");
            if (aMessage.head.target == "/report") {
              aTo->Answer(200, {}, kReport);
            } else if (parts.find("bad:40,") != std::string_view::npos) {
              this->Crash(i, aTo);
            } else {
              aTo->BeginChunks(200, SealedHeaders(aMessage));
              aTo->AppendChunk("id: 1\ndata: a\n\n");
              aTo->EndChunks();
            }
          });
    }
  }

  /// Sends requests with the crashing part, each of which may run twice.
  void SendCrashing() {
    for (int i = 0; i < kAttempts; ++i) {
      this->Ask(this->Attempt("a1:40,bad:40"));
      // The time in which a crash is detected.
      this->RunFor(300ms);
    }
  }

 public:
  void Requests_SharingCrashingPart_AreRefusedAsNotRunAfterThree() {
    this->AddUpstreams();
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("a1:40"))->status);
    this->SendCrashing();
    CPPUNIT_ASSERT(crashCount >= 3);
    CPPUNIT_ASSERT(crashCount <= kMaxCrashes);
    const auto answer = this->Ask(this->Attempt("b2:40,bad:40"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("request_blocked"), answer->body);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
  }

  void Request_SharingOtherParts_IsServed() {
    this->AddUpstreams();
    this->SendCrashing();
    CPPUNIT_ASSERT(crashCount <= kMaxCrashes);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("a1:40"))->status);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("a1:40,b2:40"))->status);
  }

  void Request_WithCrashingPartAsItsOwn_IsServed() {
    this->AddUpstreams();
    this->SendCrashing();
    CPPUNIT_ASSERT(crashCount <= kMaxCrashes);
    std::string request = this->Attempt("a1:40");
    const std::string own = ",e" + std::to_string(attempts) + ":700";
    request.replace(request.find(own), own.size(), ",bad:700");
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(request)->status);
  }

  void Request_LostBesideCrashingPart_IsServed() {
    this->AddUpstreams();
    for (int i = 0; i < kAttempts; ++i) {
      this->Ask(this->Attempt("c" + std::to_string(i) + ":40,bad:40"));
      this->RunFor(300ms);
    }
    CPPUNIT_ASSERT(crashCount <= kMaxCrashes);
    for (int i = 0; i < kAttempts; ++i) {
      const std::string parts = "c" + std::to_string(i) + ":40";
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(parts))->status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartTest);

}  // namespace
}  // namespace zincstep
