#include <map>
#include <mutex>
#include <unordered_map>

#include "Zincstep/Engine/EngineClient.h"
#include "Zincstep/Engine/EngineCodec.h"

namespace zincstep {

namespace {

constexpr Micros kCallTimeout = 1s;
constexpr Micros kProbeTimeout = 80ms;
constexpr Micros kConnectTimeout = 150ms;
/// Maximum body of an engine's load, progress or acknowledgement, in bytes.
constexpr std::size_t kMaxReportBytes = 64 << 10;
/// Maximum size of a line of a token stream, and of all lines of a stream
/// together that are no events, in bytes. An attempt that exceeds it fails.
constexpr std::size_t kMaxLineBytes = 1 << 20;

enum class CallKind { Attempt, Release, Probe, Load };

/// One probe of all stages of a chain.
struct ProbeRound {
  std::uint64_t request = 0;
  int attempt = 0;
  std::size_t outstanding = 0;
  std::vector<StageProgress> progress;
};

/// Purpose and state of a running call.
struct CallContext {
  CallKind kind = CallKind::Release;
  std::uint64_t request = 0;
  int attempt = 0;
  std::string pendingLine;
  /// Bytes of the stream's lines that are no events.
  std::size_t invalidBytes = 0;
  bool hasFailed = false;
  std::shared_ptr<ProbeRound> probe;
  std::size_t probeStage = 0;
  std::string upstream;
};

/// Sends the route to the first stage, and receives only tokens from then on.
class ForwardingEngineClient final : public EngineClient, HttpCallListener {
 public:
  ForwardingEngineClient(HttpClient& aHttp, EngineListener& aListener)
      : http(aHttp), listener(aListener) {}

  void Start(EngineAttempt aAttempt) override {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + aAttempt.stages.front().address + "/v1/attempts";
    call.headers = {{"Content-Type", "application/json"},
                    {"traceparent", aAttempt.traceParent}};
    call.body = WriteAttempt(aAttempt);
    call.streamed = true;
    call.connectTimeout = kConnectTimeout;
    call.timeout = aAttempt.timeLeft + kCallTimeout;
    CallContext context;
    context.kind = CallKind::Attempt;
    context.request = aAttempt.request;
    context.attempt = aAttempt.attempt;
    const std::lock_guard<std::mutex> lock(this->mutex);
    const CallId id = this->http.Start(std::move(call), *this);
    this->calls[id] = std::move(context);
    this->attempts[{aAttempt.request, aAttempt.attempt}] = id;
  }

  void Abandon(std::uint64_t aRequest, int aAttempt) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->attempts.find({aRequest, aAttempt});
    if (found != this->attempts.end()) {
      this->http.Cancel(found->second);
    }
  }

  void Release(const std::string& aAddress, std::uint64_t aRequest,
               int aAttempt) override {
    HttpCall call;
    call.method = "DELETE";
    call.url = SequenceUrl(aAddress, aRequest, aAttempt);
    call.timeout = kCallTimeout;
    this->StartCall(std::move(call), CallContext{});
  }

  void Probe(std::uint64_t aRequest, int aAttempt,
             const std::vector<std::string>& aAddresses) override {
    auto round = std::make_shared<ProbeRound>();
    round->request = aRequest;
    round->attempt = aAttempt;
    round->outstanding = aAddresses.size();
    round->progress.resize(aAddresses.size());
    for (std::size_t i = 0; i < aAddresses.size(); ++i) {
      HttpCall call;
      call.url = SequenceUrl(aAddresses[i], aRequest, aAttempt);
      call.connectTimeout = kProbeTimeout;
      call.timeout = kProbeTimeout;
      CallContext context;
      context.kind = CallKind::Probe;
      context.probe = round;
      context.probeStage = i;
      this->StartCall(std::move(call), std::move(context));
    }
  }

  void QueryLoad(const std::string& aUpstream,
                 const std::string& aAddress) override {
    HttpCall call;
    call.url = "http://" + aAddress + "/v1/load";
    call.timeout = kCallTimeout;
    CallContext context;
    context.kind = CallKind::Load;
    context.upstream = aUpstream;
    this->StartCall(std::move(call), std::move(context));
  }

 private:
  static std::string SequenceUrl(const std::string& aAddress,
                                 std::uint64_t aRequest, int aAttempt) {
    return "http://" + aAddress + "/v1/sequences/" + std::to_string(aRequest) +
           "?attempt=" + std::to_string(aAttempt);
  }

  void StartCall(HttpCall aCall, CallContext aContext) {
    aCall.maxBodyBytes = kMaxReportBytes;
    const std::lock_guard<std::mutex> lock(this->mutex);
    const CallId id = this->http.Start(std::move(aCall), *this);
    this->calls[id] = std::move(aContext);
  }

