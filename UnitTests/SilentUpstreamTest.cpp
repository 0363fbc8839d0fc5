// Guards against streams that end because their upstream is silent for a while:
// its run was cancelled before another chain was found, and the stream ended
// 2 s later, although the upstream would have continued it.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

constexpr const char* kHead = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* kRest = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";

class SilentUpstreamTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(SilentUpstreamTest);
  CPPUNIT_TEST(FirstUpstream_SilentWithoutOtherChain_StreamIsWhole);
  CPPUNIT_TEST(FirstUpstream_SilentAndNotQueried_StreamIsWhole);
  CPPUNIT_TEST(FirstUpstream_SilentWithoutRetry_StreamIsWhole);
  CPPUNIT_TEST(FirstUpstream_SilentWithoutAttempt_StreamIsWhole);
  CPPUNIT_TEST(FirstUpstream_SilentBesideOtherChain_GetsNewRun);
  CPPUNIT_TEST(LaterMember_SilentWithoutOtherChain_StreamIsWhole);
  CPPUNIT_TEST(FirstUpstream_SilentAndPeersCutOff_StreamIsWhole);
  CPPUNIT_TEST(FirstUpstream_SilentBesideReachingPeer_IsHandedOver);
  CPPUNIT_TEST(RunLost_NoChainForSeconds_IsResumed);
  CPPUNIT_TEST(RunLost_UpstreamEnded_SilentRunIsNotKept);
  CPPUNIT_TEST(RunLost_UpstreamEndedWithoutChain_TakesNoRetry);
  CPPUNIT_TEST(SilentRun_DaemonExits_Ends);
  CPPUNIT_TEST(SilentRun_DeadlineReached_Ends);
  CPPUNIT_TEST(WaitingStream_DaemonExits_Ends);
  CPPUNIT_TEST(WaitingStream_DeadlineReached_Ends);
  CPPUNIT_TEST(WaitingStream_CallerCloses_Ends);
  CPPUNIT_TEST(WaitingStream_RequestIsBlocked_Ends);
  CPPUNIT_TEST_SUITE_END();

  /// While set, upstreams respond to nothing, like a stopped process.
  bool isSilent = false;
  int runs = 0;
  std::vector<ForwardPeer> peers;
  /// Streams that arrived during the silence.
  std::vector<std::pair<ConnectionPtr, CallerMessage>> held;
  std::vector<std::shared_ptr<asio::steady_timer>> timers;
  std::optional<Result<HttpResponse>> answer;

  void After(Micros aTime, std::function<void()> aThen) {
    timers.push_back(std::make_shared<asio::steady_timer>(loop, aTime));
    timers.back()->async_wait(
        [then = std::move(aThen)](const asio::error_code& aError) {
          if (!aError) {
            then();
          }
        });
  }

  static bool IsStream(const CallerMessage& aMessage) {
    return aMessage.head.target.starts_with("/llm/");
  }

  /// Sends the events that are left of a resumed stream.
  static void Complete(const ConnectionPtr& aTo,
                       const CallerMessage& aMessage) {
    const bool isResumed =
        !FindHeader(aMessage.head.headers, "Last-Event-Id").empty();
    aTo->BeginChunks(200, SealedHeaders(aMessage));
    aTo->AppendChunk(isResumed ? kRest : std::string(kHead) + kRest);
    aTo->EndChunks();
  }

  /// Ends the silence: continues the first stream and serves what has arrived.
  void GoOn(const ConnectionPtr& aTo) {
    this->isSilent = false;
    if (!aTo->IsClosed()) {
      aTo->AppendChunk(kRest);
      aTo->EndChunks();
    }
    for (const auto& [connection, message] : std::exchange(this->held, {})) {
      if (!connection->IsClosed()) {
        this->Complete(connection, message);
      }
    }
  }

  /// Adds an upstream that is silent in the middle of its first stream.
  ScriptedUpstream& AddPausing(Micros aSilence, LayerRange aLayers = {0, 2}) {
    return this->AddUpstream(
        "model",
        [this, aSilence](const ConnectionPtr& aTo,
                         const CallerMessage& aMessage) {
          if (!this->IsStream(aMessage)) {
            if (!this->isSilent) {
              AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
            }
            return;
          }
          this->runs += 1;
          if (this->runs > 1) {
            if (this->isSilent) {
              this->held.emplace_back(aTo, aMessage);
            } else {
              this->Complete(aTo, aMessage);
            }
            return;
          }
          aTo->BeginChunks(200, SealedHeaders(aMessage));
          aTo->AppendChunk(kHead);
          this->isSilent = true;
          this->After(aSilence, [this, aTo] { this->GoOn(aTo); });
        },
        aLayers);
  }

  /// Adds a member that is silent while `isSilent`.
  void AddMember(LayerRange aLayers) {
    this->AddUpstream(
        "model",
        [this](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          if (!this->isSilent) {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
          }
        },
        aLayers);
  }

  /// Adds an upstream that completes streams.
  void AddCompleting() {
    this->AddUpstream("model", [this](const auto& aTo, const auto& aMessage) {
      if (!this->IsStream(aMessage)) {
        AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        return;
      }
      this->runs += 1;
      this->Complete(aTo, aMessage);
    });
  }

  /// Adds another daemon, which resumes streams or has no path to upstreams.
  ScriptedUpstream& AddPeer(bool aReaches) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
        loop, clock,
        [this, aReaches](const ConnectionPtr& aTo,
                         const CallerMessage& aMessage) {
          if (!aReaches) {
            aTo->Answer(503, SealedHeaders(aMessage), "");
            return;
          }
          this->Complete(aTo, aMessage);
        }));
    const std::string name = "peer" + std::to_string(peers.size());
    peers.push_back({name, upstreams.back()->Address(), ""});
    forwards.SetPeers(peers);
    if (!aReaches) {
      forwards.OnReach(name, {{"model", 1}});
    }
    return *upstreams.back();
  }

  /// Adds an upstream that ends in the middle of its first stream, which is
  /// known.
  void AddBreaking() {
    this->AddUpstream("model", [this](const auto& aTo, const auto& aMessage) {
      if (!this->IsStream(aMessage)) {
        aTo->Abort();
        return;
      }
      this->runs += 1;
      aTo->BeginChunks(200, SealedHeaders(aMessage));
      aTo->AppendChunk(kHead);
      this->After(50ms, [this, aTo] {
        aTo->Abort();
        this->Listed(0)->SetEnded(clock.Now());
        this->upstreams[0]->Close();
      });
    });
  }

  UpstreamPtr Listed(std::size_t aNumber) {
    return view.Directory().OfService("model").at(aNumber);
  }

  /// Closes the exchange's accounts: no work, no request is left anywhere.
  void CheckNothingIsLeft() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
    for (const auto& [id, upstream] : view.Directory().All()) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0, upstream->localWork, 1e-6);
      CPPUNIT_ASSERT_EQUAL(0, upstream->firstStage.Local());
    }
  }

  void CheckWhole(int aRuns) {
    const auto response = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(200, response->status);
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, response->body);
    CPPUNIT_ASSERT_EQUAL(aRuns, this->runs);
    this->RunFor(30ms);
    this->CheckNothingIsLeft();
  }

  /// Removes all upstreams, so that the next case starts anew.
  void Reset() {
    for (const auto& [id, upstream] : view.Directory().All()) {
      upstream->EjectUntil(clock.Now() + 60s);
    }
    this->isSilent = false;
    this->runs = 0;
  }

  void Configure(int aMaxAttempts, int aTimeoutMs) {
    std::string config = kRelayConfig;
    config.replace(config.find("\"configVersion\":1"), 17,
                   "\"configVersion\":2");
    config.replace(config.find("\"maxAttempts\":2,\"backend\":\"model\""), 15,
                   "\"maxAttempts\":" + std::to_string(aMaxAttempts));
    config.replace(config.find("\"timeoutMs\":20000"), 17,
                   "\"timeoutMs\":" + std::to_string(aTimeoutMs));
    view.OnConfiguration({"", config, 20});
    view.OnValidated({20}, clock.Now());
  }

  /// Starts a request; `answer` is set when its response has ended.
  void Start() {
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 10s,
        [this](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
  }

  void EndRequests() {
    stop.Begin(clock.Now() - 8s);
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(!answer->has_value());
    this->CheckNothingIsLeft();
  }

  void CheckEndsAtDeadline() {
    const Instant begin = clock.Now();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(!answer->has_value());
    CPPUNIT_ASSERT(clock.Now() - begin >= 2900ms);
    this->RunFor(30ms);
    this->CheckNothingIsLeft();
  }

 public:
  void tearDown() override {
    timers.clear();
    held.clear();
  }

  void FirstUpstream_SilentWithoutOtherChain_StreamIsWhole() {
    for (const Micros silence : {Micros{1s}, Micros{2s}, Micros{3s}}) {
      this->AddPausing(silence);
      this->CheckWhole(1);
      this->Reset();
    }
  }

  // Its call limit permits no query, and no further run either.
  void FirstUpstream_SilentAndNotQueried_StreamIsWhole() {
    this->AddPausing(3s);
    this->Start();
    this->RunUntil([&] { return isSilent; });
    this->Listed(0)->BackOffUntil(clock.Now() + 60s);
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
    CPPUNIT_ASSERT_EQUAL(1, this->runs);
  }

  // The other daemon sees the same silence: the run was cancelled for it, and
  // the stream waited for a daemon while its upstream would have gone on.
  void FirstUpstream_SilentAndPeersCutOff_StreamIsWhole() {
    this->AddPausing(700ms);
    ScriptedUpstream& peer = this->AddPeer(false);
    this->CheckWhole(1);
    CPPUNIT_ASSERT(peer.seen.empty());
  }

  // This daemon alone is cut off, beside one that is so too.
  void FirstUpstream_SilentBesideReachingPeer_IsHandedOver() {
    this->AddPausing(60s);
    ScriptedUpstream& cutOff = this->AddPeer(false);
    ScriptedUpstream& reaching = this->AddPeer(true);
    this->CheckWhole(1);
    CPPUNIT_ASSERT(cutOff.seen.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reaching.seen.size());
  }

  void FirstUpstream_SilentWithoutRetry_StreamIsWhole() {
    RetryWindowSettings spent;
    spent.burst = 0.5;
    spent.perRequest = 0;
    retryWindows.emplace("model", spent);
    this->AddPausing(2s);
    this->Start();
    this->RunUntil([&] { return isSilent; });
    this->AddCompleting();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
    CPPUNIT_ASSERT_EQUAL(1, this->runs);
  }

  void FirstUpstream_SilentWithoutAttempt_StreamIsWhole() {
    this->Configure(1, 20000);
    this->AddPausing(2s);
    this->Start();
    this->RunUntil([&] { return isSilent; });
    this->AddCompleting();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
    CPPUNIT_ASSERT_EQUAL(1, this->runs);
  }

  // Guards against a silent run that is kept where another is left.
  void FirstUpstream_SilentBesideOtherChain_GetsNewRun() {
    this->AddPausing(8s);
    this->Start();
    this->RunUntil([&] { return isSilent; });
    const Instant begin = clock.Now();
    this->AddCompleting();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
    CPPUNIT_ASSERT_EQUAL(2, this->runs);
    CPPUNIT_ASSERT(clock.Now() - begin < 4s);
    this->RunFor(30ms);
    this->CheckNothingIsLeft();
  }

  void LaterMember_SilentWithoutOtherChain_StreamIsWhole() {
    for (const Micros silence : {Micros{1s}, Micros{3s}}) {
      this->AddPausing(silence, {0, 1});
      this->AddMember({1, 2});
      this->CheckWhole(1);
      this->Reset();
    }
  }

  void RunLost_NoChainForSeconds_IsResumed() {
    this->AddBreaking();
    this->After(3s, [this] { this->AddCompleting(); });
    this->CheckWhole(2);
  }

  // Guards against waiting for events of an upstream that is known to have
  // ended: its stream waits for a chain instead.
  void RunLost_UpstreamEnded_SilentRunIsNotKept() {
    ScriptedUpstream& ended = this->AddPausing(60s);
    this->Start();
    this->RunUntil([&] { return isSilent; });
    this->Listed(0)->SetEnded(clock.Now());
    this->RunUntil([&] { return ended.disconnects > 0; });
    CPPUNIT_ASSERT(!answer.has_value());
    this->AddCompleting();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
  }

  // Guards against a retry that counts from before its run: it was acquired
  // while there was no chain for it.
  void RunLost_UpstreamEndedWithoutChain_TakesNoRetry() {
    RetryWindowSettings few;
    few.burst = 4;
    few.perRequest = 0;
    RetryWindow& window = retryWindows.emplace("model", few).first->second;
    ScriptedUpstream& ended = this->AddPausing(60s);
    this->Start();
    this->RunUntil([&] { return isSilent; });
    this->Listed(0)->SetEnded(clock.Now());
    this->RunUntil([&] { return ended.disconnects > 0; });
    this->RunFor(500ms);
    CPPUNIT_ASSERT(!answer.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4, window.Available(clock.Now()), 1e-6);
    this->AddCompleting();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, window.Available(clock.Now()), 1e-6);
  }

  void SilentRun_DaemonExits_Ends() {
    this->AddPausing(60s);
    this->Start();
    this->RunUntil([&] { return isSilent; });
    this->RunFor(2500ms);
    CPPUNIT_ASSERT(!answer.has_value());
    this->EndRequests();
  }

  void SilentRun_DeadlineReached_Ends() {
    this->Configure(2, 3000);
    this->AddPausing(60s);
    this->Start();
    this->CheckEndsAtDeadline();
  }

  void WaitingStream_DaemonExits_Ends() {
    this->AddBreaking();
    this->Start();
    this->RunUntil([&] { return upstreams[0]->IsClosed(); });
    this->RunFor(2500ms);
    CPPUNIT_ASSERT(!answer.has_value());
    this->EndRequests();
  }

  void WaitingStream_DeadlineReached_Ends() {
    this->Configure(2, 3000);
    this->AddBreaking();
    this->Start();
    this->CheckEndsAtDeadline();
  }

  // Callers that give up close by themselves; nothing waits for them.
  void WaitingStream_CallerCloses_Ends() {
    this->AddBreaking();
    TcpSocket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Attempt("/llm/x")));
    this->RunUntil([&] { return upstreams[0]->IsClosed(); });
    this->RunFor(500ms);
    caller.close();
    this->RunUntil([&] { return relay->Active() == 0; });
    this->CheckNothingIsLeft();
  }

  // Guards against further sends of a request that crashes upstreams, which
  // are bounded from 3 s after the fifth crash on.
  void WaitingStream_RequestIsBlocked_Ends() {
    this->AddBreaking();
    this->Start();
    this->RunUntil([&] { return upstreams[0]->IsClosed(); });
    this->RunFor(200ms);
    crashes.SetBlockList(
        {CandidatesOf({"POST", "h", "/llm/x", "acme", ""}, "model", {})
             .request},
        clock.Now());
    this->AddCompleting();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(!answer->has_value());
    CPPUNIT_ASSERT_EQUAL(1, this->runs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentUpstreamTest);

}  // namespace
}  // namespace zincstep
