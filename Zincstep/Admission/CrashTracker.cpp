#include "Zincstep/Admission/CrashTracker.h"

#include <algorithm>

namespace zincstep {

void CrashTracker::OnSuspected(const UpstreamCrash& aCrash) {
  const bool hasRoom = this->suspected.size() < this->settings.maxRequests;
  if (hasRoom || this->suspected.contains(aCrash.request)) {
    this->suspected[aCrash.request].insert(aCrash.upstream);
  }
}

void CrashTracker::OnSuspicionResolved(const UpstreamCrash& aCrash) {
  const auto found = this->suspected.find(aCrash.request);
  if (found == this->suspected.end()) {
    return;
  }
  found->second.erase(aCrash.upstream);
  if (found->second.empty()) {
    this->suspected.erase(found);
  }
}

CrashVerdict CrashTracker::OnCrash(const UpstreamCrash& aCrash, Instant aNow) {
  if (this->HasCompletedRecently(aCrash.request, aNow)) {
    return CrashVerdict::Ignored;
  }
  this->EvictIfFull();
  Record& record = this->records[aCrash.request];
  const bool wasBlocked = this->IsBlocked(record);
  if (record.crashed.size() < this->settings.maxCrashes &&
      record.crashed.insert(aCrash.upstream).second) {
    record.lastCrash = aNow;
  }
  return !wasBlocked && this->IsBlocked(record) ? CrashVerdict::Blocked
                                                : CrashVerdict::Counted;
}

bool CrashTracker::OnCompleted(Fingerprint aRequest, Instant aNow) {
  const bool isNew = this->completedAt.insert_or_assign(aRequest, aNow).second;
  if (isNew) {
    this->completionOrder.push_back(aRequest);
  }
  if (this->completionOrder.size() > this->settings.maxCompleted) {
    this->completedAt.erase(this->completionOrder.front());
    this->completionOrder.pop_front();
  }
  return this->Clear(aRequest);
}

bool CrashTracker::HasCompletedRecently(Fingerprint aRequest,
                                        Instant aNow) const {
  const auto found = this->completedAt.find(aRequest);
  return found != this->completedAt.end() &&
         aNow - found->second < this->settings.completedRetention;
}

void CrashTracker::SetBlockList(const std::set<Fingerprint>& aRequests,
                                Instant aNow) {
  std::erase_if(this->records, [&](const auto& aEntry) {
    return aEntry.second.isListed && !aRequests.contains(aEntry.first);
  });
  for (const Fingerprint request : aRequests) {
    Record& record = this->records[request];
    if (!record.isListed) {
      record.isListed = true;
      record.lastCrash = aNow;
    }
  }
}

Micros CrashTracker::BlockedFor(Fingerprint aRequest, Instant aNow) const {
  const auto found = this->records.find(aRequest);
  if (found == this->records.end() || !this->IsBlocked(found->second)) {
    return this->HasPendingBlock(aRequest, aNow)
               ? this->settings.suspectedRetryAfter
               : Micros{0};
  }
  return std::max(Micros{0}, this->ExpiryOf(found->second) - aNow);
}

bool CrashTracker::HasPendingBlock(Fingerprint aRequest, Instant aNow) const {
  const auto suspects = this->suspected.find(aRequest);
  if (suspects == this->suspected.end() ||
      this->HasCompletedRecently(aRequest, aNow)) {
    return false;
  }
  std::set<std::uint64_t> incarnations = suspects->second;
  if (const auto recorded = this->records.find(aRequest);
      recorded != this->records.end()) {
    incarnations.insert(recorded->second.crashed.begin(),
                        recorded->second.crashed.end());
  }
  return incarnations.size() >= this->settings.maxCrashes;
}

std::set<Fingerprint> CrashTracker::Blocked(Instant aNow) const {
  std::set<Fingerprint> blocked;
  for (const auto& [request, record] : this->records) {
    if (this->IsBlocked(record) && aNow < this->ExpiryOf(record)) {
      blocked.insert(request);
    }
  }
  return blocked;
}

std::vector<UpstreamCrash> CrashTracker::UnlistedCrashes(Instant aNow) const {
  std::vector<UpstreamCrash> crashes;
  for (const auto& [request, record] : this->records) {
    const bool isUnlisted = !record.isListed && this->IsBlocked(record) &&
                            aNow < this->ExpiryOf(record);
    if (!isUnlisted) {
      continue;
    }
    for (const std::uint64_t upstream : record.crashed) {
      crashes.push_back({request, upstream});
    }
  }
  return crashes;
}

void CrashTracker::Tick(Instant aNow) {
  std::erase_if(this->records, [&](const auto& aEntry) {
    return aNow >= this->ExpiryOf(aEntry.second);
  });
}

void CrashTracker::EvictIfFull() {
  if (this->records.size() < this->settings.maxRequests) {
    return;
  }
  const auto victim = std::min_element(
      this->records.begin(), this->records.end(),
      [this](const auto& aLeft, const auto& aRight) {
        const auto rank = [this](const Record& aRecord) {
          return std::pair(this->IsBlocked(aRecord), aRecord.lastCrash);
        };
        return rank(aLeft.second) < rank(aRight.second);
      });
  this->records.erase(victim);
}

}  // namespace zincstep
