/// \file
/// Reports of an upstream, and the orders that it accepts.

#include "SoakTests/SoakUpstream.h"

namespace zincstep::soak {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr Micros kLoadTime = 150ms;

}  // namespace

void SoakUpstream::Report(CallerConnection& aConnection) {
  Json stalled = Json::array();
  for (const Stream& stream : this->streams) {
    const std::string missing = this->FindMissingMember(stream.path);
    if (!missing.empty()) {
      stalled.push_back({{"id", stream.id}, {"address", missing}});
    }
  }
  const Json report{
      {"born", this->incarnation},
      {"layers",
       {{"from", this->layers.first}, {"targetVersion", this->layers.last}}},
      {"busy", this->loading.has_value()},
      {"sequence", this->sequence},
      {"running", this->streams.size()},
      {"queued", 0},
      {"pace", 1.0},
      {"kvUsed", 0},
      {"kvTotal", 1000},
      {"stalled", stalled}};
  aConnection.Answer(
      kOk, this->AddLimitHeader({{"Content-Type", "application/json"}}),
      report.dump());
}

void SoakUpstream::Order(CallerConnection& aConnection,
                         const std::string& aBody) {
  const Json body = Json::parse(aBody, nullptr, false);
  body.value("op", "") == "place" ? this->Place(aConnection, body)
                                  : this->Reroute(aConnection, body);
}

void SoakUpstream::Place(CallerConnection& aConnection, const Json& aBody) {
  const LayerRange assigned{aBody.value("from", 0),
                            aBody.value("targetVersion", 0)};
  if (this->loading || aBody.value("expectedRevision", -1) != this->sequence) {
    aConnection.Answer(kConflict, this->AddLimitHeader({}), "{}");
    return;
  }
  this->sequence += 1;
  this->loading = assigned;
  this->loadedAt = this->clock.Now() + kLoadTime;
  aConnection.Answer(kAccepted, this->AddLimitHeader({}), "{}");
}

void SoakUpstream::Reroute(CallerConnection& aConnection, const Json& aBody) {
  const std::string path = aBody.value("path", "");
  const std::string missing = this->FindMissingMember(path);
  for (Stream& stream : this->streams) {
    if (stream.id != aBody.value("id", "")) {
      continue;
    }
    if (missing.empty()) {
      stream.path = path;
      aConnection.Answer(kOk, this->AddLimitHeader({}), "{}");
    } else {
      aConnection.Answer(kConflict, this->AddLimitHeader({}),
                         Json{{"address", missing}}.dump());
    }
    return;
  }
  aConnection.Answer(kNotFound, this->AddLimitHeader({}), "{}");
}

}  // namespace zincstep::soak
