#include "Zincstep/Entry/ServiceHandler.h"

#include <algorithm>
#include <array>

namespace zincstep {

namespace {

constexpr int kMostTries = 4;
constexpr std::uint64_t kFirstRequestSpread = std::uint64_t{1} << 52;
/// Request headers that a service is given; hop-by-hop ones and the key
/// of the organisation are not among them.
constexpr std::array<std::string_view, 6> kPassedOn{
    "Content-Type", "Accept",        "Accept-Language",
    "User-Agent",   "If-None-Match", "Idempotency-Key"};
/// Answer headers that a caller is given.
constexpr std::array<std::string_view, 7> kPassedBack{
    "Content-Type", "ETag",          "Cache-Control",   "Location",
    "Retry-After",  "Last-Modified", "Content-Language"};

template <std::size_t N>
bool IsAmong(const std::array<std::string_view, N>& aNames,
             std::string_view aName) {
  return std::any_of(aNames.begin(), aNames.end(), [&](std::string_view aOne) {
    return SameHeaderName(aOne, aName);
  });
}

bool IsUnavailable(int aStatus) {
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

}  // namespace

/// One call of a service, from its coming to its end.
struct ServiceHandler::Request {
  std::uint64_t id = 0;
  HttpRequest http;
  CallerInfo facts;
  SnapshotPtr snapshot;
  std::string service;
  BalancerPtr balancer;
  bool repeatable = false;
  bool isKeyed = false;
  bool callerGone = false;
  /// Some try has left this machine, so that "not run" can't be said.
  bool mayHaveRun = false;
  std::uint64_t digest = 0;
  int tries = 0;
  int replica = -1;
  std::vector<int> failed;
  CallId call = 0;
  Instant triedAt;
  Instant came;
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
    const bool kept =
        old != this->balancers.end() &&
        std::equal(service.replicas.begin(), service.replicas.end(),
                   old->second->Replicas().begin(),
                   old->second->Replicas().end(), same);
    BalancerPtr& balancer = next[service.name];
    balancer = kept
                   ? old->second
                   : std::make_shared<ServiceBalancer>(
                         service.replicas, this->context.settings.failureDomain,
                         ServiceBalancerSettings{});
    for (std::size_t i = 0; i < service.replicas.size(); ++i) {
      if (this->context.roster.IsLeaving(service.replicas[i].name)) {
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
    const bool hostFits = service.host.empty() || service.host == name;
    const bool pathFits = aRequest.path.starts_with(service.pathPrefix);
    if (hostFits && pathFits &&
        (best == nullptr ||
         best->pathPrefix.size() < service.pathPrefix.size())) {
      best = &service;
    }
  }
  return best;
}

void ServiceHandler::OnRequest(const HttpRequest& aRequest) {
  const Instant now = this->context.clock.Now();
  Result<CallerInfo> facts = ReadCallerFacts(aRequest, *this->context.snapshot,
                                             LimitsOf(this->context.settings),
                                             now, this->context.random);
  if (!facts) {
    this->context.Refuse(aRequest.exchange, facts.error());
    return;
  }
  const PlainService* service = this->Match(aRequest);
  const auto& allowed = facts->organisation->services;
  if (service == nullptr || std::find(allowed.begin(), allowed.end(),
                                      service->name) == allowed.end()) {
    this->context.Refuse(
        aRequest.exchange,
        {ErrorKind::UnknownService, "there is nothing here", {}});
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.id = ++this->lastRequest;
  request.http = aRequest;
  request.facts = std::move(*facts);
  request.snapshot = this->context.snapshot;
  request.service = service->name;
  request.balancer = this->balancers.at(service->name);
  request.repeatable =
      IsRepeatable(*service, aRequest.method, aRequest.path) &&
      FindHeader(aRequest.headers, "zincstep-repeatable") != "false";
  request.digest = RequestDigest(aRequest);
  request.came = now;
  request.span = this->context.tracer.Begin("request", request.facts.trace);
  const std::uint64_t id = request.id;
  this->requests[id] = std::move(owned);
  this->byExchange[aRequest.exchange] = id;
  this->context.metrics.Count("zincstep_requests_total", {{"kind", "service"}});
  this->budget.OnRequest();
  request.isKeyed =
      !request.repeatable && !request.facts.idempotencyKey.empty();
  if (request.isKeyed) {
    this->claims.Begin(id,
                       ClaimKey(request.facts.organisation->name,
                                request.facts.idempotencyKey),
                       request.digest, *this);
    return;
  }
  this->Try(request);
}

void ServiceHandler::OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
                             const Claim& aHolder) {
  const auto found = this->requests.find(aRequest);
  if (found == this->requests.end()) {
    this->claims.Release(aRequest);
    return;
  }
  Request& request = *found->second;
  if (aVerdict == ClaimVerdict::Won) {
    this->Try(request);
    return;
  }
  RespondToHeldClaim(this->context, request.http.exchange, aVerdict, aHolder,
                     request.digest);
  request.span.attributes["outcome"] = "held";
  this->context.tracer.End(request.span);
  this->byExchange.erase(request.http.exchange);
  this->requests.erase(found);
}

HttpCall ServiceHandler::CallFor(const Request& aRequest, int aReplica,
                                 Micros aLeft) const {
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
  call.timeout = aLeft;
  call.freshConnection = !aRequest.repeatable;
  for (const HttpHeader& header : aRequest.http.headers) {
    if (IsAmong(kPassedOn, header.name)) {
      call.headers.push_back(header);
    }
  }
  call.headers.push_back(
      {"zincstep-organisation", aRequest.facts.organisation->name});
  call.headers.push_back(
      {"zincstep-deadline-ms", std::to_string(aLeft.count() / 1000)});
  call.headers.push_back({"traceparent", aRequest.span.context.Header()});
  return call;
}

void ServiceHandler::Try(Request& aRequest) {
  const Instant now = this->context.clock.Now();
  const Micros left = aRequest.facts.deadline - now;
  if (left <= 0us) {
    this->GiveUp(aRequest,
                 {ErrorKind::DeadlineBeforeRun, "the deadline has passed", {}});
    return;
  }
  std::optional<int> replica =
      aRequest.balancer->Choose(now, this->context.random, aRequest.failed);
  if (!replica) {
    // All have been tried: a further try goes to any of them.
    replica = aRequest.balancer->Choose(now, this->context.random, {});
  }
  if (!replica) {
    this->GiveUp(aRequest,
                 {ErrorKind::UpstreamUnreachable,
                  "no replica of " + aRequest.service + " can be reached",
                  {}});
    return;
  }
  aRequest.tries += 1;
  aRequest.replica = *replica;
  aRequest.triedAt = now;
  aRequest.balancer->OnStart(*replica);
  aRequest.call = this->context.calls.Start(
      this->CallFor(aRequest, *replica, left), this->context.callListener);
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
  const bool answered = aResult.end == CallEnd::Answered;
  request.mayHaveRun = request.mayHaveRun || aResult.end != CallEnd::NotSent;
  const bool failed = !answered || IsUnavailable(aResult.status);
  request.balancer->OnEnd(request.replica, now - request.triedAt,
                          failed && aResult.end != CallEnd::Cancelled, now);
  this->context.tracer.Write(
      "service_hop", request.span.context, now - request.triedAt,
      {{"replica",
        request.balancer->Replicas()[static_cast<std::size_t>(request.replica)]
            .name},
       {"try", request.tries},
       {"status", aResult.status}});
  if (answered) {
    this->OnAnswered(request, aResult);
  } else {
    this->OnNoAnswer(request, aResult);
  }
  return true;
}

void ServiceHandler::OnAnswered(Request& aRequest,
                                const HttpCallResult& aResult) {
  if (aRequest.repeatable && IsUnavailable(aResult.status) &&
      this->Retry(aRequest)) {
    return;
  }
  HttpResponse answer;
  answer.status = aResult.status;
  answer.body = aResult.body;
  for (const HttpHeader& header : aResult.headers) {
    if (IsAmong(kPassedBack, header.name)) {
      answer.headers.push_back(header);
    }
  }
  this->End(aRequest, answer, true, "answered");
}

void ServiceHandler::OnNoAnswer(Request& aRequest,
                                const HttpCallResult& aResult) {
  const bool neverSent = aResult.end == CallEnd::NotSent;
  if ((neverSent || aRequest.repeatable) && this->Retry(aRequest)) {
    return;
  }
  const std::string what =
      aRequest.service + " gave no whole answer: " + aResult.fault;
  // A call is given what is left of the deadline, so that its end by time
  // is the deadline's.
  const ErrorKind kind = aResult.end == CallEnd::TimedOut
                             ? ErrorKind::DeadlineDuringRun
                             : ErrorKind::UpstreamUnreachable;
  this->GiveUp(aRequest, {kind, what, {}});
}

/// Ends a request without an answer: as not run where that is certain.
void ServiceHandler::GiveUp(Request& aRequest, const Error& aError) {
  if (!aRequest.mayHaveRun) {
    this->Refuse(aRequest, aError);
    return;
  }
  const bool late = aError.kind == ErrorKind::DeadlineDuringRun ||
                    aRequest.facts.deadline <= this->context.clock.Now();
  const Error error{
      late ? ErrorKind::DeadlineDuringRun : ErrorKind::UpstreamFailed,
      aError.message,
      {}};
  this->End(aRequest, ErrorResponse(error), false,
            std::string(ErrorInfoFor(error.kind).name));
}

bool ServiceHandler::Retry(Request& aRequest) {
  aRequest.failed.push_back(aRequest.replica);
  if (aRequest.tries >= kMostTries || aRequest.callerGone ||
      !this->budget.TryAcquireRetry()) {
    return false;
  }
  const Micros pause =
      this->budget.Backoff(aRequest.tries, this->context.random);
  this->pauses[aRequest.id] = this->context.clock.Now() + pause;
  this->context.metrics.Count("zincstep_service_retries_total");
  return true;
}

void ServiceHandler::End(Request& aRequest, const HttpResponse& aAnswer,
                         bool aRan, const std::string& aOutcome) {
  if (aRequest.isKeyed) {
    CachedResponse kept;
    kept.status = aAnswer.status;
    kept.contentType = FindHeader(aAnswer.headers, "Content-Type");
    kept.body = aAnswer.body;
    this->claims.Finish(aRequest.id, aRan ? &kept : nullptr);
  }
  this->context.metrics.Observe(
      "zincstep_service_seconds",
      ToSeconds(this->context.clock.Now() - aRequest.came));
  this->context.callers.Respond(aRequest.http.exchange, aAnswer);
  aRequest.span.attributes["outcome"] = aOutcome;
  aRequest.span.attributes["organisation"] = aRequest.facts.organisation->name;
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
  request.callerGone = true;
  // A call that must not repeat runs to its end, so that its outcome is
  // known when the caller asks again with the same key.
  if (request.repeatable && request.call != 0) {
    this->context.calls.Cancel(request.call);
  }
}

void ServiceHandler::OnTick(Instant aNow) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, at] : this->pauses) {
    if (at <= aNow) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    this->pauses.erase(id);
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
      this->Try(*found->second);
    }
  }
}

}  // namespace zincstep
