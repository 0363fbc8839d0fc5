#include "Zincstep/Admission/CrashTracker.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace zincstep {

namespace {

/// Weight of the former crashes when another one is counted.
constexpr double kCrashDecay = 0.95;

}  // namespace

void CrashTracker::OnSuspected(const UpstreamCrash& aCrash) {
  const bool hasRoom = this->suspected.size() < this->settings.maxRequests;
  if (hasRoom || this->suspected.contains(aCrash.candidate)) {
    this->suspected[aCrash.candidate].insert(aCrash.upstream);
  }
}

void CrashTracker::OnSuspicionResolved(const UpstreamCrash& aCrash) {
  const auto found = this->suspected.find(aCrash.candidate);
  if (found == this->suspected.end()) {
    return;
  }
  found->second.erase(aCrash.upstream);
  if (found->second.empty()) {
    this->suspected.erase(found);
  }
}

bool CrashTracker::OnSuspectedByPeer(const UpstreamCrash& aCrash,
                                     Instant aNow) {
  if (this->HasCompletedRecently(aCrash.candidate, aNow)) {
    return false;
  }
  this->OnSuspicionShared(aCrash, aNow);
  return true;
}

void CrashTracker::OnWithdrawn(const UpstreamCrash& aCrash) {
  this->sharedSuspicions.Remove(aCrash.candidate, aCrash.upstream);
  this->listedSuspicions.Remove(aCrash.candidate, aCrash.upstream);
}

CrashVerdict CrashTracker::OnCrash(const UpstreamCrash& aCrash, Instant aNow) {
  if (this->HasCompletedRecently(aCrash.candidate, aNow)) {
    return CrashVerdict::Ignored;
  }
  this->OnWithdrawn(aCrash);  // It is no suspicion any more.
  this->EvictIfFull();
  Record& record = this->records[aCrash.candidate];
  const bool wasBlocked = IsBlocked(record);
  if (record.crashed.size() < this->settings.maxRecorded &&
      record.crashed.insert(aCrash.upstream).second) {
    record.firstCrash = record.crashed.size() == 1 ? aNow : record.firstCrash;
    record.lastCrash = aNow;
  }
  if (aCrash.evidence == CrashEvidence::NoResponse &&
      record.crashed.contains(aCrash.upstream)) {
    record.crashedFirst.insert(aCrash.upstream);
  }
  record.isBlocked =
      record.isBlocked ||
      record.crashedFirst.size() >= this->LimitOf(aCrash.candidate) ||
      (record.crashed.size() >= this->LimitOf(aCrash.candidate) &&
       this->IsImprobable(record));
  return !wasBlocked && IsBlocked(record) ? CrashVerdict::Blocked
                                          : CrashVerdict::Counted;
}

void CrashTracker::CountCrash(std::uint64_t aUpstream, std::size_t aLost,
                              std::size_t aRunning, Instant aNow) {
  while (!this->crashTimes.empty() &&
         (this->crashTimes.size() >= this->settings.maxCrashTimes ||
          aNow - this->crashTimes.front().first >=
              this->settings.crashTimeRetention)) {
    this->crashTimes.pop_front();
  }
  const bool isKnown =
      std::any_of(this->crashTimes.begin(), this->crashTimes.end(),
                  [&](const auto& aOne) { return aOne.second == aUpstream; });
  if (!isKnown) {
    this->crashTimes.emplace_back(aNow, aUpstream);
    this->lostSum *= kCrashDecay;
    this->runningSum =
        this->runningSum * kCrashDecay + static_cast<double>(aRunning);
  }
  this->lostSum += static_cast<double>(aLost);
}

bool CrashTracker::IsImprobable(const Record& aRecord) const {
  const auto first = std::find_if(
      this->crashTimes.begin(), this->crashTimes.end(),
      [&](const auto& aOne) { return aOne.first >= aRecord.firstCrash; });
  const auto present = static_cast<double>(aRecord.crashed.size());
  const double all =
      std::max(present, static_cast<double>(this->crashTimes.end() - first));
  // Probability that one crash ends a given request.
  const double share =
      std::min(1.0, (1 + this->lostSum) /
                        (this->settings.assumedRunning + this->runningSum));
  // Upper bound of the binomial distribution's tail.
  const double choices = std::lgamma(all + 1) - std::lgamma(present + 1) -
                         std::lgamma(all - present + 1);
  return choices + present * std::log(share) <
         std::log(this->settings.maxChance);
}

