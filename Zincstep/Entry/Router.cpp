#include "Zincstep/Entry/Router.h"

namespace zincstep {

namespace {

constexpr Micros kBusyTick = 5ms;
constexpr Micros kIdleTick = 50ms;
constexpr Micros kHandOverTimeout = 3s;

}  // namespace

Router::Router(EntryContext& aContext, Channel<RouterEvent>& aEvents,
               WakeEvent& aWakeEvent, RouterWorkers aWorkers)
    : context(aContext),
      events(aEvents),
      wakeEvent(aWakeEvent),
      workers(aWorkers),
      pool(aContext.clock),
      claims(aContext),
      models(aContext, this->claims, this->pool),
      services(aContext, this->claims),
      peers(aContext, this->pool, this->claims, this->services,
            aWorkers.watcher, aWorkers.controller),
      status(aContext, this->pool, this->models, this->services, this->claims,
             this->peers, aWorkers.watcher) {}

std::size_t Router::OpenRequests() const {
  return this->models.OpenRequests() + this->services.OpenRequests() +
         this->claims.OpenRounds();
}

void Router::Run() {
  Instant nextTick = this->context.clock.Now();
  while (this->phase != Phase::Done) {
    const Micros tick = this->OpenRequests() > 0 ? kBusyTick : kIdleTick;
    const Micros left = nextTick - this->context.clock.Now();
    if (left > 0us) {
      this->wakeEvent.Wait(std::min(left, tick));
    }
    while (const auto event = this->events.Pop()) {
      this->Handle(*event);
    }
    const Instant now = this->context.clock.Now();
    if (now >= nextTick || nextTick - now > tick) {
      this->OnTick();
      nextTick = now + tick;
    }
  }
}

void Router::Handle(RouterEvent& aEvent) {
  if (auto* request = std::get_if<CallerRequestEvent>(&aEvent)) {
    this->OnCallerRequest(request->request);
  } else if (auto* token = std::get_if<TokenReceivedEvent>(&aEvent)) {
    this->models.OnToken(token->token);
  } else if (auto* disconnected =
                 std::get_if<CallerDisconnectedEvent>(&aEvent)) {
    this->models.OnCallerDisconnected(disconnected->exchange);
    this->services.OnCallerDisconnected(disconnected->exchange);
  } else if (auto* failed = std::get_if<AttemptFailedEvent>(&aEvent)) {
    this->models.OnAttemptFailed(failed->request, failed->attempt,
                                 failed->stage, failed->failure);
  } else if (auto* progress = std::get_if<ProgressEvent>(&aEvent)) {
    this->models.OnProgress(progress->request, progress->attempt,
                            progress->progress);
  } else if (auto* load = std::get_if<LoadEvent>(&aEvent)) {
    this->peers.OnLoad(load->upstream, load->load);
  } else if (auto* end = std::get_if<CallEndEvent>(&aEvent)) {
    this->services.OnCallEnd(end->call, end->result);
  } else if (auto* snapshot = std::get_if<SnapshotEvent>(&aEvent)) {
    this->OnSnapshot(snapshot->snapshot);
  } else if (auto* plan = std::get_if<PlanEvent>(&aEvent)) {
    this->pool.OnPlan(std::move(plan->result));
  } else if (auto* controller = std::get_if<DomainControllerEvent>(&aEvent)) {
    this->peers.OnControllerReport(controller->report);
  } else if (auto* peer = std::get_if<PeerEvent>(&aEvent)) {
    this->peers.OnMessage(peer->message);
  } else if (auto* admin = std::get_if<AdminRequestEvent>(&aEvent)) {
    if (this->status.OnRequest(admin->request)) {
      this->OnStop();
    }
  } else if (std::holds_alternative<StopEvent>(aEvent)) {
    this->OnStop();
  } else if (std::holds_alternative<RequestsEndedEvent>(aEvent)) {
    this->OnRequestsEnded();
  } else if (std::holds_alternative<AbandonEvent>(aEvent)) {
    this->phase = Phase::Done;
  }
}

void Router::OnCallerRequest(const HttpRequest& aRequest) {
  if (this->phase != Phase::Serving && this->phase != Phase::Draining) {
    this->context.AcceptsInStop(aRequest.exchange, std::nullopt);
    return;
  }
  if (this->context.snapshot == nullptr) {
    this->context.Refuse(
        aRequest.exchange,
        {ErrorKind::NotReady,
         "no configuration has been received from the platform or a peer",
         {}});
    return;
  }
  const std::string& path = aRequest.path;
  const bool isChat = path == "/v1/chat/completions";
  const bool isCompletion = isChat || path == "/v1/completions";
  if (path == "/v1/models" && aRequest.method == "GET") {
    this->models.OnModelList(aRequest);
  } else if (isCompletion && aRequest.method == "POST") {
    this->models.OnRequest(aRequest, isChat);
  } else if (isCompletion || path == "/v1/models") {
    this->context.Refuse(aRequest.exchange,
                         {ErrorKind::MethodNotAllowed,
                          aRequest.method + " is not allowed for this path",
                          {}});
  } else {
    this->services.OnRequest(aRequest);
  }
}

void Router::OnSnapshot(const SnapshotPtr& aSnapshot) {
  const std::uint64_t activeRevision =
      this->context.snapshot ? this->context.snapshot->revision : 0;
  if (aSnapshot->revision <= activeRevision) {
    return;
  }
  this->context.snapshot = aSnapshot;
  this->pool.SetSnapshot(*aSnapshot);
  for (const std::string& upstream : this->context.leavingUpstreams.Leaving()) {
    this->pool.SetLeaving(upstream);
  }
  this->services.SetSnapshot(*aSnapshot);
  LogInfo("configuration_in_force", {{"revision", aSnapshot->revision}});
  // Gossip at once: the next regular gossip is up to one interval, by default
  // a second, away.
  this->peers.Gossip();
}

void Router::OnStop() {
  if (this->phase != Phase::Serving) {
    return;
  }
  this->phase = Phase::Draining;
  this->context.drain.Begin(this->context.clock.Now());
  this->peers.Gossip();
  LogInfo("stopping", {{"open", this->OpenRequests()}});
}

void Router::AdvanceStop(Instant aNow) {
  const DrainPolicy& drain = this->context.drain;
  if (this->phase == Phase::Draining && drain.RefusesAll(aNow)) {
    this->phase = Phase::Refusing;
  }
  const bool isPastLimit = drain.MustEndRequests(aNow);
  if (this->phase == Phase::Refusing && isPastLimit) {
    LogInfo("drain_limit_reached", {{"open", this->OpenRequests()}});
    this->models.EndForStop();
    this->services.EndForStop();
  }
  if (this->phase == Phase::Refusing &&
      (this->OpenRequests() == 0 || isPastLimit)) {
    this->phase = Phase::HandingOver;
    this->handOverStartedAt = aNow;
    if (this->claims.TransferClaimsTo(this->peers.Successor())) {
      this->CloseCallers();
    }
  }
  if (this->phase == Phase::HandingOver) {
    const bool isHandedOver = !this->claims.HandedTo().empty();
    if (isHandedOver || aNow - this->handOverStartedAt >= kHandOverTimeout) {
      this->CloseCallers();
    }
  }
}

/// Ends the requests of callers. Without it, one that was read between the last
/// event of the router and the close of the server had no response.
void Router::CloseCallers() {
  this->phase = Phase::Closing;
  this->context.callers.RefuseRequests(
      ErrorResponse({ErrorKind::Stopping, "this daemon is stopping", {}}));
}

void Router::OnRequestsEnded() {
  this->phase = Phase::Done;
  LogInfo("stopped", {{"handed_to", this->claims.HandedTo()},
                      {"left", this->OpenRequests()}});
}

void Router::OnTick() {
  const Instant now = this->context.clock.Now();
  this->claims.OnTick(now);
  this->models.OnTick(now);
  this->services.OnTick(now);
  this->peers.OnTick(now);
  for (PlanRequest& request : this->pool.DuePlans()) {
    this->workers.plans.Submit(std::move(request));
  }
  if (this->phase != Phase::Serving) {
    this->AdvanceStop(now);
  }
}

}  // namespace zincstep
