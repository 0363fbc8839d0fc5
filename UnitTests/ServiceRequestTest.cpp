#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "UnitTests/LocalDomain.h"

namespace zincstep {
namespace {

using Json = nlohmann::json;

std::string OutcomeOf(const HttpCallResult& aResult) {
  const Json json = Json::parse(aResult.body, nullptr, false);
  return json.is_object() && json.contains("error")
             ? json["error"]["outcome"].get<std::string>()
             : "";
}

class ServiceRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceRequestTest);
  CPPUNIT_TEST(Order_KeyRepeatedAtOtherDaemon_RunsOnce);
  CPPUNIT_TEST(Order_ResponseLost_MayHaveRunAndRunsOnce);
  CPPUNIT_TEST(Order_RepeatedWhileRunning_RunsOnce);
  CPPUNIT_TEST(Order_AtBothDaemonsAtOnce_RunsOnce);
  CPPUNIT_TEST(Order_DuringPlatformOutage_RunsOnce);
  CPPUNIT_TEST(Order_WitnessesUnreachable_IsRefusedAsNotRun);
  CPPUNIT_TEST(Order_DaemonStopsInBetween_KeyIsRemembered);
  CPPUNIT_TEST(Order_TimedOut_MayHaveRunAndRunsOnce);
  CPPUNIT_TEST(Read_ServiceUnavailable_IsRetried);
  CPPUNIT_TEST(Service_Unreachable_IsRefusedAsNotRun);
  CPPUNIT_TEST(Service_OfOtherOrganisation_IsNotFound);
  CPPUNIT_TEST_SUITE_END();

  LocalDomain domain{{{"a1", {0, 12}}}};
  EntryDaemon* first = nullptr;
  EntryDaemon* second = nullptr;

  HttpCallResult Order(const EntryDaemon& aDaemon, const std::string& aKey,
                       HttpHeaders aHeaders = {}) {
    aHeaders.push_back({"Idempotency-Key", aKey});
    return this->domain.Call(aDaemon, "POST", "/ledger/orders", aKey,
                             std::move(aHeaders));
  }

