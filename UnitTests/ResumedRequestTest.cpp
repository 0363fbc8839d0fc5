#include "UnitTests/RefusingPort.h"
#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kLastEvent = 6;

/// Streaming routes to a service without layers and to both kinds of services.
std::string ResumableConfig() {
  std::string config = kRelayConfig;
  const std::string added =
      R"({"name":"e","hostname":"h","pathPrefix":"/events/",)"
      R"("routeType":"streaming","timeoutMs":20000,"maxAttempts":2,)"
      R"("backend":"plain","resumable":true},)"
      R"({"name":"b","hostname":"h","pathPrefix":"/both/",)"
      R"("routeType":"streaming","timeoutMs":20000,"maxAttempts":2,)"
      R"("trafficSplit":[{"backend":"plain","weight":50},)"
      R"({"backend":"model","weight":50}],"resumable":true},)";
  const std::string before = "\"routes\":[";
  return config.insert(config.find(before) + before.size(), added);
}

std::string_view LastEventId(const CallerMessage& aMessage) {
  return FindHeader(aMessage.head.headers, "Last-Event-Id");
}

/// Sends the events behind the one that the request names, up to `aLast`.
void SendEvents(const ConnectionPtr& aTo, const CallerMessage& aMessage,
                std::uint64_t aLast) {
  aTo->BeginChunks(kOk, SealedHeaders(aMessage));
  const std::string after(LastEventId(aMessage));
  std::uint64_t id = std::strtoull(after.c_str(), nullptr, 10);
  while (++id <= aLast) {
    aTo->AppendChunk("id: " + std::to_string(id) + "\ndata: token\n\n");
  }
}

/// Collects the events of one attempt, also of one that is truncated.
class EventCaller final : public SingleCallListener {
 public:
  void OnResponseHead(HttpHead aHead) override { this->status = aHead.status; }
  bool OnResponseBody(std::string_view aPart) override {
    this->body += aPart;
    return true;
  }
  void OnCallEnd(SingleCallEnd aEnd) override { this->end = aEnd; }

  std::vector<std::uint64_t> Events() const {
    std::vector<std::uint64_t> ids;
    const std::string field = "id: ";
    std::size_t at = this->body.find(field);
    while (at != std::string::npos && this->status == kOk) {
      ids.push_back(std::strtoull(&this->body[at + field.size()], nullptr, 10));
      at = this->body.find(field, at + 1);
    }
    return ids;
  }
  bool IsComplete() const {
    return this->end == SingleCallEnd::Complete && this->status == kOk;
  }

  int status = 0;
  std::string body;
  std::optional<SingleCallEnd> end;
};

