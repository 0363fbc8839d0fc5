#include "Zincstep/Entry/ServiceHandler.h"

#include <algorithm>
#include <array>

namespace zincstep {

namespace {

constexpr int kMaxAttempts = 4;
/// Maximum body of a service's response, in bytes: that of the edge daemon.
constexpr std::size_t kMaxResponseBytes = 4 << 20;
constexpr std::uint64_t kFirstRequestSpread = std::uint64_t{1} << 52;
/// Request headers that are forwarded to a service. Hop-by-hop headers and the
/// organisation's bearer key are not.
constexpr std::array<std::string_view, 6> kRequestHeaders{
    "Content-Type", "Accept",        "Accept-Language",
    "User-Agent",   "If-None-Match", "Idempotency-Key"};
/// Response headers that are forwarded to a caller.
constexpr std::array<std::string_view, 7> kResponseHeaders{
    "Content-Type", "ETag",          "Cache-Control",   "Location",
    "Retry-After",  "Last-Modified", "Content-Language"};

template <std::size_t N>
bool ContainsHeader(const std::array<std::string_view, N>& aNames,
                    std::string_view aName) {
  return std::any_of(
      aNames.begin(), aNames.end(),
      [&](std::string_view aHeader) { return SameHeaderName(aHeader, aName); });
}

bool IsUnavailable(int aStatus) {
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

}  // namespace

/// One call of a service, from arrival to end.
struct ServiceHandler::Request {
  std::uint64_t id = 0;
  HttpRequest http;
  CallerInfo caller;
  SnapshotPtr snapshot;
  std::string service;
  BalancerPtr balancer;
  bool repeatable = false;
  bool isKeyed = false;
  bool isCallerDisconnected = false;
  /// An attempt was sent, so errors must not claim that it was not run.
  bool mayHaveRun = false;
  std::uint64_t digest = 0;
  int attempts = 0;
  int replica = -1;
  std::vector<int> failed;
  CallId call = 0;
  Instant attemptStartedAt;
  Instant receivedAt;
  Span span;
};

ServiceHandler::ServiceHandler(EntryContext& aContext,
                               ClaimCoordinator& aClaims)
    : context(aContext),
      claims(aClaims),
      budget(RetryBudgetSettings{}),
      lastRequest((std::uint64_t{1} << 60) +
                  aContext.random.Below(kFirstRequestSpread)) {}

ServiceHandler::~ServiceHandler() = default;

void ServiceHandler::SetSnapshot(const Snapshot& aSnapshot) {
  const auto same = [](const ServiceReplica& aA, const ServiceReplica& aB) {
    return aA.name == aB.name && aA.address == aB.address &&
           aA.failureDomain == aB.failureDomain;
  };
  std::map<std::string, BalancerPtr> next;
  for (const PlainService& service : aSnapshot.configuration.services) {
    const auto old = this->balancers.find(service.name);
    const bool isUnchanged =
        old != this->balancers.end() &&
        std::equal(service.replicas.begin(), service.replicas.end(),
                   old->second->Replicas().begin(),
                   old->second->Replicas().end(), same);
    BalancerPtr& balancer = next[service.name];
    balancer = isUnchanged
                   ? old->second
                   : std::make_shared<ServiceBalancer>(
                         service.replicas, this->context.settings.failureDomain,
                         ServiceBalancerSettings{});
    for (std::size_t i = 0; i < service.replicas.size(); ++i) {
      if (this->context.leavingUpstreams.IsLeaving(service.replicas[i].name)) {
        balancer->SetLeaving(static_cast<int>(i));
      }
    }
  }
  this->balancers = std::move(next);
}

void ServiceHandler::SetLeaving(const std::string& aReplica) {
  for (auto& [name, balancer] : this->balancers) {
    for (std::size_t i = 0; i < balancer->Replicas().size(); ++i) {
      if (balancer->Replicas()[i].name == aReplica) {
        balancer->SetLeaving(static_cast<int>(i));
      }
    }
  }
}

const PlainService* ServiceHandler::Match(const HttpRequest& aRequest) const {
  const std::string_view host = FindHeader(aRequest.headers, "Host");
  const std::string_view name = host.substr(0, host.find(':'));
  const PlainService* best = nullptr;
  for (const PlainService& service :
       this->context.snapshot->configuration.services) {
    const bool hostMatches = service.host.empty() || service.host == name;
    const bool pathMatches = aRequest.path.starts_with(service.pathPrefix);
    if (hostMatches && pathMatches &&
        (best == nullptr ||
         best->pathPrefix.size() < service.pathPrefix.size())) {
      best = &service;
    }
  }
  return best;
}

void ServiceHandler::OnRequest(const HttpRequest& aRequest) {
  const Instant now = this->context.clock.Now();
  Result<CallerInfo> caller = ParseCallerInfo(aRequest, *this->context.snapshot,
                                              LimitsOf(this->context.settings),
                                              now, this->context.random);
  if (!caller) {
    this->context.Refuse(aRequest.exchange, caller.error());
    return;
  }
  const PlainService* service = this->Match(aRequest);
  const auto& allowed = caller->organisation->services;
  if (service == nullptr || std::find(allowed.begin(), allowed.end(),
                                      service->name) == allowed.end()) {
    this->context.Refuse(
        aRequest.exchange,
        {ErrorKind::UnknownService, "no service at this path", {}});
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.id = ++this->lastRequest;
  request.http = aRequest;
  request.caller = std::move(*caller);
  request.snapshot = this->context.snapshot;
  request.service = service->name;
  request.balancer = this->balancers.at(service->name);
  request.repeatable =
      IsRepeatable(*service, aRequest.method, aRequest.path) &&
      FindHeader(aRequest.headers, "zincstep-repeatable") != "false";
  request.digest = RequestDigest(aRequest);
  request.receivedAt = now;
  request.span = this->context.tracer.Begin("request", request.caller.trace);
  const std::uint64_t id = request.id;
  this->requests[id] = std::move(owned);
  this->byExchange[aRequest.exchange] = id;
  this->context.metrics.Count("zincstep_requests_total", {{"kind", "service"}});
  this->budget.OnRequest();
  request.isKeyed =
      !request.repeatable && !request.caller.idempotencyKey.empty();
  if (request.isKeyed) {
    this->claims.Begin(id,
                       ClaimKey(request.caller.organisation->name,
                                request.caller.idempotencyKey),
                       request.digest, *this);
    return;
  }
  this->StartAttempt(request);
}

void ServiceHandler::OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
                             const Claim& aOwner) {
  const auto found = this->requests.find(aRequest);
  if (found == this->requests.end()) {
    this->claims.Release(aRequest);
    return;
  }
  Request& request = *found->second;
  if (aVerdict == ClaimVerdict::Won) {
    this->StartAttempt(request);
    return;
  }
  RespondToHeldClaim(this->context, request.http.exchange, aVerdict, aOwner,
                     request.digest);
  request.span.attributes["outcome"] = "held";
  this->context.tracer.End(request.span);
  this->byExchange.erase(request.http.exchange);
  this->requests.erase(found);
}

HttpCall ServiceHandler::CallFor(const Request& aRequest, int aReplica,
                                 Micros aRemaining) const {
  const ServiceReplica& replica =
      aRequest.balancer->Replicas()[static_cast<std::size_t>(aReplica)];
  HttpCall call;
  call.method = aRequest.http.method;
  call.url = "http://" + replica.address + aRequest.http.path;
  if (!aRequest.http.query.empty()) {
    call.url += "?" + aRequest.http.query;
  }
  call.body = aRequest.http.body;
  call.connectTimeout = 300ms;
  call.timeout = aRemaining;
  call.maxBodyBytes = kMaxResponseBytes;
  call.freshConnection = !aRequest.repeatable;
  for (const HttpHeader& header : aRequest.http.headers) {
    if (ContainsHeader(kRequestHeaders, header.name)) {
      call.headers.push_back(header);
    }
  }
  call.headers.push_back(
      {"zincstep-organisation", aRequest.caller.organisation->name});
  call.headers.push_back(
      {"zincstep-deadline-ms", std::to_string(aRemaining.count() / 1000)});
  call.headers.push_back({"traceparent", aRequest.span.context.Header()});
  return call;
}

void ServiceHandler::StartAttempt(Request& aRequest) {
  const Instant now = this->context.clock.Now();
  const Micros remaining = aRequest.caller.deadline - now;
  if (remaining <= 0us) {
    this->FailRequest(
        aRequest,
        {ErrorKind::DeadlineBeforeRun, "the deadline has passed", {}});
    return;
  }
  std::optional<int> replica =
      aRequest.balancer->Choose(now, this->context.random, aRequest.failed);
  if (!replica) {
    // All replicas have failed once; the next attempt may use any of them.
    replica = aRequest.balancer->Choose(now, this->context.random, {});
  }
  if (!replica) {
    this->FailRequest(aRequest,
                      {ErrorKind::UpstreamUnreachable,
                       "no replica of " + aRequest.service + " is reachable",
                       {}});
    return;
  }
  aRequest.attempts += 1;
  aRequest.replica = *replica;
  aRequest.attemptStartedAt = now;
  aRequest.balancer->OnStart(*replica);
  aRequest.call = this->context.calls.Start(
      this->CallFor(aRequest, *replica, remaining), this->context.callListener);
  this->byCall[aRequest.call] = aRequest.id;
  this->context.metrics.Count("zincstep_service_tries_total");
}

bool ServiceHandler::OnCallEnd(CallId aCall, const HttpCallResult& aResult) {
  const auto call = this->byCall.find(aCall);
  if (call == this->byCall.end()) {
    return false;
  }
  const std::uint64_t id = call->second;
  this->byCall.erase(call);
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return true;
  }
  Request& request = *found->second;
  const Instant now = this->context.clock.Now();
  const bool hasResponded = aResult.end == CallEnd::Answered;
  request.mayHaveRun = request.mayHaveRun || aResult.end != CallEnd::NotSent;
  const bool failed = !hasResponded || IsUnavailable(aResult.status);
  request.balancer->OnEnd(request.replica, now - request.attemptStartedAt,
                          failed && aResult.end != CallEnd::Cancelled, now);
  this->context.tracer.Write(
      "service_hop", request.span.context, now - request.attemptStartedAt,
      {{"replica",
        request.balancer->Replicas()[static_cast<std::size_t>(request.replica)]
            .name},
       {"try", request.attempts},
       {"status", aResult.status},
       {"fault", aResult.fault}});
  if (hasResponded) {
    this->OnResponse(request, aResult);
  } else {
    this->OnCallFailed(request, aResult);
  }
  return true;
}

void ServiceHandler::OnResponse(Request& aRequest,
                                const HttpCallResult& aResult) {
  if (aRequest.repeatable && IsUnavailable(aResult.status) &&
      this->Retry(aRequest)) {
    return;
  }
  HttpResponse response;
  response.status = aResult.status;
  response.body = aResult.body;
  for (const HttpHeader& header : aResult.headers) {
    if (ContainsHeader(kResponseHeaders, header.name)) {
      response.headers.push_back(header);
    }
  }
  this->End(aRequest, response, true, "answered");
}

void ServiceHandler::OnCallFailed(Request& aRequest,
                                  const HttpCallResult& aResult) {
  const bool wasNotSent = aResult.end == CallEnd::NotSent;
  if ((wasNotSent || aRequest.repeatable) && this->Retry(aRequest)) {
    return;
  }
  const std::string message =
      aRequest.service + " sent no complete response: " + aResult.fault;
  // The timeout of a call is the remaining time until the deadline, so a
  // timeout means that the deadline has passed.
  const ErrorKind kind = aResult.end == CallEnd::TimedOut
                             ? ErrorKind::DeadlineDuringRun
                             : ErrorKind::UpstreamUnreachable;
  this->FailRequest(aRequest, {kind, message, {}});
}

/// Ends a request without a response; reports it as not run only if that is
/// certain.
void ServiceHandler::FailRequest(Request& aRequest, const Error& aError) {
  if (!aRequest.mayHaveRun) {
    this->Refuse(aRequest, aError);
    return;
  }
  const bool isPastDeadline =
      aError.kind == ErrorKind::DeadlineDuringRun ||
      aRequest.caller.deadline <= this->context.clock.Now();
  const Error error{
      isPastDeadline ? ErrorKind::DeadlineDuringRun : ErrorKind::UpstreamFailed,
      aError.message,
      {}};
  this->End(aRequest, ErrorResponse(error), false,
            std::string(ErrorInfoFor(error.kind).name));
}

bool ServiceHandler::Retry(Request& aRequest) {
  aRequest.failed.push_back(aRequest.replica);
  if (aRequest.attempts >= kMaxAttempts || aRequest.isCallerDisconnected ||
      !this->budget.TryAcquireRetry()) {
    return false;
  }
  const Micros backoff =
      this->budget.Backoff(aRequest.attempts, this->context.random);
  this->retryTimes[aRequest.id] = this->context.clock.Now() + backoff;
  this->context.metrics.Count("zincstep_service_retries_total");
  return true;
}

void ServiceHandler::End(Request& aRequest, const HttpResponse& aResponse,
                         bool aHasRun, const std::string& aOutcome) {
  if (aRequest.isKeyed) {
    CachedResponse cached;
    cached.status = aResponse.status;
    cached.contentType = FindHeader(aResponse.headers, "Content-Type");
    cached.body = aResponse.body;
    this->claims.Finish(aRequest.id, aHasRun ? &cached : nullptr);
  }
  this->context.metrics.Observe(
      "zincstep_service_seconds",
      ToSeconds(this->context.clock.Now() - aRequest.receivedAt));
  this->context.callers.Respond(aRequest.http.exchange, aResponse);
  aRequest.span.attributes["outcome"] = aOutcome;
  aRequest.span.attributes["organisation"] = aRequest.caller.organisation->name;
  aRequest.span.attributes["service"] = aRequest.service;
  this->context.tracer.End(aRequest.span);
  this->byExchange.erase(aRequest.http.exchange);
  this->requests.erase(aRequest.id);
}

void ServiceHandler::Refuse(Request& aRequest, const Error& aError) {
  ZINCSTEP_ASSERT(ErrorInfoFor(aError.kind).outcome == Outcome::NotRun);
  this->claims.Release(aRequest.id);
  aRequest.isKeyed = false;
  this->context.metrics.Count(
      "zincstep_refusals_total",
      {{"kind", std::string(ErrorInfoFor(aError.kind).name)}});
  this->End(aRequest, ErrorResponse(aError), false,
            std::string(ErrorInfoFor(aError.kind).name));
}

void ServiceHandler::OnCallerDisconnected(ExchangeId aExchange) {
  const auto found = this->byExchange.find(aExchange);
  if (found == this->byExchange.end()) {
    return;
  }
  Request& request = *this->requests.at(found->second);
  request.isCallerDisconnected = true;
  // A call that is not repeatable runs to its end, so that its outcome is known
  // when the caller retries with the same key.
  if (request.repeatable && request.call != 0) {
    this->context.calls.Cancel(request.call);
  }
}

void ServiceHandler::OnTick(Instant aNow) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, at] : this->retryTimes) {
    if (at <= aNow) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    this->retryTimes.erase(id);
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
      this->StartAttempt(*found->second);
    }
  }
}

}  // namespace zincstep
