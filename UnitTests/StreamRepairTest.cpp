#include "UnitTests/RelayFixture.h"
#include "Zincstep/Relay/RepairChoice.h"

namespace zincstep {
namespace {

/// Streams through scripted upstreams that lose or leave members.
class StreamRepairTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(StreamRepairTest);
  CPPUNIT_TEST(SilentStream_PeerSuspectsMember_IsRerouted);
  CPPUNIT_TEST(SilentStream_EstimatesOff_WaitsForProbe);
  CPPUNIT_TEST(SilentStreams_ShareMember_AreRerouted);
  CPPUNIT_TEST(SilentStreams_NothingProgresses_AreNotRerouted);
  CPPUNIT_TEST(LostMember_ReadsTakeTooLong_RunsAnew);
  CPPUNIT_TEST(LostMember_NoRetryOrAttemptLeft_IsRerouted);
  CPPUNIT_TEST(LeavingMember_LongStream_Moves);
  CPPUNIT_TEST(LeavingMember_StreamEndsBefore_Stays);
  CPPUNIT_TEST(LeavingFirstUpstream_EndOfPeriod_GetsOneNewRun);
  CPPUNIT_TEST(LeavingFirstUpstream_NoRetry_Stays);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kEventGap = 15ms;

  /// A stream that an upstream sends: events while `isProgressing`.
  struct SentStream {
    ConnectionPtr connection;
    std::uint64_t lastId = 0;
    bool isProgressing = true;
  };

  std::vector<SentStream> streams;
  /// Bodies of the orders that the first upstreams received.
  std::vector<std::string> orders;
  std::vector<std::optional<Result<HttpResponse>>> answers;
  std::unique_ptr<asio::steady_timer> eventTimer;
  UpstreamPtr lostMember;
  std::uint64_t configurations = 1;

  /// Streams events to all streams that progress.
  void SendEvents() {
    this->eventTimer = std::make_unique<asio::steady_timer>(loop, kEventGap);
    this->eventTimer->async_wait([this](const asio::error_code& aError) {
      if (aError) {
        return;
      }
      for (SentStream& stream : this->streams) {
        if (stream.isProgressing) {
          stream.lastId += 1;
          stream.connection->AppendChunk(
              "id: " + std::to_string(stream.lastId) + "\ndata: a\n\n");
        }
      }
      this->SendEvents();
    });
  }

  /// Adds an upstream that streams as first stage and accepts orders.
  UpstreamPtr AddStreaming(LayerRange aLayers) {
    this->AddUpstream(
        "model",
        [this](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
          if (aMessage.head.target == "/order") {
            this->orders.push_back(aMessage.body);
            aTo->Answer(202, {}, "{}");
          } else if (aMessage.head.target == "/report") {
            AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
          } else {
            aTo->BeginChunks(200, SealedHeaders(aMessage));
            const auto last =
                FindHeader(aMessage.head.headers, "Last-Event-Id");
            this->streams.push_back(
                {aTo, last.empty() ? 0 : std::stoul(std::string(last)), true});
          }
        },
        aLayers);
    return this->Newest();
  }

  /// Adds a member that accepts connections and responds to nothing. A backoff
  /// lets probes only connect, so that they prove neither life nor loss.
  UpstreamPtr AddUnprobeable(LayerRange aLayers) {
    this->AddUpstream(
        "model", [](const auto&, const auto&) {}, aLayers);
    const UpstreamPtr added = this->Newest();
    added->BackOffUntil(clock.Now() + 60s);
    return added;
  }

  UpstreamPtr Newest() {
    return view.Directory().Find(
        "i" + std::to_string(view.Revisions().upstreams.number));
  }

  /// Starts a request and runs the loop until its stream has begun.
  SentStream& StartStream(const std::string& aId = "r1",
                          const std::string& aLengthHint = "1000") {
    const std::size_t number = this->streams.size();
    this->answers.emplace_back();
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        "POST /llm/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + aId +
            "\r\nX-Deadline-Ms: 19000\r\nAuthorization: Bearer key1\r\n"
            "Length-Hint: " +
            aLengthHint + "\r\nContent-Length: 0\r\n\r\n",
        19s,
        [this, index = this->answers.size() - 1](Result<HttpResponse> aAnswer) {
          this->answers[index] = std::move(aAnswer);
        });
    this->RunUntil([&] {
      return this->streams.size() > number && this->streams[number].lastId > 2;
    });
    return this->streams[number];
  }

