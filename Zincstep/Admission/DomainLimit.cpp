#include "Zincstep/Admission/DomainLimit.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Smaller demands are left out of the reports, in tokens per second.
constexpr double kMinReportedDemand = 0.5;

}  // namespace

std::uint32_t OrganisationHash(const std::string& aName) {
  return static_cast<std::uint32_t>(Hash64(aName));
}

void DomainLimit::SetPeers(const std::vector<std::string>& aPeers,
                           Instant aNow) {
  std::map<std::string, Peer> next;
  for (const std::string& name : aPeers) {
    const auto found = this->peers.find(name);
    // A new peer is not live until its first report.
    next[name] = found == this->peers.end()
                     ? Peer{aNow - 2 * this->settings.peerTimeout, {}}
                     : found->second;
  }
  this->peers = std::move(next);
}

void DomainLimit::OnReport(const std::string& aPeer,
                           const std::vector<UsageReport>& aReports,
                           Instant aNow) {
  const auto found = this->peers.find(aPeer);
  if (found == this->peers.end()) {
    return;
  }
  found->second.lastSeenAt = aNow;
  found->second.demands.clear();
  for (const UsageReport& report : aReports) {
    found->second.demands[report.organisation] = report.demand;
  }
}

bool DomainLimit::AreAllPeersLive(Instant aNow) const {
  return std::all_of(
      this->peers.begin(), this->peers.end(), [&](const auto& aEntry) {
        return aNow - aEntry.second.lastSeenAt <= this->settings.peerTimeout;
      });
}

double DomainLimit::DecayedDemand(const Bucket& aBucket, Instant aNow) const {
  const double age = ToSeconds(aNow - aBucket.demandAt);
  return aBucket.demand *
         std::exp(-age / ToSeconds(this->settings.demandWindow));
}

double DomainLimit::Share(const std::string& aOrganisation, double aLimit,
                          Instant aNow) {
  const auto daemons = static_cast<double>(this->peers.size() + 1);
  const double equal = aLimit / daemons;
  if (!this->AreAllPeersLive(aNow)) {
    return equal;
  }
  const double local = this->DecayedDemand(this->buckets[aOrganisation], aNow);
  double total = local;
  const std::uint32_t hash = OrganisationHash(aOrganisation);
  for (const auto& [name, peer] : this->peers) {
    const auto found = peer.demands.find(hash);
    total += found == peer.demands.end() ? 0 : found->second;
  }
  if (total <= 0) {
    return equal;
  }
  const double equalShare = this->settings.equalShare;
  return equal * equalShare + aLimit * (1 - equalShare) * local / total;
}

void DomainLimit::Refill(Bucket& aBucket, double aRate, Instant aNow) {
  const double depth = aRate * ToSeconds(this->settings.burst);
  if (!aBucket.isInitialised) {
    aBucket.isInitialised = true;
    aBucket.tokens = depth;
  } else {
    const double age = ToSeconds(aNow - aBucket.refilledAt);
    aBucket.tokens = std::min(depth, aBucket.tokens + aRate * age);
  }
  aBucket.rate = aRate;
  aBucket.refilledAt = aNow;
}

Result<void> DomainLimit::Admit(const std::string& aOrganisation, double aLimit,
                                double aTokens, Instant aNow) {
  Bucket& bucket = this->buckets[aOrganisation];
  const double window = ToSeconds(this->settings.demandWindow);
  bucket.demand = this->DecayedDemand(bucket, aNow) + aTokens / window;
  bucket.demandAt = aNow;
  if (aLimit <= 0) {
    return {};
  }
  this->Refill(bucket, this->Share(aOrganisation, aLimit, aNow), aNow);
  if (bucket.tokens > 0) {
    return {};
  }
  const Micros wait = FromSeconds((1 - bucket.tokens) / bucket.rate);
  return tl::unexpected<Error>(
      Error{ErrorKind::LimitReached,
            "the organisation's limit of tokens per second is reached",
            std::clamp<Micros>(wait, 100ms, 60s)});
}

void DomainLimit::Charge(const std::string& aOrganisation, double aTokens,
                         Instant) {
  Bucket& bucket = this->buckets[aOrganisation];
  if (bucket.isInitialised) {
    bucket.tokens -= aTokens;
  }
}

std::vector<UsageReport> DomainLimit::Demands(Instant aNow) {
  std::vector<UsageReport> reports;
  for (const auto& [name, bucket] : this->buckets) {
    const double demand = this->DecayedDemand(bucket, aNow);
    if (demand >= kMinReportedDemand) {
      reports.push_back({OrganisationHash(name), demand});
    }
  }
  return reports;
}

}  // namespace zincstep
