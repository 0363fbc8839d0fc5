#pragma once

#include <map>
#include <memory>
#include <string>

#include "SoakTests/FaultProxy.h"
#include "SoakTests/InvariantChecker.h"
#include "SoakTests/SoakStore.h"
#include "Zincstep/Config/Config.h"
#include "Zincstep/Net/CallerListener.h"

namespace zincstep::soak {

class SoakUpstream;

/// One part of a request's path, ADDRESS=FIRST-LAST: a member of its chain.
struct PathPart {
  std::string address;
  LayerRange layers;

  bool operator==(const PathPart&) const = default;
};

/// Returns the parts of a path, which are separated by commas.
std::vector<PathPart> ParsePath(const std::string& aPath);

/// How an upstream fails a request.
enum class UpstreamFailure {
  None,
  /// It refuses the request without running it.
  Refusal,
  /// It runs the request and resets the connection.
  Reset,
  /// It runs the request and responds with a server error.
  Error,
  /// It runs the request and never responds.
  Silence,
  /// One of these for each request.
  Mixed,
};

inline constexpr NameTable<UpstreamFailure, 6> kUpstreamFailureNames{{
    {UpstreamFailure::None, "none"},
    {UpstreamFailure::Refusal, "refusal"},
    {UpstreamFailure::Reset, "reset"},
    {UpstreamFailure::Error, "error"},
    {UpstreamFailure::Silence, "silence"},
    {UpstreamFailure::Mixed, "mixed"},
}};

/// All upstreams, by the address in their entries.
using UpstreamsByAddress = std::map<std::string, SoakUpstream*>;

/// A request with one of these paths crashes each upstream that starts to run
/// it.
inline constexpr const char* kCrashingPath = "/llm/crash";
inline constexpr const char* kCrashingServicePath = "/few/crash";
/// Streams of services with layers and without.
inline constexpr const char* kBothPath = "/both/x";
/// So does one with this part before the last one of its prompt.
inline constexpr const char* kCrashingPart = "bad:20";

/// Returns the body of a complete response to a request.
std::string BodyFor(const std::string& aId);
/// Precedes the number of events in the id of a request that sets it.
inline constexpr char kEventsSeparator = '-';

/// Return one event of the response stream to a request, and the number of its
/// events: the one in its id, or else one drawn by its id.
std::string EventFor(const std::string& aId, int aNumber);
int EventsFor(const std::string& aId);
/// Returns the events behind the one with that number, joined.
std::string EventsAfter(const std::string& aId, int aNumber);

/// Stand-in for an upstream: a plain service, or a member of a split model that
/// holds layers, accepts orders and streams events as the first of a chain.
///
/// It is reached through a proxy. The first member of a chain simulates the
/// others and stalls while one of them is down.
class SoakUpstream final : public CallerHandler {
 public:
  SoakUpstream(asio::io_context& aLoop, const Clock& aClock, SoakStore& aStore,
               InvariantChecker& aChecker, UpstreamsByAddress& aPeers,
               std::string aName, std::string aService, std::string aDomain);

  /// Adds a link of its own for the daemon at `aHost`, which uses that host as
  /// the upstream's address.
  void AddDaemonLink(const std::string& aHost);
  /// Partitions the daemon at `aHost` from this upstream.
  void Partition(const std::string& aHost, LinkState aOpen,
                 NewConnections aNew);
  /// Ends the partition.
  void Reconnect(const std::string& aHost);
  /// Ends this incarnation. With `aIsBlackholed` its link blackholes
  /// connections instead of resetting them.
  void Kill(bool aIsBlackholed);
  /// Starts a new incarnation, without layers, often under the previous id.
  void Restart();
  /// Announces that it is draining; it keeps serving until it is killed.
  void Drain();
  /// Ends the notice period of a drain: each later request is a violation.
  void EndDrainNotice() { this->isNoticePeriodOver = this->isDraining; }
  /// After a kill, the link accepts connections and resets them after `aDelay`.
  void SetResetDelay(Micros aDelay) { this->proxy->SetResetDelay(aDelay); }
  /// Sets the time from a crash by a request to the restart.
  void SetRestartDelay(Micros aDelayToRestart) {
    this->restartDelay = aDelayToRestart;
  }
  /// Sets the time from the start of a crashing request to the crash.
  void SetCrashDelay(Micros aDelay) { this->crashDelay = aDelay; }
  /// Sets for how long the entry of an incarnation stays in the store after its
  /// end; the next one has an id of its own.
  void SetEntryLifetime(Micros aLifetime) { this->entryLifetime = aLifetime; }
  /// Sets whether connections are refused while it is down; else they are
  /// accepted and reset.
  void SetRefusesWhenDown(bool aRefuses) { this->refusesWhenDown = aRefuses; }
  /// Blackholes all open connections for good; new ones work.
  void BlackholeConnections() { this->proxy->BlackholeOpen(); }
  /// From now on its responses carry this limit in calls per second, or none.
  void SetLimit(std::optional<double> aPerSecond) { this->limit = aPerSecond; }
  /// From now on it rejects all requests with this Retry-After; nullopt: it
  /// serves them.
  void SetRetryAfter(std::optional<Micros> aRetryAfter) {
    this->retryAfter = aRetryAfter;
  }
  /// Stops the process as SIGSTOP does: connections are accepted, and what is
  /// sent on them is read once it continues.
  void Stop();
  void Continue();
  /// Until then it sends no event of its streams; it goes on with the next one.
  void PauseStreams(Instant aUntil) { this->pausedUntil = aUntil; }
  bool HasStreams() const { return !this->streams.empty(); }
  /// From now on it fails this share of the requests that arrive.
  void SetFailure(UpstreamFailure aFailure, double aShare) {
    this->failure = aFailure;
    this->failureShare = aShare;
  }
  /// From now on a plain upstream responds after this delay.
  void SetResponseDelay(Micros aDelay) { this->responseDelay = aDelay; }
  /// Whether daemons may send it requests: a plain upstream, or the first of a
  /// chain.
  bool AcceptsRequests() const;
  /// Number of calls received: requests, reports and orders.
  std::size_t Calls() const { return this->calls.size(); }
  /// Maximum number of calls in any window of `aWindow` after `aSince`.
  std::size_t MaxCalls(Instant aSince, Micros aWindow) const;
  /// Advances its streams; call many times per second.
  void Tick();
  bool IsAlive() const { return this->isAlive; }
  bool IsOfModel() const { return this->service == "model"; }
  const std::string& Name() const { return this->name; }

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection& aConnection) override;

