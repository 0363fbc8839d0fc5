// Guards against streams through another daemon that end because it is silent
// for a while, or because no retry or daemon is left for some seconds.

#include "UnitTests/RefusingPort.h"
#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

constexpr const char* kHead = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* kRest = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";

class SilentDaemonTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(SilentDaemonTest);
  CPPUNIT_TEST(Daemon_SilentWithoutOther_StreamIsWhole);
  CPPUNIT_TEST(Daemon_SilentWithoutRetry_StreamIsWhole);
  CPPUNIT_TEST(Daemon_SilentBesideOther_StreamContinuesThere);
  CPPUNIT_TEST(Daemon_SilentBesideRefusing_StreamIsWhole);
  CPPUNIT_TEST(Daemon_SilentBesideNotAdmitting_StreamIsWhole);
  CPPUNIT_TEST(Daemon_SilentBesideUnreachable_StreamIsWhole);
  CPPUNIT_TEST(Daemon_SilentBesideBreaking_StreamIsWhole);
  CPPUNIT_TEST(Daemon_SilentBesideSilent_FirstToProgressIsKept);
  CPPUNIT_TEST(Daemon_SilentBesideSilent_ThirdContinues);
  CPPUNIT_TEST(Daemon_LostBesideAccepting_StreamContinuesThere);
  CPPUNIT_TEST(Daemon_SilentBesideRefusing_OneRetryIsTaken);
  CPPUNIT_TEST(Daemon_LostBehindRefusing_UnusedRetryIsTaken);
  CPPUNIT_TEST(Daemon_SilentBesideRefusingUnread_NoRunIsCounted);
  CPPUNIT_TEST(Daemon_SilentBesideSilent_BothEndWithTheCaller);
  CPPUNIT_TEST(Daemon_SilentWithoutAttempt_StreamStays);
  CPPUNIT_TEST(Daemon_SilentUntilAnotherArrives_StreamContinuesThere);
  CPPUNIT_TEST(Daemon_LostWithoutRetry_StreamWaitsForOne);
  CPPUNIT_TEST(Daemon_LostWithoutOther_StreamWaitsForOne);
  CPPUNIT_TEST(SilentDaemon_DaemonExits_Ends);
  CPPUNIT_TEST(SilentDaemon_DeadlineReached_Ends);
  CPPUNIT_TEST(WaitingStream_DaemonExits_Ends);
  CPPUNIT_TEST(WaitingStream_DeadlineReached_Ends);
  CPPUNIT_TEST(WaitingStream_RequestIsBlocked_Ends);
  CPPUNIT_TEST_SUITE_END();

  std::vector<ForwardPeer> known;
  std::vector<std::unique_ptr<ScriptedUpstream>> peers;
  std::vector<std::shared_ptr<asio::steady_timer>> timers;
  std::optional<Result<HttpResponse>> answer;
  const RefusingPort refusing{loop};
  int runs = 0;

  void After(Micros aTime, std::function<void()> aThen) {
    timers.push_back(std::make_shared<asio::steady_timer>(loop, aTime));
    timers.back()->async_wait(
        [then = std::move(aThen)](const asio::error_code& aError) {
          if (!aError) {
            then();
          }
        });
  }

  /// Adds a daemon whose first stream pauses in its middle and then goes on
  /// with `aThen`; further ones are completed.
  void AddPeer(Micros aPause, std::function<void(const ConnectionPtr&)> aThen) {
    peers.push_back(std::make_unique<ScriptedUpstream>(
        loop, clock,
        [this, aPause, then = std::move(aThen)](const ConnectionPtr& aTo,
                                                const CallerMessage& aMessage) {
          this->runs += 1;
          aTo->BeginChunks(200, SealedHeaders(aMessage));
          if (this->runs > 1) {
            aTo->AppendChunk(kRest);
            aTo->EndChunks();
            return;
          }
          aTo->AppendChunk(kHead);
          this->After(aPause, [then, aTo] {
            if (!aTo->IsClosed()) {
              then(aTo);
            }
          });
        }));
    known.push_back(
        {"peer" + std::to_string(peers.size()), peers.back()->Address(), ""});
    forwards.SetPeers(known);
  }

  void AddPausing(Micros aPause) {
    this->AddPeer(aPause, [](const ConnectionPtr& aTo) {
      aTo->AppendChunk(kRest);
      aTo->EndChunks();
    });
  }

  void AddBreaking() {
    this->AddPeer(50ms, [](const ConnectionPtr& aTo) { aTo->Abort(); });
  }

  /// Adds a daemon that handles all requests as `aScript` does.
  ScriptedUpstream& AddScripted(ScriptedUpstream::Script aScript) {
    peers.push_back(
        std::make_unique<ScriptedUpstream>(loop, clock, std::move(aScript)));
    known.push_back(
        {"peer" + std::to_string(peers.size()), peers.back()->Address(), ""});
    forwards.SetPeers(known);
    return *peers.back();
  }

  ScriptedUpstream& AddRefusing(int aStatus, const char* aKind) {
    return this->AddScripted(
        [aStatus, aKind](const auto& aTo, const auto& aMessage) {
          HttpHeaders headers{
              {"X-Attempt-Id",
               std::string(FindHeader(aMessage.head.headers, "X-Attempt-Id"))},
              {"zincstep-refusing-version", "2"}};
          aTo->Answer(aStatus, headers, aKind);
        });
  }

  /// Adds a daemon that continues a stream after some time.
  ScriptedUpstream& AddSlow(Micros aTime) {
    return this->AddScripted(
        [this, aTime](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          this->After(aTime, [aTo, headers = SealedHeaders(aMessage)] {
            if (!aTo->IsClosed()) {
              aTo->BeginChunks(200, headers);
              aTo->AppendChunk(kRest);
              aTo->EndChunks();
            }
          });
        });
  }

  void SpendRetries() {
    RetryWindowSettings spent;
    spent.burst = 0.5;
    spent.perRequest = 0;
    retryWindows.emplace("model", spent);
  }

  /// Starts a stream, which is forwarded, and runs the loop until another
  /// daemon has it.
  void Start() {
    this->List("model", refusing.Address());
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        this->Attempt("/llm/x"), 10s,
        [this](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    this->RunUntil([&] { return runs > 0; });
  }

  void CheckWhole(int aRuns) {
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(200, (*answer)->status);
    CPPUNIT_ASSERT_EQUAL(std::string(kHead) + kRest, (*answer)->body);
    CPPUNIT_ASSERT_EQUAL(aRuns, runs);
    this->RunFor(30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
  }

  /// Puts a configuration in force whose route of streams has another field.
  void ChangeRoute(const std::string& aField, const std::string& aNew) {
    std::string config = kRelayConfig;
    config.replace(config.find("\"configVersion\":1"), 17,
                   "\"configVersion\":2");
    config.replace(config.rfind(aField), aField.size(), aNew);
    view.OnConfiguration({"", config, 20});
    view.OnValidated({20}, clock.Now());
  }

  void EndRequests() {
    CPPUNIT_ASSERT(!answer.has_value());
    stop.Begin(clock.Now() - 8s);
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(!answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
  }

  void CheckEndsAtDeadline() {
    const Instant begin = clock.Now();
    this->Start();
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(!answer->has_value());
    CPPUNIT_ASSERT(clock.Now() - begin >= 2900ms);
    this->RunFor(30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
  }

 public:
  void tearDown() override { timers.clear(); }

  void Daemon_SilentWithoutOther_StreamIsWhole() {
    this->AddPausing(3s);
    this->Start();
    this->CheckWhole(1);
  }

  void Daemon_SilentWithoutRetry_StreamIsWhole() {
    this->SpendRetries();
    this->AddPausing(2s);
    this->Start();
    this->AddPausing(0s);
    this->CheckWhole(1);
  }

  // Guards against a silent run that is kept where another is left.
  void Daemon_SilentBesideOther_StreamContinuesThere() {
    this->AddPausing(8s);
    this->Start();
    this->AddPausing(0s);
    const Instant begin = clock.Now();
    this->CheckWhole(2);
    CPPUNIT_ASSERT(clock.Now() - begin < 4s);
  }

  // Guards against a silent run that is cancelled before the next daemon has
  // accepted the stream: that one refused, and the stream was lost although the
  // run went on after two more seconds.
  void Daemon_SilentBesideRefusing_StreamIsWhole() {
    this->AddPausing(3s);
    this->Start();
    ScriptedUpstream& other = this->AddRefusing(503, "upstream_unreachable");
    this->CheckWhole(1);
    CPPUNIT_ASSERT(!other.seen.empty());
  }

  void Daemon_SilentBesideNotAdmitting_StreamIsWhole() {
    this->AddPausing(3s);
    this->Start();
    ScriptedUpstream& other = this->AddRefusing(401, "unauthenticated");
    this->CheckWhole(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.seen.size());
  }

  void Daemon_SilentBesideUnreachable_StreamIsWhole() {
    this->AddPausing(3s);
    this->Start();
    this->AddPausing(0s);
    peers.back()->Close();
    this->CheckWhole(1);
  }

  void Daemon_SilentBesideBreaking_StreamIsWhole() {
    this->AddPausing(3s);
    this->Start();
    ScriptedUpstream& breaking =
        this->AddScripted([](const auto& aTo, const auto&) { aTo->Abort(); });
    this->CheckWhole(1);
    // The route permits two runs.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, breaking.seen.size());
  }

  void Daemon_SilentBesideSilent_FirstToProgressIsKept() {
    this->AddPausing(3s);
    this->Start();
    ScriptedUpstream& slow = this->AddSlow(60s);
    this->CheckWhole(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slow.seen.size());
    this->RunUntil([&] { return slow.disconnects > 0; });
  }

  // Guards against a stream that stays with two silent daemons although its
  // route permits a third run.
  void Daemon_SilentBesideSilent_ThirdContinues() {
    this->ChangeRoute("\"maxAttempts\":2", "\"maxAttempts\":3");
    this->AddPausing(60s);
    this->Start();
    ScriptedUpstream& silent = this->AddSlow(60s);
    this->RunUntil([&] { return !silent.seen.empty(); });
    ScriptedUpstream& third = this->AddSlow(0s);
    this->CheckWhole(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.seen.size());
  }

  // Guards against a third run where the second one is under way.
  void Daemon_LostBesideAccepting_StreamContinuesThere() {
    this->AddPeer(1500ms, [](const ConnectionPtr& aTo) { aTo->Abort(); });
    this->Start();
    ScriptedUpstream& slow = this->AddSlow(1s);
    this->CheckWhole(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slow.seen.size());
  }

  // Guards against a retry for each daemon that refuses beside a silent run.
  void Daemon_SilentBesideRefusing_OneRetryIsTaken() {
    RetryWindowSettings few;
    few.burst = 4;
    few.perRequest = 0;
    RetryWindow& window = retryWindows.emplace("model", few).first->second;
    this->AddPausing(3s);
    this->Start();
    ScriptedUpstream& other = this->AddRefusing(503, "upstream_unreachable");
    this->CheckWhole(1);
    CPPUNIT_ASSERT(other.seen.size() > 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, window.Available(clock.Now()), 1e-6);
  }

  // Guards against a stream that waits for a retry although it has one that the
  // refusing daemon did not use.
  void Daemon_LostBehindRefusing_UnusedRetryIsTaken() {
    RetryWindowSettings one;
    one.burst = 1;
    one.perRequest = 0;
    retryWindows.emplace("model", one);
    ScriptedUpstream* third = nullptr;
    this->AddPeer(1500ms, [this, &third](const ConnectionPtr& aTo) {
      third = &this->AddSlow(0s);
      aTo->Abort();
    });
    this->Start();
    ScriptedUpstream& other = this->AddRefusing(503, "upstream_unreachable");
    this->CheckWhole(1);
    CPPUNIT_ASSERT(!other.seen.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third->seen.size());
  }

  // Guards against a refusal of a request that was not read whole, which names
  // no id, being counted as a run.
  void Daemon_SilentBesideRefusingUnread_NoRunIsCounted() {
    RetryWindowSettings few;
    few.burst = 4;
    few.perRequest = 0;
    RetryWindow& window = retryWindows.emplace("model", few).first->second;
    this->AddPausing(3s);
    this->Start();
    ScriptedUpstream& other =
        this->AddScripted([](const ConnectionPtr& aTo, const CallerMessage&) {
          aTo->Answer(413, {}, "");
        });
    this->CheckWhole(1);
    CPPUNIT_ASSERT(other.seen.size() > 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, window.Available(clock.Now()), 1e-6);
  }

  void Daemon_SilentBesideSilent_BothEndWithTheCaller() {
    this->AddPausing(60s);
    this->List("model", refusing.Address());
    TcpSocket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Attempt("/llm/x")));
    this->RunUntil([&] { return runs > 0; });
    ScriptedUpstream& slow = this->AddSlow(60s);
    this->RunUntil([&] { return !slow.seen.empty(); });
    CPPUNIT_ASSERT_EQUAL(0, peers[0]->disconnects);
    caller.close();
    this->RunUntil(
        [&] { return slow.disconnects > 0 && peers[0]->disconnects > 0; });
    this->RunFor(30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
    CPPUNIT_ASSERT_EQUAL(
        1.0, metrics.CounterValue("zincstep_silent_stream_ends_total",
                                  {{"cause", "daemon"}, {"search", "none"}}));
  }

  // Guards against a run beyond those that the route permits.
  void Daemon_SilentWithoutAttempt_StreamStays() {
    this->ChangeRoute("\"maxAttempts\":2", "\"maxAttempts\":1");
    this->AddPausing(3s);
    this->Start();
    this->AddPausing(0s);
    this->CheckWhole(1);
  }

  void Daemon_SilentUntilAnotherArrives_StreamContinuesThere() {
    this->AddPausing(8s);
    this->Start();
    this->After(4s, [this] { this->AddPausing(0s); });
    this->CheckWhole(2);
  }

  void Daemon_LostWithoutRetry_StreamWaitsForOne() {
    this->SpendRetries();
    this->AddBreaking();
    this->AddPausing(0s);
    this->Start();
    this->RunFor(3s);
    CPPUNIT_ASSERT(!answer.has_value());
    retryWindows.clear();
    this->CheckWhole(2);
  }

  void Daemon_LostWithoutOther_StreamWaitsForOne() {
    this->AddPeer(50ms, [this](const ConnectionPtr& aTo) {
      known.clear();
      forwards.SetPeers(known);
      aTo->Abort();
    });
    this->Start();
    this->RunFor(3s);
    CPPUNIT_ASSERT(!answer.has_value());
    this->AddPausing(0s);
    this->CheckWhole(2);
  }

  void SilentDaemon_DaemonExits_Ends() {
    this->AddPausing(60s);
    this->Start();
    this->RunFor(2500ms);
    this->EndRequests();
  }

  void SilentDaemon_DeadlineReached_Ends() {
    this->ChangeRoute("\"timeoutMs\":20000", "\"timeoutMs\":3000");
    this->AddPausing(60s);
    this->CheckEndsAtDeadline();
  }

  void WaitingStream_DaemonExits_Ends() {
    this->SpendRetries();
    this->AddBreaking();
    this->Start();
    this->RunFor(2500ms);
    this->EndRequests();
  }

  void WaitingStream_DeadlineReached_Ends() {
    this->ChangeRoute("\"timeoutMs\":20000", "\"timeoutMs\":3000");
    this->SpendRetries();
    this->AddBreaking();
    this->CheckEndsAtDeadline();
  }

  // Guards against further sends of a request that crashes upstreams.
  void WaitingStream_RequestIsBlocked_Ends() {
    this->SpendRetries();
    this->AddBreaking();
    this->Start();
    this->RunFor(200ms);
    CPPUNIT_ASSERT(!answer.has_value());
    crashes.SetBlockList(
        {CandidatesOf({"POST", "h", "/llm/x", "acme", ""}, "model", {})
             .request},
        clock.Now());
    retryWindows.clear();
    this->AddPausing(0s);
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(!answer->has_value());
    CPPUNIT_ASSERT_EQUAL(1, runs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentDaemonTest);

}  // namespace
}  // namespace zincstep
