#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// Requests that arrive while the daemon stops.
class StoppingDaemonTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(StoppingDaemonTest);
  CPPUNIT_TEST(Exit_DeferredRequest_HasItsAnswer);
  CPPUNIT_TEST(Order_MayOutlastStop_IsRefusedAsNotRun);
  CPPUNIT_TEST(Exit_ResponseToSlowReader_IsSentFirst);
  CPPUNIT_TEST(Exit_RandomRequests_HaveTheirAnswers);
  CPPUNIT_TEST(Exit_RandomRequestsBeforeConfiguration_HaveTheirAnswers);
  CPPUNIT_TEST_SUITE_END();

  /// What an upstream does with a request.
  enum class Behavior { Answers, AnswersLate, Refuses, Hangs, Breaks };
  /// A request of a random history.
  struct Asked {
    bool isStream = false;
    std::optional<Result<HttpResponse>> answer;
  };

  const StopPolicySettings policy{};
  Random draw{11};
  std::vector<std::pair<ConnectionPtr, CallerMessage>> held;
  std::vector<std::shared_ptr<Asked>> asked;

  /// Time from the stop signal until running requests are ended.
  Micros StopDuration() const {
    return this->policy.gracePeriod - this->policy.killMargin;
  }

  /// Moves the clock to `aRemaining` before the end of the stop.
  void StopWithRemaining(Micros aRemaining) {
    stop.Begin(clock.Now());
    clock.Advance(this->StopDuration() - aRemaining);
  }

  void AddRandomUpstream(const std::string& aService) {
    this->AddUpstream(aService, [this](const auto& aTo,
                                       const CallerMessage& aMessage) {
      if (aMessage.head.target == "/report") {
        AnswerWhole(aTo, aMessage, {});
        return;
      }
      switch (static_cast<Behavior>(draw.Below(5))) {
        case Behavior::Answers:
          AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
          break;
        case Behavior::AnswersLate:
          held.emplace_back(aTo, aMessage);
          break;
        case Behavior::Refuses:
          aTo->Answer(
              503,
              {{"X-Attempt-Id",
                std::string(FindHeader(aMessage.head.headers, "X-Attempt-Id"))},
               {"X-Not-Executed", "1"}},
              "");
          break;
        case Behavior::Hangs:
          if (aMessage.head.target.starts_with("/llm/")) {
            aTo->BeginChunks(200, SealedHeaders(aMessage));
            aTo->AppendChunk("id: 1\ndata: a\n\n");
          }
          break;
        case Behavior::Breaks:
          aTo->Abort();
          break;
      }
    });
  }

  void ReleaseHeld() {
    for (const auto& [connection, message] : std::exchange(held, {})) {
      if (!connection->IsClosed()) {
        AnswerWhole(connection, message, SealedHeaders(message));
      }
    }
  }

  void AskRandom() {
    constexpr std::array kPaths{"/safe/x", "/unsafe/x", "/llm/x"};
    const std::size_t kind = draw.Below(kPaths.size());
    const auto one = std::make_shared<Asked>();
    one->isStream = kind == 2;
    asked.push_back(one);
    FetchResponse(loop, {asio::ip::address_v4::loopback(), listener->Port()},
                  this->Attempt(kPaths[kind]), 60s,
                  [one](Result<HttpResponse> aAnswer) {
                    one->answer = std::move(aAnswer);
                  });
  }

  /// Plays a stop, with requests in each tenth of a second and a configuration
  /// from `aConfiguredAt` on; checks that each has a complete response.
  void PlayStop(Micros aConfiguredAt) {
    stop = StopPolicy{policy};
    stop.Begin(clock.Now());
    const Instant begin = clock.Now();
    while (!stop.MustEndRequests(clock.Now())) {
      this->AskRandom();
      loop.run_for(2ms);
      if (draw.Below(8) == 0) {
        this->ReleaseHeld();
      }
      if (clock.Now() - begin >= aConfiguredAt) {
        this->Configure(kRelayConfig);
      }
      clock.Advance(100ms);
      relay->Tick();
    }
    relay->Tick();
    CPPUNIT_ASSERT(stop.CanExit(relay->Active(), 0, clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
    this->RunUntil([&] {
      return std::all_of(asked.begin(), asked.end(), [](const auto& aOne) {
        return aOne->answer.has_value();
      });
    });
    for (const auto& one : asked) {
      CPPUNIT_ASSERT(one->answer->has_value() || one->isStream);
    }
    asked.clear();
  }

 public:
  void setUp() override { this->Begin(); }

  // Guards against exiting while a caller reads its response: it was truncated.
  void Exit_ResponseToSlowReader_IsSentFirst() {
    this->Configure(kRelayConfig);
    const std::string body(16 << 20, 'x');
    this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
      aTo->Answer(200, SealedHeaders(aMessage), body);
    });
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/safe/")));
    this->RunUntil([&] { return listener->PendingBytes() > 0; });
    stop.Begin(clock.Now());
    clock.Advance(3s);
    relay->Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
    CPPUNIT_ASSERT(!stop.CanExit(0, listener->PendingBytes(), clock.Now()));
    std::vector<char> read(body.size());
    asio::async_read(caller, asio::buffer(read),
                     [](const asio::error_code&, std::size_t) {});
    this->RunUntil([&] { return listener->PendingBytes() == 0; });
    CPPUNIT_ASSERT(stop.CanExit(0, listener->PendingBytes(), clock.Now()));
  }

  // Guards against any state of a request in which the exit leaves it without
  // an answer.
  void Exit_RandomRequests_HaveTheirAnswers() {
    this->Configure(kRelayConfig);
    for (const char* service : {"plain", "plain", "model", "model"}) {
      this->AddRandomUpstream(service);
    }
    for (int round = 0; round < 8; ++round) {
      this->PlayStop(0s);
      held.clear();
    }
  }

  void Exit_RandomRequestsBeforeConfiguration_HaveTheirAnswers() {
    this->AddRandomUpstream("plain");
    this->AddRandomUpstream("model");
    for (const Micros configuredAt : {60000ms, 60000ms, 7200ms, 0ms}) {
      this->PlayStop(configuredAt);
    }
  }

  // Guards against exiting without an answer to a request that waits for the
  // first configuration: its caller's connection was closed.
  void Exit_DeferredRequest_HasItsAnswer() {
    this->StopWithRemaining(700ms);
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/unsafe/")));
    this->RunUntil(
        [&] { return relay->Active() == 1 || caller.available() > 0; });
    clock.Advance(700ms);
    relay->Tick();
    CPPUNIT_ASSERT(stop.CanExit(relay->Active(), 0, clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
    this->RunUntil([&] { return caller.available() > 0; });
    std::string status(12, ' ');
    asio::read(caller, asio::buffer(status));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), status);
  }

  // Guards against accepting an order that may run past the exit: one that took
  // 1.9 s of its 2 s was run, and its caller never told.
  void Order_MayOutlastStop_IsRefusedAsNotRun() {
    this->StopWithRemaining(1900ms);
    this->Configure(kRelayConfig);
    this->AddSound("plain");
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("stopping"), answer->body);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
    CPPUNIT_ASSERT(upstreams[0]->seen.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoppingDaemonTest);

}  // namespace
}  // namespace zincstep
