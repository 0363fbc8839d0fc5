#include "Zincstep/Entry/StatusHandler.h"

#include <sys/resource.h>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

double ProcessSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

long PeakKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

HttpResponse NotFound() {
  return ErrorResponse({ErrorKind::UnknownService, "no such path", {}});
}

}  // namespace

StatusHandler::StatusHandler(EntryContext& aContext, ModelPool& aPool,
                             ModelHandler& aModels, ServiceHandler& aServices,
                             ClaimCoordinator& aClaims, PeerHandler& aPeers,
                             const ConfigWatcher& aWatcher)
    : context(aContext),
      pool(aPool),
      models(aModels),
      services(aServices),
      claims(aClaims),
      peers(aPeers),
      watcher(aWatcher) {}

bool StatusHandler::OnRequest(const HttpRequest& aRequest) {
  const std::string& path = aRequest.path;
  HttpResponse response = NotFound();
  bool shouldStop = false;
  if (path == "/healthz") {
    response = JsonResponse("{\"alive\":true}");
  } else if (path == "/readyz") {
    response = this->Ready();
  } else if (path == "/metrics") {
    response = this->MetricsResponse();
  } else if (path == "/v1/status") {
    response = JsonResponse(WriteJson(this->Status()));
  } else if (path == "/v1/upstreams") {
    response = JsonResponse(WriteJson(this->Upstreams()));
  } else if (path == "/v1/organisations") {
    response = JsonResponse(WriteJson(this->Organisations()));
  } else if (path == "/v1/chains") {
    response = JsonResponse(
        WriteJson(this->Chains(QueryValue(aRequest.query, "model"))));
  } else if (path == "/v1/explain") {
    response = this->Explain(aRequest);
  } else if (path == "/v1/drain" && aRequest.method == "POST") {
    response = JsonResponse("{\"stopping\":true}");
    shouldStop = true;
  }
  this->context.admin.Respond(aRequest.exchange, std::move(response));
  return shouldStop;
}

HttpResponse StatusHandler::Ready() const {
  if (this->context.drain.IsStopping()) {
    return ErrorResponse({ErrorKind::Stopping, "this daemon is stopping", {}});
  }
  if (this->context.snapshot == nullptr) {
    return ErrorResponse(
        {ErrorKind::NotReady, "no configuration has been received yet", {}});
  }
  return JsonResponse("{\"ready\":true}");
}

HttpResponse StatusHandler::MetricsResponse() {
  Metrics& metrics = this->context.metrics;
  const PeerTraffic traffic = this->context.transport.Traffic();
  metrics.Set("zincstep_open_requests",
              static_cast<double>(this->models.OpenRequests()),
              {{"kind", "model"}});
  metrics.Set("zincstep_open_requests",
              static_cast<double>(this->services.OpenRequests()),
              {{"kind", "service"}});
  metrics.Set("zincstep_waiting_requests",
              static_cast<double>(this->models.Waiting()));
  metrics.Set("zincstep_keys", static_cast<double>(this->claims.Keys()));
  metrics.Set("zincstep_key_bytes",
              static_cast<double>(this->claims.KeyBytes()));
  metrics.Set("zincstep_peer_bytes_out", static_cast<double>(traffic.bytesOut));
  metrics.Set("zincstep_peer_bytes_in", static_cast<double>(traffic.bytesIn));
  metrics.Set("zincstep_peer_messages_out",
              static_cast<double>(traffic.messagesOut));
  metrics.Set("zincstep_peer_connects", static_cast<double>(traffic.connects));
  metrics.Set("zincstep_peer_dropped", static_cast<double>(traffic.dropped));
  metrics.Set("zincstep_process_seconds", ProcessSeconds());
  metrics.Set("zincstep_peak_kilobytes", static_cast<double>(PeakKilobytes()));
  metrics.Set("zincstep_revision",
              this->context.snapshot
                  ? static_cast<double>(this->context.snapshot->revision)
                  : 0);
  HttpResponse response;
  response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  response.body = metrics.Text();
  return response;
}

