#include "Zincstep/Pool/LossEvidence.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Maximum age of a peer's suspicion: peers repeat it with each report of their
/// work, every 400 ms.
constexpr Micros kPeerSuspicionMaxAge = 500ms;
/// Time for which a member is excluded from repairs after a rejected reroute;
/// the probe of it, with the second attempt, ends within that time.
constexpr Micros kExclusionTime = 300ms;
/// Time for which the work of a loss is kept: streams leave within two repair
/// attempts.
constexpr Micros kLossMaxAge = 1s;
/// Silent streams that must share a member: the stalled one and two others.
constexpr int kMinSilentStreams = 3;
/// With more members under equal evidence, none is singled out.
constexpr std::size_t kMaxLikelyLost = 2;

}  // namespace

void LossEvidence::CountSilent(Instant aCheck) {
  if (this->checkedAt != aCheck) {
    this->checkedAt = aCheck;
    this->silentStreams = 0;
  }
  this->silentStreams += 1;
}

bool LossEvidence::IsSuspectedByPeer(Instant aLastResponse,
                                     Instant aNow) const {
  return this->peerSuspectedAt != Instant{} &&
         aNow - this->peerSuspectedAt < kPeerSuspicionMaxAge &&
         aLastResponse < this->peerSuspectedAt;
}

bool LossEvidence::IsExcluded(Instant aLastResponse, Instant aNow) const {
  return this->excludedAt != Instant{} &&
         aNow - this->excludedAt < kExclusionTime &&
         aLastResponse <= this->excludedAt;
}

void LossEvidence::OnLoss(double aWork, Instant aNow) {
  if (this->lostAt != Instant{} && aNow - this->lostAt < kLossMaxAge) {
    return;
  }
  this->lostAt = aNow;
  this->work = aWork;
}

double LossEvidence::WorkAtLoss(double aPresent, Instant aNow) const {
  const bool isRecent =
      this->lostAt != Instant{} && aNow - this->lostAt < kLossMaxAge;
  return isRecent ? std::max(this->work, aPresent) : aPresent;
}

std::vector<std::size_t> FindLikelyLost(
    const std::vector<MemberEvidence>& aMembers) {
  std::vector<std::size_t> lost;
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    if (aMembers[i].isSuspectedByPeer) {
      lost.push_back(i);
    }
  }
  if (lost.empty()) {
    int most = kMinSilentStreams;
    for (const MemberEvidence& member : aMembers) {
      most = std::max(most, member.silentStreams);
    }
    for (std::size_t i = 0; i < aMembers.size(); ++i) {
      if (aMembers[i].silentStreams == most) {
        lost.push_back(i);
      }
    }
  }
  if (lost.size() > 1 && lost.front() == 0) {
    lost.erase(lost.begin());
  }
  if (lost.size() > kMaxLikelyLost) {
    lost.clear();
  }
  return lost;
}

}  // namespace zincstep
