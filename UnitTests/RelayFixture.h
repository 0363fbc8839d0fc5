#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "Zincstep/Net/CallerListener.h"
#include "Zincstep/Net/SingleCall.h"
#include "Zincstep/Relay/Relay.h"
#include "platform/Platform.h"

namespace zincstep {

using ConnectionPtr = std::shared_ptr<CallerConnection>;

/// An upstream whose responses are scripted by the test.
class ScriptedUpstream final : public CallerHandler {
 public:
  using Script =
      std::function<void(const ConnectionPtr&, const CallerMessage&)>;

  ScriptedUpstream(asio::io_context& aLoop, const Clock& aClock, Script aScript)
      : listener(std::make_unique<CallerListener>(aLoop, *this, aClock)),
        script(std::move(aScript)) {
    CPPUNIT_ASSERT(this->listener->Start("127.0.0.1:0").has_value());
    this->address = "127.0.0.1:" + std::to_string(this->listener->Port());
  }

  void OnRequest(const ConnectionPtr& aConnection,
                 CallerMessage aMessage) override {
    this->seen.push_back(aMessage.head);
    this->script(aConnection, aMessage);
  }
  void OnCallerDisconnected(CallerConnection&) override {
    this->disconnects += 1;
  }

  const std::string& Address() const { return this->address; }
  /// Closes its port. Must not be called from within `OnRequest`.
  void Close() { this->listener.reset(); }
  bool IsClosed() const { return !this->listener; }

  std::vector<HttpHead> seen;
  int disconnects = 0;

 private:
  std::unique_ptr<CallerListener> listener;
  std::string address;
  Script script;
};

inline HttpHeaders SealedHeaders(const CallerMessage& aMessage) {
  return {{"X-Attempt-Id",
           std::string(FindHeader(aMessage.head.headers, "X-Attempt-Id"))},
          {"X-Response-Seal", "seal"}};
}

/// Sends a complete response: to a stream one event, to a report query the
/// report of an upstream with a queued request.
inline void AnswerWhole(const ConnectionPtr& aTo, const CallerMessage& aMessage,
                        const HttpHeaders& aHeaders) {
  constexpr const char* kReport =
      R"({"layers":{"from":0,"targetVersion":2},"running":1,"queued":1,)"
      R"("kvUsed":10,"kvTotal":1000,"stalled":[]})";
  if (aMessage.head.target == "/report") {
    aTo->Answer(200, aHeaders, kReport);
  } else if (aMessage.head.target.starts_with("/llm/")) {
    aTo->BeginChunks(200, aHeaders);
    aTo->AppendChunk("id: 1\ndata: a\n\n");
    aTo->EndChunks();
  } else {
    aTo->Answer(200, aHeaders, "ok");
  }
}

/// The system's clock, which a test may set forward.
class ForwardableClock final : public Clock {
 public:
  Instant Now() const override { return this->system.Now() + this->offset; }
  void Advance(Micros aDuration) { this->offset += aDuration; }

