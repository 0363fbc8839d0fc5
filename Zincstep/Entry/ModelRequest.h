#pragma once

/// \file
/// The state of one request for tokens; of the model desk alone.

#include "Zincstep/Entry/ModelHandler.h"

namespace zincstep {

/// Repairs chains with one planner, for one stream.
class PlannerRepairer final : public ChainRepairer {
 public:
  explicit PlannerRepairer(PlannerPtr aPlanner)
      : planner(std::move(aPlanner)) {}

  Result<Chain> Repair(const Chain& aChain, const std::vector<bool>& aFailed,
                       Instant aNow, bool aLastResort) override {
    return this->planner->Repair(aChain, aFailed, aNow, aLastResort);
  }

 private:
  PlannerPtr planner;
};

/// One request for tokens, from its coming to its end.
struct ModelHandler::Request {
  std::uint64_t id = 0;
  ExchangeId exchange = 0;
  SnapshotPtr snapshot;
  CallerInfo facts;
  CompletionRequest asked;
  const Model* model = nullptr;
  int maxTokens = 0;
  double promptTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  std::string version;
  PlannerPtr planner;
  std::unique_ptr<PlannerRepairer> repairer;
  std::unique_ptr<StreamMachine> machine;
  std::optional<Chain> heldChain;
  AnswerHead head;
  std::string text;
  int countedPrompt = 0;
  Instant came;
  Instant lastToken;
  Instant lastGapStart;
  std::uint64_t digest = 0;
  int starts = 0;
  int nextAttempt = 1;
  bool isKeyed = false;
  bool isWaiting = false;
  bool isOver = false;
  /// It was begun before, so that "not run" can't be said any more.
  bool isAnew = false;
  bool streamStarted = false;
  Span span;
  /// What its organisation is charged when it begins.
  TokenCharge ExpectedCharge() const {
    return {this->promptTokens, static_cast<double>(this->maxTokens)};
  }

  /// Each attempt with its stages, for operators.
  nlohmann::json attempts = nlohmann::json::array();
};

}  // namespace zincstep
