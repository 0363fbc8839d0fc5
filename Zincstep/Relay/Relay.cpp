#include "Zincstep/Relay/Relay.h"

#include <algorithm>
#include <cstdlib>

#include "Zincstep/Relay/ForwardExchange.h"
#include "Zincstep/Relay/ServiceExchange.h"
#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

namespace {

/// Interval between two ticks above which this daemon was slow, so that the
/// silence of streams says nothing about upstreams: twice the usual interval
/// and a margin.
constexpr Micros kMaxTickInterval = 60ms;

}  // namespace

void Relay::OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                      CallerMessage aMessage) {
  this->OnArrived({aConnection, std::move(aMessage), std::nullopt});
}

void Relay::ForwardedHandler::OnRequest(
    const std::shared_ptr<CallerConnection>& aConnection,
    CallerMessage aMessage) {
  HttpHeaders& headers = aMessage.head.headers;
  const std::string runs(FindHeader(headers, kRunsHeader));
  const std::string admitted(FindHeader(headers, kAdmittedVersionHeader));
  std::erase_if(headers, [](const HttpHeader& aHeader) {
    return SameHeaderName(aHeader.name, kRunsHeader) ||
           SameHeaderName(aHeader.name, kAdmittedVersionHeader);
  });
  const ForwardStatement stated{std::max(std::atoi(runs.c_str()), 0),
                                std::strtoull(admitted.c_str(), nullptr, 10)};
  this->relay.OnArrived({aConnection, std::move(aMessage), stated});
}

void Relay::ForwardToDaemon(const AdmittedRequest& aRequest,
                            const ExchangeProgress& aProgress) {
  this->handingOver += 1;
  auto exchange =
      std::make_shared<ForwardExchange>(this->context, aRequest, aProgress);
  asio::post(this->context.loop, [this, exchange = std::move(exchange)] {
    this->handingOver -= 1;
    const auto& connection = exchange->Request().connection;
    if (connection->IsClosed()) {
      exchange->OnCallerDisconnected();
      return;
    }
    if (this->context.stopPolicy.MustEndRequests(this->context.clock.Now())) {
      exchange->EndForExit();
      return;
    }
    this->exchanges[connection.get()] = exchange;
    exchange->Start();
  });
}

bool Relay::MayDefer(const ArrivedRequest& aRequest, Instant aNow) const {
  const Micros remaining = aRequest.message.readAt +
                           this->context.settings.initialStateTimeout - aNow;
  const bool isStarting = !this->context.view.Table() ||
                          this->context.crashes.AwaitsBlockList(aNow);
  return isStarting && remaining > Micros{0} &&
         this->context.stopPolicy.MayDefer(remaining, aNow);
}

void Relay::OnArrived(ArrivedRequest aRequest) {
  if (this->onArrival) {
    this->onArrival();
  }
  if (this->MayDefer(aRequest, this->context.clock.Now())) {
    this->deferred.push_back(std::move(aRequest));
    return;
  }
  const std::string id =
      this->context.dialect.ReadRequest(aRequest.message.head).id;
  const std::shared_ptr<CallerConnection> connection = aRequest.connection;
  const bool isForwarded = aRequest.forward.has_value();
  auto admitted = this->Admit(std::move(aRequest));
  if (!admitted) {
    this->RefuseUnadmitted(*connection, id, admitted.error(), isForwarded);
    return;
  }
  std::shared_ptr<Exchange> exchange;
  const bool isStream = admitted->route->kind == RouteKind::Streaming &&
                        admitted->service->model.has_value();
  if (isStream) {
    exchange =
        std::make_shared<StreamExchange>(this->context, std::move(*admitted));
  } else {
    exchange =
        std::make_shared<ServiceExchange>(this->context, std::move(*admitted));
  }
  this->exchanges[connection.get()] = exchange;
  exchange->Start();
  if (this->capacity.HasWaiting()) {
    this->StartWaiting();
  }
}

void Relay::RefuseUnadmitted(CallerConnection& aConnection,
                             const std::string& aId, const Error& aError,
                             bool aIsForwarded) {
  const ErrorInfo& answer = ErrorInfoFor(aError.kind);
  HttpHeaders headers = this->context.dialect.LocalResponseHeaders(aId);
  const Micros after = aError.retryAfter.value_or(
      std::min(answer.retryAfter, this->context.settings.busyRetryAfter));
  if (after > Micros{0}) {
    headers.push_back(RetryAfterHeader(after));
  }
  if (aIsForwarded) {
    headers.push_back({kRefusingVersionHeader,
                       std::to_string(this->context.view.ConfigVersion())});
  }
  const auto age = this->context.view.ValidationAge();
  LogInfo("request_refused",
          {{"request", aId},
           {"kind", answer.name},
           {"reason", aError.message},
           {"config_version", this->context.view.ConfigVersion()},
           {"proof_age_ms", age ? *age / 1ms : -1}});
  this->context.metrics.Count("zincstep_refusals_total",
                              {{"kind", std::string(answer.name)}});
  this->context.statistics.OnRefusedUnadmitted(aError.kind);
  aConnection.Answer(answer.status, headers, answer.name);
}