  /// Returns the first id for which `HashShareOf` is in the range.
  static std::string IdWithHash(double aLeast, double aMost) {
    for (int i = 0;; ++i) {
      const std::string id = "r" + std::to_string(i);
      const double share = HashShareOf(id);
      if (share >= aLeast && share < aMost) {
        return id;
      }
    }
  }

  void Finish() {
    for (SentStream& stream : this->streams) {
      stream.isProgressing = false;
      stream.connection->EndChunks();
    }
    this->RunUntil([&] {
      return std::all_of(
          this->answers.begin(), this->answers.end(),
          [](const auto& aAnswer) { return aAnswer.has_value(); });
    });
    this->eventTimer.reset();
  }

  /// Silences three streams that share a member, beside a stream that shares
  /// none of their members and progresses or not.
  UpstreamPtr SilenceSharedMember(bool aOtherProgresses) {
    this->SendEvents();
    const UpstreamPtr first = this->AddStreaming({0, 1});
    const UpstreamPtr lost = this->AddUnprobeable({1, 2});
    for (const char* id : {"r1", "r2", "r3"}) {
      this->StartStream(id);
    }
    first->EjectUntil(clock.Now() + 60s);
    this->AddStreaming({0, 2});
    this->StartStream("r4");
    this->AddStreaming({1, 2});
    for (std::size_t i = 0; i < this->streams.size(); ++i) {
      this->streams[i].isProgressing = i == 3 && aOtherProgresses;
    }
    return lost;
  }

  void SuspectByPeer(const UpstreamPtr& aUpstream) {
    aUpstream->loss.OnPeerSuspicion(clock.Now());
  }

  /// The relay's configuration with a reading rate, so that repairs are
  /// estimated, and a typical request, so that first stages have room.
  static std::string ConfigWithReadRate(int aMaxAttempts) {
    std::string config = kRelayConfig;
    config.replace(config.find("\"step_ms\":1"), 11,
                   "\"step_ms\":1,\"read_per_s\":1000000,"
                   "\"usual\":{\"prompt\":1000,\"answer\":1000}");
    config.replace(config.find("\"maxAttempts\":2,\"backend\":\"model\""), 15,
                   "\"maxAttempts\":" + std::to_string(aMaxAttempts));
    return config;
  }

  /// Loses a member with more work than its holders read within the gap.
  void LoseBusyMember() {
    this->SendEvents();
    this->AddStreaming({0, 1});
    const UpstreamPtr lost = this->AddUnprobeable({1, 2});
    SentStream& stream = this->StartStream(IdWithHash(0.97, 1));
    this->AddStreaming({1, 2});
    this->AddStreaming({0, 2});
    stream.isProgressing = false;
    lost->AddRemoteWork(1e12);
    this->lostMember = lost;
  }

  /// Replaces the configuration by a newer one.
  void Reconfigure(std::string aText) {
    this->configurations += 1;
    const std::string number = std::to_string(this->configurations);
    aText.replace(aText.find("\"configVersion\":1"), 17,
                  "\"configVersion\":" + number);
    const std::uint64_t revision = 10 * this->configurations;
    view.OnConfiguration({"", aText, revision});
    view.OnValidated({revision}, clock.Now());
  }

 public:
  void setUp() override {
    RelayFixture::setUp();
    this->Reconfigure(ConfigWithReadRate(2));
  }
  void tearDown() override { this->eventTimer.reset(); }

