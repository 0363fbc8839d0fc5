#include "Zincstep/Relay/Exchange.h"

#include <array>
#include <cstdio>

namespace zincstep {

namespace {

/// Maximum Retry-After as a share of the caller's time left. Callers ignore a
/// value above a third of it (the platform's documentation).
constexpr double kMaxRetryAfterShare = 0.32;

/// Jitter added to the Retry-After of callers that wait for an upstream's call
/// limit, as a share of that wait.
constexpr double kRetryAfterJitter = 0.5;

/// Headers of a single connection, or that the connection writes itself.
constexpr std::array<std::string_view, 9> kHopByHopHeaders{
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length"};
constexpr int kMinFailureStatus = 300;
constexpr int kMinSuccessStatus = 200;

}  // namespace

HttpHeader RetryAfterHeader(Micros aSpan) {
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(aSpan));
  return {"Retry-After", {text.data(), static_cast<std::size_t>(size)}};
}

ExpectedDuration LongestDurationOf(const AdmittedRequest& aRequest,
                                   Instant aNow) {
  const Route& route = *aRequest.route;
  ExpectedDuration longest;
  longest.maximum = aRequest.deadline - aNow;
  longest.isStream =
      route.kind == RouteKind::Streaming && aRequest.service->model.has_value();
  longest.isRepeatable =
      longest.isStream ? route.isResumable : route.kind == RouteKind::Safe;
  return longest;
}

Exchange::Exchange(RelayContext& aContext, AdmittedRequest aRequest)
    : context(aContext), request(std::move(aRequest)) {
  this->runs = this->request.priorRuns;
}

void Exchange::CountArrival(double aTokens) {
  this->context.statistics.OnArrival(this->counted, this->request.priority,
                                     this->request.organisation, aTokens,
                                     this->Now());
}

void Exchange::RecordWait() {
  const Instant now = this->Now();
  if (this->isDone ||
      this->Silence(now) < this->context.settings.eventTimeout) {
    return;
  }
  this->waitAtEnd = this->WaitState();
  this->context.metrics.Count(
      "zincstep_silent_stream_ends_total",
      {{"cause", std::string(NameIn(kWaitCauseNames, this->waitAtEnd->cause))},
       {"search", std::string(NameIn(kSearchOutcomeNames,
                                     this->waitAtEnd->searches.last))}});
}

void Exchange::OnCallerDisconnected() {
  this->RecordWait();
  this->CancelCall();
  this->Finish("caller_gone", "the caller disconnected");
}

Micros Exchange::ComputeRetryAfter(ErrorKind aKind) {
  const RelaySettings& settings = this->context.settings;
  const std::optional<ModelShape>& model = this->request.service->model;
  Micros after =
      std::min(ErrorInfoFor(aKind).retryAfter, settings.busyRetryAfter);
  const bool isCapacityLost =
      aKind == ErrorKind::NoCapacity || aKind == ErrorKind::UpstreamUnreachable;
  if (isCapacityLost && model) {
    after =
        FromSeconds(ToSeconds(model->loadTime) * settings.noCapacityRetryLoads);
  }
  // Jitter spreads the retries of callers that are refused together. None
  // should arrive before an upstream's call limit permits a call.
  after = FromSeconds(ToSeconds(after) * (0.5 + this->context.random.Unit()));
  after = this->ScheduledRetryAfter(aKind).value_or(after);
  after = std::max(after, FromSeconds(ToSeconds(this->callWait) *
                                      (1 + kRetryAfterJitter *
                                               this->context.random.Unit())));
  const Micros left = this->request.deadline - this->Now();
  return std::clamp(FromSeconds(ToSeconds(left) * kMaxRetryAfterShare),
                    Micros{0}, after);
}

void Exchange::Refuse(ErrorKind aKind, const char* aReason) {
  this->CancelCall();
  const ErrorInfo& answer = ErrorInfoFor(aKind);
  ZINCSTEP_ASSERT(answer.outcome != Outcome::NotRun || !this->mayHaveRun);
  HttpHeaders headers =
      this->context.dialect.LocalResponseHeaders(this->request.info.id);
  if (answer.outcome == Outcome::NotRun) {
    const Micros after = this->ComputeRetryAfter(aKind);
    if (answer.retryAfter > Micros{0}) {
      headers.push_back(RetryAfterHeader(after));
    }
    this->OnNotRunRefusal(aKind, after);
  }
  if (aKind == ErrorKind::DeadlineDuringRun) {
    this->RecordDuration();
  }
  this->context.metrics.Count("zincstep_refusals_total",
                              {{"kind", std::string(answer.name)}});
  this->context.statistics.OnRefused(this->counted, aKind);
  this->request.connection->Answer(answer.status, headers, answer.name);
  this->Finish(answer.name.data(), aReason);
}

void Exchange::ForwardResponse(const HttpHead& aHead,
                               const std::string& aBody) {
  const bool isSuccess = aHead.status < kMinFailureStatus;
  if (isSuccess) {
    this->OnRunCompleted();  // A failure may have occurred before the run.
  }
  if (this->Now() - this->request.message.readAt >
      this->request.route->latencyObjective) {
    this->context.statistics.OnLateFirstEvent(this->counted);
  }
  this->request.connection->Answer(aHead.status, ForwardedHeaders(aHead),
                                   aBody);
  this->Finish("answered", isSuccess ? "success" : "the upstream failed");
}

HttpHeaders Exchange::ForwardedHeaders(const HttpHead& aHead) {
  HttpHeaders passed;
  for (const HttpHeader& header : aHead.headers) {
    const bool isHop =
        std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                    [&](std::string_view aName) {
                      return SameHeaderName(aName, header.name);
                    });
    if (!isHop) {
      passed.push_back(header);
    }
  }
  return passed;
}