 private:
  SystemClock system;
  Micros offset{0};
};

/// A configuration with a safe, an unsafe and a streaming route.
inline constexpr const char* kRelayConfig = R"({"configVersion":1,"routes":[
 {"name":"s","hostname":"h","pathPrefix":"/safe/","routeType":"safe",
  "timeoutMs":2000,"maxAttempts":2,"backend":"plain"},
 {"name":"u","hostname":"h","pathPrefix":"/unsafe/","routeType":"unsafe",
  "timeoutMs":2000,"maxAttempts":1,"backend":"plain"},
 {"name":"l","hostname":"h","pathPrefix":"/llm/","routeType":"streaming",
  "timeoutMs":20000,"maxAttempts":2,"backend":"model","resumable":true}],
 "services":[{"name":"plain"},{"name":"model","engine":{"layers":2,
  "layer_mb":1,"kvTokenBytes":1000,"step_ms":1,"models":[{"name":"m"}],
  "kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}]}}],
 "tenants":[{"name":"acme","apiKeys":["key1"]}]})";

/// A relay in this process with callers and scripted upstreams on loopback.
class RelayFixture : public CppUnit::TestFixture,
                     private ClusterListener,
                     private CrashListener {
 public:
  void setUp() override {
    this->Begin();
    this->Configure(kRelayConfig);
  }

 protected:
  /// Starts the relay without a configuration, like a daemon after its start.
  void Begin() {
    relay = std::make_unique<Relay>(RelayContext{
        loop,   settings, *dialect, view,    countedControl, clock,
        random, metrics,  prober,   crashes, crashDetector,  connectionPool,
        limits, chains,   services, demand,  statistics,     retryWindows,
        stop,   reach,    forwards, [] {}});
    listener = std::make_unique<CallerListener>(loop, *relay, clock);
    CPPUNIT_ASSERT(listener->Start("127.0.0.1:0").has_value());
  }

  asio::io_context loop{1};
  ForwardableClock clock;
  std::unique_ptr<RelayDialect> dialect = platform::MakeDialect();
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  std::unique_ptr<UpstreamControl> control =
      platform::MakeUpstreamControl(loop);
  ClusterView view{*decoder, *this, clock};
  RelaySettings settings;
  Random random{3};
  Metrics metrics;
  CallLimits limits{CallLimitSettings{"self", ""}, clock, metrics,
                    [](const std::vector<LimitNotice>&) {}};
  CountedControl countedControl{*control, view.Directory(), limits, clock};
  UpstreamProber prober{UpstreamProberSettings{}, countedControl, clock,
                        [](Provenance) {}};
  CrashTracker crashes{CrashTrackerSettings{}};
  CrashDetector crashDetector{crashes, *control, clock, *this};
  ChainChooser chains{ChainChooserSettings{}};
  ServiceChooser services{ServiceChooserSettings{}};
  DemandMeter demand;
  LoadStatistics statistics{LoadStatisticsSettings{}};
  ConnectionPool connectionPool{ConnectionPoolSettings{}, clock};
  std::map<std::string, RetryWindow> retryWindows;
  StopPolicy stop{StopPolicySettings{}};
  ReachMonitor reach{clock, metrics};
  ForwardChooser forwards{ForwardChooserSettings{}, clock, random};
  std::unique_ptr<Relay> relay;
  std::unique_ptr<CallerListener> listener;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  /// Requests made by `Attempt`.
  int attempts = 0;

  void Configure(const std::string& aText) {
    view.OnConfiguration({"", aText, 10});
    view.OnValidated({10}, clock.Now());
  }

  ScriptedUpstream& AddUpstream(const std::string& aService,
                                ScriptedUpstream::Script aScript,
                                LayerRange aLayers = {0, 2}) {
    upstreams.push_back(
        std::make_unique<ScriptedUpstream>(loop, clock, std::move(aScript)));
    this->List(aService, upstreams.back()->Address(), aLayers);
    return *upstreams.back();
  }

  /// Adds an upstream that serves all requests.
  void AddSound(const std::string& aService) {
    this->AddUpstream(aService, [](const auto& aTo, const auto& aMessage) {
      AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
    });
  }

  void List(const std::string& aService, const std::string& aAddress,
            LayerRange aLayers = {0, 2}) {
    const std::uint64_t revision = view.Revisions().upstreams.number + 1;
    // Only upstreams that hold layers have a kind, and support reports.
    const std::string kind = aService == "model" ? "k" : "";
    view.OnUpstreamEvents(
        {{{{"i" + std::to_string(revision),
            R"({"backend":")" + aService + R"(","address":")" + aAddress +
                R"(","zone":"","state":"ready","slots":4,"routeType":")" +
                kind + R"(","layers":{"from":)" +
                std::to_string(aLayers.first) + R"(,"targetVersion":)" +
                std::to_string(aLayers.last) + "}}",
            revision},
           false}},
         revision});
  }

  std::string Request(const std::string& aPath,
                      const std::string& aKey = "key1") {
    return "POST " + aPath +
           " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n"
           "X-Deadline-Ms: 3000\r\nAuthorization: Bearer " +
           aKey + "\r\nContent-Length: 2\r\n\r\nhi";
  }

  /// A request with a unique id and a long deadline.
  std::string Attempt(const std::string& aPath) {
    this->attempts += 1;
    return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r" +
           std::to_string(this->attempts) +
           "\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer key1\r\n"
           "Content-Length: 0\r\n\r\n";
  }

  void RunFor(Micros aTime) {
    const Instant end = clock.Now() + aTime;
    this->RunUntil([&] { return clock.Now() >= end; });
  }

  /// Sends a request and runs the loop until the response arrives.
  Result<HttpResponse> Ask(const std::string& aRequest) {
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(
        loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        aRequest, 10s,
        [&](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    this->RunUntil([&] { return answer.has_value(); });
    return *answer;
  }

  void RunUntil(const std::function<bool()>& aDone) {
    asio::steady_timer tick(loop);
    // A timer that has expired can't be cancelled: its handler runs in the next
    // call, when `step` is gone.
    const auto isRunning = std::make_shared<bool>(true);
    std::function<void()> step = [&] {
      relay->Tick();
      limits.Tick();
      tick.expires_after(10ms);
      tick.async_wait([&step, isRunning](const asio::error_code& aError) {
        if (!aError && *isRunning) {
          step();
        }
      });
    };
    step();
    while (!aDone()) {
      loop.run_one();
    }
    *isRunning = false;
    tick.cancel();
  }

 private:
  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}
  void OnCrashes(const std::vector<UpstreamCrash>&) override {}
  void OnReportDue(const std::vector<UpstreamCrash>&) override {}
  void OnSuspected(const std::vector<UpstreamCrash>&) override {}
  void OnWithdrawn(const std::vector<UpstreamCrash>&) override {}
  void OnCleared(Fingerprint) override {}
  void OnBlocked(Fingerprint aRequest) override { relay->OnBlocked(aRequest); }
  void OnUpstreamSuspected() override {}
};

}  // namespace zincstep
