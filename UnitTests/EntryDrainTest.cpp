#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "UnitTests/LocalDomain.h"

namespace zincstep {
namespace {

using Json = nlohmann::json;

/// Checks an error response that `aKind` describes.
void CheckError(ErrorKind aKind, const HttpCallResult& aResult) {
  CPPUNIT_ASSERT_MESSAGE("no complete response: " + aResult.fault,
                         aResult.end == CallEnd::Answered);
  const ErrorInfo& info = ErrorInfoFor(aKind);
  const Json json = Json::parse(aResult.body, nullptr, false);
  CPPUNIT_ASSERT_MESSAGE(aResult.body,
                         json.is_object() && json.contains("error"));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aResult.body, std::string(info.name),
                               json["error"]["kind"].get<std::string>());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aResult.body, std::string(NameOf(info.outcome)),
                               json["error"]["outcome"].get<std::string>());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aResult.body, info.status, aResult.status);
}

/// Guards against a stopping daemon that accepts a request and exits without a
/// complete response to it.
class EntryDrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryDrainTest);
  CPPUNIT_TEST(Limit_CompletionRuns_GetsStoppedDuringRun);
  CPPUNIT_TEST(Limit_StreamRuns_EndsWithErrorEvent);
  CPPUNIT_TEST(Limit_CompletionsWait_EachGetsResponse);
  CPPUNIT_TEST(Limit_OrderRuns_GetsStoppedDuringRun);
  CPPUNIT_TEST(Limit_ReadRuns_GetsStoppedDuringRun);
  CPPUNIT_TEST(Drain_DeadlineAfterLimit_IsRefusedAsNotRun);
  CPPUNIT_TEST(Drain_ServiceDeadlineAfterLimit_IsRefusedAsNotRun);
  CPPUNIT_TEST(Drain_DeadlineBeforeLimit_IsServed);
  CPPUNIT_TEST_SUITE_END();

  using Response = std::future<HttpCallResult>;

  static constexpr int kMaxTokens = 400;

  /// An answer of `kMaxTokens` takes ten seconds.
  LocalDomain domain{{{"a1", {0, 12}, 2ms}}};
  EntryDaemon* daemon = nullptr;

  void Start(Micros aGrace, Micros aLimit) {
    EntrySettings settings = this->domain.BaseSettings("entry-1", "hall-a");
    settings.drainGrace = aGrace;
    settings.drainLimit = aLimit;
    settings.maxWait = 60s;
    this->daemon = &this->domain.AddDaemon(settings);
    CPPUNIT_ASSERT(LocalDomain::Eventually([this] {
      return this->domain.Complete(*this->daemon, "x", 1).status == 200;
    }));
  }

  Response Send(const std::string& aMethod, const std::string& aPath,
                const std::string& aBody, const HttpHeaders& aHeaders = {}) {
    HttpCall call;
    call.method = aMethod;
    call.url = "http://" + this->daemon->Settings().listen + aPath;
    call.body = aBody;
    call.headers = aHeaders;
    call.headers.push_back({"Authorization", "Bearer test-key"});
    call.timeout = 60s;
    return std::async(std::launch::async,
                      [call] { return FetchBlocking(call); });
  }

  Response SendCompletion(int aTokens, bool aStream,
                          const HttpHeaders& aHeaders = {}) {
    const Json body{{"model", "demo"},
                    {"prompt", "drain"},
                    {"max_tokens", aTokens},
                    {"stream", aStream}};
    return this->Send("POST", "/v1/completions", body.dump(), aHeaders);
  }

  /// Waits until a counter is at least `aValue`.
  void WaitMetric(const std::string& aName, double aValue) {
    HttpCall call;
    call.url = "http://" + this->daemon->Settings().adminListen + "/metrics";
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] {
      const std::string text = FetchBlocking(call).body;
      const std::size_t at = text.find("\n" + aName + " ");
      return at != std::string::npos &&
             std::stod(text.substr(at + aName.size() + 2)) >= aValue;
    }));
  }

  /// Waits for the daemon's end, and closes its connections as the exit of its
  /// process does.
  void WaitForExit() {
    this->daemon->Wait();
    this->domain.Daemons().clear();
  }

  void Stop() {
    this->daemon->RequestStop();
    this->WaitForExit();
  }

 public:
  void Limit_CompletionRuns_GetsStoppedDuringRun() {
    this->Start(0ms, 300ms);
    Response response = this->SendCompletion(kMaxTokens, false);
    this->WaitMetric("zincstep_first_token_seconds_count", 2);
    this->Stop();
    CheckError(ErrorKind::StoppedDuringRun, response.get());
  }

  void Limit_StreamRuns_EndsWithErrorEvent() {
    this->Start(0ms, 300ms);
    Response response = this->SendCompletion(kMaxTokens, true);
    this->WaitMetric("zincstep_first_token_seconds_count", 2);
    this->Stop();
    const HttpCallResult result = response.get();
    CPPUNIT_ASSERT_MESSAGE("truncated: " + result.fault,
                           result.end == CallEnd::Answered);
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    const std::string prefix = "data: ";
    const std::size_t last = result.body.rfind(prefix);
    CPPUNIT_ASSERT(last != std::string::npos && last > 0);
    const Json event =
        Json::parse(result.body.substr(last + prefix.size()), nullptr, false);
    CPPUNIT_ASSERT_MESSAGE(result.body,
                           event.is_object() && event.contains("error"));
    CPPUNIT_ASSERT_EQUAL(std::string("stopped_during_run"),
                         event["error"]["kind"].get<std::string>());
    // One event per token, and the error event.
    std::size_t events = 0;
    for (std::size_t at = 0;
         (at = result.body.find(prefix, at)) != std::string::npos; ++at) {
      events += 1;
    }
    CPPUNIT_ASSERT_EQUAL(events - 1,
                         event["error"]["tokens"].get<std::size_t>());
  }

  void Limit_CompletionsWait_EachGetsResponse() {
    constexpr int kRequests = 40;
    this->Start(0ms, 300ms);
    std::vector<Response> responses;
    for (int i = 0; i < kRequests; ++i) {
      responses.push_back(this->SendCompletion(kMaxTokens, false));
    }
    this->WaitMetric("zincstep_requests_total{kind=\"model\"}", 1 + kRequests);
    this->Stop();
    int waiting = 0;
    for (Response& response : responses) {
      const HttpCallResult result = response.get();
      const bool hasRun = result.status == 502;
      waiting += hasRun ? 0 : 1;
      CheckError(hasRun ? ErrorKind::StoppedDuringRun : ErrorKind::Stopping,
                 result);
    }
    CPPUNIT_ASSERT(waiting > 0 && waiting < kRequests);
  }

  void Limit_OrderRuns_GetsStoppedDuringRun() {
    this->Start(0ms, 300ms);
    this->domain.WaitMembers(1);
    this->domain.ServiceFault(R"({"delay_ms":20000})");
    Response response = this->Send("POST", "/ledger/orders", "o1");
    Response keyed =
        this->Send("POST", "/ledger/orders", "o2", {{"Idempotency-Key", "k2"}});
    this->WaitMetric("zincstep_service_tries_total", 2);
    this->Stop();
    CheckError(ErrorKind::StoppedDuringRun, response.get());
    CheckError(ErrorKind::StoppedDuringRun, keyed.get());
  }

  void Limit_ReadRuns_GetsStoppedDuringRun() {
    this->Start(0ms, 300ms);
    this->domain.ServiceFault(R"({"delay_ms":20000})");
    Response response = this->Send("GET", "/ledger/stock", "");
    this->WaitMetric("zincstep_service_tries_total", 1);
    this->Stop();
    CheckError(ErrorKind::StoppedDuringRun, response.get());
  }

  void Drain_DeadlineAfterLimit_IsRefusedAsNotRun() {
    this->Start(3s, 3s);
    this->daemon->RequestStop();
    Response response = this->SendCompletion(
        kMaxTokens, false, {{"zincstep-deadline-ms", "60000"}});
    this->WaitForExit();
    CheckError(ErrorKind::Stopping, response.get());
  }

  void Drain_ServiceDeadlineAfterLimit_IsRefusedAsNotRun() {
    this->Start(3s, 3s);
    this->domain.ServiceFault(R"({"delay_ms":20000})");
    this->daemon->RequestStop();
    Response response = this->Send("POST", "/ledger/orders", "o3",
                                   {{"zincstep-deadline-ms", "60000"}});
    this->WaitForExit();
    CheckError(ErrorKind::Stopping, response.get());
    CPPUNIT_ASSERT(this->domain.Runs().empty());
  }

  void Drain_DeadlineBeforeLimit_IsServed() {
    this->Start(30s, 30s);
    this->daemon->RequestStop();
    const HttpHeaders deadline{{"zincstep-deadline-ms", "15000"}};
    CPPUNIT_ASSERT_EQUAL(200,
                         this->SendCompletion(1, false, deadline).get().status);
    CPPUNIT_ASSERT_EQUAL(
        200, this->Send("GET", "/ledger/stock", "", deadline).get().status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDrainTest);

}  // namespace
}  // namespace zincstep
