#include "Zincstep/Edge/DaemonRegistrar.h"

#include <algorithm>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Life of entries without renewal. Peers find out by themselves within two
/// seconds that a daemon does not answer, so that a dead one's entry may stay
/// for a while: it costs a message that is lost now and then.
constexpr Micros kEntryLife = 120s;
/// Share of the life after which it is renewed: two more tries fit into the
/// rest. Renewed after 4 s, the entries of 295 daemons were 74 of the 79 calls
/// that the store got in a second of rest (count of a calm day).
constexpr double kRenewedAfter = 0.33;
/// Part of a time by which daemons differ, so that those that started together
/// do not all act in one second.
constexpr double kSpread = 0.3;
/// Pause before a call is tried again; it doubles up to the longest, as a store
/// that turns many away is not to be asked by all of them each second.
constexpr Micros kFirstRetry = 1s;
constexpr Micros kLongestRetry = 8s;
/// Time in which all daemons write their entries again after the store came
/// back from a copy: hundreds that wrote at once would find it full.
constexpr Micros kRewriteSpread = 1s;
/// Time in which daemons that start together have asked: their entries go into
/// few calls.
constexpr Micros kGatherTime = 150ms;
/// A daemon whose entry is missing leaves it for so long to the one that leads
/// its domain: that one hears of it, writes it, and tells the change.
constexpr Micros kOwnPatience = 6s;
/// An entry that another daemon wrote lives on for a while after that one has
/// ended: it is written under the own lease after this time, well before.
constexpr Micros kTakeOverPause = 10s;
/// An entry is removed when its daemon has not asked for so long.
constexpr Micros kSilentLife = 120s;
/// Entries that one call of the store may write.
constexpr std::size_t kMostAtOnce = 32;

}  // namespace

DaemonRegistrar::DaemonRegistrar(const EdgeSettings& aSettings,
                                 AsyncStore& aStore, const Clock& aClock)
    : settings(aSettings),
      store(aStore),
      clock(aClock),
      own{aSettings.name, aSettings.peerListen, aSettings.failureDomain,
          aSettings.linkMbps},
      ownKey(DaemonEntry::KeyOf(this->own)),
      retryPause(kFirstRetry),
      missingSince(aClock.Now()) {
  Random random{Hash64(aSettings.name)};
  const double factor = 1 - kSpread * random.Unit();
  const auto spread = [factor](Micros aSpan) {
    return FromSeconds(ToSeconds(aSpan) * factor);
  };
  this->keepPause = spread(FromSeconds(ToSeconds(kEntryLife) * kRenewedAfter));
  this->ownPatience = spread(kOwnPatience);
  this->takeOverPause = spread(kTakeOverPause);
}

void DaemonRegistrar::Add(const PeerName& aDaemon, Instant aNow) {
  const std::string key = DaemonEntry::KeyOf(aDaemon);
  std::string text = DaemonEntry::TextOf(aDaemon);
  Kept& entry = this->kept[key];
  entry.lastSeenAt = aNow;
  if (entry.text == text) {
    return;
  }
  entry.since = aNow;
  entry.text = std::move(text);
  entry.writtenAt = {};
  entry.seenAt = {};
}

bool DaemonRegistrar::IsThere(const std::string& aKey,
                              const std::string& aText) const {
  if (this->listed == nullptr) {
    return false;
  }
  const auto found = this->listed->find(aKey);
  return found != this->listed->end() && found->second.value == aText;
}

void DaemonRegistrar::OnQueryFrom(const PeerName& aRequester) {
  if (this->leads && aRequester.failureDomain == this->settings.failureDomain) {
    this->Add(aRequester, this->clock.Now());
  }
}

bool DaemonRegistrar::IsOverdue(Instant aNow) const {
  return !this->isListed && aNow - this->missingSince >= this->ownPatience;
}

void DaemonRegistrar::LeaveToOthers() {
  std::erase_if(this->kept, [this](const auto& aEntry) {
    const Kept& entry = aEntry.second;
    // Whoever leads has written it anew.
    const bool isTaken =
        !entry.writtenAt.IsNone() && entry.writtenAt < entry.seenAt;
    return aEntry.first != this->ownKey || isTaken;
  });
  if (this->kept.empty()) {
    this->lease = 0;
  }
}

void DaemonRegistrar::Keep(bool aLeads) {
  const Instant now = this->clock.Now();
  if (this->hasEnded || this->isWriting) {
    return;
  }
  this->leads = aLeads;
  if (aLeads || this->IsOverdue(now)) {
    this->Add(this->own, now);
  }
  if (aLeads) {
    this->RemoveSilent(now);
  } else {
    this->LeaveToOthers();
  }
  if (now < this->nextTry || this->isWriting) {
    return;
  }
  const std::vector<std::string> due = this->CollectDue(now);
  if (!due.empty()) {
    this->lease == 0 ? this->Grant() : this->Write(due);
  } else if (this->lease != 0 && now >= this->nextRenewal) {
    this->Renew();
  }
}

bool DaemonRegistrar::IsDue(const std::string& aKey, const Kept& aEntry,
                            Instant aNow) const {
  const Micros pause =
      this->IsThere(aKey, aEntry.text) ? this->takeOverPause : kGatherTime;
  return aEntry.writtenAt.IsNone() && aNow >= aEntry.since + pause;
}

