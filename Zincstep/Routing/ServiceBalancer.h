#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// Settings of a service balancer.
struct ServiceBalancerSettings {
  /// Time constant by which the latency average decays.
  Micros decay = 5s;
  /// Assumed latency before the first sample.
  Micros initialLatency = 5ms;
  /// Consecutive failures that eject a replica.
  int failuresToEject = 3;
  Micros initialEjection = 1s;
  Micros maxEjection = 30s;
  /// Maximum share of ejected replicas; above it, ejections are ignored.
  double maxEjectedShare = 0.5;
  /// Latency added to replicas of another failure domain.
  Micros remoteDomainPenalty = 2ms;
};

/// Chooses replicas of a plain service.
///
/// Power of two choices over peak-EWMA latency times outstanding calls, as in
/// Finagle and Linkerd: a latency above the average replaces it at once, one
/// below it lowers it over time. Failing replicas are ejected for a growing
/// time, but only up to a share of them: if most fail, the cause lies
/// elsewhere.
class ServiceBalancer {
 public:
  ServiceBalancer(std::vector<ServiceReplica> aReplicas,
                  std::string aLocalDomain, ServiceBalancerSettings aSettings);

  /// Chooses a replica that is not in `aExcluded`; empty if none is left.
  std::optional<int> Choose(Instant aNow, Random& aRandom,
                            const std::vector<int>& aExcluded);
  /// Records the start of a call.
  void OnStart(int aReplica);
  /// Records the end of a call; `aFailed` if the replica is at fault.
  void OnEnd(int aReplica, Micros aLatency, bool aFailed, Instant aNow);
  /// Marks the replica as leaving; irreversible.
  void SetLeaving(int aReplica) { this->At(aReplica).leaving = true; }

  const std::vector<ServiceReplica>& Replicas() const { return this->replicas; }
  bool IsEjected(int aReplica, Instant aNow) const {
    return this->At(aReplica).ejectedUntil > aNow;
  }
  int Outstanding(int aReplica) const { return this->At(aReplica).outstanding; }

 private:
  struct Row {
    double latency = 0;
    Instant latencyAt;
    int outstanding = 0;
    int failures = 0;
    int ejections = 0;
    Instant ejectedUntil;
    bool leaving = false;
  };

  Row& At(int aReplica) {
    return this->rows.at(static_cast<std::size_t>(aReplica));
  }
  const Row& At(int aReplica) const {
    return this->rows.at(static_cast<std::size_t>(aReplica));
  }
  double Cost(int aReplica, Instant aNow) const;
  void RecordLatency(Row& aRow, Micros aLatency, Instant aNow);
  void RecordFailure(Row& aRow, Instant aNow);
  std::vector<int> Candidates(Instant aNow,
                              const std::vector<int>& aExcluded) const;

  std::vector<ServiceReplica> replicas;
  std::string localDomain;
  ServiceBalancerSettings settings;
  std::vector<Row> rows;
};

}  // namespace zincstep
