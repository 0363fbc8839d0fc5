#include "Zincstep/Edge/DaemonRegistrar.h"

#include <algorithm>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Lease duration. Peers detect within two seconds that a daemon does not
/// respond, so the entry of a dead daemon costs only a lost message now and
/// then.
constexpr Micros kEntryTtl = 120s;
/// Share of the TTL after which the lease is renewed, so that two retries fit
/// into the rest. With a renewal every 4 s, the entries of 295 daemons caused
/// 74 of the 79 calls per second that an idle store received.
constexpr double kRenewalShare = 0.33;
/// Maximum share by which delays are shortened per daemon, so that daemons that
/// start together do not all act in the same second.
constexpr double kJitter = 0.3;
/// Backoff of failed calls. It doubles up to the maximum, so that an overloaded
/// store is not called by all daemons every second.
constexpr Micros kInitialBackoff = 1s;
constexpr Micros kMaxBackoff = 8s;
/// Time over which daemons spread the rewrite of their entries after the store
/// was restored from a backup: hundreds of simultaneous writes would overload
/// it.
constexpr Micros kRewritePeriod = 1s;
/// Time for the queries of daemons that start together to arrive, so that their
/// entries are written in few calls.
constexpr Micros kBatchDelay = 150ms;
/// Time that a daemon with a missing entry leaves to the leader of its domain,
/// which receives the daemon's queries, writes the entry and sends the change.
constexpr Micros kSelfRegisterDelay = 6s;
/// Delay before an entry that another daemon wrote is rewritten under this
/// daemon's lease. An entry outlives its writer by up to the TTL, so this is
/// early enough.
constexpr Micros kTakeOverDelay = 10s;
/// Time without queries after which a daemon's entry is removed.
constexpr Micros kIdleEntryTtl = 120s;
/// Maximum number of entries that one call of the store may write.
constexpr std::size_t kMaxBatchSize = 32;

}  // namespace

DaemonRegistrar::DaemonRegistrar(const EdgeSettings& aSettings,
                                 AsyncStore& aStore, const Clock& aClock)
    : settings(aSettings),
      store(aStore),
      clock(aClock),
      self{aSettings.name, aSettings.peerListen, aSettings.failureDomain,
           aSettings.linkMbps},
      ownKey(DaemonEntry::KeyOf(this->self)),
      retryBackoff(kInitialBackoff),
      missingSince(aClock.Now()) {
  Random random{Hash64(aSettings.name)};
  const double factor = 1 - kJitter * random.Unit();
  const auto jittered = [factor](Micros aDelay) {
    return FromSeconds(ToSeconds(aDelay) * factor);
  };
  this->renewInterval =
      jittered(FromSeconds(ToSeconds(kEntryTtl) * kRenewalShare));
  this->selfRegisterDelay = jittered(kSelfRegisterDelay);
  this->takeOverDelay = jittered(kTakeOverDelay);
}

void DaemonRegistrar::Add(const PeerName& aDaemon, Instant aNow) {
  const std::string key = DaemonEntry::KeyOf(aDaemon);
  std::string text = DaemonEntry::TextOf(aDaemon);
  Entry& entry = this->entries[key];
  entry.lastSeenAt = aNow;
  if (entry.text == text) {
    return;
  }
  entry.dueSince = aNow;
  entry.text = std::move(text);
  entry.writtenAt = {};
  entry.seenAt = {};
}

bool DaemonRegistrar::IsStored(const std::string& aKey,
                               const std::string& aText) const {
  if (this->stored == nullptr) {
    return false;
  }
  const auto found = this->stored->find(aKey);
  return found != this->stored->end() && found->second.value == aText;
}

void DaemonRegistrar::OnQueryFrom(const PeerName& aRequester) {
  if (this->isLeader &&
      aRequester.failureDomain == this->settings.failureDomain) {
    this->Add(aRequester, this->clock.Now());
  }
}

bool DaemonRegistrar::MustRegisterItself(Instant aNow) const {
  return !this->isListed &&
         aNow - this->missingSince >= this->selfRegisterDelay;
}

void DaemonRegistrar::DropTakenOver() {
  std::erase_if(this->entries, [this](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    // The leader has written the entry after this daemon did.
    const bool isTakenOver =
        !entry.writtenAt.IsNone() && entry.writtenAt < entry.seenAt;
    return aEntry.first != this->ownKey || isTakenOver;
  });
  if (this->entries.empty()) {
    this->lease = 0;
  }
}

void DaemonRegistrar::Tick(bool aIsLeader) {
  const Instant now = this->clock.Now();
  if (this->isDeregistered || this->isWriting) {
    return;
  }
  this->isLeader = aIsLeader;
  if (aIsLeader || this->MustRegisterItself(now)) {
    this->Add(this->self, now);
  }
  if (aIsLeader) {
    this->RemoveExpired(now);
  } else {
    this->DropTakenOver();
  }
  if (now < this->nextAttempt || this->isWriting) {
    return;
  }
  const std::vector<std::string> due = this->CollectDue(now);
  if (!due.empty()) {
    this->lease == 0 ? this->Grant() : this->Write(due);
  } else if (this->lease != 0 && now >= this->nextRenewal) {
    this->Renew();
  }
}

bool DaemonRegistrar::IsDue(const std::string& aKey, const Entry& aEntry,
                            Instant aNow) const {
  const Micros delay =
      this->IsStored(aKey, aEntry.text) ? this->takeOverDelay : kBatchDelay;
  return aEntry.writtenAt.IsNone() && aNow >= aEntry.dueSince + delay;
}