bool CrashTracker::OnCompleted(Fingerprint aCandidate, Instant aNow) {
  const bool isNew =
      this->completedAt.insert_or_assign(aCandidate, aNow).second;
  if (isNew) {
    this->completionOrder.emplace_back(aCandidate, aNow);
  }
  if (this->completionOrder.size() > this->settings.maxCompleted) {
    this->EvictCompleted();
  }
  return this->Clear(aCandidate);
}

void CrashTracker::EvictCompleted() {
  // One that completed again since it was queued is queued anew.
  while (true) {
    const auto [oldest, queuedAt] = this->completionOrder.front();
    this->completionOrder.pop_front();
    const Instant last = this->completedAt.at(oldest);
    if (last == queuedAt) {
      this->completedAt.erase(oldest);
      return;
    }
    this->completionOrder.emplace_back(oldest, last);
  }
}

bool CrashTracker::HasCompletedRecently(Fingerprint aCandidate,
                                        Instant aNow) const {
  const auto found = this->completedAt.find(aCandidate);
  return found != this->completedAt.end() &&
         aNow - found->second < this->settings.completedRetention;
}

void CrashTracker::SetBlockList(const std::set<Fingerprint>& aListed,
                                Instant aNow) {
  std::erase_if(this->records, [&](const auto& aEntry) {
    return aEntry.second.isListed && !aListed.contains(aEntry.first);
  });
  for (const Fingerprint candidate : aListed) {
    Record& record = this->records[candidate];
    if (!record.isListed) {
      record.isListed = true;
      record.lastCrash = aNow;
    }
  }
}

void CrashTracker::SetListedSuspicions(const SuspectedCrashes& aListed,
                                       Instant aNow) {
  this->listedSuspicions.Replace(aListed,
                                 aNow + this->settings.peerSuspicionRetention);
}

Micros CrashTracker::BlockedFor(Fingerprint aCandidate, Instant aNow) const {
  const auto found = this->records.find(aCandidate);
  if (found == this->records.end() || !IsBlocked(found->second)) {
    return this->HasPendingBlock(aCandidate, aNow)
               ? this->settings.suspectedRetryAfter
               : Micros{0};
  }
  return std::max(Micros{0}, this->ExpiryOf(found->second) - aNow);
}

std::optional<CrashBlock> CrashTracker::FindBlock(
    const CrashCandidates& aCarried, Instant aNow) const {
  std::optional<CrashBlock> longest;
  aCarried.ForEach([&](Fingerprint aCandidate) {
    const Micros remaining = this->BlockedFor(aCandidate, aNow);
    if (remaining <= (longest ? longest->remaining : Micros{0}) ||
        this->IsExplained(aCandidate, aCarried)) {
      return;
    }
    longest = CrashBlock{aCandidate, remaining};
  });
  return longest;
}

bool CrashTracker::IsExplained(Fingerprint aPart,
                               const CrashCandidates& aCarried) const {
  const auto part = this->records.find(aPart);
  // The crashes of those known from the block list alone are not known.
  if (part == this->records.end() || part->second.crashed.empty()) {
    return false;
  }
  // A whole request that crashes its upstreams before any event is blocked
  // whatever else is.
  const bool isBlockedByBegun =
      part->second.isBlocked &&
      part->second.crashedFirst.size() < this->LimitOf(aPart);
  if (KindOf(aPart) == FingerprintKind::Request && !isBlockedByBegun) {
    return false;
  }
  const std::set<std::uint64_t>& crashed = part->second.crashed;
  return std::any_of(
      this->records.begin(), this->records.end(), [&](const auto& aEntry) {
        const auto& [other, record] = aEntry;
        return IsBlocked(record) && !aCarried.Contains(other) &&
               std::includes(record.crashed.begin(), record.crashed.end(),
                             crashed.begin(), crashed.end());
      });
}

