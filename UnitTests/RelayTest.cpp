#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class RelayTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(Service_Answer_IsPassedOnUnchanged);
  CPPUNIT_TEST(Service_Request_CarriesTheOrganisationNotTheKey);
  CPPUNIT_TEST(Service_UnsafeThatBreaks_IsNotSentAgain);
  CPPUNIT_TEST(Service_SafeThatBreaks_RunsElsewhere);
  CPPUNIT_TEST(Service_AnswerOfAnotherRequest_IsNotPassedOn);
  CPPUNIT_TEST(Service_RefusedEverywhere_IsNotRunAndSaysWhen);
  CPPUNIT_TEST(Service_DeadAddress_IsRefusedAsNotRun);
  CPPUNIT_TEST(Key_Unknown_IsUnauthenticated);
  CPPUNIT_TEST(Key_WithoutProof_IsRefusedAsNotRun);
  CPPUNIT_TEST(Route_Unknown_IsNotFound);
  CPPUNIT_TEST(Stream_BrokenMidway_GoesOnBehindTheLastEvent);
  CPPUNIT_TEST(Stream_BrokenWithoutBudget_WaitsForIt);
  CPPUNIT_TEST(Stream_BrokenAgain_RunsNoMoreThanItsAttempts);
  CPPUNIT_TEST(Stream_BrokenAndNotResumable_LooksCut);
  CPPUNIT_TEST(Stream_RefusedForADeadMember_HasItSuspected);
  CPPUNIT_TEST(Stream_RefusedWithRoom_IsBackSoon);
  CPPUNIT_TEST(Stream_WithoutRoom_IsBackOnceLayersAreLoaded);
  CPPUNIT_TEST(Caller_ThatLeaves_EndsTheWork);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Service_Answer_IsPassedOnUnchanged() {
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

  void Service_Request_CarriesTheOrganisationNotTheKey() {
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

  void Service_UnsafeThatBreaks_IsNotSentAgain() {
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("plain",
                        [](const auto& aTo, const auto&) { aTo->Abort(); });
    }
    CPPUNIT_ASSERT_EQUAL(502, this->Ask(this->Request("/unsafe/"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         upstreams[0]->seen.size() + upstreams[1]->seen.size());
  }

  void Service_SafeThatBreaks_RunsElsewhere() {
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

  void Service_AnswerOfAnotherRequest_IsNotPassedOn() {
    this->AddUpstream("plain", [](const auto& aTo, const auto&) {
      aTo->Answer(200, {{"X-Attempt-Id", "r2"}, {"X-Response-Seal", "s"}},
                  "another's");
    });
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(502, answer->status);
    CPPUNIT_ASSERT(answer->body.find("another") == std::string::npos);
  }

  void Service_RefusedEverywhere_IsNotRunAndSaysWhen() {
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

  void Key_WithoutProof_IsRefusedAsNotRun() {
    view.OnConfiguration(
        {"", std::string(kRelayConfig).replace(17, 1, "2"), 20});
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
  }

  void Route_Unknown_IsNotFound() {
    CPPUNIT_ASSERT_EQUAL(404, this->Ask(this->Request("/none/"))->status);
  }

  void Stream_BrokenMidway_GoesOnBehindTheLastEvent() {
    int runs = 0;
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
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

  // darovna-ops, mix seed 390029498869, LOST: streams that had begun were
  // cut at once where the retry budget was spent.
  void Stream_BrokenWithoutBudget_WaitsForIt() {
    RetryBudgetSettings spent;
    spent.capacity = 0.5;
    budgets.emplace("model", spent);
    int runs = 0;
    asio::steady_timer refill(loop);
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
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
          RetryBudget& budget = budgets.at("model");
          budget.SetCapacity(10);
          for (int request = 0; request < 100; ++request) {
            budget.OnRequest();
          }
        });
      });
    }
    CPPUNIT_ASSERT(this->Ask(this->Request("/llm/")).has_value());
    CPPUNIT_ASSERT_EQUAL(2, runs);
  }

  // tavua-orders, mix seed 557285768698, BUDGET: a stream whose upstreams
  // broke off one after the other ran on three of the two allowed.
  void Stream_BrokenAgain_RunsNoMoreThanItsAttempts() {
    std::size_t runs = 0;
    for (int i = 0; i < 4; ++i) {
      this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
        runs += 1;
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        aTo->AppendChunk("id: " + std::to_string(runs) + "\ndata: a\n\n");
        asio::post(loop, [aTo] { aTo->CloseWhenSent(); });
      });
    }
    CPPUNIT_ASSERT(!this->Ask(this->Request("/llm/")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs);
  }

  void Stream_BrokenAndNotResumable_LooksCut() {
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

  // Members that had gone dark while the store was away were tried again every
  // 0.3 s: 193 refusals in four seconds, by 60 daemons.
  void Stream_RefusedForADeadMember_HasItSuspected() {
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

  // Those refused on a wrong belief came back after 2 to 6 s, long after the
  // belief was mended.
  void Stream_RefusedWithRoom_IsBackSoon() {
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

  void Stream_WithoutRoom_IsBackOnceLayersAreLoaded() {
    this->List("model", "127.0.0.1:1", {0, 1});
    const auto answer = this->Ask(this->Request("/llm/"));
    CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"), answer->body);
    const auto& model = view.Table()->Configuration().services.at(1).model;
    const double loads =
        ToSeconds(model->loadTime) * settings.restoredAfterLoads;
    CPPUNIT_ASSERT(this->RetryAfter(answer) >= 0.49 * loads);
    CPPUNIT_ASSERT(this->RetryAfter(answer) <= 1.51 * loads);
  }

  void Caller_ThatLeaves_EndsTheWork() {
    ScriptedUpstream& upstream =
        this->AddUpstream("model", [](const auto&, const auto&) {});
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/llm/")));
    this->RunUntil([&] { return !upstream.seen.empty(); });
    caller.close();
    this->RunUntil([&] { return upstream.gone > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace zincstep