void Exchange::Finish(const char* aOutcome, const char* aReason) {
  if (this->isDone) {
    return;
  }
  this->isDone = true;
  this->OnFinished();
  this->context.statistics.OnEnd(this->counted);
  const Micros taken = this->Now() - this->request.message.readAt;
  this->context.metrics.Count("zincstep_requests_total",
                              {{"outcome", aOutcome}});
  this->context.metrics.Observe("zincstep_request_seconds", ToSeconds(taken));
  const std::string domain =
      this->upstream ? this->upstream->Entry().failureDomain : "";
  const auto sinceStop = this->context.stopPolicy.SinceSignal(this->Now());
  const std::optional<StreamWait>& wait = this->waitAtEnd;
  const std::string cause(wait ? NameIn(kWaitCauseNames, wait->cause) : "");
  const std::string search(
      wait ? NameIn(kSearchOutcomeNames, wait->searches.last) : "");
  const Micros silence = this->Silence(this->Now());
  const auto foundAt = wait ? wait->searches.foundAt : std::nullopt;
  const Micros sinceFound = foundAt ? this->Now() - *foundAt : Micros{0};
  LogInfo("request_ended",
          {{"request", this->request.info.id},
           {"route", this->request.route->name},
           {"organisation", this->request.organisation},
           {"priority", this->request.priority},
           {"outcome", aOutcome},
           {"reason", aReason},
           {"upstream", this->upstream ? this->upstream->Entry().id : ""},
           {"domain", domain},
           {"sends", this->sends},
           {"runs", this->runs},
           {"waited_ms", this->waited / 1ms},
           {"first_event_ms", this->firstEventDelay / 1ms},
           {"expected_first_event_ms", this->expectedFirstEvent / 1ms},
           {"longest_pause_ms", this->maxEventGap / 1ms},
           {"silent_ms", silence / 1ms},
           {"wait_cause", cause},
           {"last_search", search},
           {"chain_found_ms", foundAt ? (silence - sinceFound) / 1ms : -1},
           {"since_stop_ms", sinceStop ? *sinceStop / 1ms : -1},
           {"taken_ms", taken / 1ms}});
}

const CrashCandidates& Exchange::Candidates() {
  if (!this->candidates) {
    this->candidates = this->request.Candidates();
  }
  return *this->candidates;
}

bool Exchange::IsBlocked() {
  const CrashTracker& crashes = this->context.crashes;
  return crashes.MayBlock() &&
         crashes.FindBlock(this->Candidates(), this->Now()).has_value();
}

void Exchange::OnRunLost(const char* aReason) {
  LogInfo("run_lost", {{"request", this->request.info.id},
                       {"fingerprint", TextOf(this->Candidates().request)},
                       {"upstream", this->upstream->Entry().id},
                       {"reason", aReason},
                       {"parts", this->request.info.promptParts},
                       {"has_events", this->HasResponseBegun()},
                       {"ran_ms", (this->Now() - this->sentAt) / 1ms}});
  this->SuspectCrash();
}

