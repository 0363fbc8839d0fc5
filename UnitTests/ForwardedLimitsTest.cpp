#include "RelayFixture.h"
#include "UnitTests/RefusingPort.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Another daemon with limits of its own, which serves what it accepts.
class LimitedDaemon final : public CallerHandler {
 public:
  LimitedDaemon(asio::io_context& aLoop, const Clock& aClock,
                const CallerLimits& aLimits)
      : listener(aLoop, *this, aClock) {
    CPPUNIT_ASSERT(this->listener.Start("127.0.0.1:0").has_value());
    this->listener.SetLimits(aLimits);
  }

  void OnRequest(const ConnectionPtr& aConnection,
                 CallerMessage aMessage) override {
    this->served += 1;
    if (!aMessage.head.target.starts_with("/llm/")) {
      AnswerWhole(aConnection, aMessage, SealedHeaders(aMessage));
      return;
    }
    const bool isContinued =
        !FindHeader(aMessage.head.headers, "Last-Event-Id").empty();
    aConnection->BeginChunks(kOk, SealedHeaders(aMessage));
    aConnection->AppendChunk(isContinued ? "id: 2\ndata: b\n\n"
                                         : "id: 1\ndata: a\n\n");
    aConnection->EndChunks();
  }
  void OnCallerDisconnected(CallerConnection&) override {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->listener.Port());
  }

  int served = 0;

 private:
  CallerListener listener;
};

}  // namespace

/// Requests that this daemon accepted and that exceed a limit of the daemon
/// that they are forwarded to: one of them has another version of the
/// configuration.
class ForwardedLimitsTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(ForwardedLimitsTest);
  CPPUNIT_TEST(Unsafe_BodyOverLimitOfDaemon_IsRefusedAsNotRun);
  CPPUNIT_TEST(Unsafe_HeadOverLimitOfDaemon_IsRefusedAsNotRun);
  CPPUNIT_TEST(Unsafe_BodyOverLimitOfSomeDaemons_IsServedByAnother);
  CPPUNIT_TEST(Unsafe_HeadOverLimitOfSomeDaemons_IsServedByAnother);
  CPPUNIT_TEST(Unsafe_LargeBodyOverLimitOfSomeDaemons_IsServedByAnother);
  CPPUNIT_TEST(Stream_HandedOverToDaemonWithLowerLimit_IsContinuedByAnother);
  CPPUNIT_TEST_SUITE_END();

  std::vector<ForwardPeer> known;
  std::vector<std::unique_ptr<LimitedDaemon>> daemons;
  const RefusingPort refusing{loop};

  void AddDaemon(const CallerLimits& aLimits) {
    daemons.push_back(std::make_unique<LimitedDaemon>(loop, clock, aLimits));
    known.push_back({"daemon" + std::to_string(daemons.size()),
                     daemons.back()->Address(), ""});
    forwards.SetPeers(known);
  }

  /// Adds daemons with these limits, and one that serves everything.
  void AddDaemons(int aLimited, const CallerLimits& aLimits) {
    for (int i = 0; i < aLimited; ++i) {
      this->AddDaemon(aLimits);
    }
    this->AddDaemon({});
  }

  static CallerLimits ShortBody() {
    CallerLimits limits;
    limits.maxBodyBytes = 1;
    return limits;
  }
  static CallerLimits ShortHead() {
    CallerLimits limits;
    limits.maxHeaderBytes = 16;
    return limits;
  }

  void ExpectRefusedAsNotRun(const CallerLimits& aLimits) {
    this->List("plain", refusing.Address());
    this->AddDaemon(aLimits);
    const auto answer = this->Ask(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(kUnavailable, answer->status);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
  }

  void ExpectServedByAnother(const CallerLimits& aLimits,
                             const std::string& aRequest) {
    this->List("plain", refusing.Address());
    this->AddDaemons(3, aLimits);
    for (int i = 0; i < 4; ++i) {
      const auto answer = this->Ask(aRequest);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(kOk, answer->status);
    }
    CPPUNIT_ASSERT_EQUAL(4, daemons.back()->served);
  }

 public:
  // Guards against taking the refusal of a daemon that has not read the request
  // for the answer of a run: callers got 502 for an order that ran nowhere, and
  // no other daemon was asked.
  void Unsafe_BodyOverLimitOfDaemon_IsRefusedAsNotRun() {
    this->ExpectRefusedAsNotRun(ShortBody());
  }
  void Unsafe_HeadOverLimitOfDaemon_IsRefusedAsNotRun() {
    this->ExpectRefusedAsNotRun(ShortHead());
  }
  void Unsafe_BodyOverLimitOfSomeDaemons_IsServedByAnother() {
    this->ExpectServedByAnother(ShortBody(), this->Request("/unsafe/x"));
  }
  void Unsafe_HeadOverLimitOfSomeDaemons_IsServedByAnother() {
    this->ExpectServedByAnother(ShortHead(), this->Request("/unsafe/x"));
  }

  // Guards against a refusal that is lost in the reset of its connection, as
  // the forwarding daemon still sends the body.
  void Unsafe_LargeBodyOverLimitOfSomeDaemons_IsServedByAnother() {
    constexpr std::size_t kBytes = 4 << 20;
    this->ExpectServedByAnother(
        ShortBody(),
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n"
        "X-Deadline-Ms: 9000\r\nAuthorization: Bearer key1\r\n"
        "Content-Length: " +
            std::to_string(kBytes) + "\r\n\r\n" + std::string(kBytes, 'x'));
  }

  // Guards against a stream that is truncated although another daemon can
  // continue it.
  void Stream_HandedOverToDaemonWithLowerLimit_IsContinuedByAnother() {
    this->AddUpstream("model", [this](const auto& aTo, const auto& aMessage) {
      if (aMessage.head.target == "/report") {
        aTo->Abort();
        return;
      }
      aTo->BeginChunks(kOk, SealedHeaders(aMessage));
      aTo->AppendChunk("id: 1\ndata: a\n\n");
      asio::post(loop, [this] { upstreams[0]->Close(); });
    });
    this->AddDaemons(3, ShortHead());
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         answer->body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedLimitsTest);

}  // namespace zincstep
