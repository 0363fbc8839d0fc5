#pragma once

#include <array>
#include <cstddef>

#include "Zincstep/Cluster/AsyncStore.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Kinds of calls to the store.
enum class StoreCall {
  Range,
  RangeStale,
  Watch,
  Check,
  Change,
  Grant,
  Renew,
  End
};

inline constexpr NameTable<StoreCall, 8> kStoreCallNames{{
    {StoreCall::Range, "range"},
    {StoreCall::RangeStale, "range_stale"},
    {StoreCall::Watch, "watch"},
    {StoreCall::Check, "check"},
    {StoreCall::Change, "change"},
    {StoreCall::Grant, "grant"},
    {StoreCall::Renew, "renew"},
    {StoreCall::End, "end"},
}};

/// Counts this daemon's calls to the store by kind.
///
/// The store's call rate is shared by all daemons, so the contribution of each
/// is exported separately.
class CountedStore final : public AsyncStore {
 public:
  CountedStore(AsyncStore& aStore, Metrics& aMetrics, const Clock& aClock)
      : store(aStore), metrics(aMetrics), clock(aClock) {}

  void Range(const std::string& aPrefix, Done<StoreRange> aDone) override;
  void RangeStale(const std::string& aPrefix, StalePages aPages,
                  Done<StoreRange> aDone) override;
  void Watch(const std::string& aPrefix, StoreRevision aAfter, Micros aWait,
             Done<StoreEvents> aDone) override;
  void Commit(StoreChange aChange, Done<StoreCommit> aDone) override;
  void WriteAll(StoreWrites aWrites, Done<StoreRevision> aDone) override;
  void Grant(Micros aTtl, Done<std::uint64_t> aDone) override;
  void Renew(std::uint64_t aLease, Done<bool> aDone) override;
  void End(std::uint64_t aLease, Done<bool> aDone) override;

  /// Logs the calls since the last log line, if any, at intervals; call
  /// periodically, several times per second.
  void Tick();

 private:
  void Count(StoreCall aCall);

  AsyncStore& store;
  Metrics& metrics;
  const Clock& clock;
  std::array<int, kStoreCallNames.size()> counts{};
  Instant nextLogAt{};
};

}  // namespace zincstep
