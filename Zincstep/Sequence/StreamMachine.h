#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Zincstep/Sequence/HopMonitor.h"
#include "Zincstep/Sequence/StepFilter.h"

namespace zincstep {

/// How a stage of a new attempt gets the KV cache of the tokens so far.
enum class CacheSource {
  /// The stage computes it again from the tokens.
  Replay,
  /// The stage still has it from an earlier attempt.
  Reuse,
  /// The stage fetches it from the upstream that ran these layers before.
  Import,
};

inline constexpr NameTable<CacheSource, 3> kCacheSourceNames{{
    {CacheSource::Replay, "replay"},
    {CacheSource::Reuse, "keep"},
    {CacheSource::Import, "import"},
}};

/// One stage of an attempt.
struct AttemptStage {
  ChainHop hop;
  CacheSource source = CacheSource::Replay;
  /// Replica to import from; -1 for the other sources.
  int importFrom = -1;
};

/// Action: run the chain from the next token on.
struct StartAttempt {
  int attempt = 0;
  Chain chain;
  std::vector<AttemptStage> stages;
};

/// Action: ignore further events of an attempt. The stages keep their caches.
struct AbandonAttempt {
  int attempt = 0;
};

/// Action: free the sequence on these upstreams.
struct ReleaseStages {
  int attempt = 0;
  std::vector<int> replicas;
};

/// Action: forward a token to the caller.
struct EmitToken {
  int position = 0;
  std::int32_t token = 0;
  std::string text;
};

/// Action: query the progress of all stages.
struct ProbeStages {
  int attempt = 0;
  Chain chain;
};

/// Action: record that an upstream failed in this stream.
struct ReportHopFailure {
  int replica = 0;
  HopFailure failure = HopFailure::Dead;
};

/// Action: complete the answer.
struct FinishStream {
  /// `stop` if the model ended the answer, `length` if it reached `maxTokens`.
  std::string reason;
};

/// Action: fail the request, as its answer cannot be completed.
struct FailStream {
  Error error;
  /// Number of tokens already forwarded to the caller.
  int tokens = 0;
};

using StreamAction =
    std::variant<StartAttempt, AbandonAttempt, ReleaseStages, EmitToken,
                 ProbeStages, ReportHopFailure, FinishStream, FailStream>;
using StreamActions = std::vector<StreamAction>;

/// Selects another chain for a stream when its chain has failed.
class ChainRepairer {
 public:
  virtual ~ChainRepairer() = default;

  /// Returns a chain that doesn't use the failed hops of `aChain`.
  ///
  /// With `aLastResort` the chain may contain suspected upstreams, which may
  /// only have been slow for a moment.
  virtual Result<Chain> Repair(const Chain& aChain,
                               const std::vector<bool>& aFailed, Instant aNow,
                               bool aLastResort) = 0;
};

/// Settings of one stream.
struct StreamSettings {
  HopMonitorSettings monitor;
  int maxTokens = 256;
  /// Number of the first attempt; higher than the numbers that an earlier start
  /// of the request used.
  int firstAttempt = 1;
  /// Maximum number of attempts before the stream fails.
  int maxAttempts = 8;
  /// Interval between searches while no complete chain is available.
  Micros noChainRetryInterval = 200ms;
  /// Time without a complete chain after which the stream fails.
  Micros noChainTimeout = 3s;
  std::optional<Instant> deadline;
};

/// A stage's own report of its progress.
struct StageProgress {
  /// The stage has responded to the probe.
  bool hasResponded = false;
  /// The stage has a step that it has not forwarded yet.
  bool holdsStep = false;
  /// The stage has forwarded a step and waits for the next stage's response.
  bool waitsForNext = false;
};

/// State machine of one model request after its admission.
///
/// It maps events and the time to actions and does no I/O, so that it can be
/// fuzzed against its invariants: every token is emitted once and in order, the
/// request either completes or fails with an error, and no action follows the
/// end.
class StreamMachine {
 public:
  StreamMachine(std::uint64_t aRequest, int aLayers, StreamSettings aSettings,
                ChainRepairer& aRepairer);

  /// Starts the first attempt on `aChain`.
  StreamActions Start(const Chain& aChain, Instant aNow);
  /// Handles a token event, which may belong to any request and attempt.
  StreamActions OnToken(const TokenEvent& aEvent, Instant aNow);
  /// Handles the failure of an attempt at a stage; -1 if the stage is unknown.
  StreamActions OnFailure(int aAttempt, int aStage, HopFailure aFailure,
                          Instant aNow);
  /// Handles the stages' responses to `ProbeStages`.
  StreamActions OnProgress(int aAttempt,
                           const std::vector<StageProgress>& aProgress);
  /// Checks all timeouts; to be called at `NextTimer`.
  StreamActions OnTimer(Instant aNow);
  /// Ends the request on every stage, since its caller has disconnected.
  StreamActions OnCallerDisconnected();
  /// Fails the request with `StoppedDuringRun`, since its daemon ends.
  StreamActions OnStop();

  /// Whether the request has completed, failed or lost its caller.
  bool IsOver() const { return this->phase == Phase::Over; }
  /// Time at which `OnTimer` has to be called next.
  Instant NextTimer(Instant aNow) const;
  const StepFilter& Filter() const { return this->filter; }
  const Chain& CurrentChain() const { return this->chain; }
  /// Tokens of the answer so far.
  const std::vector<std::int32_t>& Tokens() const { return this->tokens; }
  /// Number of attempts after the first one.
  int Recoveries() const {
    return this->filter.Attempt() - this->settings.firstAttempt;
  }

 private:
  enum class Phase { Idle, Running, WaitingForChain, Over };

  void StartAttemptOn(const Chain& aChain, std::vector<AttemptStage> aStages,
                      Instant aNow, StreamActions& aActions);
  void Recover(const std::vector<bool>& aFailed, HopFailure aFailure,
               Instant aNow, StreamActions& aActions);
  std::vector<AttemptStage> StagesFor(const Chain& aNext,
                                      const std::vector<bool>& aFailed,
                                      HopFailure aFailure) const;
  void AbandonChain(const std::vector<bool>& aFailed, HopFailure aFailure,
                    Instant aNow, StreamActions& aActions);
  void FailWith(ErrorKind aKind, const std::string& aMessage,
                StreamActions& aActions);
  void ReleaseAll(bool aIncludeCurrent, StreamActions& aActions);
  std::vector<bool> FindHungHops() const;

  StreamSettings settings;
  ChainRepairer& repairer;
  StepFilter filter;
  HopMonitor monitor;
  Phase phase = Phase::Idle;
  Chain chain;
  std::vector<bool> failedHops;
  HopFailure failure = HopFailure::Dead;
  std::vector<StageProgress> progress;
  bool hasProbed = false;
  Instant retryAt;
  Instant abandonedAt;
  int attemptStartPosition = 0;
  std::vector<int> formerReplicas;
  std::vector<std::int32_t> tokens;
};

}  // namespace zincstep
