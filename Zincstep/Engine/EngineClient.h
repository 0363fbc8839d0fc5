#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Zincstep/Net/Net.h"
#include "Zincstep/Sequence/Sequence.h"

namespace zincstep {

/// One stage of an attempt, by address.
struct EngineStage {
  std::string address;
  LayerRange layers;
  CacheSource source = CacheSource::Replay;
  std::string importAddress;
};

/// All that the engines need to run one attempt of a request.
struct EngineAttempt {
  std::uint64_t request = 0;
  int attempt = 0;
  std::string model;
  std::string version;
  std::string adapter;
  /// Salt of the engines' prefix caches; one an organisation.
  std::string cacheSalt;
  Priority priority = Priority::Normal;
  std::string prompt;
  /// Tokens of the answer that stand already.
  std::vector<std::int32_t> tokens;
  /// Tokens of the whole answer.
  int maxTokens = 0;
  /// Time that is left; the engines stop by themselves after it.
  Micros timeLeft{0};
  std::string traceParent;
  std::vector<EngineStage> stages;
};

/// What an engine says of its load.
struct EngineLoad {
  std::string name;
  double sequences = 0;
  double slots = 0;
  /// Version that it holds now.
  std::string version;
  bool leaving = false;
};

/// Is told what the engines say; called on the client's thread.
class EngineListener {
 public:
  virtual ~EngineListener() = default;

  /// A token has come; it may be late, doubled or of another request.
  virtual void OnToken(TokenEvent aEvent) = 0;
  /// An attempt has failed at a stage, or at an unknown one (-1).
  virtual void OnAttemptFailed(std::uint64_t aRequest, int aAttempt, int aStage,
                               HopFailure aFailure) = 0;
  /// All stages have been asked, and these have answered.
  virtual void OnProgress(std::uint64_t aRequest, int aAttempt,
                          std::vector<StageProgress> aProgress) = 0;
  /// An engine has answered a question for its load, or has not.
  virtual void OnLoad(const std::string& aUpstream,
                      Result<EngineLoad> aLoad) = 0;
};

/// Drives model engines. Who carries the activations between stages is
/// this interface's matter: a client may hand the route to the first
/// stage, or call each stage itself.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Starts an attempt; its tokens go to the listener.
  virtual void Start(EngineAttempt aAttempt) = 0;
  /// Stops listening to an attempt; the stages keep their caches.
  virtual void Abandon(std::uint64_t aRequest, int aAttempt) = 0;
  /// Frees a request on an engine.
  virtual void Release(const std::string& aAddress, std::uint64_t aRequest,
                       int aAttempt) = 0;
  /// Asks stages how far they are with a request.
  virtual void Probe(std::uint64_t aRequest, int aAttempt,
                     const std::vector<std::string>& aAddresses) = 0;
  /// Asks an engine for its load.
  virtual void QueryLoad(const std::string& aUpstream,
                         const std::string& aAddress) = 0;
};

/// A client that gives the first stage the route and sees only tokens.
std::unique_ptr<EngineClient> MakeForwardingEngineClient(
    HttpClient& aHttp, EngineListener& aListener);

}  // namespace zincstep
