#include "Zincstep/Routing/ServiceBalancer.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;

bool Contains(const std::vector<int>& aList, int aValue) {
  return std::find(aList.begin(), aList.end(), aValue) != aList.end();
}

}  // namespace

ServiceBalancer::ServiceBalancer(std::vector<ServiceReplica> aReplicas,
                                 std::string aLocalDomain,
                                 ServiceBalancerSettings aSettings)
    : replicas(std::move(aReplicas)),
      localDomain(std::move(aLocalDomain)),
      settings(aSettings),
      rows(this->replicas.size()) {
  for (Row& row : this->rows) {
    row.latency = static_cast<double>(aSettings.initialLatency.count());
  }
}

std::vector<int> ServiceBalancer::Candidates(
    Instant aNow, const std::vector<int>& aExcluded) const {
  std::vector<int> usable;
  std::vector<int> ejected;
  for (std::size_t i = 0; i < this->rows.size(); ++i) {
    const int replica = static_cast<int>(i);
    if (this->rows[i].leaving || Contains(aExcluded, replica)) {
      continue;
    }
    (this->IsEjected(replica, aNow) ? ejected : usable).push_back(replica);
  }
  const auto all = static_cast<double>(usable.size() + ejected.size());
  const bool isLimitExceeded = static_cast<double>(ejected.size()) >
                               this->settings.maxEjectedShare * all;
  if (isLimitExceeded || usable.empty()) {
    usable.insert(usable.end(), ejected.begin(), ejected.end());
  }
  return usable;
}

double ServiceBalancer::Cost(int aReplica, Instant aNow) const {
  const Row& row = this->At(aReplica);
  const double age = ToSeconds(aNow - row.latencyAt);
  const double decayed =
      row.latency * std::exp(-age / ToSeconds(this->settings.decay));
  const auto& replica = this->replicas[static_cast<std::size_t>(aReplica)];
  const double penalty =
      replica.failureDomain == this->localDomain
          ? 0
          : static_cast<double>(this->settings.remoteDomainPenalty.count());
  return (decayed + penalty) * (row.outstanding + 1);
}

std::optional<int> ServiceBalancer::Choose(Instant aNow, Random& aRandom,
                                           const std::vector<int>& aExcluded) {
  const std::vector<int> usable = this->Candidates(aNow, aExcluded);
  if (usable.empty()) {
    return std::nullopt;
  }
  const int first = usable[aRandom.Below(usable.size())];
  const int second = usable[aRandom.Below(usable.size())];
  return this->Cost(first, aNow) <= this->Cost(second, aNow) ? first : second;
}

void ServiceBalancer::OnStart(int aReplica) {
  this->At(aReplica).outstanding += 1;
}

void ServiceBalancer::RecordLatency(Row& aRow, Micros aLatency, Instant aNow) {
  const auto sample = static_cast<double>(aLatency.count());
  const double age = ToSeconds(aNow - aRow.latencyAt);
  const double oldWeight = std::exp(-age / ToSeconds(this->settings.decay));
  aRow.latency = sample > aRow.latency
                     ? sample
                     : aRow.latency * oldWeight + sample * (1 - oldWeight);
  aRow.latencyAt = aNow;
}

void ServiceBalancer::RecordFailure(Row& aRow, Instant aNow) {
  aRow.failures += 1;
  if (aRow.failures < this->settings.failuresToEject) {
    return;
  }
  const int doublings = std::min(aRow.ejections, kMaxDoublings);
  const Micros duration =
      std::min(this->settings.initialEjection * (1 << doublings),
               this->settings.maxEjection);
  aRow.ejectedUntil = aNow + duration;
  aRow.ejections += 1;
  // A single failure after the ejection causes the next one.
  aRow.failures = this->settings.failuresToEject - 1;
}

void ServiceBalancer::OnEnd(int aReplica, Micros aLatency, bool aFailed,
                            Instant aNow) {
  Row& row = this->At(aReplica);
  ZINCSTEP_ASSERT(row.outstanding > 0);
  row.outstanding -= 1;
  if (aFailed) {
    this->RecordFailure(row, aNow);
    return;
  }
  row.failures = 0;
  row.ejections = 0;
  this->RecordLatency(row, aLatency, aNow);
}

}  // namespace zincstep
