#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// Streams that are resumed behind their last event.
class ResumedBehindEndTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(ResumedBehindEndTest);
  CPPUNIT_TEST(Stream_ResumedWithoutEventsLeft_IsComplete);
  CPPUNIT_TEST(Stream_FirstRunWithoutEvents_IsNoResponse);
  CPPUNIT_TEST_SUITE_END();

  /// Adds an upstream that ends each stream in order, without an event.
  void AddEmpty() {
    this->AddUpstream(
        "model", [](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          if (aMessage.head.target == "/report") {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
            return;
          }
          aTo->BeginChunks(200, SealedHeaders(aMessage));
          aTo->EndChunks();
        });
  }

 public:
  // Guards against taking a run that has nothing left to send for a lost one:
  // another daemon resumes a stream whose end alone was missing.
  void Stream_ResumedWithoutEventsLeft_IsComplete() {
    this->AddEmpty();
    std::string request = this->Attempt("/llm/x");
    request.insert(request.find("Content-Length"), "Last-Event-Id: 4\r\n");
    const auto response = this->Ask(request);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(200, response->status);
    CPPUNIT_ASSERT_EQUAL(std::string(), response->body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstreams[0]->seen.size());
  }

  void Stream_FirstRunWithoutEvents_IsNoResponse() {
    this->AddEmpty();
    const auto response = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT(response->status >= 500);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedBehindEndTest);

}  // namespace
}  // namespace zincstep
