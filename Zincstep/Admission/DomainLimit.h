#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// One organisation's demand at one daemon, as daemons report it to peers.
struct UsageReport {
  /// `OrganisationHash` of the name; full names would make up most of the
  /// gossip message.
  std::uint32_t organisation = 0;
  /// Tokens per second that callers requested there, served or not.
  double demand = 0;
};

/// 32-bit hash that identifies an organisation in messages between peers.
///
/// On a collision the two organisations' demands are added up, which makes both
/// shares smaller: the limits still hold.
std::uint32_t OrganisationHash(const std::string& aName);

/// Settings of the rate limits of a failure domain.
struct DomainLimitSettings {
  /// Time constant of the exponential average of demand.
  Micros demandWindow = 2s;
  /// Time without a report after which a peer is not live.
  Micros peerTimeout = 3s;
  /// Depth of a token bucket, as the time in which its rate fills it.
  Micros burst = 1s;
  /// Share of the limit that is divided equally, so that a daemon without
  /// demand so far can admit requests at once.
  double equalShare = 0.1;
};

/// Enforces organisations' rate limits over all daemons of a failure domain.
///
/// Each daemon has a token bucket with its share of the limit. While all peers
/// are live, shares are proportional to demand, as all daemons divide the same
/// limit by the same reports. If any peer has timed out, its share is unknown,
/// and the daemon falls back to limit / daemons. So the sum stays within the
/// limit on both sides of a partition, at the cost of refusing requests that
/// the other side's unused share could have admitted.
class DomainLimit {
 public:
  explicit DomainLimit(DomainLimitSettings aSettings) : settings(aSettings) {}

  /// Sets the other daemons of the domain, by name.
  void SetPeers(const std::vector<std::string>& aPeers, Instant aNow);
  /// Applies a peer's report of its demands; ignores unknown peers.
  void OnReport(const std::string& aPeer,
                const std::vector<UsageReport>& aReports, Instant aNow);

  /// Admits a request of `aTokens` tokens, or fails with `LimitReached` and a
  /// retry delay. The request counts as demand in both cases.
  ///
  /// `aLimit` is the organisation's limit in tokens per second; 0 is unlimited.
  Result<void> Admit(const std::string& aOrganisation, double aLimit,
                     double aTokens, Instant aNow);
  /// Deducts served tokens. Work in flight can take the bucket below zero.
  void Charge(const std::string& aOrganisation, double aTokens, Instant aNow);

  /// This daemon's demands, for the reports to peers.
  std::vector<UsageReport> Demands(Instant aNow);
  /// This daemon's current share of a limit, in tokens per second.
  double Share(const std::string& aOrganisation, double aLimit, Instant aNow);
  /// Whether every peer has reported within `peerTimeout`.
  bool AreAllPeersLive(Instant aNow) const;

 private:
  struct Bucket {
    double tokens = 0;
    double rate = 0;
    Instant refilledAt;
    bool isInitialised = false;
    double demand = 0;
    Instant demandAt;
  };
  struct Peer {
    Instant lastSeenAt;
    std::map<std::uint32_t, double> demands;
  };

  double DecayedDemand(const Bucket& aBucket, Instant aNow) const;
  void Refill(Bucket& aBucket, double aRate, Instant aNow);

  DomainLimitSettings settings;
  std::map<std::string, Bucket> buckets;
  std::map<std::string, Peer> peers;
};

}  // namespace zincstep
