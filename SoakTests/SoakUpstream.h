#pragma once

#include <map>
#include <memory>
#include <string>

#include "SoakTests/FaultProxy.h"
#include "SoakTests/Ledger.h"
#include "SoakTests/SoakStore.h"
#include "Zincstep/Config/Config.h"

namespace zincstep::soak {

class SoakUpstream;

/// All upstreams, by the address that their entries tell.
using UpstreamsByAddress = std::map<std::string, SoakUpstream*>;

/// A request with this path crashes whoever begins to run it.
inline constexpr const char* kCrashingPath = "/llm/crash";

/// The body of a whole answer to a request.
std::string BodyFor(const std::string& aId);
/// One event of the stream that answers a request, and how many it has.
std::string EventFor(const std::string& aId, int aNumber);
int EventsFor(const std::string& aId);

/// A stand-in of an upstream: a plain service, or a member of a split model
/// that holds layers, takes orders and streams events as a chain's first.
///
/// It is reached through a proxy. What a chain's other members do is played
/// by the first one, which stands still while one of them is down.
class SoakUpstream final : public CallerHandler {
 public:
  SoakUpstream(asio::io_context& aLoop, const Clock& aClock, SoakStore& aStore,
               Ledger& aLedger, UpstreamsByAddress& aPeers, std::string aName,
               std::string aService, std::string aDomain);

  /// Ends this incarnation; `aIsDark`: it says nothing instead of resetting.
  void Kill(bool aIsDark);
  /// Begins a new incarnation, without layers, often under the id it had.
  void Restart();
  /// Announces that it leaves; it serves on until it is killed.
  void Drain();
  /// From now on each request that comes is too late.
  void EndDrainNotice() { this->isNoticeOver = this->isDraining; }
  /// Its link accepts connections after its end, and resets them so much later.
  void SetResetDelay(Micros aDelay) { this->proxy->SetResetDelay(aDelay); }
  /// It is back so long after a request has crashed it.
  void SetTimeToReturn(Micros aTime) { this->timeToReturn = aTime; }
  /// Open connections to it fall silent for good; new ones work.
  void SilenceConnections() { this->proxy->SilenceOpen(); }
  /// From now on all its answers name that limit of calls a second, or none.
  void NameLimit(std::optional<double> aPerSecond) { this->limit = aPerSecond; }
  /// From now on it turns all requests away and asks for that rest, or not.
  void AskForRest(std::optional<Micros> aRest) { this->rest = aRest; }
  /// Whether it is asked for requests: a plain one, or the first of a chain.
  bool TakesRequests() const;
  /// All calls that it got: requests, reports and orders.
  std::size_t Calls() const { return this->calls.size(); }
  /// Most of them in any span of `aWindow` since then.
  std::size_t MostCalls(Instant aSince, Micros aWindow) const;
  /// Goes on with its streams; to be called many times a second.
  void Tick();
  bool IsAlive() const { return this->isAlive; }
  bool IsOfModel() const { return this->service == "model"; }

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection& aConnection) override;

 private:
  struct Stream {
    std::shared_ptr<CallerConnection> connection;
    std::string id;
    std::string path;
    int next = 1;
    Instant movedAt;
  };

  /// Fields that all its answers have.
  HttpHeaders WithLimit(HttpHeaders aHeaders) const;
  void CrashOrReturn(Instant aNow);
  void WriteEntry();
  void Report(CallerConnection& aConnection);
  void Order(CallerConnection& aConnection, const std::string& aBody);
  void Place(CallerConnection& aConnection, const nlohmann::json& aBody);
  void Reroute(CallerConnection& aConnection, const nlohmann::json& aBody);
  void Run(const std::shared_ptr<CallerConnection>& aConnection,
           const CallerMessage& aMessage);
  /// Whether the answer to a request that ran here is lost.
  bool LosesAnswerTo(const std::string& aRequest) const;
  /// The address of the first member of a path that does not hold its part;
  /// empty where all do.
  std::string Missing(const std::string& aPath) const;
  bool Holds(LayerRange aLayers) const;

  const Clock& clock;
  SoakStore& store;
  Ledger& ledger;
  UpstreamsByAddress& peers;
  std::string name;
  std::string service;
  std::string domain;
  CallerListener listener;
  std::unique_ptr<FaultProxy> proxy;
  std::vector<Stream> streams;
  /// Connections of requests that are about to crash it.
  std::vector<std::shared_ptr<CallerConnection>> dying;
  std::string id;
  int incarnation = 0;
  int sequence = 0;
  LayerRange layers;
  /// What is being loaded, and until when.
  std::optional<LayerRange> loading;
  Instant loadedAt;
  std::optional<double> limit;
  std::optional<Micros> rest;
  std::vector<Instant> calls;
  bool isAlive = false;
  bool isDraining = false;
  bool isNoticeOver = false;
  Micros timeToReturn;
  /// When what it runs crashes it, and when it is back after that.
  std::optional<Instant> crashAt;
  std::optional<Instant> backAt;
};

}  // namespace zincstep::soak
