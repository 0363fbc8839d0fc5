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
  CPPUNIT_TEST(Answer_ThroughThreeStages_IsRight);
  CPPUNIT_TEST(Answer_Streamed_HasEventsAndEnd);
  CPPUNIT_TEST(Answer_WithDuplicatesLateAndForeign_IsRight);
  CPPUNIT_TEST(Stage_KilledInMidAnswer_AnswerIsRight);
  CPPUNIT_TEST(Stage_HangsInMidAnswer_AnswerIsRight);
  CPPUNIT_TEST(Stage_LinkSlows_AnswerIsRight);
  CPPUNIT_TEST(TwoStages_KilledAtOnce_AnswerIsRight);
  CPPUNIT_TEST(AllHolders_OfARangeDead_IsRefusedAsNotRun);
  CPPUNIT_TEST(Caller_GoesAway_FreesAllStages);
  CPPUNIT_TEST(Key_Repeated_GetsTheSameAnswer);
  CPPUNIT_TEST(Upstream_Leaving_GetsNoNewWork);
  CPPUNIT_TEST_SUITE_END();

  LocalDomain domain{TwoOfEach()};
  EntryDaemon& daemon{this->domain.AddDaemon("entry-1")};

  /// Starts a long answer and waits until engines work on it.
  std::future<HttpCallResult> BeginLong() {
    auto answer = std::async(std::launch::async, [this] {
      return this->domain.Complete(this->daemon, "A long order", 200);
    });
    CPPUNIT_ASSERT(
        LocalDomain::Eventually([this] { return !this->Busy().empty(); }));
    return answer;
  }

  /// Engines that hold a sequence, by the daemon's own count.
  std::vector<std::string> Busy() {
    std::vector<std::string> busy;
    const Json views = this->domain.Admin(this->daemon, "/v1/upstreams");
    for (const Json& one : views.at("upstreams")) {
      if (one.at("own").get<int>() > 0) {
        busy.push_back(one.at("name"));
      }
    }
    return busy;
  }

  std::string BusyWith(char aLetter) {
    for (const std::string& name : this->Busy()) {
      if (name[0] == aLetter) {
        return name;
      }
    }
    return "";
  }

  void CheckLong(std::future<HttpCallResult>& aAnswer) {
    CPPUNIT_ASSERT_EQUAL(this->domain.RightText("A long order", 200),
                         TextOf(aAnswer.get()));
  }

  double Metric(const std::string& aName) {
    HttpCall call;
    call.url = "http://" + this->daemon.Settings().adminListen + "/metrics";
    const std::string text = FetchBlocking(call).body;
    const std::size_t at = text.find("\n" + aName + " ");
    return at == std::string::npos
               ? 0
               : std::stod(text.substr(at + aName.size() + 2));
  }

 public:
  void Answer_ThroughThreeStages_IsRight() {
    const auto result = this->domain.Complete(this->daemon, "Ten loaves", 30);
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT_EQUAL(this->domain.RightText("Ten loaves", 30),
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
    // Five tokens, the end, and the mark that all is over.
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, events);
    CPPUNIT_ASSERT(result.body.ends_with("data: [DONE]\n\n"));
  }

  void Answer_WithDuplicatesLateAndForeign_IsRight() {
    for (const char* name : {"a1", "a2"}) {
      this->domain.EngineFault(name,
                               R"({"duplicate":0.3,"late":0.3,"foreign":0.3})");
    }
    const auto result = this->domain.Complete(this->daemon, "Ten loaves", 60);
    CPPUNIT_ASSERT_EQUAL(this->domain.RightText("Ten loaves", 60),
                         TextOf(result));
  }

  void Stage_KilledInMidAnswer_AnswerIsRight() {
    auto answer = this->BeginLong();
    this->domain.KillEngine(this->BusyWith('b'));
    this->CheckLong(answer);
    CPPUNIT_ASSERT(this->Metric("zincstep_recoveries_total") >= 1);
  }

  void Stage_HangsInMidAnswer_AnswerIsRight() {
    auto answer = this->BeginLong();
    this->domain.EngineFault(this->BusyWith('c'), R"({"stalled":true})");
    this->CheckLong(answer);
    CPPUNIT_ASSERT(this->Metric("zincstep_recoveries_total") >= 1);
  }

  void Stage_LinkSlows_AnswerIsRight() {
    auto answer = this->BeginLong();
    this->domain.EngineFault(this->BusyWith('a'), R"({"link_ms":60})");
    this->CheckLong(answer);
  }

  void TwoStages_KilledAtOnce_AnswerIsRight() {
    auto answer = this->BeginLong();
    const std::string first = this->BusyWith('a');
    const std::string last = this->BusyWith('c');
    this->domain.KillEngine(first);
    this->domain.KillEngine(last);
    this->CheckLong(answer);
  }

  void AllHolders_OfARangeDead_IsRefusedAsNotRun() {
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

  void Caller_GoesAway_FreesAllStages() {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->daemon.Settings().listen + "/v1/completions";
    call.headers = {{"Authorization", "Bearer test-key"}};
    call.body = R"({"model":"demo","prompt":"x","max_tokens":400})";
    call.timeout = 300ms;
    CPPUNIT_ASSERT(FetchBlocking(call).end == CallEnd::TimedOut);
    CPPUNIT_ASSERT(
        LocalDomain::Eventually([this] { return this->Busy().empty(); }));
    CPPUNIT_ASSERT(LocalDomain::Eventually([this] {
      double all = 0;
      for (const char* name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
        all += this->domain.EngineLoadOf(name);
      }
      return all == 0;
    }));
  }

  void Key_Repeated_GetsTheSameAnswer() {
    this->domain.WaitMembers(1);
    const HttpHeaders key{{"Idempotency-Key", "draft-1"}};
    const auto first = this->domain.Complete(this->daemon, "Dear", 8, key);
    const auto again = this->domain.Complete(this->daemon, "Dear", 8, key);
    CPPUNIT_ASSERT_EQUAL(200, first.status);
    CPPUNIT_ASSERT_EQUAL(first.body, again.body);
    CPPUNIT_ASSERT(!FindHeader(again.headers, "zincstep-repeated").empty());
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
      for (const std::string& name : this->Busy()) {
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
