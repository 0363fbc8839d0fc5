#include "SoakTests/SoakUpstream.h"

#include <sstream>

#include "Zincstep/Relay/Relay.h"

namespace zincstep::soak {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kTaken = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr Micros kLoadTime = 150ms;
/// A plain upstream runs one request of so many and breaks its answer off.
constexpr std::uint64_t kAnswersToOneLost = 15;
/// A request that crashes an upstream has run for so long by then, and the
/// upstream is back after this where nothing else is set.
constexpr Micros kTimeToCrash = 50ms;
constexpr Micros kTimeToReturn = 800ms;
/// A chain with a lost member stands still for so long, then it is cut.
constexpr Micros kStall = 2s;

std::string HeaderOf(const CallerMessage& aMessage, std::string_view aName) {
  return std::string(FindHeader(aMessage.head.headers, aName));
}

HttpHeaders SealedHeaders(const std::string& aId) {
  return {{"X-Attempt-Id", aId}, {"X-Response-Seal", "seal-" + aId}};
}

/// One part of a path: ADDRESS=FIRST-LAST.
struct PathPart {
  std::string address;
  LayerRange layers;
};

std::vector<PathPart> PartsOf(const std::string& aPath) {
  std::vector<PathPart> parts;
  std::istringstream list(aPath);
  for (std::string text; std::getline(list, text, ',');) {
    const std::size_t mark = text.find('=');
    const std::size_t dash = text.find('-', mark);
    parts.push_back({text.substr(0, mark),
                     {std::stoi(text.substr(mark + 1, dash - mark - 1)),
                      std::stoi(text.substr(dash + 1))}});
  }
  return parts;
}

}  // namespace

std::string BodyFor(const std::string& aId) { return "answer to " + aId; }

int EventsFor(const std::string& aId) {
  constexpr int kFewest = 10;
  constexpr int kSpread = 30;
  return kFewest + static_cast<int>(Hash64(aId) % kSpread);
}

std::string EventFor(const std::string& aId, int aNumber) {
  return "id: " + std::to_string(aNumber) + "\ndata: " + aId + "-" +
         std::to_string(aNumber) + "\n\n";
}

SoakUpstream::SoakUpstream(asio::io_context& aLoop, const Clock& aClock,
                           SoakStore& aStore, Ledger& aLedger,
                           UpstreamsByAddress& aPeers, std::string aName,
                           std::string aService, std::string aDomain)
    : clock(aClock),
      store(aStore),
      ledger(aLedger),
      peers(aPeers),
      name(std::move(aName)),
      service(std::move(aService)),
      domain(std::move(aDomain)),
      listener(aLoop, *this, aClock),
      timeToReturn(kTimeToReturn) {
  ZINCSTEP_ASSERT(this->listener.Start("127.0.0.1:0").has_value());
  this->proxy = std::make_unique<FaultProxy>(aLoop, this->listener.Port());
  this->proxy->SetOnReset([this] {
    this->ledger.Event("connection_reset", {{"upstream", this->id}});
  });
  this->peers[this->proxy->Address()] = this;
  this->Restart();
}

void SoakUpstream::Kill(bool aIsDark) {
  if (!this->isAlive) {
    return;
  }
  this->isAlive = false;
  this->proxy->Set(LinkState::Reset);
  if (aIsDark) {
    this->proxy->Set(LinkState::Silent);
  }
  for (const auto& connection : std::exchange(this->dying, {})) {
    connection->Abort();
  }
  const std::vector<Stream> all = std::move(this->streams);
  this->streams.clear();
  for (const Stream& stream : all) {
    stream.connection->Abort();
  }
  this->store.Remove("servers/" + this->id);
}

