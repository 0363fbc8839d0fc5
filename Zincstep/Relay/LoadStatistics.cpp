#include "Zincstep/Relay/LoadStatistics.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Averaging time of the rates, in seconds: a burst of 3 to 6 s shows, and two
/// views of the page seconds apart can be compared.
constexpr double kAverageSeconds = 5;
/// Name of the failure domains beyond the bound.
constexpr const char* kOtherDomains = "other";

using Json = nlohmann::json;
using Refused = std::array<std::uint32_t, kErrorKinds>;

std::string NameOfReason(std::size_t aIndex) {
  return std::string(ErrorInfoFor(static_cast<ErrorKind>(aIndex)).name);
}

Json ToJson(const Refused& aRefused) {
  Json object = Json::object();
  for (std::size_t i = 0; i < aRefused.size(); ++i) {
    if (aRefused[i] > 0) {
      object[NameOfReason(i)] = aRefused[i];
    }
  }
  return object;
}

/// Rounds to a thousandth, so that the page stays readable.
double Rounded(double aValue) { return std::round(aValue * 1000) / 1000; }

Json ToJson(const LoadCounts& aCounts, Instant aNow) {
  return {{"requests_per_second", Rounded(aCounts.requestRate.PerSecond(aNow))},
          {"tokens_per_second", Rounded(aCounts.tokenRate.PerSecond(aNow))},
          {"requests", aCounts.requests},
          {"tokens", Rounded(aCounts.tokens)},
          {"in_flight", aCounts.inFlight},
          {"waiting", aCounts.waiting},
          {"started_elsewhere", aCounts.startedElsewhere},
          {"refused", ToJson(aCounts.refused)},
          {"late_first_events", aCounts.lateFirstEvents},
          {"long_gaps", aCounts.longGaps}};
}

/// Writes the counts of a group to the metrics; `aGroup` is a part of their
/// names and the name of the label.
void ReportGroup(Metrics& aMetrics, const std::string& aGroup,
                 const std::string& aValue, const LoadCounts& aCounts,
                 Instant aNow) {
  const std::string prefix = "zincstep_" + aGroup + "_";
  const Metrics::Labels labels{{aGroup, aValue}};
  const auto total = [&](const char* aName, double aTotal) {
    aMetrics.Count(prefix + aName, labels, aTotal);
  };
  total("requests_total", static_cast<double>(aCounts.requests));
  total("tokens_total", aCounts.tokens);
  total("started_elsewhere_total",
        static_cast<double>(aCounts.startedElsewhere));
  total("late_first_events_total",
        static_cast<double>(aCounts.lateFirstEvents));
  total("long_gaps_total", static_cast<double>(aCounts.longGaps));
  for (std::size_t i = 0; i < aCounts.refused.size(); ++i) {
    if (aCounts.refused[i] > 0) {
      aMetrics.Count(prefix + "refused_total",
                     {{aGroup, aValue}, {"reason", NameOfReason(i)}},
                     aCounts.refused[i]);
    }
  }
  aMetrics.Set(prefix + "tokens_per_second", aCounts.tokenRate.PerSecond(aNow),
               labels);
  aMetrics.Set(prefix + "in_flight", aCounts.inFlight, labels);
  aMetrics.Set(prefix + "waiting", aCounts.waiting, labels);
}

}  // namespace

void DecayingRate::Add(double aAmount, Instant aNow) {
  this->decayed = this->PerSecond(aNow) * kAverageSeconds + aAmount;
  this->decayedAt = aNow;
}

double DecayingRate::PerSecond(Instant aNow) const {
  const double age = std::max(0.0, ToSeconds(aNow - this->decayedAt));
  return this->decayed * std::exp(-age / kAverageSeconds) / kAverageSeconds;
}

LoadStatistics::LoadStatistics(LoadStatisticsSettings aSettings)
    : settings(std::move(aSettings)) {
  ZINCSTEP_ASSERT(this->settings.trackedOrganisations > 0);
  // Entries hold positions, and a request must not copy the tables.
  this->organisations.reserve(this->settings.trackedOrganisations);
}

template <class Change>
void LoadStatistics::Apply(const Entry& aEntry, Change aChange) {
  aChange(this->priorities[aEntry.priority]);
  if (LoadCounts* const counts = this->OrganisationOf(aEntry)) {
    aChange(*counts);
  }
  if (aEntry.isSent) {
    aChange(this->domains[aEntry.domain].counts);
  }
}