  bool OnCallData(CallId aCall, std::string aPart) override {
    CallContext* context = this->Find(aCall);
    if (context == nullptr || context->kind != CallKind::Attempt) {
      return true;
    }
    // Only the part is searched: a line in chunks of a few bytes would
    // otherwise occupy the client's thread for minutes.
    const std::size_t searched = context->pendingLine.size();
    context->pendingLine += aPart;
    std::size_t lineStart = 0;
    std::size_t lineEnd = context->pendingLine.find('\n', searched);
    while (lineEnd != std::string::npos) {
      const std::string_view buffered = context->pendingLine;
      this->OnLine(*context, buffered.substr(lineStart, lineEnd - lineStart));
      lineStart = lineEnd + 1;
      lineEnd = context->pendingLine.find('\n', lineStart);
    }
    context->pendingLine.erase(0, lineStart);
    return context->pendingLine.size() + context->invalidBytes <= kMaxLineBytes;
  }

  void OnLine(CallContext& aContext, std::string_view aText) {
    Result<EngineLine> line = ReadLine(aText);
    if (!line) {
      aContext.invalidBytes += aText.size() + 1;
      return;
    }
    if (line->isToken) {
      this->listener.OnToken(std::move(line->token));
      return;
    }
    aContext.hasFailed = true;
    this->listener.OnAttemptFailed(aContext.request, aContext.attempt,
                                   line->failedStage, line->failure);
  }

  void OnCallEnd(CallId aCall, HttpCallResult aResult) override {
    CallContext context = this->RemoveCall(aCall);
    switch (context.kind) {
      case CallKind::Attempt:
        this->OnAttemptEnd(context, aResult);
        break;
      case CallKind::Probe:
        this->OnProbeEnd(context, aResult);
        break;
      case CallKind::Load:
        this->OnLoadEnd(context, aResult);
        break;
      case CallKind::Release:
        break;
    }
  }

  /// Reports the end of the stream as a failure of the first stage, unless the
  /// stream named a failed stage or the attempt was abandoned. After the last
  /// token the listener ignores the report, as the attempt is closed.
  void OnAttemptEnd(const CallContext& aContext,
                    const HttpCallResult& aResult) {
    if (aResult.end == CallEnd::Cancelled || aContext.hasFailed) {
      return;
    }
    const bool isRefused =
        aResult.end == CallEnd::Answered && aResult.status != 200;
    this->listener.OnAttemptFailed(
        aContext.request, aContext.attempt, 0,
        isRefused ? HopFailure::Refused : HopFailure::Dead);
  }

  void OnProbeEnd(const CallContext& aContext, const HttpCallResult& aResult) {
    ProbeRound& round = *aContext.probe;
    if (aResult.end == CallEnd::Answered && aResult.status == 200) {
      round.progress[aContext.probeStage] = ReadProgress(aResult.body);
    } else if (aResult.end == CallEnd::Answered) {
      // The stage is alive but doesn't know this attempt.
      round.progress[aContext.probeStage].hasResponded = true;
    }
    round.outstanding -= 1;
    if (round.outstanding == 0) {
      this->listener.OnProgress(round.request, round.attempt, round.progress);
    }
  }

  void OnLoadEnd(const CallContext& aContext, const HttpCallResult& aResult) {
    if (aResult.end == CallEnd::Answered && aResult.status == 200) {
      this->listener.OnLoad(aContext.upstream, ReadLoad(aResult.body));
      return;
    }
    this->listener.OnLoad(aContext.upstream,
                          Fail(ErrorKind::UpstreamUnreachable, aResult.fault));
  }

  CallContext* Find(CallId aCall) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->calls.find(aCall);
    return found == this->calls.end() ? nullptr : &found->second;
  }

  CallContext RemoveCall(CallId aCall) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->calls.find(aCall);
    ZINCSTEP_ASSERT(found != this->calls.end());
    CallContext context = std::move(found->second);
    this->calls.erase(found);
    if (context.kind == CallKind::Attempt) {
      this->attempts.erase({context.request, context.attempt});
    }
    return context;
  }

  HttpClient& http;
  EngineListener& listener;
  /// Guards the two maps: calls are added on the router's thread and removed on
  /// the HTTP client's. References into `calls` stay valid while other entries
  /// change, and only the HTTP client's thread reads or erases an entry.
  std::mutex mutex;
  std::unordered_map<CallId, CallContext> calls;
  std::map<std::pair<std::uint64_t, int>, CallId> attempts;
};

}  // namespace

std::unique_ptr<EngineClient> MakeForwardingEngineClient(
    HttpClient& aHttp, EngineListener& aListener) {
  return std::make_unique<ForwardingEngineClient>(aHttp, aListener);
}

}  // namespace zincstep
