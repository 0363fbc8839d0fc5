#include "Zincstep/Entry/StatusHandler.h"

#include <sys/resource.h>

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

HttpResponse NotHere() {
  return ErrorResponse(
      {ErrorKind::UnknownService, "there is nothing here", {}});
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
  HttpResponse answer = NotHere();
  bool stops = false;
  if (path == "/healthz") {
    answer = JsonResponse("{\"alive\":true}");
  } else if (path == "/readyz") {
    answer = this->Ready();
  } else if (path == "/metrics") {
    answer = this->MetricsAnswer();
  } else if (path == "/v1/status") {
    answer = JsonResponse(this->Status().dump());
  } else if (path == "/v1/upstreams") {
    answer = JsonResponse(this->Upstreams().dump());
  } else if (path == "/v1/organisations") {
    answer = JsonResponse(this->Organisations().dump());
  } else if (path == "/v1/chains") {
    answer =
        JsonResponse(this->Chains(QueryValue(aRequest.query, "model")).dump());
  } else if (path == "/v1/explain") {
    answer = this->Explain(aRequest);
  } else if (path == "/v1/drain" && aRequest.method == "POST") {
    answer = JsonResponse("{\"stopping\":true}");
    stops = true;
  }
  this->context.admin.Respond(aRequest.exchange, std::move(answer));
  return stops;
}

HttpResponse StatusHandler::Ready() const {
  if (this->context.stopping) {
    return ErrorResponse({ErrorKind::Stopping, "this daemon is stopping", {}});
  }
  if (this->context.snapshot == nullptr) {
    return ErrorResponse(
        {ErrorKind::NotReady, "no configuration has been heard yet", {}});
  }
  return JsonResponse("{\"ready\":true}");
}

HttpResponse StatusHandler::MetricsAnswer() {
  Metrics& metrics = this->context.metrics;
  const PeerTraffic traffic = this->context.transport.Traffic();
  metrics.Set("zincstep_open_requests",
              static_cast<double>(this->models.Open()), {{"kind", "model"}});
  metrics.Set("zincstep_open_requests",
              static_cast<double>(this->services.Open()),
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
  HttpResponse answer;
  answer.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  answer.body = metrics.Text();
  return answer;
}

Json StatusHandler::Status() const {
  const Instant now = this->context.clock.Now();
  const DomainControllerReport& controller = this->peers.LastReport();
  const std::int64_t answered = this->watcher.LastAnswerMicros();
  Json daemons = Json::array();
  for (const DaemonStatus& one : this->peers.Daemons()) {
    daemons.push_back({{"vm", one.vm},
                       {"revision", one.revision},
                       {"heard", one.isLive},
                       {"stopping", one.isStopping},
                       {"heard_at", one.lastSeenAt}});
  }
  return {
      {"vm", this->context.settings.vm},
      {"member", this->context.member},
      {"failure_domain", this->context.settings.failureDomain},
      {"revision",
       this->context.snapshot ? this->context.snapshot->revision : 0},
      {"stopping", this->context.stopping},
      {"has_duty", controller.isLeader},
      {"fence", controller.fence},
      {"platform_answers", controller.platformAnswers},
      {"knowledge_age_ms",
       answered == 0 ? -1 : (now.time_since_epoch().count() - answered) / 1000},
      {"open", this->models.Open() + this->services.Open()},
      {"waiting", this->models.Waiting()},
      {"keys", this->claims.Keys()},
      {"members",
       {{"epoch", this->context.members.Epoch()},
        {"version", this->context.members.version},
        {"lists", this->context.members.lists.size()},
        {"newest", this->context.members.lists.empty()
                       ? 0
                       : this->context.members.lists.front().members.size()}}},
      {"leaving", this->context.roster.Leaving()},
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
                    {"own", view.own},
                    {"sequences", view.sequences},
                    {"step_ratio", view.stepRatio}});
  }
  return {{"upstreams", std::move(list)}};
}

Json StatusHandler::Organisations() const {
  Json list = Json::array();
  if (this->context.snapshot) {
    for (const Organisation& one :
         this->context.snapshot->configuration.organisations) {
      const auto served = this->models.Served().find(one.name);
      list.push_back(
          {{"name", one.name},
           {"weight", one.weight},
           {"priority", NameIn(kPriorityNames, one.priority)},
           {"tokens_per_second", one.tokensPerSecond},
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
    return ErrorResponse({ErrorKind::UnknownService,
                          "the route of '" + id + "' is not kept here",
                          {}});
  }
  return JsonResponse(route->dump());
}

}  // namespace zincstep
