/// \file
/// Runs of a request at upstreams, and the retries that they take.

#include "Zincstep/Relay/Exchange.h"

namespace zincstep {

namespace {

/// Time for which a stream looks for a chain or a daemon in each tick; later
/// once per repair interval, as each search reads all upstreams or daemons.
constexpr Micros kFrequentSearchTime = 2s;

}  // namespace

void Exchange::Send(const UpstreamPtr& aUpstream, const PoolChain* aChain) {
  this->upstream = aUpstream;
  this->sends += 1;
  this->sentAt = this->Now();
  this->context.statistics.OnSent(
      this->counted, aUpstream->Entry().failureDomain, this->sentAt);
  const auto endpoint = ParseEndpoint(aUpstream->Entry().address);
  if (!endpoint) {
    LogWarning("upstream_address", {{"upstream", aUpstream->Entry().id},
                                    {"reason", endpoint.error().message}});
    this->Suspect(*aUpstream);
    return;
  }
  const ForwardedRequest forwarded{this->request.message,
                                   aUpstream->Entry().id,
                                   this->request.deadline - this->sentAt,
                                   this->request.organisation,
                                   this->ForwardedEventId(),
                                   this->request.priority,
                                   aChain};
  this->context.limits.OnCall(*aUpstream, UpstreamCall::Request);
  this->call = std::make_shared<SingleCall>(this->context.loop, *this);
  this->call->Start(*endpoint, this->context.dialect.WriteRequest(forwarded),
                    this->context.settings.connectTimeout,
                    this->ReusableConnections());
}

std::optional<PooledConnections> Exchange::ReusableConnections() const {
  // If a pooled connection closes during the request, the request may have run
  // and would have to be sent again. So pooled connections are used only for
  // requests that may run twice.
  const Route& route = *this->request.route;
  const bool mayRunAgain =
      route.kind == RouteKind::Safe ||
      (route.kind == RouteKind::Streaming && route.isResumable);
  // All pooled connections may be dead, and attempts are limited. When every
  // attempt used one, a stream never completed in 1 of 15 runs with faults.
  const bool isFirst = this->sends <= 1;
  return mayRunAgain && isFirst
             ? std::optional(PooledConnections{
                   &this->context.connections,
                   this->upstream->Entry().Incarnation().Text()})
             : std::nullopt;
}

bool Exchange::MayBeginRun() const {
  const Instant now = this->Now();
  return this->HasSentHead() || this->context.stopPolicy.MayBeginRun(
                                    LongestDurationOf(this->request, now), now);
}

bool Exchange::EndInsteadOfRun() {
  ZINCSTEP_ASSERT(!this->call);
  if (this->MayBeginRun()) {
    return false;
  }
  this->Abandon(ErrorKind::Stopping, ErrorKind::StoppedDuringRun,
                "a run might not end before the exit");
  return true;
}

void Exchange::CancelCall() {
  if (this->call) {
    if (this->call->HasSent()) {
      this->mayHaveRun = true;
    }
    this->call->Cancel();
    this->call.reset();
  }
}

bool Exchange::MaySearch(Instant aSince, Instant aNow) {
  if (aNow - aSince >= kFrequentSearchTime && aNow < this->nextSearch) {
    return false;
  }
  this->nextSearch = aNow + this->context.settings.repairInterval;
  return true;
}

bool Exchange::TryAcquireResend() {
  return this->sends < this->context.settings.maxSends &&
         this->Now() < this->request.deadline && this->MayBeginRun() &&
         !this->IsBlocked();
}

bool Exchange::TryAcquireRetry(double aReserved) {
  if (!this->TryAcquireResend()) {
    this->retryDenial = WaitCause::Attempt;
    return false;
  }
  const Instant now = this->Now();
  RetryWindow& retries = this->context.RetriesOf(this->request.service->name);
  const bool isAccepted = retries.TryAcquireRetry(now, aReserved);
  this->retryDenial =
      isAccepted ? std::nullopt : std::optional(WaitCause::Retry);
  if (isAccepted) {
    this->context.metrics.Count("zincstep_retries_total",
                                {{"service", this->request.service->name}});
  }
  if (!isAccepted && !this->isRetryDenialLogged) {
    this->isRetryDenialLogged = true;
    this->context.metrics.Count("zincstep_retries_denied_total");
    LogInfo("retry_denied", {{"request", this->request.info.id},
                             {"left", retries.Available(now)},
                             {"burst", this->context.settings.retries.burst}});
  }
  return isAccepted;
}

}  // namespace zincstep