/// Requests that name the last event that their caller has.
class ResumedRequestTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(ResumedRequestTest);
  CPPUNIT_TEST(Stream_OfServiceWithoutLayers_ContinuesBehindLastEvent);
  CPPUNIT_TEST(Stream_RefusedByFirstUpstream_ContinuesBehindLastEvent);
  CPPUNIT_TEST(Stream_OfServiceWithoutLayersHandedOver_NamesLastEvent);
  CPPUNIT_TEST(Stream_ForwardedToServiceWithoutLayers_NamesLastEvent);
  CPPUNIT_TEST(Stream_HandedOverBehindItsLastEvent_IsComplete);
  CPPUNIT_TEST(Request_LastEventIdIsText_IsPassedOnUnchanged);
  CPPUNIT_TEST(Streams_RandomUpstreams_HaveEachEventOnce);
  CPPUNIT_TEST(Streams_RandomDaemons_HaveEachEventOnce);
  CPPUNIT_TEST_SUITE_END();

  const RefusingPort refusing{loop};
  std::vector<ForwardPeer> known;
  std::vector<std::unique_ptr<ScriptedUpstream>> peers;
  std::unique_ptr<CallerListener> forwarded;

  static void Serve(const ConnectionPtr& aTo, const CallerMessage& aMessage) {
    if (aMessage.head.target == "/report" ||
        aMessage.head.target.starts_with("/safe/") ||
        aMessage.head.target.starts_with("/unsafe/")) {
      AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
      return;
    }
    SendEvents(aTo, aMessage, kLastEvent);
    aTo->EndChunks();
  }

  static void RefuseAsNotRun(const ConnectionPtr& aTo,
                             const CallerMessage& aMessage) {
    HttpHeaders headers = SealedHeaders(aMessage);
    headers.push_back({"X-Not-Executed", "1"});
    aTo->Answer(kUnavailable, headers, "full");
  }

  /// Serves, refuses or breaks off at random.
  static ScriptedUpstream::Script AtRandom(Random& aDraws) {
    return [&aDraws](const ConnectionPtr& aTo, const CallerMessage& aMessage) {
      const double draw = aDraws.Unit();
      if (aMessage.head.target == "/report" || draw < 0.5) {
        Serve(aTo, aMessage);
      } else if (draw < 0.7) {
        RefuseAsNotRun(aTo, aMessage);
      } else if (draw < 0.85) {
        aTo->Abort();
      } else {
        SendEvents(aTo, aMessage, aDraws.Below(kLastEvent));
        aTo->CloseWhenSent();
      }
    };
  }

  void AddPeer(ScriptedUpstream::Script aScript) {
    peers.push_back(
        std::make_unique<ScriptedUpstream>(loop, clock, std::move(aScript)));
    known.push_back(
        {"peer" + std::to_string(peers.size()), peers.back()->Address(), ""});
    forwards.SetPeers(known);
  }

  std::string ResumedAttempt(const std::string& aPath,
                             const std::string& aLastEventId) {
    std::string request = this->Attempt(aPath);
    return aLastEventId.empty()
               ? request
               : request.insert(request.find("Content-Length"),
                                "Last-Event-Id: " + aLastEventId + "\r\n");
  }

  EventCaller AskAt(std::uint16_t aPort, const std::string& aRequest) {
    EventCaller caller;
    const auto call = std::make_shared<SingleCall>(loop, caller);
    call->Start({asio::ip::address_v4::loopback(), aPort}, aRequest, 1s);
    this->RunUntil([&] { return caller.end.has_value(); });
    return caller;
  }

  /// Sends a request that names an event; returns the field that the upstreams
  /// or daemons got with each try.
  std::vector<std::string> FieldsSent(
      const std::vector<std::unique_ptr<ScriptedUpstream>>& aTo) {
    std::vector<std::string> fields;
    for (const auto& one : aTo) {
      for (const HttpHead& head : one->seen) {
        if (head.target != "/report") {
          fields.emplace_back(FindHeader(head.headers, "Last-Event-Id"));
        }
      }
    }
    return fields;
  }

  void ListenForDaemons() {
    forwarded = std::make_unique<CallerListener>(
        loop, relay->ForwardedRequests(), clock);
    CPPUNIT_ASSERT(forwarded->Start("127.0.0.1:0").has_value());
  }

  /// Has callers that have a random number of events repeat their requests
  /// until they have all, as they do after a broken connection.
  void CheckRandomStreams(const std::vector<std::uint16_t>& aPorts,
                          Random& aDraws) {
    constexpr int kStreams = 60;
    constexpr int kAttempts = 30;
    const std::array paths{"/llm/x", "/events/x", "/both/x"};
    for (int stream = 0; stream < kStreams; ++stream) {
      std::vector<std::uint64_t> events;
      const std::uint64_t first = aDraws.Below(kLastEvent);
      for (std::uint64_t id = 1; id <= first; ++id) {
        events.push_back(id);
      }
      bool isComplete = false;
      for (int i = 0; i < kAttempts && !isComplete; ++i) {
        const std::string path = paths.at(aDraws.Below(paths.size()));
        const EventCaller caller = this->AskAt(
            aPorts.at(aDraws.Below(aPorts.size())),
            this->ResumedAttempt(
                path, events.empty() ? "" : std::to_string(events.back())));
        for (const std::uint64_t id : caller.Events()) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
              path, events.empty() ? 1 : events.back() + 1, id);
          events.push_back(id);
        }
        isComplete = caller.IsComplete();
        clock.Advance(1s);  // So that upstreams are called again.
        view.OnValidated({10}, clock.Now());
      }
      CPPUNIT_ASSERT(isComplete);
      CPPUNIT_ASSERT_EQUAL(std::size_t{kLastEvent}, events.size());
    }
  }

 public:
  void setUp() override {
    this->Begin();
    this->Configure(ResumableConfig());
  }

  // Guards against a second copy of a resumed stream's first events where the
  // service has no layers: its upstream did not get the Last-Event-Id.
  void Stream_OfServiceWithoutLayers_ContinuesBehindLastEvent() {
    this->AddUpstream("plain", Serve);
    const EventCaller caller =
        this->AskAt(listener->Port(), this->ResumedAttempt("/events/x", "4"));
    CPPUNIT_ASSERT(caller.Events() == (std::vector<std::uint64_t>{5, 6}));
  }

  void Stream_RefusedByFirstUpstream_ContinuesBehindLastEvent() {
    const auto asked = std::make_shared<int>(0);
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream(
          "plain", [asked](const auto& aTo, const auto& aMessage) {
            *asked += 1;
            *asked == 1 ? RefuseAsNotRun(aTo, aMessage) : Serve(aTo, aMessage);
          });
    }
    const EventCaller caller =
        this->AskAt(listener->Port(), this->ResumedAttempt("/events/x", "4"));
    CPPUNIT_ASSERT(caller.Events() == (std::vector<std::uint64_t>{5, 6}));
    CPPUNIT_ASSERT(this->FieldsSent(upstreams) ==
                   (std::vector<std::string>{"4", "4"}));
  }

  // Guards against the same where the daemon forwards the request to another.
  void Stream_OfServiceWithoutLayersHandedOver_NamesLastEvent() {
    this->List("plain", refusing.Address());
    this->AddPeer(Serve);
    const EventCaller caller =
        this->AskAt(listener->Port(), this->ResumedAttempt("/events/x", "4"));
    CPPUNIT_ASSERT(caller.Events() == (std::vector<std::uint64_t>{5, 6}));
  }

  void Stream_ForwardedToServiceWithoutLayers_NamesLastEvent() {
    this->AddUpstream("plain", Serve);
    this->ListenForDaemons();
    const EventCaller caller =
        this->AskAt(forwarded->Port(), this->ResumedAttempt("/events/x", "4"));
    CPPUNIT_ASSERT(caller.Events() == (std::vector<std::uint64_t>{5, 6}));
  }

  // Guards against a lost run where another daemon has nothing left to send.
  void Stream_HandedOverBehindItsLastEvent_IsComplete() {
    this->List("model", refusing.Address());
    this->AddPeer(Serve);
    const EventCaller caller =
        this->AskAt(listener->Port(), this->ResumedAttempt("/llm/x", "6"));
    CPPUNIT_ASSERT(caller.IsComplete());
    CPPUNIT_ASSERT(caller.Events().empty());
  }

  // Event ids are text, and a field that concerns no connection is passed on.
  void Request_LastEventIdIsText_IsPassedOnUnchanged() {
    this->AddUpstream("plain", Serve);
    this->AddUpstream("model", Serve);
    for (const char* path : {"/safe/x", "/unsafe/x", "/events/x", "/llm/x"}) {
      this->AskAt(listener->Port(), this->ResumedAttempt(path, "4-b"));
    }
    CPPUNIT_ASSERT(this->FieldsSent(upstreams) ==
                   (std::vector<std::string>(4, "4-b")));
  }

  void Streams_RandomUpstreams_HaveEachEventOnce() {
    Random draws(6);
    for (const char* service : {"plain", "plain", "model", "model"}) {
      this->AddUpstream(service, AtRandom(draws));
    }
    this->ListenForDaemons();
    this->CheckRandomStreams({listener->Port(), forwarded->Port()}, draws);
  }

  void Streams_RandomDaemons_HaveEachEventOnce() {
    Random draws(66);
    for (const char* service : {"plain", "model"}) {
      this->List(service, refusing.Address());
    }
    for (int i = 0; i < 3; ++i) {
      this->AddPeer(AtRandom(draws));
    }
    this->CheckRandomStreams({listener->Port()}, draws);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedRequestTest);

}  // namespace
}  // namespace zincstep