  /// Repeats an order until its key is no longer in progress: the caller has
  /// its response before the witnesses have the end of the run.
  HttpCallResult Repeat(const EntryDaemon& aDaemon, const std::string& aKey) {
    HttpCallResult result;
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] {
      result = this->Order(aDaemon, aKey);
      const bool isInProgress =
          result.body.find("key_in_progress") != std::string::npos;
      if (isInProgress) {
        CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), OutcomeOf(result));
      }
      return !isInProgress;
    }));
    return result;
  }

  int RunsOf(const std::string& aKey) {
    return this->domain.Runs().value("POST /ledger/orders " + aKey, 0);
  }

 public:
  void setUp() override {
    this->first = &this->domain.AddDaemon("entry-1");
    this->second = &this->domain.AddDaemon("entry-2");
    this->domain.WaitMembers(2);
  }

  void Order_KeyRepeatedAtOtherDaemon_RunsOnce() {
    const auto firstResult = this->Order(*this->first, "k1");
    const auto secondResult = this->Repeat(*this->second, "k1");
    CPPUNIT_ASSERT_EQUAL(200, firstResult.status);
    CPPUNIT_ASSERT_EQUAL(200, secondResult.status);
    CPPUNIT_ASSERT_EQUAL(firstResult.body, secondResult.body);
    CPPUNIT_ASSERT_EQUAL(1, this->RunsOf("k1"));
  }

  void Order_ResponseLost_MayHaveRunAndRunsOnce() {
    this->domain.ServiceFault(R"({"lose_answers":1})");
    const auto firstResult =
        this->Order(*this->first, "k2", {{"zincstep-deadline-ms", "800"}});
    CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), OutcomeOf(firstResult));
    const auto secondResult = this->Order(*this->second, "k2");
    CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), OutcomeOf(secondResult));
    CPPUNIT_ASSERT_EQUAL(1, this->RunsOf("k2"));
  }

  void Order_RepeatedWhileRunning_RunsOnce() {
    this->domain.ServiceFault(R"({"delay_ms":600})");
    auto firstResult = std::async(
        std::launch::async, [this] { return this->Order(*this->first, "k3"); });
    const auto secondResult = this->Order(*this->second, "k3");
    // The first to arrive runs; the other gets the outcome `may_have_run`.
    const auto result = firstResult.get();
    CPPUNIT_ASSERT((result.status == 200) != (secondResult.status == 200));
    const auto& duplicate = result.status == 200 ? secondResult : result;
    CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), OutcomeOf(duplicate));
    CPPUNIT_ASSERT_EQUAL(1, this->RunsOf("k3"));
  }

  void Order_AtBothDaemonsAtOnce_RunsOnce() {
    for (int i = 0; i < 40; ++i) {
      const std::string key = "both-" + std::to_string(i);
      auto firstResult = std::async(
          std::launch::async, [&] { return this->Order(*this->first, key); });
      const auto secondResult = this->Order(*this->second, key);
      const auto result = firstResult.get();
      CPPUNIT_ASSERT(this->RunsOf(key) <= 1);
      const bool hasRun = result.status == 200 || secondResult.status == 200;
      CPPUNIT_ASSERT_EQUAL(hasRun ? 1 : 0, this->RunsOf(key));
    }
  }

  void Order_DuringPlatformOutage_RunsOnce() {
    this->domain.PlatformFault(R"({"outage":true})");
    CPPUNIT_ASSERT_EQUAL(200, this->Order(*this->first, "k4").status);
    CPPUNIT_ASSERT_EQUAL(200, this->Repeat(*this->second, "k4").status);
    CPPUNIT_ASSERT_EQUAL(1, this->RunsOf("k4"));
  }

  void Order_WitnessesUnreachable_IsRefusedAsNotRun() {
    // Two of three members have stopped, so there is no majority.
    EntryDaemon& third = this->domain.AddDaemon("entry-3");
    this->domain.WaitMembers(3);
    this->domain.PlatformFault(R"({"outage":true})");
    this->second->Abandon();
    third.Abandon();
    const auto result = this->Order(*this->first, "k5");
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), OutcomeOf(result));
    CPPUNIT_ASSERT_EQUAL(0, this->RunsOf("k5"));
  }

  void Order_DaemonStopsInBetween_KeyIsRemembered() {
    CPPUNIT_ASSERT_EQUAL(200, this->Order(*this->second, "k6").status);
    this->second->RequestStop();
    this->second->Wait();
    HttpCallResult repeated;
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] {
      repeated = this->Order(*this->first, "k6");
      return repeated.status == 200;
    }));
    CPPUNIT_ASSERT(!FindHeader(repeated.headers, "zincstep-repeated").empty());
    CPPUNIT_ASSERT_EQUAL(1, this->RunsOf("k6"));
  }

  void Order_TimedOut_MayHaveRunAndRunsOnce() {
    this->domain.ServiceFault(R"({"delay_ms":700})");
    const auto firstResult =
        this->Order(*this->first, "k7", {{"zincstep-deadline-ms", "300"}});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(firstResult.body, 504, firstResult.status);
    CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), OutcomeOf(firstResult));
    CPPUNIT_ASSERT(
        LocalDomain::Eventually([this] { return this->RunsOf("k7") == 1; }));
    const auto secondResult = this->Order(*this->second, "k7");
    CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), OutcomeOf(secondResult));
    CPPUNIT_ASSERT_EQUAL(1, this->RunsOf("k7"));
  }

  void Read_ServiceUnavailable_IsRetried() {
    this->domain.ServiceFault(R"({"outage":true})");
    auto response = std::async(std::launch::async, [this] {
      return this->domain.Call(*this->first, "GET", "/ledger/stock", "");
    });
    // The only replica responds with 503: retried, then forwarded to the
    // caller.
    CPPUNIT_ASSERT_EQUAL(503, response.get().status);
    this->domain.ServiceFault(R"({"outage":false})");
    CPPUNIT_ASSERT(LocalDomain::Eventually([this] {
      return this->domain.Call(*this->first, "GET", "/ledger/stock", "")
                 .status == 200;
    }));
  }

  void Service_Unreachable_IsRefusedAsNotRun() {
    const std::size_t at = this->domain.File().find("name: ledger-1");
    const std::size_t quote = this->domain.File().find('"', at);
    const std::size_t end = this->domain.File().find('"', quote + 1);
    this->domain.File().replace(quote + 1, end - quote - 1, "127.0.0.1:1");
    const std::uint64_t revision = this->domain.Apply();
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] {
      return this->domain.Admin(*this->first, "/v1/status").at("revision") ==
             revision;
    }));
    const auto result = this->Order(*this->first, "k8");
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), OutcomeOf(result));
  }

  void Service_OfOtherOrganisation_IsNotFound() {
    const auto result =
        this->domain.Call(*this->first, "GET", "/ledger/stock", "",
                          {{"Authorization", "Bearer other-key"}});
    CPPUNIT_ASSERT_EQUAL(404, result.status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceRequestTest);

}  // namespace
}  // namespace zincstep
