/// \file
/// Incarnations of a stand-in upstream: its starts and ends, and its entry in
/// the store.

#include "SoakTests/SoakUpstream.h"

namespace zincstep::soak {

void SoakUpstream::Kill(bool aIsBlackholed) {
  if (!this->isAlive) {
    return;
  }
  this->isAlive = false;
  this->proxy->SetState(LinkState::Reset);
  if (aIsBlackholed) {
    this->proxy->SetState(LinkState::Blackholed);
  }
  if (this->refusesWhenDown) {
    this->proxy->SetNewConnections(NewConnections::Refused);
  }
  for (const auto& connection : std::exchange(this->crashingConnections, {})) {
    connection->Abort();
  }
  for (const auto& connection : std::exchange(this->silentConnections, {})) {
    connection->Abort();
  }
  for (const DelayedResponse& one : std::exchange(this->delayed, {})) {
    one.connection->Abort();
  }
  const std::vector<Stream> all = std::move(this->streams);
  this->streams.clear();
  for (const Stream& stream : all) {
    stream.connection->Abort();
  }
  this->RemoveEntry();
}

void SoakUpstream::RemoveEntry() {
  const std::string key = "servers/" + this->id;
  if (this->entryLifetime == Micros{0}) {
    this->store.Remove(key);
  } else {
    this->lapsing.emplace_back(this->clock.Now() + this->entryLifetime, key);
  }
}

void SoakUpstream::RemoveLapsedEntries(Instant aNow) {
  std::erase_if(this->lapsing, [&](const auto& aEntry) {
    const bool isDue = aNow >= aEntry.first;
    if (isDue) {
      this->store.Remove(aEntry.second);
    }
    return isDue;
  });
}

void SoakUpstream::Restart() {
  this->Kill(false);
  this->incarnation += 1;
  const std::string next = this->name + "-" + std::to_string(this->incarnation);
  const bool hasOwnId = this->id.empty() || this->entryLifetime > Micros{0};
  if (hasOwnId || Hash64(next) % 2 == 0) {
    this->id = next;  // Half of the other restarts reuse the previous id.
  }
  this->sequence = 0;
  this->limit.reset();
  this->retryAfter.reset();
  this->layers = {};
  this->ordered.reset();
  this->isAlive = true;
  this->isDraining = false;
  this->isNoticePeriodOver = false;
  this->proxy->SetState(LinkState::Up);
  if (this->refusesWhenDown) {
    this->proxy->SetNewConnections(NewConnections::Accepted);
  }
  this->checker.WriteEvent("upstream_started",
                           {{"upstream", this->id},
                            {"born", this->incarnation},
                            {"address", this->proxy->Address()}});
  this->WriteEntry();
}

void SoakUpstream::Drain() {
  if (this->isAlive && !this->isDraining) {
    this->isDraining = true;
    this->WriteEntry();
  }
}

void SoakUpstream::WriteEntry() {
  const nlohmann::json entry{
      {"backend", this->service},
      {"address", this->proxy->Address()},
      {"zone", this->domain},
      {"born", this->incarnation},
      {"slots", 8},
      {"state", this->isDraining ? "draining" : "ready"},
      {"routeType", this->service == "model" ? "k" : ""},
      {"layers",
       {{"from", this->layers.first}, {"targetVersion", this->layers.last}}}};
  this->store.Put("servers/" + this->id, entry.dump());
}

void SoakUpstream::CrashOrRestart(Instant aNow) {
  if (this->crashAt && aNow >= *this->crashAt) {
    this->crashAt.reset();
    if (this->isAlive) {
      this->checker.OnUpstreamCrash(aNow);
      this->checker.WriteEvent("upstream_crashed",
                               {{"upstream", this->id},
                                {"born", this->incarnation},
                                {"streams", this->streams.size()}});
      this->Kill(false);
      this->restartAt = aNow + this->restartDelay;
    }
  }
  if (this->restartAt && aNow >= *this->restartAt) {
    this->restartAt.reset();
    this->Restart();
  }
}

}  // namespace zincstep::soak
