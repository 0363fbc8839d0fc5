#pragma once

/// \file
/// State of one completion request; private to the model handler.

#include "Zincstep/Entry/ModelHandler.h"

namespace zincstep {

/// Repairs the chains of one stream with one planner.
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

/// One completion request, from arrival to end.
struct ModelHandler::Request {
  std::uint64_t id = 0;
  ExchangeId exchange = 0;
  SnapshotPtr snapshot;
  CallerInfo caller;
  CompletionRequest completion;
  const Model* model = nullptr;
  int maxTokens = 0;
  double promptTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  std::string version;
  PlannerPtr planner;
  std::unique_ptr<PlannerRepairer> repairer;
  std::unique_ptr<StreamMachine> machine;
  std::optional<Chain> currentChain;
  ResponseHead head;
  std::string text;
  int actualPromptTokens = 0;
  Instant receivedAt;
  Instant lastToken;
  Instant lastGapStart;
  std::uint64_t digest = 0;
  int starts = 0;
  int nextAttempt = 1;
  bool isKeyed = false;
  bool isWaiting = false;
  bool hasEnded = false;
  /// It was started before, so errors must no longer claim that it was not run.
  bool isRestarted = false;
  bool streamStarted = false;
  Span span;
  /// Charge of the organisation when the request starts.
  TokenCharge ExpectedCharge() const {
    return {this->promptTokens, static_cast<double>(this->maxTokens)};
  }

  /// Each attempt with its stages, for the route log.
  nlohmann::json attempts = nlohmann::json::array();
};

}  // namespace zincstep