  // Guards against waiting for a probe, 50 ms of the 250 that callers accept,
  // where a peer has the answer already.
  void SilentStream_PeerSuspectsMember_IsRerouted() {
    this->SendEvents();
    this->AddStreaming({0, 1});
    const UpstreamPtr lost = this->AddUnprobeable({1, 2});
    SentStream& stream = this->StartStream();
    this->AddStreaming({1, 2});
    stream.isProgressing = false;
    this->RunUntil([&] {
      this->SuspectByPeer(lost);
      return !this->orders.empty();
    });
    CPPUNIT_ASSERT(!lost->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(this->orders[0].find(lost->Entry().address) ==
                   std::string::npos);
    this->Finish();
  }

  void SilentStream_EstimatesOff_WaitsForProbe() {
    settings.features.repairEstimate = FeatureMode::Off;
    this->SendEvents();
    this->AddStreaming({0, 1});
    const UpstreamPtr lost = this->AddUnprobeable({1, 2});
    SentStream& stream = this->StartStream();
    this->AddStreaming({1, 2});
    stream.isProgressing = false;
    const Instant end = clock.Now() + 500ms;
    this->RunUntil([&] {
      this->SuspectByPeer(lost);
      return clock.Now() >= end;
    });
    CPPUNIT_ASSERT(this->orders.empty());
    this->Finish();
  }

  void SilentStreams_ShareMember_AreRerouted() {
    const UpstreamPtr lost = this->SilenceSharedMember(true);
    this->RunUntil([&] { return this->orders.size() == 3; });
    for (const std::string& order : this->orders) {
      CPPUNIT_ASSERT(order.find(lost->Entry().address) == std::string::npos);
    }
    CPPUNIT_ASSERT(!lost->IsSuspect(clock.Now()));
    this->Finish();
  }

  // Guards against a daemon that is cut off or slow itself rerouting all of its
  // streams.
  void SilentStreams_NothingProgresses_AreNotRerouted() {
    this->SilenceSharedMember(false);
    this->RunFor(400ms);
    CPPUNIT_ASSERT(this->orders.empty());
    this->Finish();
  }

  // Guards against rerouting all streams of a lost member to the same few
  // holders, which read the prompts one after the other.
  void LostMember_ReadsTakeTooLong_RunsAnew() {
    this->LoseBusyMember();
    this->RunUntil([&] {
      this->SuspectByPeer(this->lostMember);
      return this->streams.size() == 2;
    });
    CPPUNIT_ASSERT(this->orders.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->streams.size());
    this->Finish();
  }

  // Guards against more runs than the route or the retry budget permits.
  void LostMember_NoRetryOrAttemptLeft_IsRerouted() {
    for (const bool hasRetry : {false, true}) {
      RetryWindowSettings spent;
      spent.burst = hasRetry ? 10 : 0.5;
      retryWindows.clear();
      retryWindows.emplace("model", spent);
      this->Reconfigure(ConfigWithReadRate(hasRetry ? 1 : 2));
      this->LoseBusyMember();
      this->RunUntil([&] {
        this->SuspectByPeer(this->lostMember);
        return !this->orders.empty();
      });
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->streams.size());
      this->Finish();
      this->tearDown();
      for (const auto& [id, upstream] : view.Directory().All()) {
        upstream->EjectUntil(clock.Now() + 60s);
      }
      this->streams.clear();
      this->orders.clear();
      this->answers.clear();
    }
  }

  /// Runs a stream through a member that announced its departure, at the time
  /// drawn for the stream; returns the orders in the next 300 ms.
  std::size_t OrdersOfLeavingMember(const std::string& aLengthHint) {
    settings.drainNotice = 6s;
    this->SendEvents();
    this->AddStreaming({0, 1});
    const UpstreamPtr leaving = this->AddUnprobeable({1, 2});
    const std::string id = IdWithHash(0.4, 0.5);
    this->StartStream(id, aLengthHint);
    this->AddStreaming({1, 2});
    leaving->SetLeaving(clock.Now() - 3300ms);
    this->RunFor(300ms);
    const std::size_t count = this->orders.size();
    this->Finish();
    return count;
  }

  void LeavingMember_LongStream_Moves() {
    CPPUNIT_ASSERT(this->OrdersOfLeavingMember("500") > 0);
  }

  // Guards against pauses of streams that would have ended on the leaving
  // member: all streams moved one second after its announcement.
  void LeavingMember_StreamEndsBefore_Stays() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->OrdersOfLeavingMember("20"));
  }

  void LeavingFirstUpstream_EndOfPeriod_GetsOneNewRun() {
    this->SendEvents();
    const UpstreamPtr leaving = this->AddStreaming({0, 2});
    this->StartStream();
    this->AddStreaming({0, 2});
    leaving->SetLeaving(clock.Now());
    this->RunUntil([&] { return this->streams.size() == 2; });
    CPPUNIT_ASSERT(leaving->IsLeaving(clock.Now(), 1s));
    this->RunFor(100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->streams.size());
    this->Finish();
    CPPUNIT_ASSERT(this->answers[0]->has_value());
  }

  void LeavingFirstUpstream_NoRetry_Stays() {
    RetryWindowSettings spent;
    spent.burst = 0.5;
    retryWindows.emplace("model", spent);
    this->SendEvents();
    const UpstreamPtr leaving = this->AddStreaming({0, 2});
    this->StartStream();
    this->AddStreaming({0, 2});
    leaving->SetLeaving(clock.Now() - 2s);
    this->RunFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->streams.size());
    this->Finish();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRepairTest);

}  // namespace
}  // namespace zincstep