std::vector<std::string> DaemonRegistrar::CollectDue(Instant aNow) const {
  std::vector<std::string> due;
  if (this->isLeader && this->stored == nullptr) {
    return due;  // The stored entries are unknown as yet.
  }
  for (const auto& [key, entry] : this->entries) {
    if (due.size() < kMaxBatchSize && this->IsDue(key, entry, aNow)) {
      due.push_back(key);
    }
  }
  return due;
}

void DaemonRegistrar::Grant() {
  this->isWriting = true;
  this->store.Grant(kEntryTtl, [this](Result<std::uint64_t> aLease) {
    this->isWriting = false;
    if (!aLease) {
      this->ScheduleRetry();
      return;
    }
    this->lease = *aLease;
    this->nextRenewal = this->clock.Now() + this->renewInterval;
    const std::vector<std::string> due = this->CollectDue(this->clock.Now());
    if (!due.empty()) {
      this->Write(due);
    }
  });
}

void DaemonRegistrar::Renew() {
  this->isWriting = true;
  this->nextRenewal = this->clock.Now() + this->renewInterval;
  this->store.Renew(this->lease, [this](Result<bool> aRenewed) {
    this->isWriting = false;
    if (!aRenewed && aRenewed.error().kind == ErrorKind::LeaseLost) {
      this->RewriteAll(this->clock.Now());
    }
  });
}

void DaemonRegistrar::Write(const std::vector<std::string>& aKeys) {
  this->isWriting = true;
  StoreWrites writes;
  writes.lease = this->lease;
  std::map<std::string, std::string> texts;
  for (const std::string& key : aKeys) {
    const std::string& text = texts[key] = this->entries.at(key).text;
    writes.puts.push_back({this->StoreKey(key), text});
  }
  this->store.WriteAll(std::move(writes), [this, texts = std::move(texts)](
                                              Result<StoreRevision> aResult) {
    this->isWriting = false;
    if (!aResult) {
      aResult.error().kind == ErrorKind::LeaseLost
          ? this->RewriteAll(this->clock.Now())
          : this->ScheduleRetry();
      return;
    }
    this->retryBackoff = kInitialBackoff;
    for (const auto& [key, text] : texts) {
      const auto entry = this->entries.find(key);
      if (entry != this->entries.end() && entry->second.text == text) {
        entry->second.writtenAt = *aResult;
      }
    }
    LogInfo("daemon_entries_written",
            {{"entries", texts.size()}, {"revision", aResult->number}});
  });
}

void DaemonRegistrar::ScheduleRetry() {
  this->nextAttempt = this->clock.Now() + this->retryBackoff;
  this->retryBackoff = std::min(2 * this->retryBackoff, kMaxBackoff);
}

void DaemonRegistrar::RewriteAll(Instant aDueSince) {
  this->lease = 0;
  for (auto& [key, entry] : this->entries) {
    entry.writtenAt = {};
    entry.seenAt = {};
    entry.dueSince = aDueSince;
  }
}

void DaemonRegistrar::RemoveExpired(Instant aNow) {
  StoreWrites writes;
  for (const auto& [key, entry] : this->entries) {
    const bool isExpired = aNow - entry.lastSeenAt >= kIdleEntryTtl;
    if (isExpired && writes.removed.size() < kMaxBatchSize) {
      writes.removed.push_back(this->StoreKey(key));
    }
  }
  if (writes.removed.empty() || aNow < this->nextAttempt) {
    return;
  }
  std::erase_if(this->entries, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.lastSeenAt >= kIdleEntryTtl;
  });
  this->isWriting = true;
  const std::size_t count = writes.removed.size();
  this->store.WriteAll(
      std::move(writes), [this, count](const Result<StoreRevision>& aResult) {
        this->isWriting = false;
        LogInfo("daemon_entries_removed",
                {{"entries", count}, {"done", aResult.has_value()}});
      });
}

void DaemonRegistrar::OnEntries(const StoreItems& aItems) {
  const Instant now = this->clock.Now();
  this->stored = &aItems;
  const bool wasListed = this->isListed;
  this->isListed =
      this->IsStored(this->ownKey, DaemonEntry::TextOf(this->self));
  if (wasListed && !this->isListed) {
    this->missingSince = now;
    LogInfo("own_entry_lost", {{"lease", this->lease}});
  }
  // Removed entries are written again once their daemons query this one.
  std::erase_if(this->entries, [&aItems](const auto& aEntry) {
    return !aEntry.second.seenAt.IsNone() && !aItems.contains(aEntry.first);
  });
  for (auto& [key, entry] : this->entries) {
    const auto found = aItems.find(key);
    if (found == aItems.end()) {
      continue;
    }
    entry.seenAt = found->second.revision;
    if (found->second.value != entry.text && !entry.writtenAt.IsNone() &&
        entry.seenAt > entry.writtenAt) {
      entry.writtenAt = {};
      entry.dueSince = now + this->takeOverDelay;
    }
  }
}

void DaemonRegistrar::OnRestored(Random& aRandom) {
  // Calls in flight complete with an error and are retried later.
  const Micros delay = FromSeconds(ToSeconds(kRewritePeriod) * aRandom.Unit());
  this->retryBackoff = kInitialBackoff;
  this->nextAttempt = {};
  this->RewriteAll(this->clock.Now() + delay);
}

void DaemonRegistrar::Deregister() {
  if (this->isDeregistered) {
    return;
  }
  this->isDeregistered = true;
  if (!this->isListed && !this->entries.contains(this->ownKey)) {
    return;
  }
  StoreWrites writes;
  writes.removed.push_back(this->StoreKey(this->ownKey));
  this->store.WriteAll(
      std::move(writes), [](const Result<StoreRevision>& aResult) {
        LogInfo("own_entry_taken_back", {{"told", aResult.has_value()}});
      });
}

}  // namespace zincstep
