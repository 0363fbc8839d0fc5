#include "Zincstep/Admission/OrganisationShares.h"

#include <algorithm>
#include <limits>

namespace zincstep {

namespace {

/// Interval between updates of the shares, which change with the reports.
constexpr Micros kRefreshInterval = 100ms;
/// Demand in tokens per second below which an organisation without requests in
/// flight is idle.
constexpr double kIdleDemand = 1;

}  // namespace

void OrganisationShares::OnRequest(std::uint32_t aOrganisation, double aTokens,
                                   Instant aNow) {
  this->accounts[aOrganisation].rate.Add(aTokens, aNow);
}

void OrganisationShares::OnStarted(std::uint32_t aOrganisation,
                                   double aTokens) {
  this->accounts[aOrganisation].used += aTokens;
}

void OrganisationShares::OnEnded(std::uint32_t aOrganisation, double aTokens) {
  Account& account = this->accounts[aOrganisation];
  account.used = std::max(0.0, account.used - aTokens);
}

void OrganisationShares::OnReport(
    const std::string& aPeer, const std::vector<OrganisationDemand>& aDemands,
    Instant aNow) {
  this->reports[aPeer] = {aDemands, aNow};
}

void OrganisationShares::Tick(Instant aNow, Micros aMaxAge) {
  std::erase_if(this->reports, [&](const auto& aEntry) {
    return aNow - aEntry.second.at > aMaxAge;
  });
  std::erase_if(this->accounts, [&](const auto& aEntry) {
    return aEntry.second.used <= 0 &&
           aEntry.second.rate.Decayed(aNow) < kIdleDemand;
  });
}

double OrganisationShares::Rate(std::uint32_t aOrganisation,
                                Instant aNow) const {
  const auto own = this->accounts.find(aOrganisation);
  double rate =
      own == this->accounts.end() ? 0 : own->second.rate.Decayed(aNow);
  for (const auto& [peer, report] : this->reports) {
    for (const OrganisationDemand& demand : report.demands) {
      rate += demand.organisation == aOrganisation ? demand.demand : 0;
    }
  }
  return rate;
}

void OrganisationShares::Refresh(double aCapacity, double aResponseSeconds,
                                 Instant aNow) {
  if (aNow - this->refreshedAt < kRefreshInterval) {
    return;
  }
  this->refreshedAt = aNow;
  this->wanted.clear();
  std::unordered_map<std::uint32_t, double> used;
  for (const auto& [organisation, account] : this->accounts) {
    this->wanted[organisation] += account.rate.Decayed(aNow) * aResponseSeconds;
    used[organisation] += account.used;
  }
  for (const auto& [peer, report] : this->reports) {
    for (const OrganisationDemand& demand : report.demands) {
      this->wanted[demand.organisation] += demand.demand * aResponseSeconds;
      used[demand.organisation] += demand.used;
    }
  }
  std::vector<double> ascending;
  ascending.reserve(this->wanted.size());
  for (auto& [organisation, tokens] : this->wanted) {
    tokens = std::max(tokens, used[organisation]);
    ascending.push_back(tokens);
  }
  std::sort(ascending.begin(), ascending.end());
  double left = aCapacity;
  std::size_t others = ascending.size();
  this->share = std::numeric_limits<double>::infinity();
  for (const double tokens : ascending) {
    const double equal = left / static_cast<double>(others);
    if (tokens > equal) {
      this->share = equal;
      break;
    }
    left -= tokens;
    others -= 1;
  }
}

bool OrganisationShares::IsOverShare(std::uint32_t aOrganisation,
                                     double aCapacity, double aResponseSeconds,
                                     Instant aNow) {
  this->Refresh(aCapacity, aResponseSeconds, aNow);
  const auto found = this->wanted.find(aOrganisation);
  return aCapacity > 0 && found != this->wanted.end() &&
         found->second > this->share;
}

std::vector<OrganisationDemand> OrganisationShares::Largest(
    std::size_t aCount, Instant aNow) const {
  std::vector<OrganisationDemand> demands;
  demands.reserve(this->accounts.size());
  for (const auto& [organisation, account] : this->accounts) {
    demands.push_back({organisation, account.rate.Decayed(aNow), account.used});
  }
  const std::size_t count = std::min(aCount, demands.size());
  std::partial_sort(
      demands.begin(), demands.begin() + static_cast<std::ptrdiff_t>(count),
      demands.end(),
      [](const OrganisationDemand& aOne, const OrganisationDemand& aOther) {
        const double one = aOne.used + aOne.demand;
        const double other = aOther.used + aOther.demand;
        return one != other ? one > other
                            : aOne.organisation < aOther.organisation;
      });
  demands.resize(count);
  return demands;
}

}  // namespace zincstep