void SoakUpstream::Restart() {
  this->Kill(false);
  this->incarnation += 1;
  const std::string next = this->name + "-" + std::to_string(this->incarnation);
  if (this->id.empty() || Hash64(next) % 2 == 0) {
    this->id = next;  // Each second one starts again under the id that it had.
  }
  this->sequence = 0;
  this->limit.reset();
  this->rest.reset();
  this->layers = {};
  this->loading.reset();
  this->isAlive = true;
  this->isDraining = false;
  this->isNoticeOver = false;
  this->proxy->Set(LinkState::Up);
  this->ledger.Event("upstream_started", {{"upstream", this->id},
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
  const Json entry{
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

bool SoakUpstream::Holds(LayerRange aLayers) const {
  return this->isAlive && !this->loading && this->layers.Covers(aLayers);
}

std::string SoakUpstream::Missing(const std::string& aPath) const {
  for (const PathPart& part : PartsOf(aPath)) {
    const auto found = this->peers.find(part.address);
    if (found == this->peers.end() || !found->second->Holds(part.layers)) {
      return part.address;
    }
  }
  return "";
}

bool SoakUpstream::TakesRequests() const {
  return this->isAlive && !this->isDraining &&
         (!this->IsOfModel() || this->Holds({0, 1}));
}

std::size_t SoakUpstream::MostCalls(Instant aSince, Micros aWindow) const {
  std::size_t most = 0;
  for (auto end = this->calls.begin(); end != this->calls.end(); ++end) {
    const Instant after = std::max(aSince, *end - aWindow);
    const auto first = std::upper_bound(this->calls.begin(), end, after);
    if (*end >= aSince) {
      most = std::max(most, static_cast<std::size_t>(end - first) + 1);
    }
  }
  return most;
}

HttpHeaders SoakUpstream::WithLimit(HttpHeaders aHeaders) const {
  if (this->limit) {
    aHeaders.push_back({"Server-Limit", std::to_string(*this->limit)});
  }
  return aHeaders;
}

void SoakUpstream::OnRequest(
    const std::shared_ptr<CallerConnection>& aConnection,
    CallerMessage aMessage) {
  this->calls.push_back(this->clock.Now());
  const std::string expected = HeaderOf(aMessage, "X-Expect-Instance");
  if (!this->isAlive || (!expected.empty() && expected != this->id)) {
    aConnection->Answer(kMisdirected, {{"X-Not-Executed", "1"}}, "");
  } else if (aMessage.head.target == "/report") {
    this->Report(*aConnection);
  } else if (aMessage.head.target == "/order") {
    this->Order(*aConnection, aMessage.body);
  } else {
    this->Run(aConnection, aMessage);
  }
}

void SoakUpstream::OnCallerDisconnected(CallerConnection& aConnection) {
  std::erase_if(this->streams, [&](const Stream& aStream) {
    return aStream.connection.get() == &aConnection;
  });
}

bool SoakUpstream::LosesAnswerTo(const std::string& aRequest) const {
  return Hash64(aRequest + this->name) % kAnswersToOneLost == 0;
}

void SoakUpstream::Run(const std::shared_ptr<CallerConnection>& aConnection,
                       const CallerMessage& aMessage) {
  const std::string request = HeaderOf(aMessage, "X-Attempt-Id");
  const std::string path = HeaderOf(aMessage, "Path");
  const std::string missing = this->Missing(path);
  if (this->rest) {
    aConnection->Answer(kUnavailable,
                        {{"X-Attempt-Id", request},
                         {"X-Not-Executed", "1"},
                         RetryAfterHeader(*this->rest)},
                        "");
    return;
  }
  if (!missing.empty()) {
    aConnection->Answer(kUnavailable,
                        this->WithLimit({{"X-Attempt-Id", request},
                                         {"X-Not-Executed", "1"},
                                         {"At-Server", missing}}),
                        "");
    return;
  }
  this->ledger.Ran(request, HeaderOf(aMessage, "X-Tenant"));
  if (this->isNoticeOver) {
    this->ledger.Broken("request " + request + " reached " + this->id +
                        " long after it announced that it leaves");
  }
  if (this->service != "model") {
    this->LosesAnswerTo(request)
        ? aConnection->Abort()
        : aConnection->Answer(kOk, this->WithLimit(SealedHeaders(request)),
                              BodyFor(request));
    return;
  }
  if (aMessage.head.target == kCrashingPath) {
    this->ledger.CrashingSent(this->clock.Now());
    this->ledger.Event("crashing_request",
                       {{"request", request}, {"upstream", this->id}});
    this->crashAt = this->crashAt.value_or(this->clock.Now() + kTimeToCrash);
    this->dying.push_back(aConnection);
    return;
  }
  int next = 0;
  for (const PathPart& part : PartsOf(path)) {
    if (part.layers.first != next) {
      this->ledger.Broken("request " + request + " leaves layers out: " + path);
    }
    next = part.layers.last;
  }
  const std::string last = HeaderOf(aMessage, "Last-Event-Id");
  auto headers = this->WithLimit(SealedHeaders(request));
  headers.push_back({"Content-Type", "text/event-stream"});
  aConnection->BeginChunks(kOk, headers);
  this->streams.push_back({aConnection, request, path,
                           last.empty() ? 1 : std::stoi(last) + 1,
                           this->clock.Now()});
}

void SoakUpstream::CrashOrReturn(Instant aNow) {
  if (this->crashAt && aNow >= *this->crashAt) {
    this->crashAt.reset();
    if (this->isAlive) {
      this->ledger.CrashedOne(aNow);
      this->ledger.Event("upstream_crashed",
                         {{"upstream", this->id},
                          {"born", this->incarnation},
                          {"streams", this->streams.size()}});
      this->Kill(false);
      this->backAt = aNow + this->timeToReturn;
    }
  }
  if (this->backAt && aNow >= *this->backAt) {
    this->backAt.reset();
    this->Restart();
  }
}

void SoakUpstream::Tick() {
  const Instant now = this->clock.Now();
  this->CrashOrReturn(now);
  if (this->isAlive && this->loading && now >= this->loadedAt) {
    this->layers = *this->loading;
    this->loading.reset();
    this->WriteEntry();
  }
  // A connection that closes here takes its stream out of the member.
  std::vector<Stream> all;
  all.swap(this->streams);
  std::erase_if(all, [&](Stream& aStream) {
    if (aStream.connection->IsClosed()) {
      return true;
    }
    if (!this->Missing(aStream.path).empty()) {
      const bool isOver = now - aStream.movedAt > kStall;
      if (isOver) {
        aStream.connection->Abort();
      }
      return isOver;
    }
    aStream.movedAt = now;
    const int count = EventsFor(aStream.id);
    if (aStream.next <= count) {
      aStream.connection->AppendChunk(EventFor(aStream.id, aStream.next));
      aStream.next += 1;
      return false;
    }
    aStream.connection->EndChunks();
    return true;
  });
  this->streams.insert(this->streams.end(), all.begin(), all.end());
}

void SoakUpstream::Report(CallerConnection& aConnection) {
  Json stalled = Json::array();
  for (const Stream& stream : this->streams) {
    const std::string missing = this->Missing(stream.path);
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
  aConnection.Answer(kOk,
                     this->WithLimit({{"Content-Type", "application/json"}}),
                     report.dump());
}

void SoakUpstream::Order(CallerConnection& aConnection,
                         const std::string& aBody) {
  const Json body = Json::parse(aBody, nullptr, false);
  body.value("op", "") == "place" ? this->Place(aConnection, body)
                                  : this->Reroute(aConnection, body);
}

void SoakUpstream::Place(CallerConnection& aConnection, const Json& aBody) {
  const LayerRange wanted{aBody.value("from", 0),
                          aBody.value("targetVersion", 0)};
  if (this->loading || aBody.value("expectedRevision", -1) != this->sequence) {
    aConnection.Answer(kConflict, this->WithLimit({}), "{}");
    return;
  }
  this->sequence += 1;
  this->loading = wanted;
  this->loadedAt = this->clock.Now() + kLoadTime;
  aConnection.Answer(kTaken, this->WithLimit({}), "{}");
}

void SoakUpstream::Reroute(CallerConnection& aConnection, const Json& aBody) {
  const std::string path = aBody.value("path", "");
  const std::string missing = this->Missing(path);
  for (Stream& stream : this->streams) {
    if (stream.id != aBody.value("id", "")) {
      continue;
    }
    if (missing.empty()) {
      stream.path = path;
      aConnection.Answer(kOk, this->WithLimit({}), "{}");
    } else {
      aConnection.Answer(kConflict, this->WithLimit({}),
                         Json{{"address", missing}}.dump());
    }
    return;
  }
  aConnection.Answer(kNotFound, this->WithLimit({}), "{}");
}

}  // namespace zincstep::soak
