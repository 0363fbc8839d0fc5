#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// Requests that arrive just after the start of a daemon.
class EarlyRequestTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(EarlyRequestTest);
  CPPUNIT_TEST(Request_BeforeConfiguration_IsServedOnceReceived);
  CPPUNIT_TEST(Request_BeforeFirstList_IsServedOnceReceived);
  CPPUNIT_TEST(Stream_BeforeFirstList_IsServedOnceReceived);
  CPPUNIT_TEST(Request_ConfigurationTimeout_IsNotRun);
  CPPUNIT_TEST(Stream_ListTimeout_IsNotRunWithShortRetryAfter);
  CPPUNIT_TEST(Request_BeforeBlockList_IsRefusedOnceRead);
  CPPUNIT_TEST(Request_BlockListTimeout_IsServed);
  CPPUNIT_TEST(Request_BlockedBeforeFirstList_IsRefused);
  CPPUNIT_TEST(Caller_DisconnectedWhileDeferred_IsRemoved);
  CPPUNIT_TEST(Service_ConnectionsRefused_SpendNoRetryBudget);
  CPPUNIT_TEST_SUITE_END();

  asio::steady_timer timer{loop};

  /// Runs `aStep` shortly after the request arrived.
  void RunLater(std::function<void()> aStep) {
    timer.expires_after(60ms);
    timer.async_wait([aStep](const asio::error_code&) { aStep(); });
  }

  void AddPlain() {
    this->AddUpstream("plain", [](const auto& aTo, const auto& aMessage) {
      aTo->Answer(200, SealedHeaders(aMessage), "ok");
    });
  }

 public:
  void setUp() override { this->Begin(); }

  // Guards against refusing requests before the configuration arrives: after a
  // power loss, daemons refused 402 requests in that half second.
  void Request_BeforeConfiguration_IsServedOnceReceived() {
    this->AddPlain();
    this->RunLater([this] { this->Configure(kRelayConfig); });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/unsafe/"))->status);
  }

  // Guards against refusing requests before the list of upstreams arrives:
  // these daemons refused 1,360 requests in that second, with a Retry-After of
  // seconds.
  void Request_BeforeFirstList_IsServedOnceReceived() {
    this->Configure(kRelayConfig);
    this->RunLater([this] { this->AddPlain(); });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/unsafe/"))->status);
  }

  void Stream_BeforeFirstList_IsServedOnceReceived() {
    this->Configure(kRelayConfig);
    this->RunLater([this] {
      this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        aTo->AppendChunk("id: 1\ndata: a\n\n");
        aTo->EndChunks();
      });
    });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/llm/"))->status);
  }

  void Request_ConfigurationTimeout_IsNotRun() {
    settings.initialStateTimeout = 100ms;
    const auto answer = this->Ask(this->Request("/unsafe/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), answer->body);
  }

  void Stream_ListTimeout_IsNotRunWithShortRetryAfter() {
    settings.initialStateTimeout = 100ms;
    this->Configure(kRelayConfig);
    const auto answer = this->Ask(this->Request("/llm/"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), answer->body);
    CPPUNIT_ASSERT(std::stod(std::string(
                       FindHeader(answer->headers, "Retry-After"))) <= 0.4);
  }

  void BlockPoison() {
    this->crashes.SetBlockList({FingerprintOf(RequestIdentity{
                                   "POST", "h", "/safe/poison", "acme", "hi"})},
                               clock.Now());
  }

  // Guards against running blocked requests at the start: peers may send the
  // configuration and the upstreams before the block list is read.
  void Request_BeforeBlockList_IsRefusedOnceRead() {
    this->Configure(kRelayConfig);
    this->AddPlain();
    this->crashes.AwaitBlockList(clock.Now() + 10s);
    this->RunLater([this] {
      this->BlockPoison();
      this->crashes.OnBlockListRead();
    });
    const auto answer = this->Ask(this->Request("/safe/poison"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("request_blocked"), answer->body);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/safe/x"))->status);
  }

  // Guards against running a request that is blocked while it waits.
  void Request_BlockedBeforeFirstList_IsRefused() {
    this->Configure(kRelayConfig);
    this->RunLater([this] {
      this->BlockPoison();
      this->AddPlain();
    });
    const auto answer = this->Ask(this->Request("/safe/poison"));
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("request_blocked"), answer->body);
  }

  void Request_BlockListTimeout_IsServed() {
    this->Configure(kRelayConfig);
    this->AddPlain();
    this->crashes.AwaitBlockList(clock.Now() + 100ms);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/unsafe/"))->status);
  }

  void Caller_DisconnectedWhileDeferred_IsRemoved() {
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/unsafe/")));
    this->RunUntil([&] { return relay->Active() == 1; });
    caller.close();
    this->RunUntil([&] { return relay->Active() == 0; });
  }

  // Guards against spending retry budget on failed connection attempts: 915
  // retries were denied while a tenth of the budget of all daemons was used.
  void Service_ConnectionsRefused_SpendNoRetryBudget() {
    this->Configure(kRelayConfig);
    RetryWindowSettings spent;
    spent.burst = 0.5;
    retryWindows.emplace("plain", spent);
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
