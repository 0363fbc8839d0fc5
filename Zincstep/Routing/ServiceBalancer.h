#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// Settings of a service balancer.
struct ServiceBalancerSettings {
  /// Time over which a peak of latency decays.
  Micros decay = 5s;
  Micros firstLatency = 5ms;
  /// Failures in a row that eject a replica.
  int failuresToEject = 3;
  Micros initialEjection = 1s;
  Micros maxEjection = 30s;
  /// Share of the replicas that may be ejected.
  double maxEjected = 0.5;
  /// A replica elsewhere counts as this much more latency.
  Micros otherDomainCost = 2ms;
};

/// Chooses replicas of a plain service.
///
/// Power of two choices over peak-EWMA latency times outstanding calls, as
/// in Finagle and Linkerd: a latency above the average counts at once, and
/// one below it only as time passes. Failing replicas are ejected for a
/// growing time, but never more than a share of them: if most fail, the
/// fault lies elsewhere.
class ServiceBalancer {
 public:
  ServiceBalancer(std::vector<ServiceReplica> aReplicas, std::string aOwnDomain,
                  ServiceBalancerSettings aSettings);

  /// A replica for a call, without `aExcluded`; none where all are gone.
  std::optional<int> Choose(Instant aNow, Random& aRandom,
                            const std::vector<int>& aExcluded);
  void OnStart(int aReplica);
  /// A call has ended; `aFailed` where the replica is to blame.
  void OnEnd(int aReplica, Micros aLatency, bool aFailed, Instant aNow);
  /// The replica leaves; this cannot be taken back.
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
  void NoteLatency(Row& aRow, Micros aLatency, Instant aNow);
  void NoteFailure(Row& aRow, Instant aNow);
  std::vector<int> Candidates(Instant aNow,
                              const std::vector<int>& aExcluded) const;

  std::vector<ServiceReplica> replicas;
  std::string ownDomain;
  ServiceBalancerSettings settings;
  std::vector<Row> rows;
};

}  // namespace zincstep
