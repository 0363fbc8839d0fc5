// Guards against sending requests to an upstream whose responses say that it is
// leaving while its entry still says ready: it got new requests until the entry
// changed.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class UpstreamLeavingTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(UpstreamLeavingTest);
  CPPUNIT_TEST(ServiceRequests_AfterLeavingResponse_GoElsewhere);
  CPPUNIT_TEST(Streams_AfterLeavingResponse_GoElsewhere);
  CPPUNIT_TEST(Upstream_EntryUpdatedAsReady_StaysLeaving);
  CPPUNIT_TEST(Upstream_RespondsNotLeaving_IsUsed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kRequests = 20;

  std::string leaving = "1";

  /// Sends a complete response; `aLeaving` is the header value, empty for none.
  static void SendResponse(const ConnectionPtr& aTo,
                           const CallerMessage& aMessage,
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
                               SendResponse(aTo, aMessage, leaving);
                             });
  }

  /// Sends one request to the leaving upstream, then more beside a healthy one.
  void CheckRequests(const std::string& aService, const std::string& aPath) {
    const ScriptedUpstream& leavingUpstream = this->AddLeaving(aService);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath))->status);
    this->AddSound(aService);
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Attempt(aPath))->status);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leavingUpstream.seen.size());
  }

 public:
  void ServiceRequests_AfterLeavingResponse_GoElsewhere() {
    this->CheckRequests("plain", "/safe/x");
  }

  void Streams_AfterLeavingResponse_GoElsewhere() {
    this->CheckRequests("model", "/llm/x");
  }

  void Upstream_EntryUpdatedAsReady_StaysLeaving() {
    const ScriptedUpstream& leavingUpstream = this->AddLeaving("plain");
    this->Ask(this->Attempt("/safe/x"));
    const std::uint64_t revision = view.Revisions().upstreams.number;
    view.OnUpstreamEvents(
        {{{{"i" + std::to_string(revision),
            R"({"backend":"plain","address":")" + leavingUpstream.Address() +
                R"(","zone":"","state":"ready","slots":8})",
            revision + 1},
           false}},
         revision + 1});
    CPPUNIT_ASSERT_EQUAL(503, this->Ask(this->Attempt("/safe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leavingUpstream.seen.size());
  }

  void Upstream_RespondsNotLeaving_IsUsed() {
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