 private:
  struct Stream {
    std::shared_ptr<CallerConnection> connection;
    std::string id;
    std::string path;
    int next = 1;
    Instant lastProgressAt;
  };

  /// A response of a plain upstream that is due later.
  struct DelayedResponse {
    Instant at;
    std::shared_ptr<CallerConnection> connection;
    std::string request;
    std::string body;
  };

  /// How it fails the request.
  UpstreamFailure FailureOf(const std::string& aRequest) const;
  /// Fails the request; returns false if it is to be served.
  bool FailRequest(const std::shared_ptr<CallerConnection>& aConnection,
                   const CallerMessage& aMessage, const std::string& aRequest);
  void Respond(const DelayedResponse& aResponse);
  void SendDelayed(Instant aNow);
  /// Adds the limit header, if a limit is set.
  HttpHeaders AddLimitHeader(HttpHeaders aHeaders) const;
  void CrashOrRestart(Instant aNow);
  /// Holds a request that crashes this upstream; returns false if it does not.
  bool HoldCrashing(const std::shared_ptr<CallerConnection>& aConnection,
                    const CallerMessage& aMessage, const std::string& aRequest);
  void RemoveEntry();
  void RemoveLapsedEntries(Instant aNow);
  void WriteEntry();
  void Report(CallerConnection& aConnection);
  void Order(CallerConnection& aConnection, const std::string& aBody);
  void Place(CallerConnection& aConnection, const nlohmann::json& aBody);
  void Reroute(CallerConnection& aConnection, const nlohmann::json& aBody);
  void Run(const std::shared_ptr<CallerConnection>& aConnection,
           const CallerMessage& aMessage);
  /// Whether the response to a request that ran here is dropped.
  bool DropsResponseTo(const std::string& aRequest) const;
  /// Returns the address of the first member of a running request's path that
  /// does not hold its layers; empty if all do.
  std::string FindMissingMember(const std::string& aPath) const;
  /// Returns the address of the first member of a path that a request is about
  /// to take and that does not accept it; empty if all do. Members of its
  /// `aPresentPath` keep it.
  std::string FindRejectingMember(const std::string& aPath,
                                  const std::string& aPresentPath = "") const;
  /// Whether a running request may use the layers.
  bool HoldsLayers(LayerRange aLayers) const;
  /// Whether a request may begin to use the layers.
  bool AcceptsLayers(LayerRange aLayers) const;
  /// The layers that it keeps during an order; without one, all of them.
  LayerRange KeptLayers() const;
  /// Whether a request runs through layers that an order takes from this
  /// upstream.
  bool UsesReleased(const Stream& aStream) const;
  /// Whether any request does.
  bool IsReleasedInUse() const;
  /// Begins to load the ordered layers once nothing runs through those that it
  /// gives up, and takes them over when they are loaded.
  void CarryOutOrder(Instant aNow);

  asio::io_context& loop;
  const Clock& clock;
  SoakStore& store;
  InvariantChecker& checker;
  UpstreamsByAddress& peers;
  std::string name;
  std::string service;
  std::string domain;
  CallerListener listener;
  std::unique_ptr<FaultProxy> proxy;
  /// Links of single daemons to `proxy`, by the daemon's host.
  std::map<std::string, std::unique_ptr<FaultProxy>> daemonLinks;
  std::vector<Stream> streams;
  Instant pausedUntil{};
  std::vector<DelayedResponse> delayed;
  Micros responseDelay{0};
  /// Until then requests may arrive that were sent while it was stopped.
  Instant heldUntil{};
  UpstreamFailure failure = UpstreamFailure::None;
  double failureShare = 0;
  /// Connections of requests that get no response.
  std::vector<std::shared_ptr<CallerConnection>> silentConnections;
  bool refusesWhenDown = false;
  /// Time from the start of a crashing request to the crash.
  Micros crashDelay = 50ms;
  /// Connections of requests that will crash this upstream.
  std::vector<std::shared_ptr<CallerConnection>> crashingConnections;
  std::string id;
  int incarnation = 0;
  int sequence = 0;
  LayerRange layers;
  /// The layers that it is ordered to hold.
  std::optional<LayerRange> ordered;
  /// When these are loaded; none while requests that may complete first still
  /// run through layers that it gives up.
  std::optional<Instant> loadedAt;
  std::optional<double> limit;
  std::optional<Micros> retryAfter;
  std::vector<Instant> calls;
  bool isAlive = false;
  bool isDraining = false;
  bool isNoticePeriodOver = false;
  Micros restartDelay;
  Micros entryLifetime{0};
  /// Keys of entries of ended incarnations, and when they are removed.
  std::vector<std::pair<Instant, std::string>> lapsing;
  /// When a running request crashes it, and when it restarts after that.
  std::optional<Instant> crashAt;
  std::optional<Instant> restartAt;
};

}  // namespace zincstep::soak
