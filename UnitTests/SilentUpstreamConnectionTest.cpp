// A connection to an upstream that has fallen silent for good looks the same as
// an upstream that is slow: nothing comes. While new connections work, the
// daemon waited on the old one: a stream whose events went nowhere stood still
// until its caller gave it up after two seconds, and a report that was asked
// for on a kept connection timed out although another connection would have
// brought it within milliseconds, so that a live upstream was taken for lost.

#include <algorithm>

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// An upstream of a model that answers reports, and whose first run tells one
/// event and nothing more.
class SilentUpstreamConnectionTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(SilentUpstreamConnectionTest);
  CPPUNIT_TEST(Stream_OnASilentConnection_GoesOnBehindTheLastEvent);
  CPPUNIT_TEST(Stream_BeforeItsFirstEventOnASilentConnection_RunsAnew);
  CPPUNIT_TEST(Stream_OfAnUpstreamWithWorkWaiting_IsLeftAlone);
  CPPUNIT_TEST(Report_OnASilentKeptConnection_IsAnsweredOnANewOne);
  CPPUNIT_TEST(Request_OnAKeptConnectionThatBreaks_LeavesTheOthersUnused);
  CPPUNIT_TEST(Request_SentAgain_HasAConnectionOfItsOwn);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
  static constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";

  int runs = 0;
  /// Connections that stay open and say nothing more.
  std::vector<ConnectionPtr> silent;

  static void Report(const ConnectionPtr& aTo, int aQueued) {
    aTo->Answer(200, {},
                R"({"layers":{"from":0,"targetVersion":2},"running":1,)"
                R"("queued":)" +
                    std::to_string(aQueued) +
                    R"(,"kvUsed":10,"kvTotal":1000,"stalled":[]})");
  }

  /// The first run tells the events of `aFirst`, later ones all that is left.
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

  /// Sends a request, whose answer will be added to `aAnswers`.
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
  void Stream_OnASilentConnection_GoesOnBehindTheLastEvent() {
    this->AddModel(kFirstEvent);
    const auto answer = this->Ask(this->StreamRequest());
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent) + kSecondEvent, answer->body);
    CPPUNIT_ASSERT_EQUAL(2, runs);
  }

  void Stream_BeforeItsFirstEventOnASilentConnection_RunsAnew() {
    this->AddModel("");
    const auto answer = this->Ask(this->StreamRequest());
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent) + kSecondEvent, answer->body);
    CPPUNIT_ASSERT_EQUAL(2, runs);
  }

  // Where requests wait for memory, a stream may be one that has to.
  void Stream_OfAnUpstreamWithWorkWaiting_IsLeftAlone() {
    this->AddModel(kFirstEvent, 3);
    asio::steady_timer later(loop, 1500ms);
    later.async_wait([this](const asio::error_code&) {
      silent.front()->AppendChunk(kSecondEvent);
      silent.front()->EndChunks();
    });
    const auto answer = this->Ask(this->StreamRequest());
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvent) + kSecondEvent, answer->body);
    CPPUNIT_ASSERT_EQUAL(1, runs);
  }

  void Report_OnASilentKeptConnection_IsAnsweredOnANewOne() {
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

  // All connections to an upstream may have fallen silent or closed at once.
  void Request_OnAKeptConnectionThatBreaks_LeavesTheOthersUnused() {
    std::vector<std::pair<ConnectionPtr, CallerMessage>> open;
    this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
      open.emplace_back(aTo, aMessage);
    });
    std::vector<Result<HttpResponse>> answers;
    this->Send("/safe/", answers);
    this->Send("/safe/", answers);
    this->RunUntil([&] { return open.size() == 2; });
    for (const auto& [connection, message] : open) {
      connection->Answer(200, SealedHeaders(message), "ok");
    }
    this->RunUntil([&] { return answers.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, kept.IdleCount());
    this->Send("/safe/", answers);
    this->RunUntil([&] { return open.size() == 3; });
    open.back().first->Abort();
    this->RunUntil([&] { return answers.size() == 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept.IdleCount());
  }

  // All kept connections may be silent, and a request has few attempts: the
  // third of three, on a kept connection, never came to its end.
  void Request_SentAgain_HasAConnectionOfItsOwn() {
    std::vector<ConnectionPtr> rested;
    std::vector<ConnectionPtr> used;
    std::vector<Result<HttpResponse>> answers;
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
        if (rested.size() < 2) {
          rested.push_back(aTo);
          return;
        }
        used.push_back(aTo);
        used.size() == 1 ? aTo->Abort()
                         : aTo->Answer(200, SealedHeaders(aMessage), "ok");
      });
    }
    this->Send("/safe/", answers);
    this->Send("/safe/", answers);
    this->RunUntil([&] { return rested.size() == 2; });
    for (const ConnectionPtr& connection : rested) {
      connection->Answer(
          200, {{"X-Attempt-Id", "r1"}, {"X-Response-Seal", "seal"}}, "ok");
    }
    this->RunUntil([&] { return answers.size() == 2; });
    for (const auto& upstream : upstreams) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream->seen.size());
    }
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/safe/"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
    CPPUNIT_ASSERT(std::find(rested.begin(), rested.end(), used.front()) !=
                   rested.end());
    CPPUNIT_ASSERT(std::find(rested.begin(), rested.end(), used.back()) ==
                   rested.end());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentUpstreamConnectionTest);

}  // namespace
}  // namespace zincstep
