#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// One organisation's use at one daemon, as peers tell each other.
struct UsageReport {
  /// `OrganisationHash` of its name: names would be most of the gossip.
  std::uint32_t organisation = 0;
  /// Tokens a second that callers have asked for there, served or not.
  double demand = 0;
};

/// Number that stands for an organisation between peers.
///
/// Two names with one number would have their demands added, which makes
/// both shares smaller: an error to the safe side.
std::uint32_t OrganisationHash(const std::string& aName);

/// Settings of the limits that hold over a failure domain.
struct DomainLimitSettings {
  /// Time over which demand is averaged.
  Micros demandWindow = 2s;
  /// A peer that is silent for longer has not been heard.
  Micros peerTimeout = 3s;
  /// Time for which a bucket may save up its rate.
  Micros burst = 1s;
  /// Share of the limit that is divided equally, so that a daemon with no
  /// demand yet can begin at once.
  double equalShare = 0.1;
};

/// Keeps organisations' limits over all daemons of a failure domain.
///
/// Each daemon has a bucket of its share of the limit. While all peers are
/// heard the share follows demand: everybody divides the same limit by the
/// same reports. When any peer is silent, a daemon cannot know what that
/// one allows itself, and everybody falls back to limit / daemons: the sum
/// stays within the limit on both sides of a cut, at the price of refusing
/// work that the other side's share would have had room for.
class DomainLimit {
 public:
  explicit DomainLimit(DomainLimitSettings aSettings) : settings(aSettings) {}

  /// Sets the other daemons of the domain, by name.
  void SetPeers(const std::vector<std::string>& aPeers, Instant aNow);
  /// A peer has told its demands.
  void OnReport(const std::string& aPeer,
                const std::vector<UsageReport>& aReports, Instant aNow);

  /// Whether a request of so many tokens may begin; counts as demand.
  ///
  /// `aLimit` is the organisation's, in tokens a second; 0 means none.
  Result<void> Admit(const std::string& aOrganisation, double aLimit,
                     double aTokens, Instant aNow);
  /// Tokens were served; the bucket may go below zero by work in flight.
  void Charge(const std::string& aOrganisation, double aTokens, Instant aNow);

  /// Own demands, to be told to peers.
  std::vector<UsageReport> Demands(Instant aNow);
  /// This daemon's share of a limit now, in tokens a second.
  double Share(const std::string& aOrganisation, double aLimit, Instant aNow);
  /// Whether all peers are heard.
  bool AreAllPeersLive(Instant aNow) const;

 private:
  struct Bucket {
    double tokens = 0;
    double rate = 0;
    Instant filledAt;
    bool isFilled = false;
    double demand = 0;
    Instant demandAt;
  };
  struct Peer {
    Instant lastSeenAt;
    std::map<std::uint32_t, double> demands;
  };

  double DecayedDemand(const Bucket& aBucket, Instant aNow) const;
  void Fill(Bucket& aBucket, double aRate, Instant aNow);

  DomainLimitSettings settings;
  std::map<std::string, Bucket> buckets;
  std::map<std::string, Peer> peers;
};

}  // namespace zincstep
