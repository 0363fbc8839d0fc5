#pragma once

#include <cstddef>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Signs, other than an unanswered probe, that an upstream is lost, and its
/// work at the moment of the loss.
///
/// They let single streams leave the upstream. The suspicion that applies to
/// all work still needs a probe, since a peer or this daemon may be the one
/// that is slow or partitioned.
class LossEvidence {
 public:
  /// A peer reports that it suspects the upstream.
  void OnPeerSuspicion(Instant aNow) { this->peerSuspectedAt = aNow; }
  /// A stream through the upstream is silent at the check of time `aCheck`.
  void CountSilent(Instant aCheck);
  /// Number of silent streams that `CountSilent` received for that check.
  int SilentStreams(Instant aCheck) const {
    return this->checkedAt == aCheck ? this->silentStreams : 0;
  }
  /// Excludes the upstream from the repairs of this daemon for a while.
  void Exclude(Instant aNow) { this->excludedAt = aNow; }

  /// Whether a peer suspects the upstream and it has not responded since.
  /// `aLastResponse` is the time of its last response to this daemon.
  bool IsSuspectedByPeer(Instant aLastResponse, Instant aNow) const;
  /// Whether it is excluded and has not responded since.
  bool IsExcluded(Instant aLastResponse, Instant aNow) const;

  /// Records the work in flight when the upstream counts as lost for the first
  /// time. Later values of the same loss are ignored: they fall as streams
  /// leave.
  void OnLoss(double aWork, Instant aNow);
  /// The work at the moment of the loss, or `aPresent` if none was recorded
  /// lately.
  double WorkAtLoss(double aPresent, Instant aNow) const;

 private:
  Instant peerSuspectedAt{};
  Instant excludedAt{};
  Instant checkedAt{};
  int silentStreams = 0;
  Instant lostAt{};
  double work = 0;
};

/// Evidence against one member of a stalled stream's chain.
struct MemberEvidence {
  bool isSuspectedByPeer = false;
  /// Silent streams of this daemon through the member, the stalled one
  /// included; 0 if the member has responded or a stream through it progresses.
  int silentStreams = 0;
};

/// Returns the indices of the members that are likely lost, in ascending order;
/// none if the evidence does not single out a few of them. The first stage is
/// returned only if no other member has as much evidence, since leaving it
/// takes a new run.
std::vector<std::size_t> FindLikelyLost(
    const std::vector<MemberEvidence>& aMembers);

}  // namespace zincstep
