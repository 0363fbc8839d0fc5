// Guards against streams that end in silence without a trace of what they
// waited for: the log and the metrics could not tell a missing chain from a
// denied retry or a run that was kept.

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class SilentEndTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(SilentEndTest);
  CPPUNIT_TEST(Caller_LeavesKeptRun_CauseIsRun);
  CPPUNIT_TEST(Caller_LeavesWithoutChain_CauseIsChain);
  CPPUNIT_TEST(Caller_LeavesWithoutRetry_CauseIsRetry);
  CPPUNIT_TEST(Caller_LeavesWithoutAttempt_CauseIsAttempt);
  CPPUNIT_TEST(Caller_LeavesNewRunBeforeItsEvents_CauseIsReading);
  CPPUNIT_TEST(Caller_LeavesBeforeSilence_NoCauseIsGiven);
  CPPUNIT_TEST(Name_OfEachCause_IsUnique);
  CPPUNIT_TEST_SUITE_END();

  std::ostringstream log;
  int streams = 0;

  /// Adds a first upstream whose streams begin, and a second member.
  void AddChain() {
    this->AddUpstream(
        "model",
        [this](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          if (!aMessage.head.target.starts_with("/llm/")) {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
            return;
          }
          aTo->BeginChunks(200, SealedHeaders(aMessage));
          aTo->AppendChunk("id: 1\ndata: a\n\n");
          this->streams += 1;
        },
        {0, 1});
    this->AddUpstream(
        "model",
        [](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        },
        {1, 2});
  }

  /// Adds an upstream of all layers that accepts streams and sends nothing.
  ScriptedUpstream& AddReading() {
    return this->AddUpstream(
        "model", [](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          if (!aMessage.head.target.starts_with("/llm/")) {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
            return;
          }
          aTo->BeginChunks(200, SealedHeaders(aMessage));
        });
  }

  /// Lists the second member without its layers.
  void GiveUpLayers() {
    const std::uint64_t revision = view.Revisions().upstreams.number + 1;
    const std::string id =
        view.Directory().OfService("model").at(1)->Entry().id;
    view.OnUpstreamEvents(
        {{{{id,
            R"({"backend":"model","address":")" + upstreams.at(1)->Address() +
                R"(","zone":"","state":"ready","slots":4,"routeType":"k",)"
                R"("layers":{"from":0,"targetVersion":0}})",
            revision},
           false}},
         revision});
  }

  /// Has the stream lose its chain, so that it waits for another.
  void Strand() {
    this->GiveUpLayers();
    this->RunUntil([this] { return upstreams.at(0)->disconnects > 0; });
  }

  /// Begins a stream, calls `aThen` and closes the caller's connection a second
  /// later.
  void LeaveAfter(const std::function<void()>& aThen) {
    TcpSocket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Attempt("/llm/x")));
    this->RunUntil([&] { return streams > 0; });
    this->RunFor(30ms);
    aThen();
    this->RunFor(1s);
    caller.close();
    this->RunUntil([&] { return relay->Active() == 0; });
  }

  /// Value of a field of the line of the stream's end, as written.
  std::string Field(const std::string& aName) const {
    const std::string text = log.str();
    const std::size_t event = text.find("\"request_ended\"");
    CPPUNIT_ASSERT_MESSAGE(text, event != std::string::npos);
    const std::string key = "\"" + aName + "\":";
    const std::size_t at = text.find(key, text.rfind('\n', event) + 1);
    CPPUNIT_ASSERT_MESSAGE(text, at != std::string::npos);
    const std::size_t begin = at + key.size();
    return text.substr(begin, text.find_first_of(",}", begin) - begin);
  }

  void CheckEnd(WaitCause aCause, SearchOutcome aSearch) const {
    const std::string cause(NameIn(kWaitCauseNames, aCause));
    const std::string search(NameIn(kSearchOutcomeNames, aSearch));
    CPPUNIT_ASSERT_EQUAL("\"" + cause + "\"", this->Field("wait_cause"));
    CPPUNIT_ASSERT_EQUAL("\"" + search + "\"", this->Field("last_search"));
    CPPUNIT_ASSERT_EQUAL(std::string("\"caller_gone\""),
                         this->Field("outcome"));
    CPPUNIT_ASSERT_EQUAL(
        1.0, metrics.CounterValue("zincstep_silent_stream_ends_total",
                                  {{"cause", cause}, {"search", search}}));
  }

 public:
  void setUp() override {
    RelayFixture::setUp();
    spdlog::default_logger()->sinks().push_back(
        std::make_shared<spdlog::sinks::ostream_sink_mt>(log));
  }
  void tearDown() override { spdlog::default_logger()->sinks().pop_back(); }

  void Caller_LeavesKeptRun_CauseIsRun() {
    this->AddChain();
    this->LeaveAfter([] {});
    this->CheckEnd(WaitCause::Run, SearchOutcome::None);
    CPPUNIT_ASSERT_EQUAL(std::string("-1"), this->Field("chain_found_ms"));
  }

  void Caller_LeavesWithoutChain_CauseIsChain() {
    this->AddChain();
    this->LeaveAfter([this] { this->GiveUpLayers(); });
    this->CheckEnd(WaitCause::Chain, SearchOutcome::NotFound);
    CPPUNIT_ASSERT_EQUAL(std::string("-1"), this->Field("chain_found_ms"));
  }

  void Caller_LeavesWithoutRetry_CauseIsRetry() {
    RetryWindowSettings spent;
    spent.burst = 0.5;
    spent.perRequest = 0;
    retryWindows.emplace("model", spent);
    this->AddChain();
    this->LeaveAfter([this] {
      this->Strand();
      this->AddReading();
    });
    this->CheckEnd(WaitCause::Retry, SearchOutcome::Found);
    CPPUNIT_ASSERT(this->Field("chain_found_ms") != "-1");
  }

  void Caller_LeavesWithoutAttempt_CauseIsAttempt() {
    std::string config = kRelayConfig;
    config.replace(config.find("\"configVersion\":1"), 17,
                   "\"configVersion\":2");
    config.replace(config.find("\"maxAttempts\":2,\"backend\":\"model\""), 15,
                   "\"maxAttempts\":1");
    view.OnConfiguration({"", config, 20});
    view.OnValidated({20}, clock.Now());
    this->AddChain();
    this->LeaveAfter([this] { this->GiveUpLayers(); });
    CPPUNIT_ASSERT_EQUAL(std::string("\"attempt\""), this->Field("wait_cause"));
  }

  // A chain was found in time, and its members did not read in time.
  void Caller_LeavesNewRunBeforeItsEvents_CauseIsReading() {
    this->AddChain();
    ScriptedUpstream* reading = nullptr;
    this->LeaveAfter([&] {
      this->Strand();
      reading = &this->AddReading();
    });
    CPPUNIT_ASSERT(!reading->seen.empty());
    this->CheckEnd(WaitCause::Reading, SearchOutcome::Found);
  }

  void Caller_LeavesBeforeSilence_NoCauseIsGiven() {
    settings.eventTimeout = 60s;
    this->AddChain();
    this->LeaveAfter([] {});
    CPPUNIT_ASSERT_EQUAL(std::string("\"\""), this->Field("wait_cause"));
    CPPUNIT_ASSERT_EQUAL(std::string("\"\""), this->Field("last_search"));
    CPPUNIT_ASSERT(metrics.Text().find("zincstep_silent_stream_ends_total") ==
                   std::string::npos);
  }

  // A table with a missing row yields `unknown` for that cause.
  void Name_OfEachCause_IsUnique() {
    for (std::size_t i = 0; i < kWaitCauseNames.size(); ++i) {
      const auto cause = static_cast<WaitCause>(i);
      const std::string_view name = NameIn(kWaitCauseNames, cause);
      CPPUNIT_ASSERT(name != "unknown");
      CPPUNIT_ASSERT(ValueIn(kWaitCauseNames, name) == cause);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentEndTest);

}  // namespace
}  // namespace zincstep
