#pragma once

#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Whether an upstream may get work, and why not.
enum class ReplicaState {
  /// Takes work.
  Up,
  /// Failed or slowed just now; gets single trials after a wait.
  Suspect,
  /// Leaves by the VM list or a peer's word; never gets new work again.
  Leaving,
};

inline constexpr NameTable<ReplicaState, 3> kReplicaStateNames{{
    {ReplicaState::Up, "up"},
    {ReplicaState::Suspect, "suspect"},
    {ReplicaState::Leaving, "leaving"},
}};

/// Settings of the load table.
struct LoadTableSettings {
  /// After this time a report counts for nothing.
  Micros reportLife = 5s;
  /// First wait before a suspect gets a trial; doubles with each failure.
  Micros initialTrialBackoff = 500ms;
  Micros maxTrialBackoff = 30s;
  /// Wait after a question for load that got no answer; longer than the
  /// time between two questions, so that callers' requests are no probes.
  Micros unreachableWait = 2500ms;
  /// Time over which a new upstream's share grows to the whole.
  Micros warmUp = 10s;
  /// Weight of a new sample in the step-time average.
  double stepWeight = 0.1;
};

/// What one daemon knows of the load and health of a fleet's upstreams.
///
/// Own work is known at once; the load that others cause is known from
/// reports that lag. The estimate adds both: the others' part is what the
/// last report held beyond this daemon's own work at that time.
class LoadTable {
 public:
  LoadTable(std::size_t aReplicas, LoadTableSettings aSettings);

  /// A sequence of this daemon starts on the upstream.
  void OnStart(int aReplica);
  /// A sequence of this daemon has left the upstream.
  void OnEnd(int aReplica);
  /// The upstream has reported its sequences, queued ones included.
  void OnReport(int aReplica, double aSequences, Instant aNow);
  /// A hop took `aRatio` times the declared step.
  void OnStep(int aReplica, double aRatio);
  /// The upstream failed, hung or slowed: no work until a trial succeeds.
  void OnFailure(int aReplica, Instant aNow);
  /// A question for its load got no answer: no trial until one does.
  void OnUnreachable(int aReplica, Instant aNow);
  /// A hop on the upstream went well.
  void OnSuccess(int aReplica);
  /// The upstream leaves; this cannot be taken back.
  void SetLeaving(int aReplica);
  /// Whether the upstream holds the version that is planned for.
  void SetHoldsVersion(int aReplica, bool aHolds) {
    this->At(aReplica).holdsVersion = aHolds;
  }
  /// Keeps new work away while a change to the upstream is under way.
  void SetPaused(int aReplica, bool aPaused) {
    this->At(aReplica).paused = aPaused;
  }
  /// Takes over what was learnt of an upstream in an earlier table.
  void Inherit(int aReplica, const LoadTable& aOther, int aOtherReplica);
  /// The upstream is new: its share grows over the warm-up.
  void SetNew(int aReplica, Instant aNow);
  /// Number of daemons that share the fleet, this one included.
  void SetDaemons(int aDaemons) { this->daemons = aDaemons; }

  int Daemons() const { return this->daemons; }
  /// Sequences of this daemon on the upstream.
  int Own(int aReplica) const { return this->At(aReplica).own; }
  /// Sequences on the upstream by all daemons, as well as is known.
  double Estimate(int aReplica, Instant aNow) const;
  /// This daemon's share of the upstream's load, as well as is known: its
  /// own sequences and an equal part of the others'.
  ///
  /// Deciders with the same lagging reports all move at once; dividing what
  /// is reported by their number keeps the sum of their moves as large as
  /// the difference that they see, where the whole of it would make a herd.
  double DampedShare(int aReplica, Instant aNow) const;
  /// Observed step over declared step, averaged.
  double StepRatio(int aReplica) const { return this->At(aReplica).stepRatio; }
  ReplicaState State(int aReplica) const { return this->At(aReplica).state; }
  /// Whether new work may go there now, counting a due trial as yes.
  bool IsUsable(int aReplica, Instant aNow) const;
  /// Whether it could run work at all, suspected or not.
  bool IsPossible(int aReplica) const {
    const Row& row = this->At(aReplica);
    return row.holdsVersion && !row.paused &&
           row.state != ReplicaState::Leaving;
  }
  /// Whether work there now would be a trial of a suspect.
  bool IsTrial(int aReplica) const {
    return this->At(aReplica).state == ReplicaState::Suspect;
  }
  /// Share of the declared speed that plans may count on, from 0 to 1.
  double UsableShare(int aReplica, Instant aNow) const;

 private:
  struct Row {
    int own = 0;
    int ownAtReport = 0;
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
