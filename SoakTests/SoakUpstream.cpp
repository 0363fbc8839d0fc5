#include "SoakTests/SoakUpstream.h"

#include <sstream>

#include "Zincstep/Relay/Relay.h"

namespace zincstep::soak {

namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
/// A plain upstream runs one in this many requests and aborts the connection
/// instead of responding.
constexpr std::uint64_t kResponsesPerDrop = 15;
/// Default time from a crash by a request to the restart.
constexpr Micros kDefaultRestartDelay = 800ms;
/// The operators count no request as late that a link held up so shortly
/// before.
constexpr Micros kHeldTime = 3s;
/// A chain with a lost member stalls for this long, then its connection is
/// aborted.
constexpr Micros kStallTimeout = 2s;

std::string GetHeader(const CallerMessage& aMessage, std::string_view aName) {
  return std::string(FindHeader(aMessage.head.headers, aName));
}

/// Number of the last event that the request names; 0: none.
int LastEvent(const CallerMessage& aMessage) {
  return std::atoi(GetHeader(aMessage, "Last-Event-Id").c_str());
}

HttpHeaders SealedHeaders(const std::string& aId) {
  return {{"X-Attempt-Id", aId}, {"X-Response-Seal", "seal-" + aId}};
}

}  // namespace

std::vector<PathPart> ParsePath(const std::string& aPath) {
  std::vector<PathPart> parts;
  std::istringstream list(aPath);
  for (std::string text; std::getline(list, text, ',');) {
    const std::size_t separator = text.find('=');
    const std::size_t dash = text.find('-', separator);
    parts.push_back(
        {text.substr(0, separator),
         {std::stoi(text.substr(separator + 1, dash - separator - 1)),
          std::stoi(text.substr(dash + 1))}});
  }
  return parts;
}

std::string BodyFor(const std::string& aId) { return "answer to " + aId; }

int EventsFor(const std::string& aId) {
  constexpr int kMinEvents = 10;
  constexpr int kEventSpread = 30;
  const std::size_t separator = aId.find(kEventsSeparator);
  if (separator != std::string::npos) {
    return std::stoi(aId.substr(separator + 1));
  }
  return kMinEvents + static_cast<int>(Hash64(aId) % kEventSpread);
}

std::string EventsAfter(const std::string& aId, int aNumber) {
  std::string events;
  for (int event = aNumber + 1; event <= EventsFor(aId); ++event) {
    events += EventFor(aId, event);
  }
  return events;
}

std::string EventFor(const std::string& aId, int aNumber) {
  return "id: " + std::to_string(aNumber) + "\ndata: " + aId + "-" +
         std::to_string(aNumber) + "\n\n";
}

SoakUpstream::SoakUpstream(asio::io_context& aLoop, const Clock& aClock,
                           SoakStore& aStore, InvariantChecker& aChecker,
                           UpstreamsByAddress& aPeers, std::string aName,
                           std::string aService, std::string aDomain)
    : loop(aLoop),
      clock(aClock),
      store(aStore),
      checker(aChecker),
      peers(aPeers),
      name(std::move(aName)),
      service(std::move(aService)),
      domain(std::move(aDomain)),
      listener(aLoop, *this, aClock),
      restartDelay(kDefaultRestartDelay) {
  ZINCSTEP_ASSERT(this->listener.Start("127.0.0.1:0").has_value());
  this->proxy = std::make_unique<FaultProxy>(aLoop, this->listener.Port());
  this->proxy->SetOnReset([this] {
    this->checker.WriteEvent("connection_reset", {{"upstream", this->id}});
  });
  this->peers[this->proxy->Address()] = this;
  this->Restart();
}

void SoakUpstream::AddDaemonLink(const std::string& aHost) {
  const std::uint16_t port = this->proxy->Port();
  auto link = std::make_unique<FaultProxy>(
      this->loop, TcpEndpoint(asio::ip::make_address(aHost), port), port);
  this->peers[aHost + ":" + std::to_string(port)] = this;
  this->daemonLinks[aHost] = std::move(link);
}

