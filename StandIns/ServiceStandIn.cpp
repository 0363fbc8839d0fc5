#include "StandIns/ServiceStandIn.h"

#include <nlohmann/json.hpp>

namespace zincstep::standins {

namespace {

using Json = nlohmann::json;

}  // namespace

ServiceStandIn::ServiceStandIn(const std::string& aAddress, std::string aName)
    : name(std::move(aName)),
      server(aAddress,
             [this](const HttpRequest& aRequest) { this->Handle(aRequest); }) {}

void ServiceStandIn::Handle(const HttpRequest& aRequest) {
  if (aRequest.path == "/v1/faults") {
    this->HandleFaults(aRequest);
    return;
  }
  if (aRequest.path == "/v1/runs") {
    HttpResponse response = JsonResponse(Json(this->runs).dump());
    this->server.Http().Respond(aRequest.exchange, std::move(response));
    return;
  }
  if (this->faults.outage) {
    HttpResponse response = JsonResponse("{}");
    response.status = 503;
    this->server.Http().Respond(aRequest.exchange, std::move(response));
    return;
  }
  this->openRequests += 1;
  this->server.RunAfter(this->faults.delay, [this, aRequest] {
    this->openRequests -= 1;
    this->RunRequest(aRequest);
  });
}

void ServiceStandIn::HandleFaults(const HttpRequest& aRequest) {
  const Json json = Json::parse(aRequest.body, nullptr, false);
  if (json.is_object()) {
    this->faults.delay = Micros{
        1000 * json.value("delay_ms", this->faults.delay.count() / 1000)};
    this->faults.lostResponses =
        json.value("lose_answers", this->faults.lostResponses);
    this->faults.outage = json.value("outage", this->faults.outage);
  }
  this->server.Http().Respond(aRequest.exchange, JsonResponse("{}"));
}

void ServiceStandIn::RunRequest(const HttpRequest& aRequest) {
  const std::string key =
      aRequest.method + " " + aRequest.path + " " + aRequest.body;
  const int count = ++this->runs[key];
  if (this->faults.lostResponses > 0) {
    this->faults.lostResponses -= 1;
    this->server.Http().Abort(aRequest.exchange);
    return;
  }
  HttpResponse response = JsonResponse(Json{
      {"service", this->name},
      {"path", aRequest.path},
      {"runs", count},
      {"echo", aRequest.body}}.dump());
  response.headers.push_back(
      {"zincstep-load", std::to_string(this->openRequests)});
  this->server.Http().Respond(aRequest.exchange, std::move(response));
}

}  // namespace zincstep::standins