std::vector<std::string> DaemonRegistrar::CollectDue(Instant aNow) const {
  std::vector<std::string> due;
  if (this->leads && this->listed == nullptr) {
    return due;  // It is not known yet what stands in the store.
  }
  for (const auto& [key, entry] : this->kept) {
    if (due.size() < kMostAtOnce && this->IsDue(key, entry, aNow)) {
      due.push_back(key);
    }
  }
  return due;
}

void DaemonRegistrar::Grant() {
  this->isWriting = true;
  this->store.Grant(kEntryLife, [this](Result<std::uint64_t> aLease) {
    this->isWriting = false;
    if (!aLease) {
      this->RetryLater();
      return;
    }
    this->lease = *aLease;
    this->nextRenewal = this->clock.Now() + this->keepPause;
    const std::vector<std::string> due = this->CollectDue(this->clock.Now());
    if (!due.empty()) {
      this->Write(due);
    }
  });
}

void DaemonRegistrar::Renew() {
  this->isWriting = true;
  this->nextRenewal = this->clock.Now() + this->keepPause;
  this->store.Renew(this->lease, [this](Result<bool> aRenewed) {
    this->isWriting = false;
    if (!aRenewed && aRenewed.error().kind == ErrorKind::LeaseLost) {
      this->BeginAnew(this->clock.Now());
    }
  });
}

void DaemonRegistrar::Write(const std::vector<std::string>& aKeys) {
  this->isWriting = true;
  StoreWrites writes;
  writes.lease = this->lease;
  std::map<std::string, std::string> texts;
  for (const std::string& key : aKeys) {
    const std::string& text = texts[key] = this->kept.at(key).text;
    writes.puts.push_back({this->FullKey(key), text});
  }
  this->store.WriteAll(std::move(writes), [this, texts = std::move(texts)](
                                              Result<StoreRevision> aDone) {
    this->isWriting = false;
    if (!aDone) {
      aDone.error().kind == ErrorKind::LeaseLost
          ? this->BeginAnew(this->clock.Now())
          : this->RetryLater();
      return;
    }
    this->retryPause = kFirstRetry;
    for (const auto& [key, text] : texts) {
      const auto entry = this->kept.find(key);
      if (entry != this->kept.end() && entry->second.text == text) {
        entry->second.writtenAt = *aDone;
      }
    }
    LogInfo("daemon_entries_written",
            {{"entries", texts.size()}, {"revision", aDone->number}});
  });
}

void DaemonRegistrar::RetryLater() {
  this->nextTry = this->clock.Now() + this->retryPause;
  this->retryPause = std::min(2 * this->retryPause, kLongestRetry);
}

void DaemonRegistrar::BeginAnew(Instant aSince) {
  this->lease = 0;
  for (auto& [key, entry] : this->kept) {
    entry.writtenAt = {};
    entry.seenAt = {};
    entry.since = aSince;
  }
}

void DaemonRegistrar::RemoveSilent(Instant aNow) {
  StoreWrites writes;
  for (const auto& [key, entry] : this->kept) {
    const bool isSilent = aNow - entry.lastSeenAt >= kSilentLife;
    if (isSilent && writes.removed.size() < kMostAtOnce) {
      writes.removed.push_back(this->FullKey(key));
    }
  }
  if (writes.removed.empty() || aNow < this->nextTry) {
    return;
  }
  std::erase_if(this->kept, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.lastSeenAt >= kSilentLife;
  });
  this->isWriting = true;
  const std::size_t count = writes.removed.size();
  this->store.WriteAll(
      std::move(writes), [this, count](const Result<StoreRevision>& aDone) {
        this->isWriting = false;
        LogInfo("daemon_entries_removed",
                {{"entries", count}, {"done", aDone.has_value()}});
      });
}

void DaemonRegistrar::OnEntries(const StoreItems& aItems) {
  const Instant now = this->clock.Now();
  this->listed = &aItems;
  const bool wasListed = this->isListed;
  this->isListed = this->IsThere(this->ownKey, DaemonEntry::TextOf(this->own));
  if (wasListed && !this->isListed) {
    this->missingSince = now;
    LogInfo("own_entry_lost", {{"lease", this->lease}});
  }
  // One that has gone is written again where its daemon goes on to ask.
  std::erase_if(this->kept, [&aItems](const auto& aEntry) {
    return !aEntry.second.seenAt.IsNone() && !aItems.contains(aEntry.first);
  });
  for (auto& [key, entry] : this->kept) {
    const auto found = aItems.find(key);
    if (found == aItems.end()) {
      continue;
    }
    entry.seenAt = found->second.revision;
    if (found->second.value != entry.text && !entry.writtenAt.IsNone() &&
        entry.seenAt > entry.writtenAt) {
      entry.writtenAt = {};
      entry.since = now + this->takeOverPause;
    }
  }
}

void DaemonRegistrar::OnRestored(Random& aRandom) {
  // What is under way is answered as void, and tried again later.
  const Micros spread = FromSeconds(ToSeconds(kRewriteSpread) * aRandom.Unit());
  this->retryPause = kFirstRetry;
  this->nextTry = {};
  this->BeginAnew(this->clock.Now() + spread);
}

void DaemonRegistrar::End() {
  if (this->hasEnded) {
    return;
  }
  this->hasEnded = true;
  if (!this->isListed && !this->kept.contains(this->ownKey)) {
    return;
  }
  StoreWrites writes;
  writes.removed.push_back(this->FullKey(this->ownKey));
  this->store.WriteAll(
      std::move(writes), [](const Result<StoreRevision>& aDone) {
        LogInfo("own_entry_taken_back", {{"told", aDone.has_value()}});
      });
}

}  // namespace zincstep
