#include <algorithm>
#include <array>
#include <set>

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// What an upstream does with a request.
enum class Behavior { Answers, Late, Refuses, Breaks, BreaksMidway, Silent };

/// A request of a random history.
struct Asked {
  std::string id;
  bool isStream = false;
  Instant at{};
  Micros timeout{0};
  std::optional<Result<HttpResponse>> answer;
  Instant answeredAt{};
};

/// Random histories of requests before and behind a stop signal.
class StopHistoryTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(StopHistoryTest);
  CPPUNIT_TEST(Stop_RandomHistory_LateRequestsHaveWholeResponses);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kBefore = 2s;
  static constexpr Micros kStep = 100ms;

  const StopPolicySettings policy{};
  Random draw{1};
  std::vector<std::pair<ConnectionPtr, CallerMessage>> held;
  std::vector<std::shared_ptr<Asked>> asked;
  /// Streams of which an upstream has sent an event.
  std::set<std::string> begun;
  /// Requests that an upstream refused or broke off, or under which it was
  /// silent.
  std::set<std::string> disturbed;
  Instant signalledAt{};
  /// Times before the last two steps: what arrives now was sent after the
  /// first of them.
  std::array<Instant, 2> steps{};
  int late = 0;
  int lateServed = 0;
  int lateRuns = 0;

  Instant EndOfRequests() const {
    return signalledAt + policy.gracePeriod - policy.killMargin;
  }

  /// Checks a run that begins from `balancerRemovalDelay` on.
  void CheckRun(const std::string& aId, const CallerMessage& aMessage) {
    const bool isLate = stop.IsStopping() &&
                        steps[0] >= signalledAt + policy.balancerRemovalDelay;
    if (!isLate || begun.contains(aId)) {
      return;
    }
    lateRuns += 1;
    const auto left = std::chrono::milliseconds(std::stoll(
        std::string(FindHeader(aMessage.head.headers, "X-Deadline-Ms"))));
    CPPUNIT_ASSERT_MESSAGE(aId, steps[0] + left <= this->EndOfRequests());
  }

  void OnUpstreamRequest(const ConnectionPtr& aTo,
                         const CallerMessage& aMessage) {
    const HttpHeaders sealed = SealedHeaders(aMessage);
    if (aMessage.head.target == "/report") {
      AnswerWhole(aTo, aMessage, sealed);
      return;
    }
    const std::string id = sealed.front().value;
    const bool isStream = aMessage.head.target.starts_with("/llm/");
    if (isStream) {
      this->CheckRun(id, aMessage);
    }
    const auto behavior = static_cast<Behavior>(draw.Below(6));
    if (behavior == Behavior::Answers) {
      AnswerWhole(aTo, aMessage, sealed);
      return;
    }
    if (behavior == Behavior::Late) {
      held.emplace_back(aTo, aMessage);
      return;
    }
    disturbed.insert(id);
    if (behavior == Behavior::Refuses) {
      aTo->Answer(503, {sealed.front(), {"X-Not-Executed", "1"}}, "");
      return;
    }
    if (isStream && behavior != Behavior::Breaks) {
      begun.insert(id);
      aTo->BeginChunks(200, sealed);
      aTo->AppendChunk("id: 1\ndata: a\n\n");
    }
    if (behavior != Behavior::Silent) {
      aTo->Abort();
    }
  }

  /// Answers, refuses or breaks off what upstreams held back.
  void ReleaseHeld() {
    for (const auto& [connection, message] : std::exchange(held, {})) {
      const HttpHeaders sealed = SealedHeaders(message);
      const std::size_t kind = draw.Below(4);
      if (connection->IsClosed()) {
        continue;
      }
      if (kind < 2) {
        AnswerWhole(connection, message, sealed);
        continue;
      }
      disturbed.insert(sealed.front().value);
      if (kind == 2) {
        connection->Answer(503, {sealed.front(), {"X-Not-Executed", "1"}}, "");
      } else {
        connection->Abort();
      }
    }
  }

  void AskRandom() {
    constexpr std::array kPaths{"/safe/x", "/unsafe/x", "/llm/x", "/llm/x"};
    const std::size_t kind = draw.Below(kPaths.size());
    const auto one = std::make_shared<Asked>();
    one->isStream = kind >= 2;
    one->at = clock.Now();
    one->timeout = std::chrono::milliseconds(200 + draw.Below(14000));
    // Equal requests would be blocked, as upstreams are lost under them.
    std::string request =
        this->Attempt(kPaths[kind] + std::to_string(this->attempts));
    constexpr std::string_view kDeadline = "X-Deadline-Ms: 9000";
    request.replace(request.find(kDeadline), kDeadline.size(),
                    "X-Deadline-Ms: " + std::to_string(one->timeout / 1ms));
    one->id = "r" + std::to_string(this->attempts);
    asked.push_back(one);
    FetchResponse(loop, {asio::ip::address_v4::loopback(), listener->Port()},
                  std::move(request), 60s,
                  [this, one](Result<HttpResponse> aAnswer) {
                    one->answer = std::move(aAnswer);
                    one->answeredAt = clock.Now();
                  });
  }

  void Step() {
    view.OnValidated({10}, clock.Now());
    const std::size_t requests = draw.Below(3);
    for (std::size_t i = 0; i < requests; ++i) {
      this->AskRandom();
    }
    loop.run_for(2ms);
    if (draw.Below(6) == 0) {
      this->ReleaseHeld();
    }
    // A loop that is held lets time pass without a tick.
    const bool isHeld = draw.Below(25) == 0;
    steps = {steps[1], clock.Now()};
    clock.Advance(isHeld ? kStep * (2 + static_cast<int>(draw.Below(12)))
                         : kStep);
    relay->Tick();
  }

  void CheckLate(const Asked& aOne) {
    if (aOne.at < signalledAt + policy.balancerRemovalDelay) {
      return;
    }
    late += 1;
    lateServed += *aOne.answer && (*aOne.answer)->status == 200 ? 1 : 0;
    if (*aOne.answer) {
      return;
    }
    // Only its caller's deadline or an upstream may have truncated it.
    const bool isOverdue = aOne.answeredAt >= aOne.at + aOne.timeout;
    const bool isBeforeExit = aOne.answeredAt < this->EndOfRequests();
    CPPUNIT_ASSERT_MESSAGE(
        aOne.id, isOverdue || (isBeforeExit && disturbed.contains(aOne.id)));
  }

  void PlayHistory() {
    stop = StopPolicy{policy};
    const Instant begin = clock.Now();
    while (clock.Now() - begin < kBefore) {
      this->Step();
    }
    signalledAt = clock.Now();
    stop.Begin(signalledAt);
    while (!stop.MustEndRequests(clock.Now())) {
      this->Step();
    }
    relay->Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
    this->RunUntil([&] {
      return std::all_of(asked.begin(), asked.end(), [](const auto& aOne) {
        return aOne->answer.has_value();
      });
    });
    for (const auto& one : asked) {
      CPPUNIT_ASSERT_MESSAGE(one->id,
                             one->answer->has_value() || one->isStream);
      this->CheckLate(*one);
    }
    asked.clear();
    held.clear();
  }

 public:
  void setUp() override { this->Begin(); }

  // Guards against any history in which a request that is accepted after the
  // balancer's last connection is truncated by the stop or left without a
  // response, and against runs of streams that begin then and may not end.
  void Stop_RandomHistory_LateRequestsHaveWholeResponses() {
    this->Configure(kRelayConfig);
    for (const char* service : {"plain", "plain", "model", "model", "model"}) {
      this->AddUpstream(service, [this](const auto& aTo, const auto& aMessage) {
        this->OnUpstreamRequest(aTo, aMessage);
      });
    }
    constexpr int kHistories = 30;
    for (int i = 0; i < kHistories; ++i) {
      draw = Random(static_cast<std::uint64_t>(i) + 1);
      this->PlayHistory();
    }
    // Histories without late requests would show nothing.
    const std::string counts = std::to_string(late) + " late, " +
                               std::to_string(lateServed) + " served, " +
                               std::to_string(lateRuns) + " runs";
    CPPUNIT_ASSERT_MESSAGE(counts, late > 0 && lateServed > 0 && lateRuns > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopHistoryTest);

}  // namespace
}  // namespace zincstep
