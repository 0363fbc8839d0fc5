#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_map>

#include "StandIns/Accelerator.h"
#include "StandIns/LayerMath.h"
#include "StandIns/LoopClient.h"
#include "StandIns/StandInServer.h"
#include "Zincstep/Engine/Engine.h"

namespace zincstep::standins {

/// Settings of a stand-in model engine.
struct EngineStandInSettings {
  /// Address to listen on, as host:port; port 0 selects a free port.
  std::string address = "127.0.0.1:0";
  /// Name in the load reports.
  std::string name = "engine";
  std::string model = "demo";
  std::string version = "v1";
  /// Layers that the engine has loaded.
  LayerRange layers{0, 8};
  AcceleratorSettings accelerator;
  /// Whether orders with an outdated fence are rejected.
  bool checksFence = false;
  /// Time to load a version.
  Micros loadTime = 1s;
  /// Interval between updates of the reported load, thus its maximum age.
  Micros loadLag = 200ms;
  /// Maximum number of blocks in the prefix cache.
  std::size_t prefixCapacity = 1024;
  /// Seed of the random faults.
  std::uint64_t seed = 1;
};

/// Injected faults of a stand-in engine, set at run time.
struct EngineFaults {
  /// No step completes, while the process still responds to requests.
  bool stalled = false;
  /// Multiplies the duration of every batch.
  double stepFactor = 1;
  /// Delay added to each call to the next stage and each cache export.
  Micros linkDelay{0};
  /// Probabilities that a token is sent twice, again after a delay, or also
  /// under the ID of another request.
  double duplicate = 0;
  double late = 0;
  double foreign = 0;
};

/// A minimal model engine that serves a range of layers over HTTP.
class EngineStandIn {
 public:
  explicit EngineStandIn(EngineStandInSettings aSettings);

  /// Starts listening.
  Result<void> Start() { return this->server.Start(); }
  /// Serves until a signal or `Quit`.
  void Run();
  StandInServer& Server() { return this->server; }
  /// Number of orders that took effect despite an outdated fence.
  int StaleOrders() const { return this->staleOrders; }

 private:
  using Json = nlohmann::json;

  /// The layer caches of one request on this stage.
  struct Sequence {
    int attempt = 0;
    LayerRange layers;
    std::vector<LayerCache> caches;
    bool holdsStep = false;
    bool waitsForNext = false;
    Instant usedAt;
  };
  /// An attempt whose first stage runs on this engine.
  struct ActiveAttempt {
    EngineAttempt attempt;
    ExchangeId exchange = 0;
    std::vector<std::int32_t> tokens;
    std::size_t promptTokens = 0;
    int cachedTokens = 0;
  };
  /// A call to one stage, with the exchange that receives its response.
  struct StageCall {
    ExchangeId exchange = 0;
    Json body;
    std::size_t stage = 0;
    std::size_t position = 0;
    Instant receivedAt;
    Micros queue{0};
    Micros compute{0};
  };
  using StagePtr = std::shared_ptr<StageCall>;
  using StageDone = std::function<void(Json)>;

  void Handle(const HttpRequest& aRequest);
  void OnCallerDisconnected(const HttpRequest& aRequest);
  void HandleAttempt(const HttpRequest& aRequest);
  void HandleStage(const HttpRequest& aRequest);
  void HandleSequence(const HttpRequest& aRequest);
  void HandleCacheExport(const HttpRequest& aRequest, std::uint64_t aRequestId);
  void HandleFaults(const HttpRequest& aRequest);
  void HandleOrder(const HttpRequest& aRequest);
  void Respond(ExchangeId aExchange, int aStatus, const Json& aJson);

  void PrefillAttempt(std::uint64_t aKey);
  void StepAttempt(std::uint64_t aKey);
  void OnStepDone(std::uint64_t aKey, const Json& aResponse);
  void SendToken(ActiveAttempt& aActive, TokenEvent aEvent);
  void EndAttempt(std::uint64_t aKey, const Json* aFailure);

  void RunStage(StagePtr aCall, StageDone aDone);
  void PrepareCache(StagePtr aCall, StageDone aDone);
  void ImportCache(StagePtr aCall, StageDone aDone);
  void ComputePrefill(StagePtr aCall, StageDone aDone);
  void ComputeStep(StagePtr aCall, StageDone aDone);
  void ForwardToNextStage(StagePtr aCall, StageDone aDone);
  Json MakeFailure(std::size_t aStage, HopFailure aFailure) const;
  Json RunLayers(Sequence& aSequence, const Json& aInputs,
                 std::size_t aPosition, const Json& aBody);
  /// Returns the sequence of the call's request and updates its attempt; null
  /// if it is missing or already belongs to a newer attempt.
  Sequence* OpenSequence(const StagePtr& aCall, bool aMayCreate = false);
  int MatchPrefixCache(const Json& aBody, bool aShouldInsert);
  void UpdateReportedLoad();
  void RemoveIdleSequences();

  EngineStandInSettings settings;
  SystemClock clock;
  Random random;
  StandInServer server;
  LoopClient client;
  Accelerator accelerator;
  EngineFaults faults;
  std::unordered_map<std::uint64_t, Sequence> sequences;
  std::map<std::uint64_t, ActiveAttempt> activeAttempts;
  std::set<std::uint64_t> prefixHashes;
  std::string version;
  bool leaving = false;
  std::uint64_t highestFence = 0;
  int staleOrders = 0;
  double reportedLoad = 0;
};

}  // namespace zincstep::standins
