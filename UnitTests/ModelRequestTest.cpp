#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "UnitTests/LocalDomain.h"

namespace zincstep {
namespace {

using Json = nlohmann::json;

std::vector<EngineSpec> TwoOfEach() {
  return {{"a1", {0, 5}}, {"a2", {0, 5}},  {"b1", {4, 9}},
          {"b2", {4, 9}}, {"c1", {8, 12}}, {"c2", {8, 12}}};
}

std::string TextOf(const HttpCallResult& aResult) {
  const Json json = Json::parse(aResult.body, nullptr, false);
  return json.is_object() && json.contains("choices")
             ? json["choices"][0]["text"].get<std::string>()
             : aResult.body;
}

std::string KindOf(const HttpCallResult& aResult) {
  const Json json = Json::parse(aResult.body, nullptr, false);
  return json.is_object() && json.contains("error")
             ? json["error"]["kind"].get<std::string>()
             : "";
}

class ModelRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelRequestTest);
  CPPUNIT_TEST(Answer_ThroughThreeStages_IsCorrect);
  CPPUNIT_TEST(Answer_Streamed_HasEventsAndEnd);
  CPPUNIT_TEST(Answer_DuplicateLateAndForeignSteps_IsCorrect);
  CPPUNIT_TEST(Stage_KilledDuringAnswer_AnswerIsCorrect);
  CPPUNIT_TEST(Stage_HangsDuringAnswer_AnswerIsCorrect);
  CPPUNIT_TEST(Stage_LinkSlows_AnswerIsCorrect);
  CPPUNIT_TEST(TwoStages_KilledAtOnce_AnswerIsCorrect);
  CPPUNIT_TEST(AllUpstreams_OfRangeDead_IsRefusedAsNotRun);
  CPPUNIT_TEST(Caller_Disconnects_FreesAllStages);
  CPPUNIT_TEST(Key_Repeated_GetsSameResponse);
  CPPUNIT_TEST(Upstream_Leaving_GetsNoNewWork);
  CPPUNIT_TEST_SUITE_END();

  LocalDomain domain{TwoOfEach()};
  EntryDaemon& daemon{this->domain.AddDaemon("entry-1")};

  /// Starts a long request and waits until engines are working on it.
  std::future<HttpCallResult> StartLongRequest() {
    auto answer = std::async(std::launch::async, [this] {
      return this->domain.Complete(this->daemon, "A long order", 200);
    });
    CPPUNIT_ASSERT(LocalDomain::Eventually(
        [this] { return !this->BusyEngines().empty(); }));
    return answer;
  }

  /// Returns the engines with a sequence of this daemon, by its own count.
  std::vector<std::string> BusyEngines() {
    std::vector<std::string> engines;
    const Json views = this->domain.Admin(this->daemon, "/v1/upstreams");
    for (const Json& upstream : views.at("upstreams")) {
      if (upstream.at("own").get<int>() > 0) {
        engines.push_back(upstream.at("name"));
      }
    }
    return engines;
  }

  std::string FindBusyEngine(char aLetter) {
    for (const std::string& name : this->BusyEngines()) {
      if (name[0] == aLetter) {
        return name;
      }
    }
    return "";
  }

  void CheckLongAnswer(std::future<HttpCallResult>& aResponse) {
    CPPUNIT_ASSERT_EQUAL(this->domain.ExpectedText("A long order", 200),
                         TextOf(aResponse.get()));
  }

  double ReadMetric(const std::string& aName) {
    HttpCall call;
    call.url = "http://" + this->daemon.Settings().adminListen + "/metrics";
    const std::string text = FetchBlocking(call).body;
    const std::size_t at = text.find("\n" + aName + " ");
    return at == std::string::npos
               ? 0
               : std::stod(text.substr(at + aName.size() + 2));
  }

 public:
  void Answer_ThroughThreeStages_IsCorrect() {
    const auto result = this->domain.Complete(this->daemon, "Ten loaves", 30);
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT_EQUAL(this->domain.ExpectedText("Ten loaves", 30),
                         TextOf(result));
  }

