#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Admission/DecayedRate.h"
#include "Zincstep/Admission/PriorityDemand.h"
#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Tracks which organisations use more than their fair share of a failure
/// domain, from this daemon's requests and the reports of its peers.
///
/// The fair share is the max-min one: the share of an organisation that asks
/// for less than an equal part is divided among the others. While all requests
/// fit, no organisation exceeds its share.
class OrganisationShares {
 public:
  /// Records a request of this daemon's callers, served or not.
  void OnRequest(std::uint32_t aOrganisation, double aTokens, Instant aNow);
  void OnStarted(std::uint32_t aOrganisation, double aTokens);
  void OnEnded(std::uint32_t aOrganisation, double aTokens);
  /// Replaces the demands that a peer of the domain reported.
  void OnReport(const std::string& aPeer,
                const std::vector<OrganisationDemand>& aDemands, Instant aNow);
  /// Removes the reports older than `aMaxAge`, and idle organisations.
  void Tick(Instant aNow, Micros aMaxAge);

  /// Tokens per second that the organisation requests in the domain.
  double Rate(std::uint32_t aOrganisation, Instant aNow) const;
  /// Whether the organisation has or asks for more than its fair share.
  ///
  /// `aCapacity` is the domain's room in tokens, `aResponseSeconds` the mean
  /// duration of a response.
  bool IsOverShare(std::uint32_t aOrganisation, double aCapacity,
                   double aResponseSeconds, Instant aNow);
  /// The `aCount` largest organisations of this daemon, for reports to peers.
  std::vector<OrganisationDemand> Largest(std::size_t aCount,
                                          Instant aNow) const;

 private:
  struct Account {
    DecayedRate rate{2s};
    double used = 0;
  };
  struct Report {
    std::vector<OrganisationDemand> demands;
    Instant at;
  };

  /// Updates `wanted` and `share`; at most once per `kRefreshInterval`.
  void Refresh(double aCapacity, double aResponseSeconds, Instant aNow);

  std::unordered_map<std::uint32_t, Account> accounts;
  std::map<std::string, Report> reports;
  Instant refreshedAt{};
  /// Tokens that each organisation has or would have in flight if all were
  /// served.
  std::unordered_map<std::uint32_t, double> wanted;
  /// Fair share in tokens; infinite while all requests fit.
  double share = 0;
};

}  // namespace zincstep
