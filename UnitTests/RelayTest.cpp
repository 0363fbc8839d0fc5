#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class RelayTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(Service_Response_IsForwardedUnchanged);
  CPPUNIT_TEST(Service_Request_CarriesOrganisationNotKey);
  CPPUNIT_TEST(Service_UnsafeRequestLost_IsNotSentAgain);
  CPPUNIT_TEST(Service_SafeRequestLost_RunsElsewhere);
  CPPUNIT_TEST(Service_ResponseToAnotherRequest_IsNotForwarded);
  CPPUNIT_TEST(Service_RefusedEverywhere_IsNotRunWithRetryAfter);
  CPPUNIT_TEST(Service_DeadAddress_IsRefusedAsNotRun);
  CPPUNIT_TEST(Key_Unknown_IsUnauthenticated);
  CPPUNIT_TEST(Key_WithoutValidation_IsRefusedAsNotRun);
  CPPUNIT_TEST(Route_Unknown_IsNotFound);
  CPPUNIT_TEST(Stream_Truncated_ResumesAfterLastEvent);
  CPPUNIT_TEST(Stream_TruncatedWithoutRetryBudget_WaitsForBudget);
  CPPUNIT_TEST(Stream_TruncatedRepeatedly_RunsUpToMaxAttempts);
  CPPUNIT_TEST(Stream_TruncatedAndNotResumable_IsTruncated);
  CPPUNIT_TEST(Stream_RefusedForDeadMember_MemberIsSuspect);
  CPPUNIT_TEST(Stream_RefusedWithCapacity_HasShortRetryAfter);
  CPPUNIT_TEST(Stream_WithoutCapacity_HasRetryAfterOfLoadTime);
  CPPUNIT_TEST(Caller_Disconnected_CancelsItsWork);
  CPPUNIT_TEST(Statistics_OfEachRequest_AreClosedWithIt);
  CPPUNIT_TEST(Statistics_CallerDisconnected_AreClosed);
  CPPUNIT_TEST_SUITE_END();

  /// Returns the counts of the routes' priority.
  nlohmann::json Counts() {
    return statistics.Status(clock.Now()).at("priorities").at(0);
  }

 public:
  // Guards against requests that stay counted as in flight or waiting after
  // their end, and against refusals that the status does not show.
  void Statistics_OfEachRequest_AreClosedWithIt() {
    CPPUNIT_ASSERT_EQUAL(503, this->Ask(this->Request("/llm/"))->status);
    this->AddSound("model");
    this->AddSound("plain");
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/llm/"))->status);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/unsafe/"))->status);
    this->Ask(this->Request("/unsafe/", "other"));
    const nlohmann::json counts = this->Counts();
    CPPUNIT_ASSERT_EQUAL(3, counts.at("requests").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, counts.at("in_flight").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, counts.at("waiting").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, counts.at("late_first_events").get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, counts.at("refused").size());
    const nlohmann::json status = statistics.Status(clock.Now());
    CPPUNIT_ASSERT_EQUAL(2,
                         status.at("domains").at(0).at("requests").get<int>());
    CPPUNIT_ASSERT_EQUAL(
        3, status.at("organisations").at(0).at("requests").get<int>());
    CPPUNIT_ASSERT(status.at("refused_before_admission") ==
                   nlohmann::json({{"unauthenticated", 1}}));
  }

  void Statistics_CallerDisconnected_AreClosed() {
    this->AddUpstream("plain", [](const auto&, const auto&) {});
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/unsafe/")));
    this->RunUntil(
        [&] { return relay->Active() == 1 && !upstreams[0]->seen.empty(); });
    CPPUNIT_ASSERT_EQUAL(1, this->Counts().at("in_flight").get<int>());
    caller.close();
    this->RunUntil([&] { return relay->Active() == 0; });
    CPPUNIT_ASSERT_EQUAL(0, this->Counts().at("in_flight").get<int>());
  }

  void Service_Response_IsForwardedUnchanged() {
    this->AddUpstream("plain", [](const auto& aTo, const auto& aMessage) {
      auto headers = SealedHeaders(aMessage);
      headers.push_back({"X-Other", "kept"});
      aTo->Answer(201, headers, "body " + aMessage.body);
    });
    const auto answer = this->Ask(this->Request("/unsafe/x?q=1"));
    CPPUNIT_ASSERT_EQUAL(201, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("body hi"), answer->body);
    CPPUNIT_ASSERT_EQUAL(std::string("kept"),
                         std::string(FindHeader(answer->headers, "X-Other")));
    CPPUNIT_ASSERT_EQUAL(std::string("/unsafe/x?q=1"),
                         upstreams[0]->seen[0].target);
  }

  void Service_Request_CarriesOrganisationNotKey() {
    this->AddUpstream("plain", [](const auto& aTo, const auto& aMessage) {
      aTo->Answer(200, SealedHeaders(aMessage), "");
    });
    this->Ask(this->Request("/unsafe/"));
    const HttpHeaders& headers = upstreams[0]->seen[0].headers;
    CPPUNIT_ASSERT_EQUAL(std::string("acme"),
                         std::string(FindHeader(headers, "X-Tenant")));
    CPPUNIT_ASSERT(FindHeader(headers, "Authorization").empty());
    CPPUNIT_ASSERT(!FindHeader(headers, "X-Expect-Instance").empty());
  }

  void Service_UnsafeRequestLost_IsNotSentAgain() {
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("plain",
                        [](const auto& aTo, const auto&) { aTo->Abort(); });
    }
    CPPUNIT_ASSERT_EQUAL(502, this->Ask(this->Request("/unsafe/"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         upstreams[0]->seen.size() + upstreams[1]->seen.size());
  }

  void Service_SafeRequestLost_RunsElsewhere() {
    int runs = 0;
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("plain", [&](const auto& aTo, const auto& aMessage) {
        runs += 1;
        runs == 1 ? aTo->Abort()
                  : aTo->Answer(200, SealedHeaders(aMessage), "ok");
      });
    }
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/safe/"))->status);
    CPPUNIT_ASSERT_EQUAL(2, runs);
  }

  void Service_ResponseToAnotherRequest_IsNotForwarded() {
    this->AddUpstream("plain", [](const auto& aTo, const auto&) {
      aTo->Answer(200, {{"X-Attempt-Id", "r2"}, {"X-Response-Seal", "s"}},
                  "another's");
    });
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(502, answer->status);
    CPPUNIT_ASSERT(answer->body.find("another") == std::string::npos);
  }

  void Service_RefusedEverywhere_IsNotRunWithRetryAfter() {
    this->AddUpstream("plain", [](const auto& aTo, const auto& aMessage) {
      auto headers = SealedHeaders(aMessage);
      headers.push_back({"X-Not-Executed", "1"});
      aTo->Answer(503, headers, "");
    });
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
    CPPUNIT_ASSERT(FindHeader(answer->headers, "X-Response-Seal").empty());
  }

  void Service_DeadAddress_IsRefusedAsNotRun() {
    this->List("plain", "127.0.0.1:1");
    CPPUNIT_ASSERT_EQUAL(503, this->Ask(this->Request("/unsafe/"))->status);
  }

  void Key_Unknown_IsUnauthenticated() {
    CPPUNIT_ASSERT_EQUAL(401,
                         this->Ask(this->Request("/unsafe/", "other"))->status);
  }

  void Key_WithoutValidation_IsRefusedAsNotRun() {
    view.OnConfiguration(
        {"", std::string(kRelayConfig).replace(17, 1, "2"), 20});
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
  }

  void Route_Unknown_IsNotFound() {
    CPPUNIT_ASSERT_EQUAL(404, this->Ask(this->Request("/none/"))->status);
  }

  void Stream_Truncated_ResumesAfterLastEvent() {
    int runs = 0;
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
        if (aMessage.head.target == "/report") {
          AnswerWhole(aTo, aMessage, {});
          return;
        }
        runs += 1;
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        if (runs == 1) {
          aTo->AppendChunk("id: 1\ndata: a\n\nid: 2\nda");
          asio::post(loop, [aTo] { aTo->CloseWhenSent(); });
          return;
        }
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"),
            std::string(FindHeader(aMessage.head.headers, "Last-Event-Id")));
        aTo->AppendChunk("id: 2\ndata: b\n\n");
        aTo->EndChunks();
      });
    }
    const auto answer = this->Ask(this->Request("/llm/"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         answer->body);
  }

  // Guards against streams that have begun being truncated at once while the
  // retry budget is exhausted.
  void Stream_TruncatedWithoutRetryBudget_WaitsForBudget() {
    RetryWindowSettings spent;
    spent.burst = 0.5;
    retryWindows.emplace("model", spent);
    int runs = 0;
    asio::steady_timer refill(loop);
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
        if (aMessage.head.target == "/report") {
          AnswerWhole(aTo, aMessage, {});
          return;
        }
        runs += 1;
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        aTo->AppendChunk("id: " + std::to_string(runs) + "\ndata: a\n\n");
        if (runs == 2) {
          aTo->EndChunks();
          return;
        }
        asio::post(loop, [aTo] { aTo->CloseWhenSent(); });
        refill.expires_after(200ms);
        refill.async_wait([&](const asio::error_code&) {
          RetryWindow& retries = retryWindows.at("model");
          retries.SetBurst(10);
          for (int request = 0; request < 100; ++request) {
            retries.OnRequest(clock.Now());
          }
        });
      });
    }
    CPPUNIT_ASSERT(this->Ask(this->Request("/llm/")).has_value());
    CPPUNIT_ASSERT_EQUAL(2, runs);
  }

  // Guards against a run beyond the maximum when upstreams truncate a stream
  // one after the other: one ran three times with two permitted.
  void Stream_TruncatedRepeatedly_RunsUpToMaxAttempts() {
    std::size_t runs = 0;
    for (int i = 0; i < 4; ++i) {
      this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
        if (aMessage.head.target == "/report") {
          AnswerWhole(aTo, aMessage, {});
          return;
        }
        runs += 1;
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        aTo->AppendChunk("id: " + std::to_string(runs) + "\ndata: a\n\n");
        asio::post(loop, [aTo] { aTo->CloseWhenSent(); });
      });
    }
    CPPUNIT_ASSERT(!this->Ask(this->Request("/llm/")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs);
  }

  void Stream_TruncatedAndNotResumable_IsTruncated() {
    std::string config = kRelayConfig;
    config.replace(config.find("\"resumable\":true"), 16,
                   "\"resumable\":false");
    view.OnConfiguration({"", config, 20});
    view.OnValidated({20}, clock.Now());
    this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
      aTo->BeginChunks(200, SealedHeaders(aMessage));
      aTo->AppendChunk("id: 1\ndata: a\n\n");
      asio::post(loop, [aTo] { aTo->CloseWhenSent(); });
    });
    CPPUNIT_ASSERT(!this->Ask(this->Request("/llm/")).has_value());
  }

  // Guards against members that went down while the store was unavailable being
  // tried again every 0.3 s: 60 daemons had 193 refusals in 4 s.
  void Stream_RefusedForDeadMember_MemberIsSuspect() {
    const std::string dead = "127.0.0.1:1";
    this->AddUpstream("model",
                      [&](const auto& aTo, const auto& aMessage) {
                        auto headers = SealedHeaders(aMessage);
                        headers.push_back({"X-Not-Executed", "1"});
                        headers.push_back({"At-Server", dead});
                        aTo->Answer(503, headers, "");
                      },
                      {0, 1});
    this->List("model", dead, {1, 2});
    this->Ask(this->Request("/llm/"));
    const UpstreamPtr member = view.Directory().Find("i2");
    CPPUNIT_ASSERT(member != nullptr);
    asio::steady_timer limit(loop, 5s);
    bool isOver = false;
    limit.async_wait([&](const asio::error_code&) { isOver = true; });
    this->RunUntil([&] { return isOver || member->IsSuspect(clock.Now()); });
    CPPUNIT_ASSERT(!isOver);
  }

  double RetryAfter(const Result<HttpResponse>& aAnswer) {
    return std::stod(std::string(FindHeader(aAnswer->headers, "Retry-After")));
  }

  // Guards against a Retry-After of 2 to 6 s for requests refused due to
  // outdated state, which is updated long before that.
  void Stream_RefusedWithCapacity_HasShortRetryAfter() {
    settings.maxSends = 1;
    this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
      auto headers = SealedHeaders(aMessage);
      headers.push_back({"X-Not-Executed", "1"});
      aTo->Answer(503, headers, "");
    });
    const auto answer = this->Ask(this->Request("/llm/"));
    CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), answer->body);
    CPPUNIT_ASSERT(this->RetryAfter(answer) <= 0.6);
  }

  void Stream_WithoutCapacity_HasRetryAfterOfLoadTime() {
    this->List("model", "127.0.0.1:1", {0, 1});
    const auto answer = this->Ask(this->Request("/llm/"));
    CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"), answer->body);
    const auto& model = view.Table()->Configuration().services.at(1).model;
    const double loads =
        ToSeconds(model->loadTime) * settings.noCapacityRetryLoads;
    CPPUNIT_ASSERT(this->RetryAfter(answer) >= 0.49 * loads);
    CPPUNIT_ASSERT(this->RetryAfter(answer) <= 1.51 * loads);
  }

  void Caller_Disconnected_CancelsItsWork() {
    ScriptedUpstream& upstream =
        this->AddUpstream("model", [](const auto&, const auto&) {});
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/llm/")));
    this->RunUntil([&] { return !upstream.seen.empty(); });
    caller.close();
    this->RunUntil([&] { return upstream.disconnects > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace zincstep
