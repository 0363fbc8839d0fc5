// Guards against waiting on a dead connection, which looks like a slow
// upstream, while new connections work. A stream on it stalled until its caller
// abandoned it after 2 s. A report query on a pooled one timed out although a
// new connection would have returned the report within milliseconds, so that a
// live upstream was suspected.

#include <algorithm>

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// An upstream of a model that sends reports, and whose first run stops after
/// one event.
class SilentUpstreamConnectionTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(SilentUpstreamConnectionTest);
  CPPUNIT_TEST(Stream_OnSilentConnection_ResumesAfterLastEvent);
  CPPUNIT_TEST(Stream_SilentBeforeFirstEvent_RunsAnew);
  CPPUNIT_TEST(Stream_OfUpstreamWithQueue_IsNotResumed);
  CPPUNIT_TEST(Report_OnSilentPooledConnection_IsSentOnNewOne);
  CPPUNIT_TEST(Request_OnFailedPooledConnection_DiscardsTheOthers);
  CPPUNIT_TEST(Request_SentAgain_UsesNewConnection);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
  static constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";

  int runs = 0;
  /// Connections that stay open without further data.
  std::vector<ConnectionPtr> silent;

  static void Report(const ConnectionPtr& aTo, int aQueued) {
    aTo->Answer(200, {},
                R"({"layers":{"from":0,"targetVersion":2},"running":1,)"
                R"("queued":)" +
                    std::to_string(aQueued) +
                    R"(,"kvUsed":10,"kvTotal":1000,"stalled":[]})");
  }

  /// The first run sends only the events of `aFirst`, later ones all that
  /// remain.
  void AddModel(const std::string& aFirst, int aQueued = 0) {
    this->AddUpstream("model", [this, aFirst, aQueued](const auto& aTo,
                                                       const auto& aMessage) {
      if (aMessage.head.target == "/report") {
        Report(aTo, aQueued);
        return;
      }
      runs += 1;
      if (runs == 1 && aFirst.empty()) {
        silent.push_back(aTo);
        return;
      }
      aTo->BeginChunks(200, SealedHeaders(aMessage));
      if (runs == 1) {
        aTo->AppendChunk(aFirst);
        silent.push_back(aTo);
        return;
      }
      if (FindHeader(aMessage.head.headers, "Last-Event-Id").empty()) {
        aTo->AppendChunk(kFirstEvent);
      }
      aTo->AppendChunk(kSecondEvent);
      aTo->EndChunks();
    });
  }

  /// Sends a request and appends the response to `aAnswers` once it arrives.
  void Send(const std::string& aPath,
            std::vector<Result<HttpResponse>>& aAnswers) {
    FetchResponse(loop, {asio::ip::address_v4::loopback(), listener->Port()},
                  this->Request(aPath), 10s, [&](Result<HttpResponse> aAnswer) {
                    aAnswers.push_back(std::move(aAnswer));
                  });
  }

  std::string StreamRequest() {
    std::string text = this->Request("/llm/");
    return text.replace(text.find("3000"), 4, "9000");
  }

 public:
  void Stream_OnSilentConnection_ResumesAfterLastEvent() {
    this->AddModel(kFirstEvent);
    const auto answer = this->Ask(this->StreamRequest());
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent) + kSecondEvent, answer->body);
    CPPUNIT_ASSERT_EQUAL(2, runs);
  }

  void Stream_SilentBeforeFirstEvent_RunsAnew() {
    this->AddModel("");
    const auto answer = this->Ask(this->StreamRequest());
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent) + kSecondEvent, answer->body);
    CPPUNIT_ASSERT_EQUAL(2, runs);
  }

  // While requests are queued for memory, the stream may be one of them.
  void Stream_OfUpstreamWithQueue_IsNotResumed() {
    this->AddModel(kFirstEvent, 3);
    asio::steady_timer timer(loop, 1500ms);
    timer.async_wait([this](const asio::error_code&) {
      silent.front()->AppendChunk(kSecondEvent);
      silent.front()->EndChunks();
    });
    const auto answer = this->Ask(this->StreamRequest());
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent) + kSecondEvent, answer->body);
    CPPUNIT_ASSERT_EQUAL(1, runs);
  }

  void Report_OnSilentPooledConnection_IsSentOnNewOne() {
    int reports = 0;
    this->AddUpstream("model", [&](const auto& aTo, const auto&) {
      reports += 1;
      reports == 2 ? silent.push_back(aTo) : Report(aTo, 0);
    });
    const UpstreamEntry entry = view.Directory().All().begin()->second->Entry();
    for (int i = 0; i < 2; ++i) {
      std::optional<Result<UpstreamReport>> report;
      control->Report(entry, 1s, [&](const Result<UpstreamReport>& aReport) {
        report = aReport;
      });
      this->RunUntil([&] { return report.has_value(); });
      CPPUNIT_ASSERT(report->has_value());
    }
    CPPUNIT_ASSERT_EQUAL(3, reports);
  }

  // All connections to an upstream may fail at once.
  void Request_OnFailedPooledConnection_DiscardsTheOthers() {
    std::vector<std::pair<ConnectionPtr, CallerMessage>> pending;
    this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
      pending.emplace_back(aTo, aMessage);
    });
    std::vector<Result<HttpResponse>> answers;
    this->Send("/safe/", answers);
    this->Send("/safe/", answers);
    this->RunUntil([&] { return pending.size() == 2; });
    for (const auto& [connection, message] : pending) {
      connection->Answer(200, SealedHeaders(message), "ok");
    }
    this->RunUntil([&] { return answers.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, connectionPool.IdleCount());
    this->Send("/safe/", answers);
    this->RunUntil([&] { return pending.size() == 3; });
    pending.back().first->Abort();
    this->RunUntil([&] { return answers.size() == 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connectionPool.IdleCount());
  }

  // Guards against spending all attempts of a request on dead pooled
  // connections: the third of three, on such a connection, never completed.
  void Request_SentAgain_UsesNewConnection() {
    std::vector<ConnectionPtr> pooled;
    std::vector<ConnectionPtr> used;
    std::vector<Result<HttpResponse>> answers;
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
        if (pooled.size() < 2) {
          pooled.push_back(aTo);
          return;
        }
        used.push_back(aTo);
        used.size() == 1 ? aTo->Abort()
                         : aTo->Answer(200, SealedHeaders(aMessage), "ok");
      });
    }
    this->Send("/safe/", answers);
    this->Send("/safe/", answers);
    this->RunUntil([&] { return pooled.size() == 2; });
    for (const ConnectionPtr& connection : pooled) {
      connection->Answer(
          200, {{"X-Attempt-Id", "r1"}, {"X-Response-Seal", "seal"}}, "ok");
    }
    this->RunUntil([&] { return answers.size() == 2; });
    for (const auto& upstream : upstreams) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream->seen.size());
    }
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/safe/"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
    CPPUNIT_ASSERT(std::find(pooled.begin(), pooled.end(), used.front()) !=
                   pooled.end());
    CPPUNIT_ASSERT(std::find(pooled.begin(), pooled.end(), used.back()) ==
                   pooled.end());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentUpstreamConnectionTest);

}  // namespace
}  // namespace zincstep
