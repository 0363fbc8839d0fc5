/// \file
/// The wait of a stream for room, and the work that it reserves at upstreams.

#include <utility>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

ScheduledRequest StreamExchange::Scheduled() const {
  return {this->request.service, this->request.priority,
          this->request.organisation, this->tokens};
}

void StreamExchange::WaitForRoom() {
  const std::uint64_t id = this->context.capacity->Enter(
      std::static_pointer_cast<StreamExchange>(this->shared_from_this()),
      this->Scheduled(),
      {this->request.message.readAt, this->request.route->latencyObjective,
       this->request.deadline},
      this->request.message.body.size(),
      [this] { return this->Candidates().request; });
  if (!this->IsDone()) {
    this->waitingId = id;
  }
}

WaiterStart StreamExchange::OnRoom(const std::vector<UpstreamPtr>& aUpstreams) {
  const std::optional<std::uint64_t> id = std::exchange(this->waitingId, {});
  this->waited = this->Now() - this->request.message.readAt;
  // The request may have been found to crash upstreams while it waited.
  if (this->IsBlocked()) {
    this->Fail("the request crashes upstreams");
    return WaiterStart::Ended;
  }
  if (!this->StartChain(aUpstreams)) {
    this->waitingId = id;
    return WaiterStart::NoChain;
  }
  this->isCounted = !this->IsDone();
  return this->isCounted ? WaiterStart::Started : WaiterStart::Ended;
}

void StreamExchange::OnNoRoom(const char* aReason) {
  this->waitingId.reset();
  if (this->TryHandOver()) {
    return;
  }
  this->waited = this->Now() - this->request.message.readAt;
  this->context.metrics.Count(
      "zincstep_room_refusals_total",
      {{"priority", std::to_string(this->request.priority)},
       {"reason", aReason}});
  this->Refuse(this->NotRunKind(), aReason);
}

void StreamExchange::OnFinished() {
  if (this->waitingId) {
    this->context.capacity->Leave(this->request.service->name,
                                  *std::exchange(this->waitingId, {}));
  }
  if (std::exchange(this->isCounted, false)) {
    this->context.capacity->OnEnded(this->Scheduled());
  }
}

std::optional<Micros> StreamExchange::ScheduledRetryAfter(ErrorKind aKind) {
  const bool isLackOfRoom =
      aKind == ErrorKind::NoCapacity || aKind == ErrorKind::Overloaded;
  return this->isScheduled && isLackOfRoom
             ? this->context.capacity->RetryAfter(this->Scheduled())
             : std::nullopt;
}

void StreamExchange::OnNotRunRefusal(ErrorKind aKind, Micros aRetryAfter) {
  const bool isLackOfRoom =
      aKind == ErrorKind::NoCapacity || aKind == ErrorKind::Overloaded;
  if (this->isScheduled && isLackOfRoom) {
    this->context.capacity->OnRefused(this->request.service->name,
                                      this->Candidates().request, aRetryAfter);
  }
}

void StreamExchange::Reserve(const PoolChain& aChain) {
  this->ReleaseWork();
  this->CountAt(aChain.front().upstream);
  for (const PoolHop& hop : aChain) {
    const double amount = this->tokens * hop.layers.Size();
    hop.upstream->localWork += amount;
    this->reserved.emplace_back(hop.upstream, amount);
  }
}

void StreamExchange::Release() {
  this->CountAt(nullptr);
  this->ReleaseWork();
}

void StreamExchange::CountAt(const UpstreamPtr& aUpstream) {
  // A rerouted request stays at its first stage and is not a new start.
  if (aUpstream == this->countedAt) {
    return;
  }
  if (this->countedAt) {
    this->countedAt->firstStage.OnEnded();
  }
  if (aUpstream) {
    aUpstream->firstStage.OnStarted(this->Now());
  }
  this->countedAt = aUpstream;
}

void StreamExchange::ReleaseWork() {
  for (const auto& [holder, amount] : this->reserved) {
    holder->localWork -= amount;
  }
  this->reserved.clear();
  if (this->isScheduled) {
    this->context.capacity->OnWorkChanged(this->request.service->name);
  }
}

}  // namespace zincstep
