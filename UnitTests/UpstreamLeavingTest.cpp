// An upstream said in its answers that it leaves, while its entry still said
// that it is ready; it got new requests until the entry changed.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class UpstreamLeavingTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(UpstreamLeavingTest);
  CPPUNIT_TEST(ServiceRequests_AfterAnAnswerThatSaysLeaving_GoElsewhere);
  CPPUNIT_TEST(Streams_AfterAnAnswerThatSaysLeaving_GoElsewhere);
  CPPUNIT_TEST(Upstream_WhoseEntryComesAgainAsReady_StaysLeaving);
  CPPUNIT_TEST(Upstream_ThatSaysItDoesNotLeave_IsUsed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kRequests = 20;

  std::string leaving = "1";

  /// Writes the whole answer to a request; `aLeaving` may be empty.
  static void Serve(const ConnectionPtr& aTo, const CallerMessage& aMessage,
                    const std::string& aLeaving) {
    HttpHeaders headers = SealedHeaders(aMessage);
    if (!aLeaving.empty()) {
      headers.push_back({"Server-Leaving", aLeaving});
    }
    AnswerWhole(aTo, aMessage, headers);
  }

  ScriptedUpstream& AddLeaving(const std::string& aService) {
    return this->AddUpstream(aService,
                             [this](const auto& aTo, const auto& aMessage) {
                               Serve(aTo, aMessage, leaving);
                             });
  }

  /// Sends requests until the upstream has got one, and some more.
  void CheckRequests(const std::string& aService, const std::string& aPath) {
    const ScriptedUpstream& one = this->AddLeaving(aService);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath))->status);
    this->AddSound(aService);
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath))->status);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.seen.size());
  }

 public:
  void ServiceRequests_AfterAnAnswerThatSaysLeaving_GoElsewhere() {
    this->CheckRequests("plain", "/safe/x");
  }

  void Streams_AfterAnAnswerThatSaysLeaving_GoElsewhere() {
    this->CheckRequests("model", "/llm/x");
  }

  void Upstream_WhoseEntryComesAgainAsReady_StaysLeaving() {
    const ScriptedUpstream& one = this->AddLeaving("plain");
    this->Ask(this->Attempt("/safe/x"));
    const std::uint64_t revision = view.Revisions().upstreams.number;
    view.OnUpstreamEvents(
        {{{{"i" + std::to_string(revision),
            R"({"backend":"plain","address":")" + one.Address() +
                R"(","zone":"","state":"ready","slots":8})",
            revision + 1},
           false}},
         revision + 1});
    CPPUNIT_ASSERT_EQUAL(503, this->Ask(this->Attempt("/safe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.seen.size());
  }

  void Upstream_ThatSaysItDoesNotLeave_IsUsed() {
    for (const char* text : {"0", "no", ""}) {
      leaving = text;
      this->AddLeaving("plain");
      this->Ask(this->Attempt("/safe/x"));
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt("/safe/x"))->status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLeavingTest);

}  // namespace
}  // namespace zincstep