void Relay::ProcessDeferred() {
  std::vector<ArrivedRequest> waiting;
  waiting.swap(this->deferred);
  for (ArrivedRequest& request : waiting) {
    this->OnArrived(std::move(request));
  }
}

void Relay::EndForExit() {
  // Those that were deferred are refused, as none may be deferred any longer.
  this->ProcessDeferred();
  for (auto& [connection, exchange] : this->exchanges) {
    exchange->EndForExit();
  }
  this->exchanges.clear();
}

void Relay::OnCallerDisconnected(CallerConnection& aConnection) {
  std::erase_if(this->deferred, [&](const ArrivedRequest& aOne) {
    return aOne.connection.get() == &aConnection;
  });
  const auto found = this->exchanges.find(&aConnection);
  if (found != this->exchanges.end()) {
    found->second->OnCallerDisconnected();
    this->exchanges.erase(found);
  }
}

void Relay::OnBlocked(Fingerprint aBlocked) {
  std::vector<std::shared_ptr<Exchange>> all;
  for (const auto& [connection, exchange] : this->exchanges) {
    all.push_back(exchange);
  }
  for (const auto& exchange : all) {
    exchange->OnBlocked(aBlocked);
  }
}

void Relay::Tick() {
  const Instant now = this->context.clock.Now();
  if (this->context.stopPolicy.MustEndRequests(now)) {
    this->EndForExit();
    return;
  }
  this->ProcessDeferred();
  this->CollectLossEvidence(now);
  // `OnTick` may end its exchange; ended ones are erased after the loop.
  for (auto& [connection, exchange] : this->exchanges) {
    exchange->OnTick(now);
  }
  this->StartWaiting();
  this->QueryStalledUpstreams(now);
  this->context.prober.Tick();
  this->context.crashDetector.Tick();
  std::erase_if(this->exchanges,
                [](const auto& aEntry) { return aEntry.second->IsDone(); });
}

void Relay::CollectLossEvidence(Instant aNow) {
  const bool isLate = aNow - this->lastTickAt > kMaxTickInterval;
  this->lastTickAt = aNow;
  if (this->context.settings.features.repairEstimate == FeatureMode::Off ||
      isLate) {
    return;
  }
  bool hasSilent = false;
  bool hasProgressing = false;
  for (const auto& [connection, exchange] : this->exchanges) {
    const StreamProgress progress = exchange->ProgressAt(aNow);
    hasSilent = hasSilent || progress == StreamProgress::Silent;
    hasProgressing = hasProgressing || progress == StreamProgress::Progressing;
  }
  // If no stream progresses, this daemon or its link may be the cause.
  if (!hasSilent || !hasProgressing) {
    return;
  }
  for (const auto& [connection, exchange] : this->exchanges) {
    exchange->ObserveMembers(aNow);
  }
}

void Relay::ScheduleTick() {
  if (this->isTickScheduled) {
    return;
  }
  this->isTickScheduled = true;
  asio::post(this->context.loop, [this] {
    this->isTickScheduled = false;
    this->Tick();
  });
}

void Relay::ScheduleStarts() {
  if (this->areStartsScheduled || !this->capacity.HasWaiting()) {
    return;
  }
  this->areStartsScheduled = true;
  asio::post(this->context.loop, [this] {
    this->areStartsScheduled = false;
    const Instant now = this->context.clock.Now();
    for (auto& [connection, exchange] : this->exchanges) {
      if (exchange->TokensAwaitingChain() > 0) {
        exchange->OnTick(now);
      }
    }
    this->StartWaiting();
  });
}

void Relay::StartWaiting() {
  this->capacity.RunPass([this](const RoutedService& aService) {
    double tokens = 0;
    for (const auto& [connection, exchange] : this->exchanges) {
      if (exchange->Request().service->name == aService.name) {
        tokens += exchange->TokensAwaitingChain();
      }
    }
    return tokens;
  });
}

void Relay::QueryStalledUpstreams(Instant aNow) {
  for (auto& [connection, exchange] : this->exchanges) {
    const UpstreamPtr upstream = exchange->UpstreamToQuery(aNow);
    if (!upstream || !upstream->MayCall(aNow)) {
      continue;
    }
    Instant& lastQuery = this->lastQueriedAt[upstream->Number()];
    if (aNow - lastQuery < this->context.settings.stallQueryInterval) {
      continue;
    }
    lastQuery = aNow;
    this->context.control.Report(
        upstream->Entry(), this->context.settings.reportTimeout,
        [this, upstream](const Result<UpstreamReport>& aReport) {
          std::vector<std::shared_ptr<Exchange>> all;
          for (auto& [key, running] : this->exchanges) {
            all.push_back(running);
          }
          for (const auto& running : all) {
            running->OnReport(upstream, aReport);
          }
        });
  }
}

}  // namespace zincstep
