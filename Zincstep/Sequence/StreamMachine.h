#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Zincstep/Sequence/HopMonitor.h"
#include "Zincstep/Sequence/StepFilter.h"

namespace zincstep {

/// How a stage of a new attempt gets the cache of the tokens so far.
enum class CacheSource {
  /// It computes it from the tokens.
  Replay,
  /// It holds it from an earlier attempt.
  Keep,
  /// It fetches it from the upstream that held it before.
  Import,
};

inline constexpr NameTable<CacheSource, 3> kCacheSourceNames{{
    {CacheSource::Replay, "replay"},
    {CacheSource::Keep, "keep"},
    {CacheSource::Import, "import"},
}};

/// One stage of an attempt.
struct AttemptStage {
  ChainHop hop;
  CacheSource source = CacheSource::Replay;
  /// Replica to import from; -1 for the other sources.
  int importFrom = -1;
};

/// Asks the daemon to run the chain from the next token on.
struct StartAttempt {
  int attempt = 0;
  Chain chain;
  std::vector<AttemptStage> stages;
};

/// Asks the daemon to stop listening to an attempt; caches stay.
struct AbandonAttempt {
  int attempt = 0;
};

/// Asks the daemon to free the sequence on these upstreams.
struct ReleaseStages {
  int attempt = 0;
  std::vector<int> replicas;
};

/// Asks the daemon to pass a token to the caller.
struct EmitToken {
  int position = 0;
  std::int32_t token = 0;
  std::string text;
};

/// Asks the daemon to ask the stages how far they are.
struct ProbeStages {
  int attempt = 0;
  Chain chain;
};

/// Tells the daemon that an upstream did badly in this stream.
struct ReportHopFailure {
  int replica = 0;
  HopFailure failure = HopFailure::Dead;
};

/// The answer is whole.
struct FinishStream {
  /// `stop` where the model ended it, `length` at the limit.
  std::string reason;
};

/// The answer cannot be completed.
struct FailStream {
  Error error;
  /// Tokens that the caller has been given.
  int tokens = 0;
};

using StreamAction =
    std::variant<StartAttempt, AbandonAttempt, ReleaseStages, EmitToken,
                 ProbeStages, ReportHopFailure, FinishStream, FailStream>;
using StreamActions = std::vector<StreamAction>;

/// Gives a stream other chains when one has failed.
class ChainRepairer {
 public:
  virtual ~ChainRepairer() = default;

  /// A chain without the failed hops of `aChain`.
  ///
  /// As a last resort, upstreams that are suspected may be in it again:
  /// they may have been slow for a moment only.
  virtual Result<Chain> Repair(const Chain& aChain,
                               const std::vector<bool>& aFailed, Instant aNow,
                               bool aLastResort) = 0;
};

/// Settings of one stream.
struct StreamSettings {
  HopMonitorSettings monitor;
  int maxTokens = 256;
  /// Number of the first attempt: above those of an earlier start.
  int firstAttempt = 1;
  /// Attempts after which the stream is given up.
  int maxAttempts = 8;
  /// Pause before a try where no chain was whole.
  Micros noChainPause = 200ms;
  /// Time without a whole chain after which the stream is given up.
  Micros noChainTimeout = 3s;
  std::optional<Instant> deadline;
};

/// How far a stage has come, by its own word.
struct StageProgress {
  bool answered = false;
  /// It holds a step that it has not handed on.
  bool holdsStep = false;
  /// It has handed a step on and waits for the next stage's answer.
  bool waitsForNext = false;
};

/// The life of one model request after its admission: pure decisions.
///
/// It takes events and the time and says what to do; it does no I/O, so
/// that it can be fuzzed against the rules it is to keep: every token once
/// and in order, a whole answer or a clear failure, nothing after the end.
class StreamMachine {
 public:
  StreamMachine(std::uint64_t aRequest, int aLayers, StreamSettings aSettings,
                ChainRepairer& aRepairer);

  /// Starts the first attempt on `aChain`.
  StreamActions Start(const Chain& aChain, Instant aNow);
  /// A token event has come, of whatever request and attempt.
  StreamActions OnToken(const TokenEvent& aEvent, Instant aNow);
  /// An attempt has failed at a stage; -1 where the stage is not known.
  StreamActions OnFailure(int aAttempt, int aStage, HopFailure aFailure,
                          Instant aNow);
  /// The stages have said how far they are.
  StreamActions OnProgress(int aAttempt,
                           const std::vector<StageProgress>& aProgress);
  /// Time has passed.
  StreamActions OnTimer(Instant aNow);
  /// The caller has gone: the work ends on every stage.
  StreamActions OnCallerDisconnected();

  bool IsOver() const { return this->phase == Phase::Over; }
  /// When `OnTimer` is next of use.
  Instant NextTimer(Instant aNow) const;
  const StepFilter& Ledger() const { return this->ledger; }
  const Chain& CurrentChain() const { return this->chain; }
  /// Tokens of the answer so far.
  const std::vector<std::int32_t>& Tokens() const { return this->tokens; }
  /// How often the stream was moved.
  int Recoveries() const {
    return this->ledger.Attempt() - this->settings.firstAttempt;
  }

 private:
  enum class Phase { Idle, Running, WaitingForChain, Over };

  void Launch(const Chain& aChain, std::vector<AttemptStage> aStages,
              Instant aNow, StreamActions& aActions);
  void Recover(const std::vector<bool>& aFailed, HopFailure aFailure,
               Instant aNow, StreamActions& aActions);
  std::vector<AttemptStage> StagesFor(const Chain& aNext,
                                      const std::vector<bool>& aFailed,
                                      HopFailure aFailure) const;
  void Leave(const std::vector<bool>& aFailed, HopFailure aFailure,
             Instant aNow, StreamActions& aActions);
  void GiveUp(ErrorKind aKind, const std::string& aMessage,
              StreamActions& aActions);
  void ReleaseAll(bool aWithCurrent, StreamActions& aActions);
  std::vector<bool> SuspectsOfHang() const;

  StreamSettings settings;
  ChainRepairer& repairer;
  StepFilter ledger;
  HopMonitor monitor;
  Phase phase = Phase::Idle;
  Chain chain;
  std::vector<bool> lost;
  HopFailure lostBy = HopFailure::Dead;
  std::vector<StageProgress> progress;
  bool probed = false;
  Instant tryAgainAt;
  Instant lostSince;
  int attemptStart = 0;
  std::vector<int> former;
  std::vector<std::int32_t> tokens;
};

}  // namespace zincstep
