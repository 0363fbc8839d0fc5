#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// Requests that a daemon gets in the moment after its start.
class EarlyRequestTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(EarlyRequestTest);
  CPPUNIT_TEST(Request_BeforeTheConfiguration_IsServedOnceItIsThere);
  CPPUNIT_TEST(Request_BeforeAnyList_IsServedOnceItIsThere);
  CPPUNIT_TEST(Stream_BeforeAnyList_IsServedOnceItIsThere);
  CPPUNIT_TEST(Request_NoConfigurationForLong_IsNotRun);
  CPPUNIT_TEST(Stream_NoListForLong_IsNotRunAndBackSoon);
  CPPUNIT_TEST(Caller_ThatLeavesEarly_IsForgotten);
  CPPUNIT_TEST(Service_DeadAddresses_CostNoRetry);
  CPPUNIT_TEST_SUITE_END();

  asio::steady_timer later{loop};

  /// The daemon hears of something a moment after the request came.
  void Soon(std::function<void()> aStep) {
    later.expires_after(60ms);
    later.async_wait([aStep](const asio::error_code&) { aStep(); });
  }

  void AddPlain() {
    this->AddUpstream("plain", [](const auto& aTo, const auto& aMessage) {
      aTo->Answer(200, SealedHeaders(aMessage), "ok");
    });
  }

 public:
  void setUp() override { this->Begin(); }

  // 402 requests were refused in the half second before daemons that had lost
  // power had read their configuration.
  void Request_BeforeTheConfiguration_IsServedOnceItIsThere() {
    this->AddPlain();
    this->Soon([this] { this->Configure(kRelayConfig); });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/unsafe/"))->status);
  }

  // 1,360 requests were refused in the second before these daemons had lists,
  // and told to come back after seconds.
  void Request_BeforeAnyList_IsServedOnceItIsThere() {
    this->Configure(kRelayConfig);
    this->Soon([this] { this->AddPlain(); });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/unsafe/"))->status);
  }

  void Stream_BeforeAnyList_IsServedOnceItIsThere() {
    this->Configure(kRelayConfig);
    this->Soon([this] {
      this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        aTo->AppendChunk("id: 1\ndata: a\n\n");
        aTo->EndChunks();
      });
    });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/llm/"))->status);
  }

  void Request_NoConfigurationForLong_IsNotRun() {
    settings.initialStateTimeout = 100ms;
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), answer->body);
  }

  void Stream_NoListForLong_IsNotRunAndBackSoon() {
    settings.initialStateTimeout = 100ms;
    this->Configure(kRelayConfig);
    const auto answer = this->Ask(this->Request("/llm/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), answer->body);
    CPPUNIT_ASSERT(std::stod(std::string(
                       FindHeader(answer->headers, "Retry-After"))) <= 0.4);
  }

  void Caller_ThatLeavesEarly_IsForgotten() {
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/unsafe/")));
    this->RunUntil([&] { return relay->Active() == 1; });
    caller.close();
    this->RunUntil([&] { return relay->Active() == 0; });
  }

  // What did not arrive anywhere is no repeat of anything: 915 retries were
  // denied on a day that had used a tenth of what all daemons together may.
  void Service_DeadAddresses_CostNoRetry() {
    this->Configure(kRelayConfig);
    RetryBudgetSettings spent;
    spent.capacity = 0.5;
    budgets.emplace("plain", spent);
    for (int i = 0; i < settings.maxSends - 1; ++i) {
      this->List("plain", "127.0.0.1:" + std::to_string(1 + i));
    }
    this->AddPlain();
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/unsafe/"))->status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyRequestTest);

}  // namespace
}  // namespace zincstep
