#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "Zincstep/Relay/LoadStatistics.h"

namespace zincstep {
namespace {

using Json = nlohmann::json;

class LoadStatisticsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadStatisticsTest);
  CPPUNIT_TEST(Status_NoRequests_IsEmpty);
  CPPUNIT_TEST(Request_FromArrivalToEnd_IsCountedInEachGroup);
  CPPUNIT_TEST(Request_RunsAgainInOtherDomain_MovesThere);
  CPPUNIT_TEST(Request_RefusedUnsent_IsCountedByReason);
  CPPUNIT_TEST(Request_EndedTwice_IsCountedOnce);
  CPPUNIT_TEST(Request_WithoutOrganisation_IsInNoOrganisation);
  CPPUNIT_TEST(Request_PriorityOutOfRange_IsClamped);
  CPPUNIT_TEST(Refusal_BeforeAdmission_IsCountedApart);
  CPPUNIT_TEST(Rates_Decay);
  CPPUNIT_TEST(Organisations_Many_AreBoundedAndLargestAreKept);
  CPPUNIT_TEST(Organisation_ReplacedDuringRequest_IsNotCountedForAnother);
  CPPUNIT_TEST(Domains_Many_AreBounded);
  CPPUNIT_TEST(Metrics_HaveTheSameCounts);
  CPPUNIT_TEST(Metrics_ReplacedOrganisation_HasNoSeries);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  LoadStatisticsSettings settings = Settings();
  LoadStatistics statistics{this->settings};

  static LoadStatisticsSettings Settings() {
    LoadStatisticsSettings settings;
    settings.failureDomain = "own";
    return settings;
  }

  LoadStatistics::Entry Arrive(const std::string& aOrganisation,
                               int aPriority = 1, double aTokens = 100) {
    LoadStatistics::Entry entry;
    this->statistics.OnArrival(entry, aPriority, aOrganisation, aTokens,
                               this->clock.Now());
    return entry;
  }

  void Send(LoadStatistics::Entry& aEntry, const std::string& aDomain) {
    this->statistics.OnSent(aEntry, aDomain, this->clock.Now());
  }

  /// Returns the group of that name, or null.
  Json Group(const char* aGroups, const char* aKey, const Json& aValue) const {
    const Json status = this->statistics.Status(this->clock.Now());
    for (const Json& group : status.at(aGroups)) {
      if (group.at(aKey) == aValue) {
        return group;
      }
    }
    return nullptr;
  }
  Json Priority(int aPriority) const {
    return this->Group("priorities", "priority", aPriority);
  }
  Json Domain(const std::string& aName) const {
    return this->Group("domains", "domain", aName);
  }
  Json Organisation(const std::string& aName) const {
    return this->Group("organisations", "organisation", aName);
  }

 public:
  void Status_NoRequests_IsEmpty() {
    const Json status = statistics.Status(clock.Now());
    CPPUNIT_ASSERT(status.at("priorities").empty());
    CPPUNIT_ASSERT(status.at("domains").empty());
    CPPUNIT_ASSERT(status.at("organisations").empty());
  }

  void Request_FromArrivalToEnd_IsCountedInEachGroup() {
    auto entry = this->Arrive("acme", 2, 300);
    CPPUNIT_ASSERT_EQUAL(1, this->Priority(2).at("waiting").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, this->Priority(2).at("in_flight").get<int>());
    this->Send(entry, "far");
    statistics.OnLateFirstEvent(entry);
    statistics.OnLongGap(entry);
    statistics.OnLongGap(entry);
    for (const Json& group :
         {this->Priority(2), this->Domain("far"), this->Organisation("acme")}) {
      CPPUNIT_ASSERT_EQUAL(1, group.at("requests").get<int>());
      CPPUNIT_ASSERT_EQUAL(300, group.at("tokens").get<int>());
      CPPUNIT_ASSERT_EQUAL(1, group.at("in_flight").get<int>());
      CPPUNIT_ASSERT_EQUAL(0, group.value("waiting", 0));
      CPPUNIT_ASSERT_EQUAL(1, group.value("started_elsewhere", 1));
      CPPUNIT_ASSERT_EQUAL(1, group.at("late_first_events").get<int>());
      CPPUNIT_ASSERT_EQUAL(2, group.at("long_gaps").get<int>());
    }
    CPPUNIT_ASSERT(!this->Domain("far").at("is_own").get<bool>());
    statistics.OnEnd(entry);
    for (const Json& group :
         {this->Priority(2), this->Domain("far"), this->Organisation("acme")}) {
      CPPUNIT_ASSERT_EQUAL(0, group.at("in_flight").get<int>());
      CPPUNIT_ASSERT_EQUAL(1, group.at("requests").get<int>());
    }
  }

