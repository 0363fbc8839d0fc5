#include <algorithm>

#include "RelayFixture.h"

namespace zincstep {

namespace {

/// The objective of the urgent route leaves time to wait; that of the route
/// `tight` does not. `config2` has no different priorities.
std::string ConfigOf(int aVersion, int aBatchPriority,
                     const std::string& aTenantPriority = "") {
  return R"({"configVersion":)" + std::to_string(aVersion) +
         R"(,"routes":[
 {"name":"urgent","hostname":"h","pathPrefix":"/llm/","routeType":"streaming",
  "timeoutMs":20000,"maxAttempts":2,"backend":"model","resumable":true,
  "priority":0,"targetLatencyMs":1500},
 {"name":"tight","hostname":"h","pathPrefix":"/llm/tight/",
  "routeType":"streaming","timeoutMs":20000,"maxAttempts":2,"backend":"model",
  "resumable":true,"priority":0,"targetLatencyMs":1},
 {"name":"batch","hostname":"h","pathPrefix":"/llm/batch/",
  "routeType":"streaming","timeoutMs":20000,"maxAttempts":2,"backend":"model",
  "resumable":true,"priority":)" +
         std::to_string(aBatchPriority) +
         R"(,"targetLatencyMs":1500}],
 "services":[{"name":"model","engine":{"layers":2,
  "layer_mb":1,"kvTokenBytes":1000,"step_ms":1,"models":[{"name":"m"}],
  "kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}]}}],
 "tenants":[{"name":"acme","apiKeys":["key1"])" +
         aTenantPriority + R"(},{"name":"other","apiKeys":["key2"]}]})";
}

constexpr const char* kBatchPath = "/llm/batch/x";
constexpr const char* kUrgentPath = "/llm/x";
constexpr const char* kTightPath = "/llm/tight/x";
constexpr int kUnavailable = 503;

}  // namespace

/// Requests of different priorities at a relay whose upstream has no room.
class CapacityRelayTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(CapacityRelayTest);
  CPPUNIT_TEST(Request_NoRoom_WaitsUntilThereIsRoom);
  CPPUNIT_TEST(Request_NoRoomWithinObjective_IsRefusedAsNotRun);
  CPPUNIT_TEST(Request_ObjectiveCannotBeMet_IsRefusedAtOnce);
  CPPUNIT_TEST(Request_ObjectiveCannotBeMetWithRoom_IsServed);
  CPPUNIT_TEST(Requests_SeveralWait_UrgentOneStartsFirst);
  CPPUNIT_TEST(Requests_SizeIsNoNumberOfTokens_WaitAsIfNotGiven);
  CPPUNIT_TEST(Request_LongestDeadline_IsServed);
  CPPUNIT_TEST(Caller_DisconnectsWhileWaiting_FreesItsPlace);
  CPPUNIT_TEST(Service_OnePriority_RefusesAtOnceAsBefore);
  CPPUNIT_TEST(Service_OrganisationPriorityAlone_RefusesAtOnceAsBefore);
  CPPUNIT_TEST(Service_SwitchedOff_RefusesAtOnceAsBefore);
  CPPUNIT_TEST(Configuration_PrioritiesRemoved_ReleasesWaiting);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->Begin();
    this->Configure(ConfigOf(1, 2));
    this->AddUpstream("model", [this](const auto& aTo, const auto& aMessage) {
      this->served.push_back(aMessage.head.target);
      AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
    });
  }

  // A refusal costs the caller a retry; room that comes free within the
  // objective serves the request.
  void Request_NoRoom_WaitsUntilThereIsRoom() {
    this->TakeAllRoom();
    this->AskLater(kUrgentPath);
    this->RunFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->relay->Active());
    CPPUNIT_ASSERT(this->served.empty());
    this->FreeAllRoom();
    this->RunUntil([&] { return this->answers.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(200, this->answers[0].second);
    CPPUNIT_ASSERT(!this->relay->Capacity().HasWaiting());
  }

  void Request_NoRoomWithinObjective_IsRefusedAsNotRun() {
    this->TakeAllRoom();
    const Instant sentAt = this->clock.Now();
    const auto answer = this->Ask(this->Attempt(kUrgentPath));
    CPPUNIT_ASSERT_EQUAL(kUnavailable, answer->status);
    CPPUNIT_ASSERT(this->clock.Now() - sentAt > 500ms);
    CPPUNIT_ASSERT(this->clock.Now() - sentAt < 5s);
    // Callers ignore more than a third of the 9 s of their deadline.
    const double after =
        std::stod(std::string(FindHeader(answer->headers, "Retry-After")));
    CPPUNIT_ASSERT(after > 0 && after <= 3);
    CPPUNIT_ASSERT(this->served.empty());
    CPPUNIT_ASSERT(!this->relay->Capacity().HasWaiting());
  }

  void Request_ObjectiveCannotBeMet_IsRefusedAtOnce() {
    this->TakeAllRoom();
    this->AskLater(kTightPath);
    // Far less than the 1.5 s of the other routes.
    this->RunFor(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->answers.size());
    CPPUNIT_ASSERT_EQUAL(kUnavailable, this->answers[0].second);
  }

  // The estimate of a late first event must not refuse what can be served.
  void Request_ObjectiveCannotBeMetWithRoom_IsServed() {
    const auto answer = this->Ask(this->Attempt(kTightPath));
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
  }

  void Requests_SeveralWait_UrgentOneStartsFirst() {
    this->TakeAllRoom();
    this->AskLater(kBatchPath);
    this->RunFor(50ms);
    this->AskLater(kUrgentPath);
    this->RunFor(50ms);
    this->FreeAllRoom();
    this->RunUntil([&] { return this->answers.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->served.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kUrgentPath), this->served[0]);
  }

  // Guards against callers that end the process: the sum of the waiting tokens
  // was infinite, and the wait computed from it no number.
  void Requests_SizeIsNoNumberOfTokens_WaitAsIfNotGiven() {
    std::size_t sent = 0;
    for (const std::string usage : {"inf,inf", "nan,nan", "1e308,1e308"}) {
      this->TakeAllRoom();
      for (int i = 0; i < 3; ++i) {
        this->AskLater(kUrgentPath, "X-Token-Usage: " + usage +
                                        "\r\nLength-Hint: " + usage + "\r\n");
        sent += 1;
      }
      this->RunFor(50ms);
      this->FreeAllRoom();
      this->RunUntil([&] { return this->answers.size() == sent; });
    }
    for (const auto& [path, status] : this->answers) {
      CPPUNIT_ASSERT_EQUAL(200, status);
    }
  }

  // Guards against a deadline that is negative once it is in microseconds.
  void Request_LongestDeadline_IsServed() {
    this->TakeAllRoom();
    this->AskLater(kUrgentPath, "X-Deadline-Ms: 9223372036854775807\r\n");
    this->RunFor(50ms);
    this->FreeAllRoom();
    this->RunUntil([&] { return this->answers.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(200, this->answers[0].second);
  }

  // A caller that is gone must neither start nor hold a place.
  void Caller_DisconnectsWhileWaiting_FreesItsPlace() {
    this->TakeAllRoom();
    {
      asio::ip::tcp::socket caller(this->loop);
      caller.connect(
          {asio::ip::address_v4::loopback(), this->listener->Port()});
      asio::write(caller, asio::buffer(this->Attempt(kUrgentPath)));
      this->RunUntil([&] { return this->relay->Capacity().HasWaiting(); });
    }
    this->RunUntil([&] { return !this->relay->Capacity().HasWaiting(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->relay->Active());
    this->FreeAllRoom();
    this->RunFor(100ms);
    CPPUNIT_ASSERT(this->served.empty());
  }

  void Service_OnePriority_RefusesAtOnceAsBefore() {
    this->Reconfigure(ConfigOf(2, 0));
    this->AssertRefusedAtOnce();
  }

  // Guards against headroom that one organisation's changed priority turns on:
  // a domain that was cut off then refused requests that it had room for.
  void Service_OrganisationPriorityAlone_RefusesAtOnceAsBefore() {
    this->Reconfigure(ConfigOf(2, 0, R"(,"priority":1)"));
    this->AssertRefusedAtOnce();
  }

  void Service_SwitchedOff_RefusesAtOnceAsBefore() {
    this->settings.features.priorityScheduling = FeatureMode::Off;
    this->AssertRefusedAtOnce();
  }

  // No pass would consider requests of a service that is no longer scheduled.
  void Configuration_PrioritiesRemoved_ReleasesWaiting() {
    this->TakeAllRoom();
    this->AskLater(kUrgentPath);
    this->RunFor(50ms);
    CPPUNIT_ASSERT(this->relay->Capacity().HasWaiting());
    this->Reconfigure(ConfigOf(3, 0));
    this->RunUntil([&] { return this->answers.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(kUnavailable, this->answers[0].second);
    CPPUNIT_ASSERT(!this->relay->Capacity().HasWaiting());
  }

 private:
  void Reconfigure(const std::string& aText) {
    this->view.OnConfiguration({"", aText, 11});
    this->view.OnValidated({11}, this->clock.Now());
  }

  /// Work that fills the only upstream, in tokens x layers.
  static constexpr double kAllRoom = 1e9;

  LiveUpstream& Only() { return *this->view.Directory().All().begin()->second; }
  void TakeAllRoom() { this->Only().AddRemoteWork(kAllRoom); }
  void FreeAllRoom() { this->Only().RemoveRemoteWork(kAllRoom); }

  /// Sends a request without waiting for the response; `aFields` come before
  /// the other fields of its head.
  void AskLater(const std::string& aPath, const std::string& aFields = "") {
    std::string request = this->Attempt(aPath);
    request.insert(request.find("\r\n") + 2, aFields);
    FetchResponse(
        this->loop, {asio::ip::address_v4::loopback(), this->listener->Port()},
        std::move(request), 10s, [this, aPath](Result<HttpResponse> aAnswer) {
          CPPUNIT_ASSERT(aAnswer.has_value());
          this->answers.emplace_back(aPath, aAnswer->status);
        });
  }

  void AssertRefusedAtOnce() {
    this->TakeAllRoom();
    this->AskLater(kUrgentPath);
    this->RunFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->answers.size());
    CPPUNIT_ASSERT_EQUAL(kUnavailable, this->answers[0].second);
    CPPUNIT_ASSERT(this->relay->Capacity().Demands().empty());
  }

  std::vector<std::string> served;
  /// Path and status of each response, in the order of arrival.
  std::vector<std::pair<std::string, int>> answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityRelayTest);

}  // namespace zincstep
