#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "UnitTests/NestedTexts.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Core/ForeignJson.h"
#include "Zincstep/Core/Random.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// One of the elements of a list, drawn from odd and valid ones.
std::string DrawElement(Random& aRandom, const std::string& aList) {
  const std::string number = std::to_string(aRandom.Below(6));
  const std::vector<std::string> odd{
      "null",
      "7",
      "\"text\"",
      "[]",
      "{}",
      "",
      " ",
      "[{}]",
      R"({"name":"a"})",
      R"({"name":"a","name":"b","hostname":"h","pathPrefix":"/","timeoutMs":1,)"
      R"("backend":"s"})",
      R"({"name":"x]},{[\"\\","hostname":"h","pathPrefix":"/","timeoutMs":1,)"
      R"("backend":"s"})",
      R"({"name":"\ud800"})",
      "{\"name\":\"\xff\"}",
      "\xef\xbb\xbf{\"name\":\"a\"}",
      std::string("{\"name\":\"a\"}\0{}", 14),
      R"({"name":"a"}})",
      R"({"name":"a"]})",
      R"({"name":"a"}{"name":"b"})",
      R"({"name":"a"},)",
      R"({"name":1e999})",
  };
  if (aRandom.Below(12) == 0) {
    return odd[aRandom.Below(odd.size())];
  }
  if (aList == "routes") {
    return R"({"name":"r)" + number +
           R"(","hostname":"h","pathPrefix":"/p/","routeType":"safe",)"
           R"("timeoutMs":2000,"maxAttempts":)" +
           number + R"(,"trafficSplit":[{"backend":"s1"},)" +
           R"({"backend":"s2","weight":0.5}]})";
  }
  if (aList == "services") {
    return R"({"name":"s)" + number +
           R"(","engine":{"layers":32,"layer_mb":400,"kvTokenBytes":1000,)"
           R"("step_ms":1,"models":[{"name":"m"}],"kinds":[{"name":"k",)"
           R"("mb":1000}]}})";
  }
  return R"({"name":"t)" + number + R"(","apiKeys":["k)" + number +
         R"("],"priority":)" + number + "}";
}

/// A configuration whose lists have up to five elements of few different ones,
/// so that two of them share most; some are malformed.
std::string DrawText(Random& aRandom) {
  std::vector<std::string> fields{
      R"("configVersion":)" + std::to_string(aRandom.Below(100)),
      R"("limits":{"maxBodyBytes":100,"x":["routes",{"routes":[{}]}]})"};
  for (const char* list : {"routes", "services", "tenants"}) {
    std::string text = "\"" + std::string(list) + "\":[";
    const std::uint64_t size = aRandom.Below(6);
    for (std::uint64_t i = 0; i < size; ++i) {
      text += (i > 0 ? "," : "") + std::string(aRandom.Below(3), ' ') +
              DrawElement(aRandom, list) + std::string(aRandom.Below(2), '\n');
    }
    fields.push_back(text + (aRandom.Below(9) == 0 ? " ]" : "]"));
  }
  const std::vector<std::string> oddFields{
      R"("routes":null)",      R"("services":[])", R"("tenants":{"a":{}})",
      R"("rout\u0065s":[])",   R"("x":"routes")",  R"("routes":{})",
      R"("y":[[[{"a":"]"}]]])"};
  while (aRandom.Below(6) == 0) {
    fields.push_back(oddFields[aRandom.Below(oddFields.size())]);
  }
  std::string text;
  while (!fields.empty()) {
    const std::size_t at = aRandom.Below(fields.size());
    text += (text.empty() ? "" : ",") + fields[at];
    fields.erase(fields.begin() + static_cast<std::ptrdiff_t>(at));
  }
  text = "{" + text + "}";
  constexpr std::string_view kBytes("{}[],:\"\\ \0a1\xff", 13);
  while (aRandom.Below(8) == 0) {
    const std::size_t at = aRandom.Below(text.size());
    const std::size_t replaced = aRandom.Below(2);
    text.replace(at, replaced, 1, kBytes[aRandom.Below(kBytes.size())]);
  }
  return aRandom.Below(60) == 0 ? text.substr(0, aRandom.Below(text.size()))
                                : text;
}

