#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Zincstep/Net/Net.h"
#include "Zincstep/Sequence/Sequence.h"

namespace zincstep {

/// One stage of an attempt, with the address of its engine.
struct EngineStage {
  std::string address;
  LayerRange layers;
  CacheSource source = CacheSource::Replay;
  /// Address to import the KV cache from; empty for the other sources.
  std::string importAddress;
};

/// Parameters of one attempt of a request, as sent to the engines.
struct EngineAttempt {
  std::uint64_t request = 0;
  int attempt = 0;
  std::string model;
  std::string version;
  std::string adapter;
  /// Salt of the engines' prefix caches, different for each organisation.
  std::string cacheSalt;
  Priority priority = Priority::Normal;
  std::string prompt;
  /// Tokens of the answer that were accepted in earlier attempts.
  std::vector<std::int32_t> tokens;
  /// Maximum number of tokens of the complete answer.
  int maxTokens = 0;
  /// Time to the deadline, after which the engines stop on their own.
  Micros timeLeft{0};
  std::string traceParent;
  std::vector<EngineStage> stages;
};

/// Load that an engine reports.
struct EngineLoad {
  std::string name;
  /// Number of running sequences.
  double sequences = 0;
  /// Number of batch slots; 0 if not reported.
  double slots = 0;
  /// Model version that the engine runs.
  std::string version;
  /// The engine is about to stop and accepts no new work.
  bool leaving = false;
};

/// Receives events from the engines, on the client's thread.
class EngineListener {
 public:
  virtual ~EngineListener() = default;

  /// Called for each token, which may be late, duplicated or of another
  /// request.
  virtual void OnToken(TokenEvent aEvent) = 0;
  /// Called when an attempt has failed at a stage; -1 if the stage is unknown.
  virtual void OnAttemptFailed(std::uint64_t aRequest, int aAttempt, int aStage,
                               HopFailure aFailure) = 0;
  /// Called when all calls of a probe have ended, with one entry per stage.
  virtual void OnProgress(std::uint64_t aRequest, int aAttempt,
                          std::vector<StageProgress> aProgress) = 0;
  /// Called with the result of `QueryLoad`.
  virtual void OnLoad(const std::string& aUpstream,
                      Result<EngineLoad> aLoad) = 0;
};

/// Client of the model engines. The implementation decides how activations get
/// from stage to stage: it can send the route to the first stage, or call each
/// stage itself.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Starts an attempt, whose tokens are passed to the listener.
  virtual void Start(EngineAttempt aAttempt) = 0;
  /// Cancels the token stream of an attempt. The stages keep their caches.
  virtual void Abandon(std::uint64_t aRequest, int aAttempt) = 0;
  /// Frees the sequence of a request on an engine.
  virtual void Release(const std::string& aAddress, std::uint64_t aRequest,
                       int aAttempt) = 0;
  /// Queries the stages' progress on a request.
  virtual void Probe(std::uint64_t aRequest, int aAttempt,
                     const std::vector<std::string>& aAddresses) = 0;
  /// Queries an engine's load.
  virtual void QueryLoad(const std::string& aUpstream,
                         const std::string& aAddress) = 0;
};

/// Creates a client that sends the route to the first stage and receives only
/// tokens.
std::unique_ptr<EngineClient> MakeForwardingEngineClient(
    HttpClient& aHttp, EngineListener& aListener);

}  // namespace zincstep
