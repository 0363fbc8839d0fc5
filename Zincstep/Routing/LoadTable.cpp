#include "Zincstep/Routing/LoadTable.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;
/// Below this a trickle of work keeps on measuring a slow upstream.
constexpr double kLeastStrength = 0.02;

}  // namespace

LoadTable::LoadTable(std::size_t aReplicas, LoadTableSettings aSettings)
    : settings(aSettings), rows(aReplicas) {}

void LoadTable::OnStart(int aReplica) {
  Row& row = this->At(aReplica);
  row.own += 1;
  if (row.state == ReplicaState::Suspect) {
    // One trial at a time: the next one waits for this one's outcome.
    row.trialAt += this->settings.maxTrialBackoff;
  }
}

void LoadTable::OnEnd(int aReplica) {
  Row& row = this->At(aReplica);
  ZINCSTEP_ASSERT(row.own > 0);
  row.own -= 1;
}

void LoadTable::OnReport(int aReplica, double aSequences, Instant aNow) {
  Row& row = this->At(aReplica);
  row.reported = aSequences;
  row.ownAtReport = row.own;
  row.hasReport = true;
  row.reportedAt = aNow;
  if (row.state == ReplicaState::Suspect && aNow >= row.trialAt) {
    // It answers, and its wait is over: it comes back as a new one does,
    // with a share that grows. The count of failures stays until a stream
    // has ended well there, so that the next failure waits twice as long.
    row.state = ReplicaState::Up;
    row.stepRatio = 1;
    this->SetNew(aReplica, aNow);
  }
}

void LoadTable::OnStep(int aReplica, double aRatio) {
  Row& row = this->At(aReplica);
  row.stepRatio += this->settings.stepWeight * (aRatio - row.stepRatio);
}

void LoadTable::OnFailure(int aReplica, Instant aNow) {
  Row& row = this->At(aReplica);
  if (row.state == ReplicaState::Leaving) {
    return;
  }
  const int doublings = std::min(row.failures, kMaxDoublings);
  const Micros wait =
      std::min(this->settings.initialTrialBackoff * (1 << doublings),
               this->settings.maxTrialBackoff);
  row.state = ReplicaState::Suspect;
  row.failures += 1;
  row.trialAt = aNow + wait;
}

void LoadTable::OnUnreachable(int aReplica, Instant aNow) {
  Row& row = this->At(aReplica);
  if (row.state == ReplicaState::Leaving) {
    return;
  }
  row.state = ReplicaState::Suspect;
  row.trialAt = std::max(row.trialAt, aNow + this->settings.unreachableWait);
}

void LoadTable::OnSuccess(int aReplica) {
  Row& row = this->At(aReplica);
  row.failures = 0;
  if (row.state == ReplicaState::Suspect) {
    row.state = ReplicaState::Up;
    row.stepRatio = 1;
  }
}

void LoadTable::SetLeaving(int aReplica) {
  this->At(aReplica).state = ReplicaState::Leaving;
}

void LoadTable::Inherit(int aReplica, const LoadTable& aOther,
                        int aOtherReplica) {
  Row& row = this->At(aReplica);
  const bool holdsVersion = row.holdsVersion;
  const bool paused = row.paused;
  row = aOther.At(aOtherReplica);
  row.holdsVersion = holdsVersion;
  row.paused = paused;
  // Sequences of the earlier table end there; reports show them here.
  row.own = 0;
  row.ownAtReport = 0;
}

void LoadTable::SetNew(int aReplica, Instant aNow) {
  Row& row = this->At(aReplica);
  row.isNew = true;
  row.newSince = aNow;
}

double LoadTable::Estimate(int aReplica, Instant aNow) const {
  const Row& row = this->At(aReplica);
  const bool fresh =
      row.hasReport && aNow - row.reportedAt <= this->settings.reportLife;
  if (!fresh) {
    // Without a report, the others are taken to load it as this one does.
    return static_cast<double>(row.own) * this->daemons;
  }
  const double others = std::max(0.0, row.reported - row.ownAtReport);
  return others + row.own;
}

double LoadTable::DampedShare(int aReplica, Instant aNow) const {
  const int own = this->At(aReplica).own;
  const double others = this->Estimate(aReplica, aNow) - own;
  return own + others / this->daemons;
}

bool LoadTable::IsUsable(int aReplica, Instant aNow) const {
  const Row& row = this->At(aReplica);
  if (!row.holdsVersion || row.paused) {
    return false;
  }
  switch (row.state) {
    case ReplicaState::Up:
      return true;
    case ReplicaState::Suspect:
      return aNow >= row.trialAt;
    case ReplicaState::Leaving:
      return false;
  }
  return false;
}

double LoadTable::UsableShare(int aReplica, Instant aNow) const {
  const Row& row = this->At(aReplica);
  if (!this->IsUsable(aReplica, aNow)) {
    return 0;
  }
  double strength = 1 / std::max(1.0, row.stepRatio);
  if (row.state == ReplicaState::Suspect) {
    strength = kLeastStrength;
  }
  if (row.isNew) {
    const double age = ToSeconds(aNow - row.newSince);
    strength *= std::clamp(age / ToSeconds(this->settings.warmUp), 0.1, 1.0);
  }
  return std::max(strength, kLeastStrength);
}

}  // namespace zincstep