LoadCounts* LoadStatistics::OrganisationOf(const Entry& aEntry) {
  if (aEntry.generation == 0) {
    return nullptr;
  }
  Organisation& organisation = this->organisations[aEntry.organisation];
  return organisation.generation == aEntry.generation ? &organisation.counts
                                                      : nullptr;
}

std::size_t LoadStatistics::FindOrganisation(std::string_view aName,
                                             Instant aNow) {
  const std::uint64_t hash = Hash64(aName);
  for (std::size_t i = 0; i < this->organisations.size(); ++i) {
    if (this->organisations[i].hash == hash &&
        this->organisations[i].name == aName) {
      return i;
    }
  }
  std::size_t position = this->organisations.size();
  if (position < this->settings.trackedOrganisations) {
    this->organisations.emplace_back();
  } else {
    const auto size = [aNow](const Organisation& aOrganisation) {
      return std::pair(aOrganisation.counts.tokenRate.PerSecond(aNow),
                       aOrganisation.counts.requestRate.PerSecond(aNow));
    };
    const auto smallest = std::min_element(
        this->organisations.begin(), this->organisations.end(),
        [&size](const Organisation& aOne, const Organisation& aOther) {
          return size(aOne) < size(aOther);
        });
    position = static_cast<std::size_t>(smallest - this->organisations.begin());
  }
  Organisation& organisation = this->organisations[position];
  organisation.name = aName;
  organisation.hash = hash;
  organisation.generation = ++this->lastGeneration;
  organisation.counts = LoadCounts{};
  return position;
}

std::size_t LoadStatistics::FindDomain(std::string_view aName) {
  const auto find = [this](std::string_view aOne) {
    return static_cast<std::size_t>(
        std::find_if(
            this->domains.begin(), this->domains.end(),
            [aOne](const NamedCounts& aKnown) { return aKnown.name == aOne; }) -
        this->domains.begin());
  };
  std::size_t position = find(aName);
  if (position < this->domains.size()) {
    return position;
  }
  const bool isFull = this->domains.size() + 1 >= this->settings.maxDomains;
  const std::string_view name = isFull ? kOtherDomains : aName;
  position = find(name);
  if (position == this->domains.size()) {
    this->domains.push_back({std::string(name), {}});
  }
  return position;
}

void LoadStatistics::OnArrival(Entry& aEntry, int aPriority,
                               std::string_view aOrganisation, double aTokens,
                               Instant aNow) {
  ZINCSTEP_ASSERT(!aEntry.isOpen);
  aEntry = Entry{};
  aEntry.isOpen = true;
  aEntry.tokens = aTokens;
  aEntry.priority = static_cast<std::size_t>(
      std::clamp(aPriority, 0, static_cast<int>(kPriorities) - 1));
  // A public route has no organisation.
  if (!aOrganisation.empty()) {
    aEntry.organisation = this->FindOrganisation(aOrganisation, aNow);
    aEntry.generation = this->organisations[aEntry.organisation].generation;
  }
  this->Apply(aEntry, [&](LoadCounts& aCounts) {
    aCounts.requests += 1;
    aCounts.tokens += aTokens;
    aCounts.requestRate.Add(1, aNow);
    aCounts.tokenRate.Add(aTokens, aNow);
    aCounts.waiting += 1;
  });
}

void LoadStatistics::OnSent(Entry& aEntry, std::string_view aDomain,
                            Instant aNow) {
  if (!aEntry.isOpen) {
    return;
  }
  const std::size_t domain = this->FindDomain(aDomain);
  if (aEntry.isSent && aEntry.domain == domain) {
    return;
  }
  const bool isFirst = !aEntry.isSent;
  if (isFirst) {
    const bool isElsewhere = aDomain != this->settings.failureDomain;
    this->Apply(aEntry, [&](LoadCounts& aCounts) {
      aCounts.waiting -= 1;
      aCounts.inFlight += 1;
      aCounts.startedElsewhere += isElsewhere ? 1 : 0;
    });
    aEntry.isSent = true;
  } else {
    this->domains[aEntry.domain].counts.inFlight -= 1;
  }
  aEntry.domain = domain;
  LoadCounts& counts = this->domains[domain].counts;
  counts.requests += 1;
  counts.tokens += aEntry.tokens;
  counts.requestRate.Add(1, aNow);
  counts.tokenRate.Add(aEntry.tokens, aNow);
  counts.inFlight += 1;
}

void LoadStatistics::OnLateFirstEvent(const Entry& aEntry) {
  this->Apply(aEntry,
              [](LoadCounts& aCounts) { aCounts.lateFirstEvents += 1; });
}