  void Request_RunsAgainInOtherDomain_MovesThere() {
    auto entry = this->Arrive("acme");
    this->Send(entry, "own");
    this->Send(entry, "own");
    this->Send(entry, "far");
    CPPUNIT_ASSERT_EQUAL(1, this->Domain("own").at("requests").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, this->Domain("own").at("in_flight").get<int>());
    CPPUNIT_ASSERT_EQUAL(1, this->Domain("far").at("in_flight").get<int>());
    CPPUNIT_ASSERT_EQUAL(1, this->Priority(1).at("in_flight").get<int>());
    // It started in the own domain.
    CPPUNIT_ASSERT_EQUAL(0,
                         this->Priority(1).at("started_elsewhere").get<int>());
  }

  void Request_RefusedUnsent_IsCountedByReason() {
    auto entry = this->Arrive("acme");
    statistics.OnRefused(entry, ErrorKind::NoCapacity);
    statistics.OnEnd(entry);
    const Json expected{{"no_capacity", 1}};
    CPPUNIT_ASSERT(this->Priority(1).at("refused") == expected);
    CPPUNIT_ASSERT(this->Organisation("acme").at("refused") == expected);
    CPPUNIT_ASSERT_EQUAL(0, this->Priority(1).at("waiting").get<int>());
    CPPUNIT_ASSERT(statistics.Status(clock.Now()).at("domains").empty());
  }

  void Request_EndedTwice_IsCountedOnce() {
    auto entry = this->Arrive("acme");
    statistics.OnEnd(entry);
    statistics.OnEnd(entry);
    this->Send(entry, "own");
    CPPUNIT_ASSERT_EQUAL(0, this->Priority(1).at("waiting").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, this->Priority(1).at("in_flight").get<int>());
  }