Json StatusHandler::Status() const {
  const Instant now = this->context.clock.Now();
  const DomainControllerReport& controller = this->peers.LastReport();
  const std::int64_t lastResponse = this->watcher.LastResponseMicros();
  Json daemons = Json::array();
  for (const DaemonStatus& daemon : this->peers.Daemons()) {
    daemons.push_back({{"vm", daemon.vm},
                       {"revision", daemon.revision},
                       {"heard", daemon.isLive},
                       {"stopping", daemon.isStopping},
                       {"heard_at", daemon.lastSeenAt}});
  }
  return {
      {"vm", this->context.settings.vm},
      {"member", this->context.member},
      {"failure_domain", this->context.settings.failureDomain},
      {"revision",
       this->context.snapshot ? this->context.snapshot->revision : 0},
      {"stopping", this->context.drain.IsStopping()},
      {"has_duty", controller.isLeader},
      {"fence", controller.fence},
      {"platform_answers", controller.isPlatformReachable},
      {"knowledge_age_ms",
       lastResponse == 0
           ? -1
           : (now.time_since_epoch().count() - lastResponse) / 1000},
      {"open", this->models.OpenRequests() + this->services.OpenRequests()},
      {"waiting", this->models.Waiting()},
      {"keys", this->claims.Keys()},
      {"members",
       {{"epoch", this->context.members.Epoch()},
        {"version", this->context.members.version},
        {"lists", this->context.members.lists.size()},
        {"newest", this->context.members.lists.empty()
                       ? 0
                       : this->context.members.lists.front().members.size()}}},
      {"leaving", this->context.leavingUpstreams.Leaving()},
      {"stuck", controller.stuck},
      {"hears_all_peers", this->context.limits.AreAllPeersLive(now)},
      {"daemons", std::move(daemons)}};
}

Json StatusHandler::Upstreams() {
  Json list = Json::array();
  for (const UpstreamView& view : this->pool.Views()) {
    list.push_back({{"name", view.name},
                    {"model", view.model},
                    {"failure_domain", view.failureDomain},
                    {"kind", view.kind},
                    {"layers", {view.layers.first, view.layers.last}},
                    {"version", view.version},
                    {"state", NameIn(kReplicaStateNames, view.state)},
                    {"own", view.localSequences},
                    {"sequences", view.sequences},
                    {"step_ratio", view.stepRatio}});
  }
  return {{"upstreams", std::move(list)}};
}

Json StatusHandler::Organisations() const {
  Json list = Json::array();
  if (this->context.snapshot) {
    for (const Organisation& organisation :
         this->context.snapshot->configuration.organisations) {
      const auto served = this->models.Served().find(organisation.name);
      list.push_back(
          {{"name", organisation.name},
           {"weight", organisation.weight},
           {"priority", NameIn(kPriorityNames, organisation.priority)},
           {"tokens_per_second", organisation.tokensPerSecond},
           {"tokens_served",
            served == this->models.Served().end() ? 0 : served->second}});
    }
  }
  return {{"organisations", std::move(list)}};
}

Json StatusHandler::Chains(const std::string& aModel) {
  Json list = Json::array();
  if (this->context.snapshot == nullptr) {
    return {{"chains", std::move(list)}};
  }
  for (const Model& model : this->context.snapshot->configuration.models) {
    if (!aModel.empty() && model.name != aModel) {
      continue;
    }
    const std::string version =
        this->pool.ServingVersion(model.name, this->context.random);
    const PlannerPtr planner = this->pool.Planner(model.name, version);
    Json paths = Json::array();
    for (const FlowPath& path : planner->Plan().paths) {
      Json hops = Json::array();
      for (const FlowHop& hop : path.hops) {
        const FlowGroup& group =
            planner->Plan().groups[static_cast<std::size_t>(hop.group)];
        const auto& replica =
            planner->GetFleet()
                .replicas[static_cast<std::size_t>(group.members.front())];
        hops.push_back({{"layers", {hop.layers.first, hop.layers.last}},
                        {"failure_domain", replica.failureDomain},
                        {"first_of_group", replica.name},
                        {"members", group.members.size()}});
      }
      paths.push_back({{"tokens_per_second", path.tokensPerSecond},
                       {"step_ms", path.stepSeconds * 1e3},
                       {"hops", std::move(hops)}});
    }
    list.push_back({{"model", model.name},
                    {"version", version},
                    {"tokens_per_second", planner->Plan().tokensPerSecond},
                    {"upper_bound", planner->Plan().upperBound},
                    {"in_flight", planner->InFlight()},
                    {"own_window", planner->LocalWindow()},
                    {"paths", std::move(paths)}});
  }
  return {{"chains", std::move(list)}};
}

HttpResponse StatusHandler::Explain(const HttpRequest& aRequest) {
  const std::string id = QueryValue(aRequest.query, "request");
  const Json* route = this->models.Routes().Find(id);
  if (route == nullptr) {
    return ErrorResponse(
        {ErrorKind::UnknownService,
         "the route of '" + id + "' is not in the log of this daemon",
         {}});
  }
  return JsonResponse(route->dump());
}

}  // namespace zincstep