void SoakUpstream::Partition(const std::string& aHost, LinkState aOpen,
                             NewConnections aNew) {
  FaultProxy& link = *this->daemonLinks.at(aHost);
  link.SetState(aOpen);
  link.SetNewConnections(aNew);
}

void SoakUpstream::Reconnect(const std::string& aHost) {
  FaultProxy& link = *this->daemonLinks.at(aHost);
  link.SetState(LinkState::Up);
  link.SetNewConnections(NewConnections::Accepted);
}

void SoakUpstream::Stop() {
  if (this->isAlive) {
    this->proxy->SetState(LinkState::Blackholed);
  }
}

void SoakUpstream::Continue() {
  if (this->isAlive) {
    this->proxy->SetState(LinkState::Up);
    this->heldUntil = this->clock.Now() + kHeldTime;
  }
}

bool SoakUpstream::AcceptsRequests() const {
  return this->isAlive && !this->isDraining &&
         (!this->IsOfModel() || this->AcceptsLayers({0, 1}));
}

std::size_t SoakUpstream::MaxCalls(Instant aSince, Micros aWindow) const {
  std::size_t maxCalls = 0;
  for (auto end = this->calls.begin(); end != this->calls.end(); ++end) {
    const Instant after = std::max(aSince, *end - aWindow);
    const auto first = std::upper_bound(this->calls.begin(), end, after);
    if (*end >= aSince) {
      maxCalls = std::max(maxCalls, static_cast<std::size_t>(end - first) + 1);
    }
  }
  return maxCalls;
}

HttpHeaders SoakUpstream::AddLimitHeader(HttpHeaders aHeaders) const {
  if (this->limit) {
    aHeaders.push_back({"Server-Limit", std::to_string(*this->limit)});
  }
  return aHeaders;
}