  void Request_WithoutOrganisation_IsInNoOrganisation() {
    auto entry = this->Arrive("");
    this->Send(entry, "own");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, statistics.TrackedOrganisations());
    CPPUNIT_ASSERT_EQUAL(1, this->Priority(1).at("in_flight").get<int>());
  }

  void Request_PriorityOutOfRange_IsClamped() {
    this->Arrive("acme", -3);
    this->Arrive("acme", 400);
    CPPUNIT_ASSERT_EQUAL(1, this->Priority(0).at("requests").get<int>());
    CPPUNIT_ASSERT_EQUAL(1, this->Priority(9).at("requests").get<int>());
  }

  void Refusal_BeforeAdmission_IsCountedApart() {
    statistics.OnRefusedUnadmitted(ErrorKind::Unauthenticated);
    const Json status = statistics.Status(clock.Now());
    CPPUNIT_ASSERT(status.at("refused_before_admission") ==
                   Json({{"unauthenticated", 1}}));
    CPPUNIT_ASSERT(status.at("priorities").empty());
  }

  void Rates_Decay() {
    for (int i = 0; i < 1000; ++i) {
      auto entry = this->Arrive("acme", 1, 50);
      statistics.OnEnd(entry);
      clock.Advance(50ms);
    }
    const Json busy = this->Priority(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, busy.at("requests_per_second"), 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, busy.at("tokens_per_second"), 50);
    clock.Advance(60s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0, this->Priority(1).at("tokens_per_second").get<double>(), 0.1);
    CPPUNIT_ASSERT_EQUAL(1000, this->Priority(1).at("requests").get<int>());
  }

  // Guards against memory that grows with the organisations, and against small
  // ones that displace the large ones.
  void Organisations_Many_AreBoundedAndLargestAreKept() {
    for (int i = 0; i < 1300 * 4; ++i) {
      auto small = this->Arrive("small" + std::to_string(i % 1300), 1, 100);
      statistics.OnEnd(small);
      if (i % 5 == 0) {
        auto large = this->Arrive("large" + std::to_string(i / 5 % 8), 1, 100);
        statistics.OnEnd(large);
      }
      clock.Advance(5ms);
    }
    CPPUNIT_ASSERT_EQUAL(settings.trackedOrganisations,
                         statistics.TrackedOrganisations());
    const Json shown = statistics.Status(clock.Now()).at("organisations");
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, shown.size());
    std::set<std::string> names;
    for (std::size_t i = 0; i < 8; ++i) {
      names.insert(shown[i].at("organisation").get<std::string>());
    }
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(names.contains("large" + std::to_string(i)));
    }
  }

  // Guards against the end of a request that is counted for the organisation
  // that took the place of its own, whose count would become negative.
  void Organisation_ReplacedDuringRequest_IsNotCountedForAnother() {
    auto entry = this->Arrive("first", 1, 1);
    this->Send(entry, "own");
    for (std::size_t i = 0; i < settings.trackedOrganisations; ++i) {
      this->Arrive("other" + std::to_string(i), 1, 100);
    }
    CPPUNIT_ASSERT(this->Organisation("first").is_null());
    statistics.OnLongGap(entry);
    statistics.OnEnd(entry);
    const Json status = statistics.Status(clock.Now());
    for (const Json& group : status.at("organisations")) {
      CPPUNIT_ASSERT_EQUAL(0, group.at("in_flight").get<int>());
      CPPUNIT_ASSERT_EQUAL(1, group.at("waiting").get<int>());
      CPPUNIT_ASSERT_EQUAL(0, group.at("long_gaps").get<int>());
    }
    CPPUNIT_ASSERT_EQUAL(0, this->Priority(1).at("in_flight").get<int>());
  }

  void Domains_Many_AreBounded() {
    for (int i = 0; i < 300; ++i) {
      auto entry = this->Arrive("acme");
      this->Send(entry, "domain" + std::to_string(i));
    }
    const Json domains = statistics.Status(clock.Now()).at("domains");
    CPPUNIT_ASSERT_EQUAL(settings.maxDomains, domains.size());
    const int kept = static_cast<int>(settings.maxDomains) - 1;
    CPPUNIT_ASSERT_EQUAL(300 - kept,
                         this->Domain("other").at("requests").get<int>());
  }

  void Metrics_HaveTheSameCounts() {
    auto entry = this->Arrive("acme", 0, 300);
    this->Send(entry, "own");
    statistics.OnRefused(entry, ErrorKind::UpstreamFailed);
    Metrics metrics;
    statistics.Report(metrics, clock.Now());
    CPPUNIT_ASSERT_EQUAL(
        1.0, metrics.CounterValue("zincstep_priority_requests_total",
                                  {{"priority", "0"}}));
    CPPUNIT_ASSERT_EQUAL(
        1.0, metrics.CounterValue(
                 "zincstep_priority_refused_total",
                 {{"priority", "0"}, {"reason", "upstream_failed"}}));
    CPPUNIT_ASSERT_EQUAL(
        300.0, metrics.CounterValue("zincstep_served_domain_tokens_total",
                                    {{"served_domain", "own"}}));
    const std::string text = metrics.Text();
    CPPUNIT_ASSERT(
        text.find("zincstep_organisation_in_flight{organisation=\"acme\"} 1") !=
        std::string::npos);
  }

  // Guards against series of all organisations that were ever among the
  // largest.
  void Metrics_ReplacedOrganisation_HasNoSeries() {
    this->Arrive("first", 1, 1);
    for (int i = 0; i < 200; ++i) {
      this->Arrive("other" + std::to_string(i), 1, 100);
    }
    Metrics metrics;
    statistics.Report(metrics, clock.Now());
    const std::string text = metrics.Text();
    CPPUNIT_ASSERT(text.find("organisation=\"first\"") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadStatisticsTest);

}  // namespace
}  // namespace zincstep
