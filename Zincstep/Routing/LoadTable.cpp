#include "Zincstep/Routing/LoadTable.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;
/// Minimum share of an upstream in use, so that a slow one is still measured.
constexpr double kMinUsableShare = 0.02;

}  // namespace

LoadTable::LoadTable(std::size_t aReplicas, LoadTableSettings aSettings)
    : settings(aSettings), rows(aReplicas) {}

void LoadTable::OnStart(int aReplica) {
  Row& row = this->At(aReplica);
  row.localSequences += 1;
  if (row.state == ReplicaState::Suspect) {
    // The next trial has to wait for the result of this one.
    row.trialAt += this->settings.maxTrialBackoff;
  }
}

void LoadTable::OnEnd(int aReplica) {
  Row& row = this->At(aReplica);
  ZINCSTEP_ASSERT(row.localSequences > 0);
  row.localSequences -= 1;
}

void LoadTable::OnReport(int aReplica, double aSequences, Instant aNow) {
  Row& row = this->At(aReplica);
  row.reported = aSequences;
  row.localAtReport = row.localSequences;
  row.hasReport = true;
  row.reportedAt = aNow;
  if (row.state == ReplicaState::Suspect && aNow >= row.trialAt) {
    // The upstream responds and its backoff is over: it warms up like a new
    // one. `failures` is reset only by a successful sequence, so that the
    // backoff doubles if it fails before.
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
  const Micros backoff =
      std::min(this->settings.initialTrialBackoff * (1 << doublings),
               this->settings.maxTrialBackoff);
  row.state = ReplicaState::Suspect;
  row.failures += 1;
  row.trialAt = aNow + backoff;
}

void LoadTable::OnUnreachable(int aReplica, Instant aNow) {
  Row& row = this->At(aReplica);
  if (row.state == ReplicaState::Leaving) {
    return;
  }
  row.state = ReplicaState::Suspect;
  row.trialAt = std::max(row.trialAt, aNow + this->settings.unreachableBackoff);
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
  // Sequences of the earlier table end there; here they are part of reports.
  row.localSequences = 0;
  row.localAtReport = 0;
}

void LoadTable::SetNew(int aReplica, Instant aNow) {
  Row& row = this->At(aReplica);
  row.isNew = true;
  row.newSince = aNow;
}

double LoadTable::Estimate(int aReplica, Instant aNow) const {
  const Row& row = this->At(aReplica);
  const bool isFresh =
      row.hasReport && aNow - row.reportedAt <= this->settings.maxReportAge;
  if (!isFresh) {
    // Without a recent report, all daemons are assumed to have equal load.
    return static_cast<double>(row.localSequences) * this->daemons;
  }
  const double remoteSequences =
      std::max(0.0, row.reported - row.localAtReport);
  return remoteSequences + row.localSequences;
}

double LoadTable::DampedShare(int aReplica, Instant aNow) const {
  const int localSequences = this->At(aReplica).localSequences;
  const double remoteSequences =
      this->Estimate(aReplica, aNow) - localSequences;
  return localSequences + remoteSequences / this->daemons;
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
  double share = 1 / std::max(1.0, row.stepRatio);
  if (row.state == ReplicaState::Suspect) {
    share = kMinUsableShare;
  }
  if (row.isNew) {
    const double age = ToSeconds(aNow - row.newSince);
    share *= std::clamp(age / ToSeconds(this->settings.warmUp), 0.1, 1.0);
  }
  return std::max(share, kMinUsableShare);
}

}  // namespace zincstep