void SoakUpstream::OnRequest(
    const std::shared_ptr<CallerConnection>& aConnection,
    CallerMessage aMessage) {
  this->calls.push_back(this->clock.Now());
  const std::string expected = GetHeader(aMessage, "X-Expect-Instance");
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

bool SoakUpstream::DropsResponseTo(const std::string& aRequest) const {
  return Hash64(aRequest + this->name) % kResponsesPerDrop == 0;
}

bool SoakUpstream::HoldCrashing(
    const std::shared_ptr<CallerConnection>& aConnection,
    const CallerMessage& aMessage, const std::string& aRequest) {
  const std::string& target = aMessage.head.target;
  const std::string parts = GetHeader(aMessage, "X-Prompt-Prefix");
  const bool hasPart =
      parts.find(std::string(kCrashingPart) + ",") != std::string::npos;
  if (target != kCrashingPath && target != kCrashingServicePath && !hasPart) {
    return false;
  }
  this->checker.OnCrashingRequestSent(this->clock.Now());
  this->checker.WriteEvent("crashing_request",
                           {{"request", aRequest}, {"upstream", this->id}});
  this->crashAt = this->crashAt.value_or(this->clock.Now() + this->crashDelay);
  if (hasPart && Hash64(aRequest + "event") % 2 == 0) {
    auto headers = SealedHeaders(aRequest);
    headers.push_back({"Content-Type", "text/event-stream"});
    aConnection->BeginChunks(kOk, headers);
    aConnection->AppendChunk(EventFor(aRequest, 1));
  }
  this->crashingConnections.push_back(aConnection);
  return true;
}

void SoakUpstream::Run(const std::shared_ptr<CallerConnection>& aConnection,
                       const CallerMessage& aMessage) {
  const std::string request = GetHeader(aMessage, "X-Attempt-Id");
  const std::string timeout = GetHeader(aMessage, "X-Deadline-Ms");
  const Instant now = this->clock.Now();
  this->checker.OnArrival(
      {request, now,
       timeout.empty()
           ? std::nullopt
           : std::optional(Micros{1ms} * std::atoll(timeout.c_str())),
       now < this->heldUntil});
  if (this->FailRequest(aConnection, aMessage, request)) {
    return;
  }
  const std::string path = GetHeader(aMessage, "Path");
  const std::string rejecting = this->FindRejectingMember(path);
  if (this->retryAfter) {
    aConnection->Answer(kUnavailable,
                        {{"X-Attempt-Id", request},
                         {"X-Not-Executed", "1"},
                         RetryAfterHeader(*this->retryAfter)},
                        "");
    return;
  }
  if (!rejecting.empty()) {
    aConnection->Answer(kUnavailable,
                        this->AddLimitHeader({{"X-Attempt-Id", request},
                                              {"X-Not-Executed", "1"},
                                              {"At-Server", rejecting}}),
                        "");
    return;
  }
  this->checker.OnRequestRun(request, GetHeader(aMessage, "X-Tenant"));
  if (this->isNoticePeriodOver) {
    this->checker.AddViolation("request " + request + " reached " + this->id +
                               " after the notice period of its drain");
  }
  if (this->HoldCrashing(aConnection, aMessage, request)) {
    return;
  }
  if (this->service != "model") {
    this->delayed.push_back({this->clock.Now() + this->responseDelay,
                             aConnection, request,
                             aMessage.head.target == kBothPath
                                 ? EventsAfter(request, LastEvent(aMessage))
                                 : BodyFor(request)});
    if (this->responseDelay == Micros{0}) {
      this->SendDelayed(this->clock.Now());
    }
    return;
  }
  int next = 0;
  for (const PathPart& part : ParsePath(path)) {
    if (part.layers.first != next) {
      this->checker.AddViolation("request " + request +
                                 " skips layers: " + path);
    }
    next = part.layers.last;
  }
  auto headers = this->AddLimitHeader(SealedHeaders(request));
  headers.push_back({"Content-Type", "text/event-stream"});
  aConnection->BeginChunks(kOk, headers);
  this->streams.push_back(
      {aConnection, request, path, LastEvent(aMessage) + 1, this->clock.Now()});
}

void SoakUpstream::Respond(const DelayedResponse& aResponse) {
  this->DropsResponseTo(aResponse.request)
      ? aResponse.connection->Abort()
      : aResponse.connection->Answer(
            kOk, this->AddLimitHeader(SealedHeaders(aResponse.request)),
            aResponse.body);
}

void SoakUpstream::SendDelayed(Instant aNow) {
  std::vector<DelayedResponse> due;
  std::erase_if(this->delayed, [&](DelayedResponse& aOne) {
    const bool isDue = aNow >= aOne.at;
    if (isDue) {
      due.push_back(std::move(aOne));
    }
    return isDue;
  });
  for (const DelayedResponse& one : due) {
    if (!one.connection->IsClosed()) {
      this->Respond(one);
    }
  }
}

void SoakUpstream::Tick() {
  const Instant now = this->clock.Now();
  this->CrashOrRestart(now);
  this->RemoveLapsedEntries(now);
  this->SendDelayed(now);
  this->CarryOutOrder(now);
  if (now < this->pausedUntil) {
    return;
  }
  // A connection that closes here removes its stream from `streams`.
  std::vector<Stream> all;
  all.swap(this->streams);
  std::erase_if(all, [&](Stream& aStream) {
    if (aStream.connection->IsClosed()) {
      return true;
    }
    if (!this->FindMissingMember(aStream.path).empty()) {
      const bool isOver = now - aStream.lastProgressAt > kStallTimeout;
      if (isOver) {
        aStream.connection->Abort();
      }
      return isOver;
    }
    aStream.lastProgressAt = now;
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

}  // namespace zincstep::soak
