/// \file
/// Reports of an upstream, and the orders that it accepts.

#include <algorithm>

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

LayerRange SoakUpstream::KeptLayers() const {
  if (!this->ordered) {
    return this->layers;
  }
  const LayerRange kept{std::max(this->layers.first, this->ordered->first),
                        std::min(this->layers.last, this->ordered->last)};
  return kept.Size() > 0 ? kept : LayerRange{};
}

bool SoakUpstream::HoldsLayers(LayerRange aLayers) const {
  const bool hasReleased = this->ordered && this->loadedAt;
  return this->isAlive &&
         (hasReleased ? this->KeptLayers() : this->layers).Covers(aLayers);
}

bool SoakUpstream::AcceptsLayers(LayerRange aLayers) const {
  return this->isAlive && this->KeptLayers().Covers(aLayers);
}

std::string SoakUpstream::FindMissingMember(const std::string& aPath) const {
  for (const PathPart& part : ParsePath(aPath)) {
    const auto found = this->peers.find(part.address);
    if (found == this->peers.end() ||
        !found->second->HoldsLayers(part.layers)) {
      return part.address;
    }
  }
  return "";
}

std::string SoakUpstream::FindRejectingMember(
    const std::string& aPath, const std::string& aPresentPath) const {
  const std::vector<PathPart> present = ParsePath(aPresentPath);
  for (const PathPart& part : ParsePath(aPath)) {
    const bool isPresent =
        std::find(present.begin(), present.end(), part) != present.end();
    const auto found = this->peers.find(part.address);
    if (found == this->peers.end() ||
        !(isPresent ? found->second->HoldsLayers(part.layers)
                    : found->second->AcceptsLayers(part.layers))) {
      return part.address;
    }
  }
  return "";
}

bool SoakUpstream::UsesReleased(const Stream& aStream) const {
  const LayerRange kept = this->KeptLayers();
  const std::vector<PathPart> path = ParsePath(aStream.path);
  return std::any_of(path.begin(), path.end(), [&](const PathPart& aPart) {
    const auto found = this->peers.find(aPart.address);
    return found != this->peers.end() && found->second == this &&
           !kept.Covers(aPart.layers);
  });
}

bool SoakUpstream::IsReleasedInUse() const {
  return std::any_of(
      this->peers.begin(), this->peers.end(), [this](const auto& aFirst) {
        const std::vector<Stream>& running = aFirst.second->streams;
        return std::any_of(running.begin(), running.end(),
                           [this](const Stream& aStream) {
                             return this->UsesReleased(aStream);
                           });
      });
}

void SoakUpstream::CarryOutOrder(Instant aNow) {
  if (!this->isAlive || !this->ordered) {
    return;
  }
  if (!this->loadedAt && !this->IsReleasedInUse()) {
    this->loadedAt = aNow + kLoadTime;
  }
  if (this->loadedAt && aNow >= *this->loadedAt) {
    this->layers = *this->ordered;
    this->ordered.reset();
    this->WriteEntry();
  }
}

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
      {"busy", this->ordered.has_value()},
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
  if (this->ordered || aBody.value("expectedRevision", -1) != this->sequence) {
    aConnection.Answer(kConflict, this->AddLimitHeader({}), "{}");
    return;
  }
  this->sequence += 1;
  this->ordered = assigned;
  this->loadedAt.reset();
  if (aBody.value("how", "") != "wait") {
    this->loadedAt = this->clock.Now() + kLoadTime;
  }
  aConnection.Answer(kAccepted, this->AddLimitHeader({}), "{}");
}

void SoakUpstream::Reroute(CallerConnection& aConnection, const Json& aBody) {
  const std::string path = aBody.value("path", "");
  for (Stream& stream : this->streams) {
    if (stream.id != aBody.value("id", "")) {
      continue;
    }
    const std::string rejecting = this->FindRejectingMember(path, stream.path);
    if (rejecting.empty()) {
      stream.path = path;
      aConnection.Answer(kOk, this->AddLimitHeader({}), "{}");
    } else {
      aConnection.Answer(kConflict, this->AddLimitHeader({}),
                         Json{{"address", rejecting}}.dump());
    }
    return;
  }
  aConnection.Answer(kNotFound, this->AddLimitHeader({}), "{}");
}

}  // namespace zincstep::soak
