#include "Zincstep/Relay/Exchange.h"

#include <array>
#include <cstdio>

namespace zincstep {

namespace {

/// Callers that are told to come back later than after this share of the time
/// that they have left do not wait that long (a third, the platform's pages).
constexpr double kHeededShare = 0.32;

/// Callers that wait for an upstream's next call come back within this share of
/// the wait behind it.
constexpr double kReturnSpread = 0.5;

/// Fields that concern one connection, or that the connection writes.
constexpr std::array<std::string_view, 9> kHopFields{
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length"};
constexpr int kFirstFailureStatus = 300;
constexpr int kFirstSuccessStatus = 200;

}  // namespace

HttpHeader RetryAfterHeader(Micros aSpan) {
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(aSpan));
  return {"Retry-After", {text.data(), static_cast<std::size_t>(size)}};
}

Exchange::Exchange(RelayContext& aContext, AdmittedRequest aRequest)
    : context(aContext), request(std::move(aRequest)) {}

void Exchange::OnCallerDisconnected() {
  this->CancelCall();
  this->Finish("caller_gone", "the caller has left");
}

Micros Exchange::ComeBackAfter(ErrorKind aKind) const {
  const RelaySettings& settings = this->context.settings;
  const std::optional<ModelShape>& model = this->request.service->model;
  Micros after =
      std::min(ErrorInfoFor(aKind).retryAfter, settings.busyRetryAfter);
  if (aKind == ErrorKind::NoCapacity && model) {
    after =
        FromSeconds(ToSeconds(model->loadTime) * settings.restoredAfterLoads);
  }
  // Those that are refused together should not come back together; nobody
  // should before an upstream may be called again.
  after = FromSeconds(ToSeconds(after) * (0.5 + this->context.random.Unit()));
  after = std::max(
      after, FromSeconds(ToSeconds(this->callWait) *
                         (1 + kReturnSpread * this->context.random.Unit())));
  const Micros left = this->request.end - this->Now();
  return std::clamp(FromSeconds(ToSeconds(left) * kHeededShare), Micros{0},
                    after);
}

void Exchange::Refuse(ErrorKind aKind, const char* aReason) {
  this->CancelCall();
  const ErrorInfo& answer = ErrorInfoFor(aKind);
  ZINCSTEP_ASSERT(answer.outcome != Outcome::NotRun || !this->hasBegun);
  HttpHeaders headers =
      this->context.dialect.LocalResponseHeaders(this->request.facts.id);
  if (answer.outcome == Outcome::NotRun) {
    headers.push_back(RetryAfterHeader(this->ComeBackAfter(aKind)));
  }
  this->context.metrics.Count("zincstep_refusals_total",
                              {{"kind", std::string(answer.name)}});
  this->request.connection->Answer(answer.status, headers, answer.name);
  this->Finish(answer.name.data(), aReason);
}

void Exchange::PassOn(const HttpHead& aHead, const std::string& aBody) {
  const bool isSuccess = aHead.status < kFirstFailureStatus;
  if (isSuccess) {
    this->OnRunWhole();  // A failure may have come before it was run.
  }
  this->request.connection->Answer(aHead.status, PassedHeaders(aHead), aBody);
  this->Finish("answered", isSuccess ? "success" : "the upstream's failure");
}

HttpHeaders Exchange::PassedHeaders(const HttpHead& aHead) {
  HttpHeaders passed;
  for (const HttpHeader& header : aHead.headers) {
    const bool isHop = std::any_of(kHopFields.begin(), kHopFields.end(),
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
  const Micros taken = this->Now() - this->request.message.readAt;
  this->context.metrics.Count("zincstep_requests_total",
                              {{"outcome", aOutcome}});
  this->context.metrics.Observe("zincstep_request_seconds", ToSeconds(taken));
  LogInfo("request_ended",
          {{"request", this->request.facts.id},
           {"route", this->request.route->name},
           {"organisation", this->request.organisation},
           {"outcome", aOutcome},
           {"reason", aReason},
           {"upstream", this->upstream ? this->upstream->Entry().id : ""},
           {"sends", this->sends},
           {"runs", this->runs},
           {"first_event_ms", this->firstEventAfter / 1ms},
           {"longest_pause_ms", this->longestPause / 1ms},
           {"taken_ms", taken / 1ms}});
}

void Exchange::Send(const UpstreamPtr& aUpstream, const PoolChain* aChain,
                    std::optional<std::uint64_t> aLastEventId) {
  this->upstream = aUpstream;
  this->sends += 1;
  this->sentAt = this->Now();
  const auto endpoint = ParseEndpoint(aUpstream->Entry().address);
  if (!endpoint) {
    LogWarning("upstream_address", {{"upstream", aUpstream->Entry().id},
                                    {"reason", endpoint.error().message}});
    this->Suspect(*aUpstream);
    return;
  }
  const ForwardedRequest forwarded{this->request.message,
                                   aUpstream->Entry().id,
                                   this->request.end - this->sentAt,
                                   this->request.organisation,
                                   aLastEventId,
                                   this->request.priority,
                                   aChain};
  this->context.limits.OnCall(*aUpstream, UpstreamCall::Request);
  this->call = std::make_shared<SingleCall>(this->context.loop, *this);
  this->call->Start(*endpoint, this->context.dialect.WriteRequest(forwarded),
                    this->context.settings.connectTimeout, this->Kept());
}

std::optional<PooledConnections> Exchange::Kept() const {
  // A kept connection may have closed: what was sent on it may have run, and
  // is not sent again where it must not run twice.
  const Route& route = *this->request.route;
  const bool mayRunAgain =
      route.kind == RouteKind::Safe ||
      (route.kind == RouteKind::Streaming && route.isResumable);
  // All kept connections may be silent, and attempts are few: with kept ones
  // for each of them, a stream never came to its end in 1 of 15 runs under
  // faults.
  const bool isFirst = this->sends <= 1;
  return mayRunAgain && isFirst
             ? std::optional(PooledConnections{
                   &this->context.kept,
                   this->upstream->Entry().Incarnation().Text()})
             : std::nullopt;
}

void Exchange::CancelCall() {
  if (this->call) {
    if (this->call->HasSent()) {
      this->hasBegun = true;
    }
    this->call->Cancel();
    this->call.reset();
  }
}

RequestFingerprint Exchange::Fingerprint() {
  if (!this->fingerprint) {
    this->fingerprint = FingerprintOf(this->request.Identity());
  }
  return *this->fingerprint;
}

bool Exchange::IsBlocked() {
  const CrashTracker& crashes = this->context.crashes;
  return crashes.MayBlock() &&
         crashes.BlockedFor(this->Fingerprint(), this->Now()) > Micros{0};
}

void Exchange::OnRunLost(const char* aReason) {
  LogInfo("run_lost", {{"request", this->request.facts.id},
                       {"fingerprint", TextOf(this->Fingerprint())},
                       {"upstream", this->upstream->Entry().id},
                       {"reason", aReason},
                       {"has_events", this->HasRunBegun()},
                       {"ran_ms", (this->Now() - this->sentAt) / 1ms}});
  // Of 25 upstreams that ended, 21 had one to four requests in this state, of
  // up to 82: whoever is guilty is among few.
  if (!this->HasRunBegun()) {
    this->context.crashDetector.OnRunLost(this->Fingerprint(), this->upstream);
  }
}

void Exchange::OnRefused(const ResponseInfo& aFacts, int aStatus) {
  const bool isSucceeded = !aFacts.answeredBy.empty() &&
                           aFacts.answeredBy != this->upstream->Entry().id;
  LogInfo("upstream_refused",
          {{"request", this->request.facts.id},
           {"upstream", this->upstream->Entry().id},
           {"status", aStatus},
           {"at_fault", aFacts.atFault},
           {"rest_ms", aFacts.notice.backoff.value_or(Micros{0}) / 1ms},
           {"answered_by", aFacts.answeredBy}});
  if (isSucceeded) {
    this->upstream->SetEnded(this->Now());
  }
}

void Exchange::ApplyNotice(const ResponseInfo& aFacts) {
  // What answers another request may be a surplus answer, and old.
  if (aFacts.requestId == this->request.facts.id) {
    this->context.limits.OnNotice(this->upstream, aFacts.notice, this->sentAt);
  }
}

void Exchange::OnRunWhole() {
  this->context.crashDetector.OnAnswered(this->Fingerprint());
}

void Exchange::OnBlocked(RequestFingerprint aRequest) {
  if (this->isDone || !this->call || this->HasRunBegun() ||
      this->Fingerprint() != aRequest) {
    return;
  }
  this->Abandon("the request ends whoever runs it");
}

void Exchange::Suspect(LiveUpstream& aUpstream) {
  const Instant now = this->Now();
  if (aUpstream.IsSuspect(now)) {
    return;
  }
  aUpstream.Suspect(now);
  LogInfo("upstream_suspected", {{"upstream", aUpstream.Entry().id},
                                 {"request", this->request.facts.id}});
  if (this->context.onSuspicion) {
    this->context.onSuspicion();
  }
}

bool Exchange::TryAcquireResend() {
  return this->sends < this->context.settings.maxSends &&
         this->Now() < this->request.end && !this->IsBlocked();
}

bool Exchange::TryAcquireRetry(double aKept) {
  if (!this->TryAcquireResend()) {
    return false;
  }
  RetryBudget& budget = this->context.BudgetOf(this->request.service->name);
  const bool isTaken = budget.TryAcquireRetry(aKept);
  if (!isTaken && !this->wasRetryDenied) {
    this->wasRetryDenied = true;
    this->context.metrics.Count("zincstep_retries_denied_total");
    LogInfo("retry_denied",
            {{"request", this->request.facts.id},
             {"saved", budget.Available()},
             {"most", this->context.settings.retries.capacity}});
  }
  return isTaken;
}

bool Exchange::NoteCallWait(bool aIsFirstOfChain) {
  const Instant now = this->Now();
  bool isHeldBack = false;
  for (const UpstreamPtr& one :
       this->context.view.Directory().OfService(this->request.service->name)) {
    const Micros wait = one->CallWait(now);
    const bool fits = !aIsFirstOfChain || one->Entry().layers.first == 0;
    if (wait == Micros{0} || !fits || !one->IsUsable(now)) {
      continue;
    }
    this->callWait = isHeldBack ? std::min(this->callWait, wait) : wait;
    isHeldBack = true;
  }
  return isHeldBack;
}

bool Exchange::AwaitsFirstList() const {
  return !this->context.view.KnowsUpstreams() &&
         this->Now() - this->request.message.readAt <
             this->context.settings.initialStateTimeout;
}

bool Exchange::IsForeign(const HttpHead& aHead,
                         const ResponseInfo& aFacts) const {
  const bool isSuccess =
      aHead.status >= kFirstSuccessStatus && aHead.status < kFirstFailureStatus;
  return aFacts.requestId != this->request.facts.id || aFacts.isEncoded ||
         (isSuccess && !aFacts.isSealed);
}

}  // namespace zincstep
