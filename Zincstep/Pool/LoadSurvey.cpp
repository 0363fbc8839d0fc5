#include "Zincstep/Pool/LoadSurvey.h"

#include <algorithm>

namespace zincstep {

bool LoadSurvey::IsCandidate(const LiveUpstream& aUpstream, Instant aNow) {
  const UpstreamEntry& entry = aUpstream.Entry();
  const bool holdsFirstLayer =
      entry.IsOfModel() && entry.layers.first == 0 && entry.layers.Size() > 0;
  return holdsFirstLayer && aUpstream.IsHealthy(aNow) &&
         !aUpstream.IsBackingOff(aNow) && !aUpstream.HasCallLimit();
}

bool LoadSurvey::IsFirstDue(SurveyRank aRank, Instant aNow) const {
  const Micros sinceStart = aNow - this->startedAt;
  return sinceStart <= this->settings.period &&
         (aRank.isLeader || sinceStart >= this->settings.othersDelay);
}

bool LoadSurvey::IsRepeatDue(const LiveUpstream& aUpstream,
                             const Request& aRequest, Instant aNow) const {
  if (aRequest.isRepeated || aRequest.isPending ||
      aNow - aRequest.sentAt < this->settings.repeatDelay) {
    return false;
  }
  const auto known = aUpstream.firstStage.Announced(aNow);
  // A response or a peer has told a load about as recent as that of a new
  // report.
  const bool isToldSince =
      known && known->at >= aRequest.sentAt + this->settings.repeatDelay -
                                this->settings.reportAge;
  return !isToldSince && (aRequest.isLoaded || !aRequest.hasReport);
}

std::vector<UpstreamPtr> LoadSurvey::Next(
    const std::vector<UpstreamPtr>& aUpstreams, SurveyRank aRank,
    Instant aNow) {
  std::vector<UpstreamPtr> candidates;
  for (const UpstreamPtr& upstream : aUpstreams) {
    if (IsCandidate(*upstream, aNow)) {
      candidates.push_back(upstream);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const UpstreamPtr& aOne, const UpstreamPtr& aOther) {
              return aOne->Number() < aOther->Number();
            });
  // In a domain with more first stages than one daemon may ask, daemons of
  // different rank begin with different ones.
  if (!candidates.empty()) {
    const std::size_t first =
        aRank.rank * this->settings.maxReports % candidates.size();
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(first),
                candidates.end());
  }
  const bool anyLoaded =
      std::any_of(this->requests.begin(), this->requests.end(),
                  [](const auto& aEntry) { return aEntry.second.isLoaded; });
  std::vector<UpstreamPtr> due;
  for (const UpstreamPtr& upstream : candidates) {
    if (this->requested == this->settings.maxReports) {
      break;
    }
    const auto known = this->requests.find(upstream->Number());
    if (known == this->requests.end()) {
      if (!this->IsFirstDue(aRank, aNow) ||
          upstream->firstStage.Announced(aNow)) {
        continue;
      }
      this->requests[upstream->Number()].sentAt = aNow;
    } else if (anyLoaded && this->IsRepeatDue(*upstream, known->second, aNow)) {
      known->second.sentAt = aNow;
      known->second.isRepeated = true;
      known->second.isPending = true;
    } else {
      continue;
    }
    this->requested += 1;
    this->pending += 1;
    due.push_back(upstream);
  }
  return due;
}

LoadSurvey::Request* LoadSurvey::PendingRequest(const LiveUpstream& aUpstream) {
  const auto found = this->requests.find(aUpstream.Number());
  if (found == this->requests.end() || !found->second.isPending) {
    return nullptr;
  }
  found->second.isPending = false;
  ZINCSTEP_ASSERT(this->pending > 0);
  this->pending -= 1;
  return &found->second;
}

void LoadSurvey::OnReport(LiveUpstream& aUpstream, int aRunning, int aQueued,
                          Instant aNow) {
  Request* const request = this->PendingRequest(aUpstream);
  if (request == nullptr) {
    return;
  }
  const double slots = std::max(1, aUpstream.Entry().slots);
  request->hasReport = true;
  request->isLoaded = aRunning + aQueued > this->settings.loadedShare * slots;
  aUpstream.firstStage.Announce(
      {aRunning, aQueued, aNow - this->settings.reportAge});
}

void LoadSurvey::OnNoReport(const LiveUpstream& aUpstream) {
  this->PendingRequest(aUpstream);
}

bool LoadSurvey::IsOver(Instant aNow) const {
  if (this->pending > 0) {
    return false;
  }
  const Instant lastRepeat =
      this->startedAt + this->settings.period + 2 * this->settings.repeatDelay;
  return this->requested == this->settings.maxReports || aNow > lastRepeat;
}

}  // namespace zincstep
