// Guards against streams that stay silent until their callers leave: a run was
// kept as if its upstreams were only silent, although a member had given up its
// layers, and held memory that a run of any stream could have used.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

constexpr const char* kHead = "id: 1\ndata: a\n\n";
constexpr const char* kRest = "id: 2\ndata: b\n\n";

class StrandedStreamTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(StrandedStreamTest);
  CPPUNIT_TEST(Member_GivesUpLayersWithoutOtherChain_RunEnds);
  CPPUNIT_TEST(Member_GivesUpLayersWithoutRetry_RunEnds);
  CPPUNIT_TEST(Member_GivesUpLayersWithoutAttempt_RunIsKept);
  CPPUNIT_TEST(Member_GivesUpLayersWhileEventsArrive_RunIsKept);
  CPPUNIT_TEST_SUITE_END();

  ConnectionPtr stream;
  std::optional<Result<HttpResponse>> answer;

  /// Sends the events of a stream, or those behind the last one that the caller
  /// has.
  static void Complete(const ConnectionPtr& aTo,
                       const CallerMessage& aMessage) {
    const bool isResumed =
        !FindHeader(aMessage.head.headers, "Last-Event-Id").empty();
    aTo->BeginChunks(200, SealedHeaders(aMessage));
    aTo->AppendChunk(isResumed ? kRest : std::string(kHead) + kRest);
    aTo->EndChunks();
  }

  /// Adds a first upstream that falls silent in the middle of its first stream
  /// and completes later ones, and a second member.
  ScriptedUpstream& AddChain() {
    ScriptedUpstream& first = this->AddUpstream(
        "model",
        [this](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          if (!aMessage.head.target.starts_with("/llm/")) {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
            return;
          }
          if (this->stream) {
            Complete(aTo, aMessage);
            return;
          }
          aTo->BeginChunks(200, SealedHeaders(aMessage));
          aTo->AppendChunk(kHead);
          this->stream = aTo;
        },
        {0, 1});
    this->AddUpstream(
        "model",
        [](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        },
        {1, 2});
    return first;
  }

  /// Adds an upstream of all layers that completes streams.
  void AddCompleting() {
    this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
      if (!aMessage.head.target.starts_with("/llm/")) {
        AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        return;
      }
      Complete(aTo, aMessage);
    });
  }

  void Start() {
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 10s,
        [this](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    this->RunUntil([&] { return stream != nullptr; });
    this->RunFor(30ms);
  }

  /// Lists the second member without its layers.
  void GiveUpLayers() {
    const std::uint64_t revision = view.Revisions().upstreams.number + 1;
    const std::string address = this->upstreams.at(1)->Address();
    const std::string id =
        view.Directory().OfService("model").at(1)->Entry().id;
    view.OnUpstreamEvents(
        {{{{id,
            R"({"backend":"model","address":")" + address +
                R"(","zone":"","state":"ready","slots":4,"routeType":"k",)"
                R"("layers":{"from":0,"targetVersion":0}})",
            revision},
           false}},
         revision});
  }

  void CheckWhole() {
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
  }

 public:
  void tearDown() override { stream.reset(); }

  void Member_GivesUpLayersWithoutOtherChain_RunEnds() {
    ScriptedUpstream& first = this->AddChain();
    this->Start();
    this->GiveUpLayers();
    this->RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(1, first.disconnects);
    CPPUNIT_ASSERT(!answer.has_value());
    this->AddCompleting();
    this->CheckWhole();
  }

  void Member_GivesUpLayersWithoutRetry_RunEnds() {
    RetryWindowSettings spent;
    spent.burst = 0.5;
    spent.perRequest = 0;
    retryWindows.emplace("model", spent);
    ScriptedUpstream& first = this->AddChain();
    this->Start();
    this->GiveUpLayers();
    this->RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(1, first.disconnects);
    this->AddCompleting();
    this->RunFor(300ms);
    CPPUNIT_ASSERT(!answer.has_value());
    retryWindows.at("model").SetBurst(2);
    this->CheckWhole();
  }

  // Nothing else could continue the stream.
  void Member_GivesUpLayersWithoutAttempt_RunIsKept() {
    std::string config = kRelayConfig;
    config.replace(config.find("\"configVersion\":1"), 17,
                   "\"configVersion\":2");
    config.replace(config.find("\"maxAttempts\":2,\"backend\":\"model\""), 15,
                   "\"maxAttempts\":1");
    view.OnConfiguration({"", config, 20});
    view.OnValidated({20}, clock.Now());
    ScriptedUpstream& first = this->AddChain();
    this->Start();
    this->GiveUpLayers();
    this->RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(0, first.disconnects);
    this->stream->AppendChunk(kRest);
    this->stream->EndChunks();
    this->CheckWhole();
  }

  // A member that releases its layers still serves the requests that it runs.
  void Member_GivesUpLayersWhileEventsArrive_RunIsKept() {
    ScriptedUpstream& first = this->AddChain();
    this->Start();
    this->GiveUpLayers();
    this->RunFor(200ms);
    CPPUNIT_ASSERT_EQUAL(0, first.disconnects);
    this->stream->AppendChunk(kRest);
    this->stream->EndChunks();
    this->CheckWhole();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrandedStreamTest);

}  // namespace
}  // namespace zincstep