void LoadStatistics::OnLongGap(const Entry& aEntry) {
  this->Apply(aEntry, [](LoadCounts& aCounts) { aCounts.longGaps += 1; });
}

void LoadStatistics::OnRefused(const Entry& aEntry, ErrorKind aReason) {
  this->Apply(aEntry, [aReason](LoadCounts& aCounts) {
    aCounts.refused[static_cast<std::size_t>(aReason)] += 1;
  });
}

void LoadStatistics::OnRefusedUnadmitted(ErrorKind aReason) {
  this->refusedUnadmitted[static_cast<std::size_t>(aReason)] += 1;
}

void LoadStatistics::OnEnd(Entry& aEntry) {
  if (!aEntry.isOpen) {
    return;
  }
  this->Apply(aEntry, [&](LoadCounts& aCounts) {
    (aEntry.isSent ? aCounts.inFlight : aCounts.waiting) -= 1;
  });
  aEntry.isOpen = false;
}

std::vector<const LoadStatistics::Organisation*> LoadStatistics::Largest(
    Instant aNow) const {
  std::vector<std::pair<std::pair<double, double>, const Organisation*>> sized;
  sized.reserve(this->organisations.size());
  for (const Organisation& organisation : this->organisations) {
    sized.push_back({{organisation.counts.tokenRate.PerSecond(aNow),
                      organisation.counts.requestRate.PerSecond(aNow)},
                     &organisation});
  }
  std::sort(sized.begin(), sized.end(),
            [](const auto& aOne, const auto& aOther) {
              return aOne.first > aOther.first;
            });
  sized.resize(std::min(sized.size(), this->settings.reportedOrganisations));
  std::vector<const Organisation*> largest;
  largest.reserve(sized.size());
  for (const auto& [size, organisation] : sized) {
    largest.push_back(organisation);
  }
  return largest;
}

Json LoadStatistics::Status(Instant aNow) const {
  Json byPriority = Json::array();
  for (std::size_t i = 0; i < this->priorities.size(); ++i) {
    if (this->priorities[i].requests > 0) {
      Json group = ToJson(this->priorities[i], aNow);
      group["priority"] = i;
      byPriority.push_back(std::move(group));
    }
  }
  Json byDomain = Json::array();
  for (const NamedCounts& domain : this->domains) {
    Json group = ToJson(domain.counts, aNow);
    group["domain"] = domain.name;
    group["is_own"] = domain.name == this->settings.failureDomain;
    // A domain is known for requests only that were sent there.
    group.erase("waiting");
    group.erase("started_elsewhere");
    byDomain.push_back(std::move(group));
  }
  Json byOrganisation = Json::array();
  for (const Organisation* organisation : this->Largest(aNow)) {
    Json group = ToJson(organisation->counts, aNow);
    group["organisation"] = organisation->name;
    byOrganisation.push_back(std::move(group));
  }
  return {{"priorities", std::move(byPriority)},
          {"domains", std::move(byDomain)},
          {"organisations", std::move(byOrganisation)},
          {"refused_before_admission", ToJson(this->refusedUnadmitted)}};
}

void LoadStatistics::Report(Metrics& aMetrics, Instant aNow) const {
  for (std::size_t i = 0; i < this->priorities.size(); ++i) {
    if (this->priorities[i].requests > 0) {
      ReportGroup(aMetrics, "priority", std::to_string(i), this->priorities[i],
                  aNow);
    }
  }
  for (const NamedCounts& domain : this->domains) {
    ReportGroup(aMetrics, "served_domain", domain.name, domain.counts, aNow);
  }
  // Gauges only: the total of an organisation that was replaced would start
  // again.
  constexpr const char* kTokens = "zincstep_organisation_tokens_per_second";
  constexpr const char* kRequests = "zincstep_organisation_requests_per_second";
  constexpr const char* kInFlight = "zincstep_organisation_in_flight";
  constexpr const char* kWaiting = "zincstep_organisation_waiting";
  for (const Organisation* organisation : this->Largest(aNow)) {
    const LoadCounts& counts = organisation->counts;
    const Metrics::Labels labels{{"organisation", organisation->name}};
    aMetrics.Set(kTokens, counts.tokenRate.PerSecond(aNow), labels);
    aMetrics.Set(kRequests, counts.requestRate.PerSecond(aNow), labels);
    aMetrics.Set(kInFlight, counts.inFlight, labels);
    aMetrics.Set(kWaiting, counts.waiting, labels);
  }
}

}  // namespace zincstep
