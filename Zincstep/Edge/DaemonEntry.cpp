#include "Zincstep/Edge/DaemonEntry.h"

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Life of a daemon's entry. Peers find out by themselves within two seconds
/// that a daemon does not answer, so that a dead one's entry may stay for a
/// while: it costs a message that is lost now and then.
constexpr Micros kEntryLife = 120s;
/// Share of the life after which it is renewed: two more tries fit into the
/// rest. Renewed after 4 s, the entries of 295 daemons were 74 of the 79 calls
/// that the store got in a second of rest (count of a calm day).
constexpr double kRenewedAfter = 0.33;
/// Part of that time by which daemons differ, so that those that started
/// together do not all renew in one second.
constexpr double kRenewalSpread = 0.3;
/// Pause before the entry is tried again; it doubles up to the longest, as a
/// store that turns many away is not to be asked by all of them each second.
constexpr Micros kFirstRetry = 1s;
constexpr Micros kLongestRetry = 8s;
/// Time in which all daemons write their entries again after the store came
/// back from a copy: hundreds that wrote at once would find it full.
constexpr Micros kRewriteSpread = 1s;
constexpr const char* kAddressField = "peer";
constexpr const char* kDomainField = "failure_domain";

}  // namespace

std::optional<DaemonEntry::Text> DaemonEntry::Read(const std::string& aKey,
                                                   const std::string& aValue) {
  if (!aKey.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(aValue, nullptr, false);
  const auto isText = [&json](const char* aField) {
    return json.is_object() && json.contains(aField) &&
           json.at(aField).is_string();
  };
  if (!isText(kAddressField) || !isText(kDomainField)) {
    return std::nullopt;
  }
  return Text{aKey.substr(std::strlen(kPrefix)),
              json.at(kAddressField).get<std::string>(),
              json.at(kDomainField).get<std::string>()};
}

DaemonEntry::DaemonEntry(const EdgeSettings& aSettings, AsyncStore& aStore,
                         const Clock& aClock)
    : settings(aSettings),
      store(aStore),
      clock(aClock),
      retryPause(kFirstRetry) {
  Random random{Hash64(aSettings.name)};
  const double share = kRenewedAfter * (1 - kRenewalSpread * random.Unit());
  this->keepPause = FromSeconds(ToSeconds(kEntryLife) * share);
}

void DaemonEntry::Keep() {
  const Instant now = this->clock.Now();
  if (this->hasEnded || this->isWriting || now < this->nextKeep) {
    return;
  }
  this->isWriting = true;
  this->nextKeep = now + this->keepPause;
  this->lease == 0 ? this->Grant() : this->Renew();
}

void DaemonEntry::Grant() {
  this->store.Grant(kEntryLife, [this](Result<std::uint64_t> aLease) {
    if (!aLease) {
      this->RetryLater();
      return;
    }
    this->lease = *aLease;
    this->Write({});
  });
}

void DaemonEntry::Renew() {
  this->store.Renew(this->lease, [this](Result<bool> aRenewed) {
    this->isWriting = false;
    if (!aRenewed && aRenewed.error().kind == ErrorKind::LeaseLost) {
      this->lease = 0;
      this->nextKeep = this->clock.Now();
    }
  });
}

void DaemonEntry::Write(StoreRevision aExpected) {
  StoreChange change;
  change.key = this->settings.storePrefix + kPrefix + this->settings.name;
  change.expected = aExpected;
  change.value = nlohmann::json{{kAddressField, this->settings.peerListen},
                                {kDomainField, this->settings.failureDomain}}
                     .dump();
  change.lease = this->lease;
  this->store.Commit(change, [this, aExpected](Result<StoreCommit> aDone) {
    if (aExpected.IsNone() && aDone && aDone->present) {
      // An entry of this VM's earlier process: it is replaced.
      this->Write(aDone->present->revision);
      return;
    }
    this->OnWritten(aDone);
  });
}

void DaemonEntry::OnWritten(const Result<StoreCommit>& aDone) {
  if (!aDone || !aDone->done) {
    this->RetryLater();
    return;
  }
  this->isWriting = false;
  this->retryPause = kFirstRetry;
}

void DaemonEntry::RetryLater() {
  this->isWriting = false;
  this->lease = 0;
  this->nextKeep = this->clock.Now() + this->retryPause;
  this->retryPause = std::min(2 * this->retryPause, kLongestRetry);
}

void DaemonEntry::OnEntries(const StoreItems& aItems) {
  const bool wasListed = this->isListed;
  this->isListed = aItems.contains(kPrefix + this->settings.name);
  if (wasListed && !this->isListed && !this->isWriting && !this->hasEnded) {
    LogInfo("own_entry_lost", {{"lease", this->lease}});
    this->lease = 0;
    this->nextKeep = this->clock.Now();
  }
}

void DaemonEntry::OnRestored(Random& aRandom) {
  // What is under way is answered as void, and tried again later.
  const Micros spread = FromSeconds(ToSeconds(kRewriteSpread) * aRandom.Unit());
  this->lease = 0;
  this->retryPause = kFirstRetry;
  this->nextKeep = this->clock.Now() + spread;
}

void DaemonEntry::End() {
  if (this->hasEnded) {
    return;
  }
  this->hasEnded = true;
  if (this->lease != 0) {
    this->store.End(this->lease, [](const Result<bool>& aEnded) {
      LogInfo("own_entry_taken_back", {{"told", aEnded.has_value()}});
    });
  }
}

}  // namespace zincstep