  void Answer_Streamed_HasEventsAndEnd() {
    const auto result =
        this->domain.Call(this->daemon, "POST", "/v1/chat/completions",
                          R"({"model":"demo","max_tokens":5,"stream":true,
            "messages":[{"role":"user","content":"bread?"}]})");
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    std::size_t events = 0;
    for (std::size_t at = 0;
         (at = result.body.find("data: ", at)) != std::string::npos; ++at) {
      events += 1;
    }
    // Five tokens, the end event and the `[DONE]` marker.
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, events);
    CPPUNIT_ASSERT(result.body.ends_with("data: [DONE]\n\n"));
  }

  void Answer_DuplicateLateAndForeignSteps_IsCorrect() {
    for (const char* name : {"a1", "a2"}) {
      this->domain.EngineFault(name,
                               R"({"duplicate":0.3,"late":0.3,"foreign":0.3})");
    }
    const auto result = this->domain.Complete(this->daemon, "Ten loaves", 60);
    CPPUNIT_ASSERT_EQUAL(this->domain.ExpectedText("Ten loaves", 60),
                         TextOf(result));
  }

  void Stage_KilledDuringAnswer_AnswerIsCorrect() {
    auto answer = this->StartLongRequest();
    this->domain.KillEngine(this->FindBusyEngine('b'));
    this->CheckLongAnswer(answer);
    CPPUNIT_ASSERT(this->ReadMetric("zincstep_recoveries_total") >= 1);
  }

  void Stage_HangsDuringAnswer_AnswerIsCorrect() {
    auto answer = this->StartLongRequest();
    this->domain.EngineFault(this->FindBusyEngine('c'), R"({"stalled":true})");
    this->CheckLongAnswer(answer);
    CPPUNIT_ASSERT(this->ReadMetric("zincstep_recoveries_total") >= 1);
  }

  void Stage_LinkSlows_AnswerIsCorrect() {
    auto answer = this->StartLongRequest();
    this->domain.EngineFault(this->FindBusyEngine('a'), R"({"link_ms":60})");
    this->CheckLongAnswer(answer);
  }

  void TwoStages_KilledAtOnce_AnswerIsCorrect() {
    auto answer = this->StartLongRequest();
    const std::string first = this->FindBusyEngine('a');
    const std::string last = this->FindBusyEngine('c');
    this->domain.KillEngine(first);
    this->domain.KillEngine(last);
    this->CheckLongAnswer(answer);
  }

  void AllUpstreams_OfRangeDead_IsRefusedAsNotRun() {
    this->domain.KillEngine("b1");
    this->domain.KillEngine("b2");
    HttpCallResult result;
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] {
      result = this->domain.Complete(this->daemon, "x", 2);
      return KindOf(result) == "no_capacity";
    }));
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.body.find("\"not_run\"") != std::string::npos);
    CPPUNIT_ASSERT(!FindHeader(result.headers, "Retry-After").empty());
  }

  void Caller_Disconnects_FreesAllStages() {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->daemon.Settings().listen + "/v1/completions";
    call.headers = {{"Authorization", "Bearer test-key"}};
    call.body = R"({"model":"demo","prompt":"x","max_tokens":400})";
    call.timeout = 300ms;
    CPPUNIT_ASSERT(FetchBlocking(call).end == CallEnd::TimedOut);
    CPPUNIT_ASSERT(LocalDomain::Eventually(
        [this] { return this->BusyEngines().empty(); }));
    CPPUNIT_ASSERT(LocalDomain::Eventually([this] {
      double all = 0;
      for (const char* name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
        all += this->domain.EngineLoadOf(name);
      }
      return all == 0;
    }));
  }

  void Key_Repeated_GetsSameResponse() {
    this->domain.WaitMembers(1);
    const HttpHeaders key{{"Idempotency-Key", "draft-1"}};
    const auto first = this->domain.Complete(this->daemon, "Dear", 8, key);
    const auto repeated = this->domain.Complete(this->daemon, "Dear", 8, key);
    CPPUNIT_ASSERT_EQUAL(200, first.status);
    CPPUNIT_ASSERT_EQUAL(first.body, repeated.body);
    CPPUNIT_ASSERT(!FindHeader(repeated.headers, "zincstep-repeated").empty());
    const auto reused = this->domain.Complete(this->daemon, "Other", 8, key);
    CPPUNIT_ASSERT_EQUAL(std::string("key_reused"), KindOf(reused));
  }

  void Upstream_Leaving_GetsNoNewWork() {
    this->domain.ListUpstream("b1", true);
    CPPUNIT_ASSERT(LocalDomain::Eventually([this] {
      const Json status = this->domain.Admin(this->daemon, "/v1/status");
      return status.at("leaving") == Json::array({"b1"});
    }));
    std::vector<std::future<HttpCallResult>> answers;
    for (int i = 0; i < 12; ++i) {
      answers.push_back(std::async(std::launch::async, [this] {
        return this->domain.Complete(this->daemon, "x", 40);
      }));
    }
    bool usedB1 = false;
    for (int i = 0; i < 20; ++i) {
      for (const std::string& name : this->BusyEngines()) {
        usedB1 = usedB1 || name == "b1";
      }
    }
    for (auto& answer : answers) {
      CPPUNIT_ASSERT_EQUAL(200, answer.get().status);
    }
    CPPUNIT_ASSERT(!usedB1);
    CPPUNIT_ASSERT_EQUAL(0.0, this->domain.EngineLoadOf("b1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelRequestTest);

}  // namespace
}  // namespace zincstep