void Exchange::SuspectCrash() {
  this->context.crashDetector.OnRunLost(this->Candidates(), this->upstream,
                                        this->HasResponseBegun()
                                            ? CrashEvidence::ResponseBegun
                                            : CrashEvidence::NoResponse);
}

void Exchange::OnRefused(const ResponseInfo& aInfo, int aStatus) {
  const bool isReplaced = !aInfo.answeredBy.empty() &&
                          aInfo.answeredBy != this->upstream->Entry().id;
  LogInfo("upstream_refused",
          {{"request", this->request.info.id},
           {"upstream", this->upstream->Entry().id},
           {"status", aStatus},
           {"at_fault", aInfo.atFault},
           {"rest_ms", aInfo.notice.backoff.value_or(Micros{0}) / 1ms},
           {"answered_by", aInfo.answeredBy}});
  if (isReplaced) {
    this->upstream->SetEnded(this->Now());
  }
}

void Exchange::ApplyNotice(const ResponseInfo& aInfo) {
  // A response to another request may be surplus data, and outdated.
  if (aInfo.requestId == this->request.info.id) {
    this->context.limits.OnNotice(this->upstream, aInfo.notice, this->sentAt);
  }
}

void Exchange::OnRunCompleted() {
  this->RecordDuration();
  this->context.crashDetector.OnRequestCompleted(this->Candidates());
}

void Exchange::RecordDuration() {
  const Instant now = this->Now();
  this->context.durations.OnEnded(this->request.route->name,
                                  now - this->request.message.readAt, now);
}

void Exchange::OnBlocked(Fingerprint aBlocked) {
  if (this->isDone || !this->call || this->HasResponseBegun() ||
      !this->Candidates().Contains(aBlocked) || !this->IsBlocked()) {
    return;
  }
  this->Abandon(ErrorKind::RequestBlocked, ErrorKind::UpstreamFailed,
                "the request crashes upstreams");
}

void Exchange::EndForExit() {
  if (!this->isDone) {
    this->Abandon(ErrorKind::Stopping, ErrorKind::StoppedDuringRun,
                  "the daemon exits");
  }
}

void Exchange::Suspect(LiveUpstream& aUpstream) {
  const Instant now = this->Now();
  if (aUpstream.IsSuspect(now)) {
    return;
  }
  aUpstream.Suspect(now);
  LogInfo("upstream_suspected", {{"upstream", aUpstream.Entry().id},
                                 {"request", this->request.info.id}});
  if (this->context.onSuspicion) {
    this->context.onSuspicion();
  }
}

bool Exchange::UpdateCallWait(bool aIsFirstOfChain) {
  const Instant now = this->Now();
  bool isCallLimited = false;
  for (const UpstreamPtr& candidate :
       this->context.view.Directory().OfService(this->request.service->name)) {
    const Micros wait = candidate->CallWait(now);
    const bool fits = !aIsFirstOfChain || candidate->Entry().layers.first == 0;
    if (wait == Micros{0} || !fits || !candidate->IsUsable(now)) {
      continue;
    }
    this->callWait = isCallLimited ? std::min(this->callWait, wait) : wait;
    isCallLimited = true;
  }
  return isCallLimited;
}

bool Exchange::IsAwaitingUpstreams() const {
  return !this->context.view.KnowsUpstreams() &&
         this->Now() - this->request.message.readAt <
             this->context.settings.initialStateTimeout;
}

const char* Exchange::LostReasonOf(SingleCallEnd aEnd, bool aIsInvalid) {
  if (aIsInvalid) {
    return "the response belongs to another request";
  }
  switch (aEnd) {
    case SingleCallEnd::Complete:
      return "the upstream failed";
    case SingleCallEnd::Rejected:
      return "the response exceeds the maximum size";
    case SingleCallEnd::BadResponse:
      return "the response is not valid HTTP";
    case SingleCallEnd::NotConnected:
    case SingleCallEnd::Broken:
      break;
  }
  return "the response was truncated";
}

bool Exchange::IsInvalidResponse(const HttpHead& aHead,
                                 const ResponseInfo& aInfo) const {
  const bool isSuccess =
      aHead.status >= kMinSuccessStatus && aHead.status < kMinFailureStatus;
  return aInfo.requestId != this->request.info.id || aInfo.isEncoded ||
         (isSuccess && !aInfo.isSealed);
}

}  // namespace zincstep