bool CrashTracker::HasPendingBlock(Fingerprint aCandidate, Instant aNow) const {
  const auto own = this->suspected.find(aCandidate);
  const bool isSuspected = own != this->suspected.end() ||
                           this->sharedSuspicions.Contains(aCandidate) ||
                           this->listedSuspicions.Contains(aCandidate);
  if (!isSuspected || this->HasCompletedRecently(aCandidate, aNow)) {
    return false;
  }
  auto upstreams = this->SharedCrashes(aCandidate, aNow);
  if (own != this->suspected.end()) {
    upstreams.insert(own->second.begin(), own->second.end());
  }
  return upstreams.size() >= this->LimitOf(aCandidate);
}

std::set<std::uint64_t> CrashTracker::SharedCrashes(Fingerprint aCandidate,
                                                    Instant aNow) const {
  std::set<std::uint64_t> upstreams;
  this->sharedSuspicions.Collect(aCandidate, aNow, upstreams);
  this->listedSuspicions.Collect(aCandidate, aNow, upstreams);
  if (const auto recorded = this->records.find(aCandidate);
      recorded != this->records.end()) {
    upstreams.insert(recorded->second.crashedFirst.begin(),
                     recorded->second.crashedFirst.end());
  }
  return upstreams;
}

SuspectedCrashes CrashTracker::HeldBack(Instant aNow) const {
  std::set<Fingerprint> candidates;
  this->sharedSuspicions.CollectRequests(candidates);
  this->listedSuspicions.CollectRequests(candidates);
  SuspectedCrashes heldBack;
  for (const Fingerprint candidate : candidates) {
    const auto recorded = this->records.find(candidate);
    const bool isBlocked =
        recorded != this->records.end() && IsBlocked(recorded->second);
    auto upstreams = this->SharedCrashes(candidate, aNow);
    if (!isBlocked && upstreams.size() >= this->LimitOf(candidate) &&
        !this->HasCompletedRecently(candidate, aNow)) {
      heldBack.emplace(candidate, std::move(upstreams));
    }
  }
  return heldBack;
}

SuspectedCrashes CrashTracker::ListedSuspicions(Instant aNow) const {
  std::set<Fingerprint> candidates;
  this->listedSuspicions.CollectRequests(candidates);
  SuspectedCrashes listed;
  for (const Fingerprint candidate : candidates) {
    this->listedSuspicions.Collect(candidate, aNow, listed[candidate]);
  }
  return listed;
}

std::set<Fingerprint> CrashTracker::Blocked(Instant aNow) const {
  std::set<Fingerprint> blocked;
  for (const auto& [candidate, record] : this->records) {
    if (IsBlocked(record) && aNow < this->ExpiryOf(record)) {
      blocked.insert(candidate);
    }
  }
  return blocked;
}

std::vector<UpstreamCrash> CrashTracker::UnlistedCrashes(Instant aNow) const {
  std::vector<UpstreamCrash> crashes;
  for (const auto& [candidate, record] : this->records) {
    const bool isUnlisted =
        !record.isListed && IsBlocked(record) && aNow < this->ExpiryOf(record);
    if (!isUnlisted) {
      continue;
    }
    for (const std::uint64_t upstream : record.crashed) {
      crashes.push_back({candidate, upstream,
                         record.crashedFirst.contains(upstream)
                             ? CrashEvidence::NoResponse
                             : CrashEvidence::ResponseBegun});
    }
  }
  return crashes;
}

void CrashTracker::Tick(Instant aNow) {
  this->sharedSuspicions.Tick(aNow);
  this->listedSuspicions.Tick(aNow);
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
        const auto rank = [this](const auto& aEntry) {
          return std::tuple(IsBlocked(aEntry.second),
                            !aEntry.second.crashedFirst.empty(),
                            aEntry.second.lastCrash);
        };
        return rank(aLeft) < rank(aRight);
      });
  this->records.erase(victim);
}

}  // namespace zincstep
