#include "Zincstep/Edge/DaemonEntry.h"

#include <cstring>
#include <nlohmann/json.hpp>

namespace zincstep {

namespace {

/// Life of a daemon's entry; a dead peer costs a message that is lost.
constexpr Micros kEntryLife = 12s;
/// Renewals come three to a life.
constexpr Micros kEntryKeep = 4s;
constexpr Micros kEntryRetry = 1s;
constexpr const char* kAddressField = "peer";
constexpr const char* kDomainField = "failure_domain";

}  // namespace

std::optional<DaemonEntry::Text> DaemonEntry::Read(const std::string& aKey,
                                                   const std::string& aValue) {
  if (!aKey.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(aValue, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return Text{aKey.substr(std::strlen(kPrefix)), json.value(kAddressField, ""),
              json.value(kDomainField, "")};
}

void DaemonEntry::Keep() {
  const Instant now = this->clock.Now();
  if (this->isWriting || now < this->nextKeep) {
    return;
  }
  this->isWriting = true;
  this->nextKeep = now + kEntryKeep;
  if (this->lease == 0) {
    this->store.Grant(kEntryLife, [this](Result<std::uint64_t> aLease) {
      this->isWriting = false;
      if (!aLease) {
        this->nextKeep = this->clock.Now() + kEntryRetry;
        return;
      }
      this->lease = *aLease;
      this->Write();
    });
    return;
  }
  this->store.Renew(this->lease, [this](Result<bool> aRenewed) {
    this->isWriting = false;
    if (!aRenewed && aRenewed.error().kind == ErrorKind::LeaseLost) {
      this->lease = 0;
      this->nextKeep = this->clock.Now();
    }
  });
}

void DaemonEntry::Write() {
  StoreChange change;
  change.key = this->settings.storePrefix + kPrefix + this->settings.name;
  change.value = nlohmann::json{{kAddressField, this->settings.peerListen},
                                {kDomainField, this->settings.failureDomain}}
                     .dump();
  change.lease = this->lease;
  this->isWriting = true;
  this->store.Commit(change, [this, change](Result<StoreCommit> aDone) {
    if (aDone && aDone->present) {
      // An entry of this VM's earlier process: it is replaced.
      StoreChange again = change;
      again.expected = aDone->present->revision;
      this->store.Commit(again, [this](Result<StoreCommit> aAgain) {
        this->isWriting = false;
        if (!aAgain || !aAgain->done) {
          this->lease = 0;
          this->nextKeep = this->clock.Now() + kEntryRetry;
        }
      });
      return;
    }
    this->isWriting = false;
    if (!aDone) {
      this->lease = 0;
      this->nextKeep = this->clock.Now() + kEntryRetry;
    }
  });
}

}  // namespace zincstep
