#include "Zincstep/Sequence/StreamMachine.h"

#include <algorithm>

namespace zincstep {

StreamMachine::StreamMachine(std::uint64_t aRequest, int aLayers,
                             StreamSettings aSettings, ChainRepairer& aRepairer)
    : settings(aSettings),
      repairer(aRepairer),
      filter(aRequest, aLayers, aSettings.firstAttempt),
      monitor(aSettings.monitor) {}

StreamActions StreamMachine::Start(const Chain& aChain, Instant aNow) {
  ZINCSTEP_ASSERT(this->phase == Phase::Idle);
  StreamActions actions;
  std::vector<AttemptStage> stages;
  for (const ChainHop& hop : aChain.hops) {
    stages.push_back({hop, CacheSource::Replay, -1});
  }
  this->StartAttemptOn(aChain, std::move(stages), aNow, actions);
  return actions;
}

void StreamMachine::StartAttemptOn(const Chain& aChain,
                                   std::vector<AttemptStage> aStages,
                                   Instant aNow, StreamActions& aActions) {
  this->chain = aChain;
  this->phase = Phase::Running;
  this->attemptStartPosition = this->filter.NextPosition();
  this->hasProbed = false;
  this->progress.clear();
  this->monitor.OnAttempt(aChain.hops.size(), aNow);
  const int attempt = this->filter.OpenAttempt();
  aActions.push_back(StartAttempt{attempt, aChain, std::move(aStages)});
}

StreamActions StreamMachine::OnToken(const TokenEvent& aEvent, Instant aNow) {
  StreamActions actions;
  const StepVerdict verdict = this->filter.Apply(aEvent);
  if (this->phase != Phase::Running || verdict == StepVerdict::OtherRequest ||
      verdict == StepVerdict::Stale || verdict == StepVerdict::Duplicate) {
    return actions;
  }
  if (verdict != StepVerdict::Accepted) {
    // The engines skipped a token or a layer, so that no cache of this attempt
    // can be trusted. All stages compute theirs again.
    const std::vector<bool> all(this->chain.hops.size(), true);
    this->Recover(all, HopFailure::CacheLost, aNow, actions);
    return actions;
  }
  this->tokens.push_back(aEvent.token);
  actions.push_back(EmitToken{aEvent.position, aEvent.token, aEvent.text});
  this->hasProbed = false;
  this->progress.clear();
  const bool isFull = this->filter.NextPosition() >= this->settings.maxTokens;
  if (aEvent.ends || isFull) {
    this->phase = Phase::Over;
    this->filter.CloseAttempt();
    // After a stop by the model, the stages of the last attempt free the
    // sequence themselves.
    this->ReleaseAll(!aEvent.ends, actions);
    actions.push_back(FinishStream{aEvent.ends ? "stop" : "length"});
    return actions;
  }
  const std::optional<SlowHop> slow = this->monitor.OnToken(aEvent, aNow);
  if (slow) {
    std::vector<bool> failed(this->chain.hops.size(), false);
    // For a slow link, the stage behind it is replaced.
    const int hop = slow->isLink ? slow->hop + 1 : slow->hop;
    failed[static_cast<std::size_t>(hop)] = true;
    this->Recover(failed, HopFailure::Slow, aNow, actions);
  }
  return actions;
}

StreamActions StreamMachine::OnFailure(int aAttempt, int aStage,
                                       HopFailure aFailure, Instant aNow) {
  StreamActions actions;
  if (this->phase != Phase::Running || aAttempt != this->filter.Attempt()) {
    return actions;
  }
  const int hops = static_cast<int>(this->chain.hops.size());
  const int stage = std::clamp(aStage, 0, hops - 1);
  std::vector<bool> failed(this->chain.hops.size(), false);
  failed[static_cast<std::size_t>(stage)] = true;
  this->Recover(failed, aFailure, aNow, actions);
  return actions;
}

StreamActions StreamMachine::OnProgress(
    int aAttempt, const std::vector<StageProgress>& aProgress) {
  if (this->phase == Phase::Running && aAttempt == this->filter.Attempt() &&
      aProgress.size() == this->chain.hops.size()) {
    this->progress = aProgress;
  }
  return {};
}

std::vector<bool> StreamMachine::FindHungHops() const {
  std::vector<bool> failed(this->chain.hops.size(), false);
  bool hasUnresponsive = false;
  for (std::size_t i = 0; i < this->progress.size(); ++i) {
    if (!this->progress[i].hasResponded) {
      failed[i] = true;
      hasUnresponsive = true;
    }
  }
  if (hasUnresponsive) {
    return failed;
  }
  // All stages respond: the step is at the first stage that holds it, or else
  // stuck behind the last stage that waits for its next one.
  std::size_t suspect = 0;
  for (std::size_t i = 0; i < this->progress.size(); ++i) {
    if (this->progress[i].holdsStep) {
      suspect = i;
      break;
    }
    if (this->progress[i].waitsForNext) {
      suspect = std::min(i + 1, failed.size() - 1);
    }
  }
  failed[suspect] = true;
  return failed;
}

StreamActions StreamMachine::OnTimer(Instant aNow) {
  StreamActions actions;
  if (this->phase == Phase::Over || this->phase == Phase::Idle) {
    return actions;
  }
  if (this->settings.deadline && aNow >= *this->settings.deadline) {
    this->FailWith(ErrorKind::DeadlineDuringRun,
                   "the deadline passed before the answer was complete",
                   actions);
    return actions;
  }
  if (this->phase == Phase::WaitingForChain) {
    if (aNow >= this->retryAt) {
      this->Recover(this->failedHops, this->failure, aNow, actions);
    }
    return actions;
  }
  if (this->monitor.IsHung(aNow)) {
    this->Recover(this->FindHungHops(), HopFailure::Hung, aNow, actions);
  } else if (!this->hasProbed && this->monitor.ShouldProbe(aNow)) {
    this->hasProbed = true;
    actions.push_back(ProbeStages{this->filter.Attempt(), this->chain});
  }
  return actions;
}

StreamActions StreamMachine::OnCallerDisconnected() {
  StreamActions actions;
  if (this->phase == Phase::Running || this->phase == Phase::WaitingForChain) {
    actions.push_back(AbandonAttempt{this->filter.Attempt()});
    this->ReleaseAll(true, actions);
  }
  this->phase = Phase::Over;
  this->filter.CloseAttempt();
  return actions;
}

StreamActions StreamMachine::OnStop() {
  StreamActions actions;
  if (this->phase == Phase::Running || this->phase == Phase::WaitingForChain) {
    this->FailWith(ErrorKind::StoppedDuringRun,
                   "this daemon stopped before the answer was complete",
                   actions);
  }
  return actions;
}

std::vector<AttemptStage> StreamMachine::StagesFor(
    const Chain& aNext, const std::vector<bool>& aFailed,
    HopFailure aFailure) const {
  std::vector<AttemptStage> stages;
  // Until an attempt has produced a token, its caches may be incomplete.
  const bool hasCaches =
      this->filter.NextPosition() > this->attemptStartPosition &&
      aFailure != HopFailure::CacheLost;
  for (const ChainHop& hop : aNext.hops) {
    AttemptStage stage{hop, CacheSource::Replay, -1};
    if (!hasCaches) {
      stages.push_back(stage);
      continue;
    }
    for (std::size_t i = 0; i < this->chain.hops.size(); ++i) {
      const ChainHop& old = this->chain.hops[i];
      const bool isUnchanged = !aFailed[i] && old == hop;
      const bool canExport =
          aFailure == HopFailure::Slow && old.layers.Covers(hop.layers);
      if (isUnchanged) {
        stage.source = CacheSource::Reuse;
      } else if (aFailed[i] && canExport) {
        stage.source = CacheSource::Import;
        stage.importFrom = old.replica;
      }
    }
    stages.push_back(stage);
  }
  return stages;
}

void StreamMachine::AbandonChain(const std::vector<bool>& aFailed,
                                 HopFailure aFailure, Instant aNow,
                                 StreamActions& aActions) {
  this->phase = Phase::WaitingForChain;
  this->filter.CloseAttempt();
  this->failedHops = aFailed;
  this->failure = aFailure;
  this->abandonedAt = aNow;
  aActions.push_back(AbandonAttempt{this->filter.Attempt()});
  for (std::size_t i = 0; i < this->chain.hops.size(); ++i) {
    const int replica = this->chain.hops[i].replica;
    this->formerReplicas.push_back(replica);
    if (aFailed[i] && aFailure != HopFailure::CacheLost) {
      aActions.push_back(ReportHopFailure{replica, aFailure});
    }
  }
}

void StreamMachine::Recover(const std::vector<bool>& aFailed,
                            HopFailure aFailure, Instant aNow,
                            StreamActions& aActions) {
  const bool isRetry = this->phase == Phase::WaitingForChain;
  if (!isRetry) {
    this->AbandonChain(aFailed, aFailure, aNow, aActions);
  }
  if (this->Recoveries() + 1 >= this->settings.maxAttempts) {
    this->FailWith(ErrorKind::ResponseIncomplete,
                   "the request reached its maximum number of attempts",
                   aActions);
    return;
  }
  if (aFailure == HopFailure::CacheLost) {
    const Chain sameChain = this->chain;
    this->StartAttemptOn(sameChain,
                         this->StagesFor(sameChain, aFailed, aFailure), aNow,
                         aActions);
    return;
  }
  const Result<Chain> next =
      this->repairer.Repair(this->chain, aFailed, aNow, isRetry);
  if (next) {
    this->StartAttemptOn(*next, this->StagesFor(*next, aFailed, aFailure), aNow,
                         aActions);
    return;
  }
  this->retryAt = aNow + this->settings.noChainRetryInterval;
  if (aNow - this->abandonedAt >= this->settings.noChainTimeout) {
    this->FailWith(ErrorKind::ResponseIncomplete, next.error().message,
                   aActions);
  }
}

void StreamMachine::ReleaseAll(bool aIncludeCurrent, StreamActions& aActions) {
  std::vector<int> current;
  for (const ChainHop& hop : this->chain.hops) {
    current.push_back(hop.replica);
  }
  std::vector<int> replicas = this->formerReplicas;
  if (aIncludeCurrent) {
    replicas.insert(replicas.end(), current.begin(), current.end());
  }
  std::sort(replicas.begin(), replicas.end());
  replicas.erase(std::unique(replicas.begin(), replicas.end()), replicas.end());
  if (!aIncludeCurrent) {
    std::erase_if(replicas, [&](int aReplica) {
      return std::find(current.begin(), current.end(), aReplica) !=
             current.end();
    });
  }
  if (!replicas.empty()) {
    aActions.push_back(
        ReleaseStages{this->filter.Attempt(), std::move(replicas)});
  }
}

void StreamMachine::FailWith(ErrorKind aKind, const std::string& aMessage,
                             StreamActions& aActions) {
  if (this->phase == Phase::Running) {
    aActions.push_back(AbandonAttempt{this->filter.Attempt()});
  }
  this->phase = Phase::Over;
  this->ReleaseAll(true, aActions);
  aActions.push_back(
      FailStream{Error{aKind, aMessage, {}}, this->filter.NextPosition()});
}

Instant StreamMachine::NextTimer(Instant aNow) const {
  Instant next = this->phase == Phase::WaitingForChain
                     ? this->retryAt
                     : this->monitor.NextCheck(aNow);
  if (this->settings.deadline) {
    next = std::min(next, *this->settings.deadline);
  }
  return next;
}

}  // namespace zincstep
