#include <algorithm>

#include "UnitTests/RefusingPort.h"
#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// `kRelayConfig` with two priorities of streams, which therefore wait for
/// room, and objectives that are longer than a stop.
constexpr const char* kConfig = R"({"configVersion":1,"routes":[
 {"name":"s","hostname":"h","pathPrefix":"/safe/","routeType":"safe",
  "timeoutMs":20000,"maxAttempts":2,"backend":"plain"},
 {"name":"l","hostname":"h","pathPrefix":"/llm/","routeType":"streaming",
  "timeoutMs":20000,"maxAttempts":2,"backend":"model","resumable":true,
  "priority":0,"targetLatencyMs":15000},
 {"name":"b","hostname":"h","pathPrefix":"/llm/batch/","routeType":"streaming",
  "timeoutMs":20000,"maxAttempts":2,"backend":"model","resumable":true,
  "priority":2,"targetLatencyMs":15000}],
 "services":[{"name":"plain"},{"name":"model","engine":{"layers":2,
  "layer_mb":1,"kvTokenBytes":1000,"step_ms":1,"models":[{"name":"m"}],
  "kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}]}}],
 "tenants":[{"name":"acme","apiKeys":["key1"]}]})";

constexpr const char* kStream = "/llm/x";
constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

/// Runs that would begin after the signal, for requests that were accepted
/// before. Their callers wait for 9 s, and all requests end 7.5 s after it.
class LateRunTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(LateRunTest);
  CPPUNIT_TEST(Stream_WaitsForRoom_IsRefusedAsNotRun);
  CPPUNIT_TEST(Stream_RunIsLost_HasItsAnswerWithoutAnother);
  CPPUNIT_TEST(Stream_UpstreamRefuses_IsRefusedAsNotRun);
  CPPUNIT_TEST(Stream_PeerRefuses_IsRefusedAsNotRun);
  CPPUNIT_TEST(Stream_RunIsLostBeforeBalancerRemoval_RunsAgain);
  CPPUNIT_TEST(Stream_HeadIsSent_IsContinued);
  CPPUNIT_TEST(Safe_RunIsLost_RunsAgain);
  CPPUNIT_TEST_SUITE_END();

  using Held = std::pair<ConnectionPtr, CallerMessage>;

  std::vector<Held> held;
  std::vector<HttpResponse> answers;
  std::vector<std::unique_ptr<ScriptedUpstream>> peers;
  const RefusingPort refusing{loop};

  /// Keeps the first request and serves those that follow.
  ScriptedUpstream::Script HoldsFirst() {
    return [this](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
      if (aMessage.head.target != "/report" && held.empty()) {
        held.emplace_back(aTo, aMessage);
      } else {
        AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
      }
    };
  }

  /// Requests that upstreams have received, other than those for reports.
  std::size_t Sends() const {
    std::size_t sends = 0;
    for (const auto& upstream : upstreams) {
      sends += static_cast<std::size_t>(std::count_if(
          upstream->seen.begin(), upstream->seen.end(),
          [](const HttpHead& aHead) { return aHead.target != "/report"; }));
    }
    return sends;
  }

  void AskLater(const char* aPath) {
    FetchResponse(loop, {asio::ip::address_v4::loopback(), listener->Port()},
                  this->Attempt(aPath), 60s,
                  [this](Result<HttpResponse> aAnswer) {
                    CPPUNIT_ASSERT(aAnswer.has_value());
                    answers.push_back(std::move(*aAnswer));
                  });
  }

  /// Asks at two upstreams, of which the first that is chosen holds the
  /// request, and stops the daemon `aSinceSignal` ago.
  void HoldUntil(const char* aService, const char* aPath, Micros aSinceSignal) {
    this->AddUpstream(aService, this->HoldsFirst());
    this->AddUpstream(aService, this->HoldsFirst());
    this->AskLater(aPath);
    this->RunUntil([&] { return !held.empty(); });
    this->StopFor(aSinceSignal);
  }

  void StopFor(Micros aSinceSignal) {
    stop.Begin(clock.Now());
    clock.Advance(aSinceSignal);
  }

  const HttpResponse& Answer() {
    this->RunUntil([&] { return !answers.empty(); });
    return answers.front();
  }

  void ExpectRefusedAsNotRun() {
    CPPUNIT_ASSERT_EQUAL(kUnavailable, this->Answer().status);
    CPPUNIT_ASSERT_EQUAL(std::string("stopping"), this->Answer().body);
    CPPUNIT_ASSERT(!FindHeader(this->Answer().headers, "Retry-After").empty());
  }

 public:
  void setUp() override {
    this->Begin();
    this->Configure(kConfig);
  }

  // Guards against a stream that waits for room and is started shortly before
  // the end of requests, or refused there, when others may be stopping too.
  void Stream_WaitsForRoom_IsRefusedAsNotRun() {
    constexpr double kAllRoom = 1e9;
    this->AddSound("model");
    view.Directory().All().begin()->second->AddRemoteWork(kAllRoom);
    this->AskLater(kStream);
    this->RunUntil([&] { return relay->Capacity().HasWaiting(); });
    this->StopFor(2700ms);
    this->ExpectRefusedAsNotRun();
    CPPUNIT_ASSERT(!stop.MustEndRequests(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Sends());
    CPPUNIT_ASSERT(!relay->Capacity().HasWaiting());
  }

  // Guards against a second run that begins late and is truncated at the exit.
  void Stream_RunIsLost_HasItsAnswerWithoutAnother() {
    this->HoldUntil("model", kStream, 2700ms);
    held.front().first->Abort();
    CPPUNIT_ASSERT_EQUAL(kBadGateway, this->Answer().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Sends());
  }

  void Stream_UpstreamRefuses_IsRefusedAsNotRun() {
    this->HoldUntil("model", kStream, 2700ms);
    const auto& [connection, message] = held.front();
    connection->Answer(
        kUnavailable,
        {{"X-Attempt-Id",
          std::string(FindHeader(message.head.headers, "X-Attempt-Id"))},
         {"X-Not-Executed", "1"}},
        "");
    this->ExpectRefusedAsNotRun();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Sends());
  }

  // Guards against forwarding to one daemon after the other until the exit: the
  // response passes through this process.
  void Stream_PeerRefuses_IsRefusedAsNotRun() {
    this->List("model", refusing.Address());
    std::vector<ForwardPeer> known;
    for (const char* name : {"peer1", "peer2"}) {
      peers.push_back(
          std::make_unique<ScriptedUpstream>(loop, clock, this->HoldsFirst()));
      known.push_back({name, peers.back()->Address(), ""});
    }
    forwards.SetPeers(known);
    this->AskLater(kStream);
    this->RunUntil([&] { return !held.empty(); });
    this->StopFor(2700ms);
    const auto& [connection, message] = held.front();
    connection->Answer(
        kUnavailable,
        {{"X-Attempt-Id",
          std::string(FindHeader(message.head.headers, "X-Attempt-Id"))}},
        "upstream_unreachable");
    this->ExpectRefusedAsNotRun();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         peers[0]->seen.size() + peers[1]->seen.size());
  }

  // Guards against refusing while all daemons of a domain may be stopping.
  void Stream_RunIsLostBeforeBalancerRemoval_RunsAgain() {
    this->HoldUntil("model", kStream, 1s);
    held.front().first->Abort();
    CPPUNIT_ASSERT_EQUAL(kOk, this->Answer().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Sends());
  }

  // Guards against ending a stream that can only be truncated otherwise.
  void Stream_HeadIsSent_IsContinued() {
    const auto continues = [this](const auto& aTo, const auto& aMessage) {
      if (aMessage.head.target == "/report") {
        AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        return;
      }
      aTo->BeginChunks(kOk, SealedHeaders(aMessage));
      aTo->AppendChunk(held.empty() ? "id: 1\ndata: a\n\n"
                                    : "id: 2\ndata: b\n\n");
      if (held.empty()) {
        held.emplace_back(aTo, aMessage);
      } else {
        aTo->EndChunks();
      }
    };
    this->AddUpstream("model", continues);
    this->AddUpstream("model", continues);
    this->AskLater(kStream);
    this->RunUntil(
        [&] { return listener->PendingBytes() == 0 && !held.empty(); });
    this->RunFor(50ms);
    this->StopFor(2700ms);
    held.front().first->Abort();
    CPPUNIT_ASSERT_EQUAL(kOk, this->Answer().status);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         this->Answer().body);
  }

  // A plain request has a complete response whenever it is ended.
  void Safe_RunIsLost_RunsAgain() {
    this->HoldUntil("plain", "/safe/x", 2700ms);
    held.front().first->Abort();
    CPPUNIT_ASSERT_EQUAL(kOk, this->Answer().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Sends());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateRunTest);

}  // namespace
}  // namespace zincstep
