#include "Zincstep/Cluster/CountedStore.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Interval between log lines of call counts; short enough to tell an outage
/// from idle time.
constexpr Micros kLogInterval = 10s;

}  // namespace

void CountedStore::Range(const std::string& aPrefix, Done<StoreRange> aDone) {
  this->Count(StoreCall::Range);
  this->store.Range(aPrefix, std::move(aDone));
}

void CountedStore::RangeStale(const std::string& aPrefix, StalePages aPages,
                              Done<StoreRange> aDone) {
  this->Count(StoreCall::RangeStale);
  this->store.RangeStale(aPrefix, aPages, std::move(aDone));
}

void CountedStore::Watch(const std::string& aPrefix, StoreRevision aAfter,
                         Micros aWait, Done<StoreEvents> aDone) {
  this->Count(StoreCall::Watch);
  this->store.Watch(aPrefix, aAfter, aWait, std::move(aDone));
}

void CountedStore::Commit(StoreChange aChange, Done<StoreCommit> aDone) {
  this->Count(aChange.value ? StoreCall::Change : StoreCall::Check);
  this->store.Commit(std::move(aChange), std::move(aDone));
}

void CountedStore::WriteAll(StoreWrites aWrites, Done<StoreRevision> aDone) {
  this->Count(StoreCall::Change);
  this->store.WriteAll(std::move(aWrites), std::move(aDone));
}

void CountedStore::Grant(Micros aTtl, Done<std::uint64_t> aDone) {
  this->Count(StoreCall::Grant);
  this->store.Grant(aTtl, std::move(aDone));
}

void CountedStore::Renew(std::uint64_t aLease, Done<bool> aDone) {
  this->Count(StoreCall::Renew);
  this->store.Renew(aLease, std::move(aDone));
}

void CountedStore::End(std::uint64_t aLease, Done<bool> aDone) {
  this->Count(StoreCall::End);
  this->store.End(aLease, std::move(aDone));
}

void CountedStore::Count(StoreCall aCall) {
  this->counts[static_cast<std::size_t>(aCall)] += 1;
  this->metrics.Count("zincstep_store_calls_total",
                      {{"call", std::string(NameIn(kStoreCallNames, aCall))}});
}

void CountedStore::Tick() {
  const Instant now = this->clock.Now();
  const bool hasCalls = std::any_of(this->counts.begin(), this->counts.end(),
                                    [](int aCount) { return aCount > 0; });
  if (now < this->nextLogAt || !hasCalls) {
    return;
  }
  const auto count = [this](StoreCall aCall) {
    return this->counts[static_cast<std::size_t>(aCall)];
  };
  LogInfo("store_calls", {{"range", count(StoreCall::Range)},
                          {"range_stale", count(StoreCall::RangeStale)},
                          {"watch", count(StoreCall::Watch)},
                          {"check", count(StoreCall::Check)},
                          {"change", count(StoreCall::Change)},
                          {"grant", count(StoreCall::Grant)},
                          {"renew", count(StoreCall::Renew)},
                          {"end", count(StoreCall::End)}});
  this->counts.fill(0);
  this->nextLogAt = now + kLogInterval;
}

}  // namespace zincstep
