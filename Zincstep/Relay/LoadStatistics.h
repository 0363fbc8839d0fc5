#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Number of error kinds; `Internal` is the last one.
inline constexpr std::size_t kErrorKinds =
    static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// A rate with exponential decay by age.
class DecayingRate {
 public:
  void Add(double aAmount, Instant aNow);
  double PerSecond(Instant aNow) const;

 private:
  double decayed = 0;
  Instant decayedAt{};
};

/// Counts of a group of requests; totals are since the start of the daemon.
struct LoadCounts {
  DecayingRate requestRate;
  DecayingRate tokenRate;
  std::uint64_t requests = 0;
  double tokens = 0;
  /// Requests that were sent to an upstream and have not ended.
  int inFlight = 0;
  /// Admitted requests that were not sent to any upstream yet.
  int waiting = 0;
  /// Requests whose first run started in another failure domain.
  std::uint64_t startedElsewhere = 0;
  /// First events over the latency objective of the route. For a plain service
  /// the response counts instead.
  std::uint64_t lateFirstEvents = 0;
  /// Gaps between events over the route's `longestPause`.
  std::uint64_t longGaps = 0;
  /// Requests that this daemon answered with an error, by `ErrorKind`.
  std::array<std::uint32_t, kErrorKinds> refused{};
};

/// Settings of the load statistics.
struct LoadStatisticsSettings {
  /// Failure domain of this daemon.
  std::string failureDomain;
  /// Number of organisations that are counted. A new one replaces the smallest.
  std::size_t trackedOrganisations = 64;
  /// Number of organisations that are reported, the largest ones.
  std::size_t reportedOrganisations = 16;
  /// Number of failure domains that are counted; the others are counted as one.
  std::size_t maxDomains = 64;
};

/// Counts requests by priority, failure domain that serves them, and
/// organisation, for operators. Its memory does not grow with the number of
/// organisations.
class LoadStatistics {
 public:
  /// A request as the statistics count it; kept by its exchange.
  class Entry {
   public:
    /// Whether the request was counted and has not ended.
    bool IsOpen() const { return this->isOpen; }

   private:
    friend class LoadStatistics;
    bool isOpen = false;
    bool isSent = false;
    std::size_t priority = 0;
    std::size_t domain = 0;
    /// Position and generation of the organisation's counts; of no effect once
    /// another organisation has replaced it.
    std::size_t organisation = 0;
    std::uint64_t generation = 0;
    double tokens = 0;
  };

  explicit LoadStatistics(LoadStatisticsSettings aSettings);

  /// Counts an admitted request as waiting. `aTokens` is 0 for plain services.
  void OnArrival(Entry& aEntry, int aPriority, std::string_view aOrganisation,
                 double aTokens, Instant aNow);
  /// Counts that a request is sent to an upstream of `aDomain`, for the first
  /// time or again.
  void OnSent(Entry& aEntry, std::string_view aDomain, Instant aNow);
  /// Counts a first event that was later than the objective.
  void OnLateFirstEvent(const Entry& aEntry);
  /// Counts a gap over the limit.
  void OnLongGap(const Entry& aEntry);
  /// Counts that a request is refused; `OnEnd` has to follow.
  void OnRefused(const Entry& aEntry, ErrorKind aReason);
  /// Counts a request that was refused before its route or key was known.
  void OnRefusedUnadmitted(ErrorKind aReason);
  /// Counts the end of a request; has no effect on one that has ended.
  void OnEnd(Entry& aEntry);

  /// Returns all counts as the operators' page has them.
  nlohmann::json Status(Instant aNow) const;
  /// Writes all counts to `aMetrics`, which has none of them yet.
  void Report(Metrics& aMetrics, Instant aNow) const;
  /// Number of organisations that are counted now.
  std::size_t TrackedOrganisations() const {
    return this->organisations.size();
  }

 private:
  static constexpr std::size_t kPriorities = 10;

  struct NamedCounts {
    std::string name;
    LoadCounts counts;
  };
  struct Organisation {
    std::string name;
    std::uint64_t hash = 0;
    std::uint64_t generation = 0;
    LoadCounts counts;
  };

  /// Applies `aChange` to the counts of the request's priority, organisation
  /// and, if it was sent, failure domain.
  template <class Change>
  void Apply(const Entry& aEntry, Change aChange);
  /// Returns the counts of the request's organisation, or null if another one
  /// has replaced it.
  LoadCounts* OrganisationOf(const Entry& aEntry);
  std::size_t FindOrganisation(std::string_view aName, Instant aNow);
  std::size_t FindDomain(std::string_view aName);
  /// The largest organisations, by tokens per second and then by requests.
  std::vector<const Organisation*> Largest(Instant aNow) const;

  LoadStatisticsSettings settings;
  std::array<LoadCounts, kPriorities> priorities;
  std::vector<NamedCounts> domains;
  std::vector<Organisation> organisations;
  std::uint64_t lastGeneration = 0;
  std::array<std::uint32_t, kErrorKinds> refusedUnadmitted{};
};

}  // namespace zincstep