/// Decoding of a configuration beside the former one.
class ConfigurationChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationChangeTest);
  CPPUNIT_TEST(Change_RandomTexts_AreDecodedAsAWhole);
  CPPUNIT_TEST(Change_OfOneRoute_DecodesOnlyThatRoute);
  CPPUNIT_TEST(Change_NestedTooDeep_IsRejected);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();

  DecodedConfiguration Decoded(const std::string& aText) const {
    auto configuration = decoder->DecodeConfiguration(aText);
    return configuration
               ? DecodedConfiguration{std::make_shared<const std::string>(
                                          aText),
                                      std::make_shared<const RouteTable>(
                                          std::move(*configuration))}
               : DecodedConfiguration{};
  }

 public:
  // Guards against a text that is accepted, rejected or read in another way
  // because of the configuration before it.
  void Change_RandomTexts_AreDecodedAsAWhole() {
    constexpr int kTexts = 60'000;
    Random random(4711);
    DecodedConfiguration former;
    int accepted = 0;
    int compared = 0;
    for (int i = 0; i < kTexts; ++i) {
      const std::string text = DrawText(random);
      const auto whole = decoder->DecodeConfiguration(text);
      const auto change = decoder->DecodeChange(text, former);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, whole.has_value(), change.has_value());
      if (!whole) {
        CPPUNIT_ASSERT_EQUAL(whole.error().message, change.error().message);
        CPPUNIT_ASSERT(whole.error().kind == change.error().kind);
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(text, *whole == *change);
      accepted += 1;
      compared += former.table ? 1 : 0;
      former = this->Decoded(text);
    }
    CPPUNIT_ASSERT(compared > kTexts / 20);
    CPPUNIT_ASSERT(accepted < kTexts * 9 / 10);
  }

  // Guards against a daemon that decodes the whole of each version: 1,400
  // routes took 7 ms on a whole core, 60 ms on the smallest VM.
  void Change_OfOneRoute_DecodesOnlyThatRoute() {
    const auto route = [](const std::string& aName) {
      return R"({"name":")" + aName +
             R"(","hostname":"h","pathPrefix":"/","timeoutMs":1,)"
             R"("backend":"s"})";
    };
    const std::string head = R"({"configVersion":1,"services":[)"
                             R"({"name":"s"}],"tenants":[{"name":"t"}],)";
    const std::string text = head + R"("routes":[)" + route("a") + "," +
                             route("b") + "," + route("c") + "]}";
    RouteConfiguration marked = *decoder->DecodeConfiguration(text);
    // What is copied from the former configuration shows by its mark.
    marked.services[0].healthPath = "copied";
    marked.organisations->at(0).keys = {"copied"};
    for (Route& each : marked.routes) {
      each.host = "copied";
    }
    const DecodedConfiguration former{
        std::make_shared<const std::string>(text),
        std::make_shared<const RouteTable>(marked)};
    const auto change =
        decoder->DecodeChange(head + R"( "routes" : [)" + route("c") + "," +
                                  route("new") + " ,\n" + route("a") + "]}",
                              former);
    CPPUNIT_ASSERT(change);
    CPPUNIT_ASSERT_EQUAL(std::string("copied"), change->services[0].healthPath);
    CPPUNIT_ASSERT_EQUAL(std::string("copied"),
                         change->organisations->at(0).keys[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, change->routes.size());
    for (const auto& [index, name, host] :
         {std::tuple{0, "c", "copied"}, std::tuple{1, "new", "h"},
          std::tuple{2, "a", "copied"}}) {
      const Route& decoded = change->routes[static_cast<std::size_t>(index)];
      CPPUNIT_ASSERT_EQUAL(std::string(name), decoded.name);
      CPPUNIT_ASSERT_EQUAL(std::string(host), decoded.host);
    }
  }

  // Guards against nested texts that end the process: the parts of a text are
  // nested less deep than the whole.
  void Change_NestedTooDeep_IsRejected() {
    const std::string valid =
        R"({"configVersion":1,"routes":[],"services":[]})";
    const DecodedConfiguration former = this->Decoded(valid);
    for (const std::string& text :
         NestedIn(R"("configVersion":9,"services":[])", {"routes", "x"})) {
      CPPUNIT_ASSERT(!decoder->DecodeChange(text, former));
    }
    const auto nested = [](std::size_t aDepth) {
      return R"({"configVersion":2,"routes":[],"services":[{"name":"s","x":)" +
             std::string(aDepth, '[') + std::string(aDepth, ']') + "}]}";
    };
    // Three levels are around the innermost array.
    CPPUNIT_ASSERT(decoder->DecodeChange(nested(kMaxJsonDepth - 3), former));
    CPPUNIT_ASSERT(!decoder->DecodeChange(nested(kMaxJsonDepth - 2), former));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationChangeTest);

}  // namespace
}  // namespace zincstep
