#pragma once

#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Whether an upstream may get new work.
enum class ReplicaState {
  /// Gets new work.
  Up,
  /// Failed or slowed down lately; gets single trials after a backoff.
  Suspect,
  /// Leaving by the VM list or a peer's report; gets no new work any more.
  Leaving,
};

inline constexpr NameTable<ReplicaState, 3> kReplicaStateNames{{
    {ReplicaState::Up, "up"},
    {ReplicaState::Suspect, "suspect"},
    {ReplicaState::Leaving, "leaving"},
}};

/// Settings of the load table.
struct LoadTableSettings {
  /// Age above which a report is ignored.
  Micros maxReportAge = 5s;
  /// Backoff before the first trial of a suspect; doubles with each failure.
  Micros initialTrialBackoff = 500ms;
  Micros maxTrialBackoff = 30s;
  /// Backoff after a load query without response. Longer than the query
  /// interval, so that callers' requests are not used as probes.
  Micros unreachableBackoff = 2500ms;
  /// Time over which the usable share of a new upstream grows to 1.
  Micros warmUp = 10s;
  /// Weight of a new sample in the moving average of step times.
  double stepWeight = 0.1;
};

/// One daemon's view of the load and health of a fleet's upstreams.
///
/// This daemon's sequences are known at once; the load by other daemons only
/// from delayed reports. The estimate is the sum of both, where the other
/// daemons' part is the last report less this daemon's sequences at its time.
class LoadTable {
 public:
  LoadTable(std::size_t aReplicas, LoadTableSettings aSettings);

  /// Records that a sequence of this daemon starts on the upstream.
  void OnStart(int aReplica);
  /// Records that a sequence of this daemon on the upstream has ended.
  void OnEnd(int aReplica);
  /// Records an upstream's report of its sequences, including queued ones.
  void OnReport(int aReplica, double aSequences, Instant aNow);
  /// Records a step of the upstream that took `aRatio` times the declared time.
  void OnStep(int aReplica, double aRatio);
  /// Records that the upstream failed, hung or slowed down. It gets no work
  /// until a trial succeeds or a report arrives after the backoff.
  void OnFailure(int aReplica, Instant aNow);
  /// Records a load query without response: no trial for the backoff.
  void OnUnreachable(int aReplica, Instant aNow);
  /// Records that a sequence on the upstream succeeded.
  void OnSuccess(int aReplica);
  /// Marks the upstream as leaving; irreversible.
  void SetLeaving(int aReplica);
  /// Sets whether the upstream holds the planned model version.
  void SetHoldsVersion(int aReplica, bool aHolds) {
    this->At(aReplica).holdsVersion = aHolds;
  }
  /// Sets whether new work is paused, during a change to the upstream.
  void SetPaused(int aReplica, bool aPaused) {
    this->At(aReplica).paused = aPaused;
  }
  /// Copies the state of an upstream from an earlier table.
  void Inherit(int aReplica, const LoadTable& aOther, int aOtherReplica);
  /// Starts the warm-up of a new upstream.
  void SetNew(int aReplica, Instant aNow);
  /// Number of daemons that share the fleet, this one included.
  void SetDaemons(int aDaemons) { this->daemons = aDaemons; }

  int Daemons() const { return this->daemons; }
  /// Sequences of this daemon on the upstream.
  int LocalSequences(int aReplica) const {
    return this->At(aReplica).localSequences;
  }
  /// Estimated sequences of all daemons on the upstream.
  double Estimate(int aReplica, Instant aNow) const;
  /// This daemon's estimated share of the upstream's load: its own sequences
  /// and an equal part of those of the other daemons.
  ///
  /// Daemons with the same delayed reports all react at once. Dividing the
  /// reported load by their number keeps the sum of their reactions as large as
  /// the difference that they see, and so prevents a herd effect.
  double DampedShare(int aReplica, Instant aNow) const;
  /// Moving average of observed over declared step time.
  double StepRatio(int aReplica) const { return this->At(aReplica).stepRatio; }
  ReplicaState State(int aReplica) const { return this->At(aReplica).state; }
  /// Whether new work may be sent to the upstream now, including a due trial.
  bool IsUsable(int aReplica, Instant aNow) const;
  /// Whether the upstream can run work, ignoring suspicion.
  bool CanRun(int aReplica) const {
    const Row& row = this->At(aReplica);
    return row.holdsVersion && !row.paused &&
           row.state != ReplicaState::Leaving;
  }
  /// Whether new work on the upstream would be the trial of a suspect.
  bool IsTrial(int aReplica) const {
    return this->At(aReplica).state == ReplicaState::Suspect;
  }
  /// Usable share of the declared speed, from 0 to 1.
  double UsableShare(int aReplica, Instant aNow) const;

 private:
  struct Row {
    int localSequences = 0;
    int localAtReport = 0;
    double reported = 0;
    bool hasReport = false;
    Instant reportedAt;
    double stepRatio = 1;
    ReplicaState state = ReplicaState::Up;
    int failures = 0;
    Instant trialAt;
    bool holdsVersion = true;
    bool paused = false;
    bool isNew = false;
    Instant newSince;
  };

  Row& At(int aReplica) {
    ZINCSTEP_ASSERT(aReplica >= 0 &&
                    static_cast<std::size_t>(aReplica) < this->rows.size());
    return this->rows[static_cast<std::size_t>(aReplica)];
  }
  const Row& At(int aReplica) const {
    return const_cast<LoadTable*>(this)->At(aReplica);
  }

  LoadTableSettings settings;
  std::vector<Row> rows;
  int daemons = 1;
};

}  // namespace zincstep
