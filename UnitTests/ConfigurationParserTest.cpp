#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "Zincstep/Config/Config.h"

namespace zincstep {
namespace {

constexpr const char* kSmallFile = R"(zincstep: 1
failure_domains:
  - {name: hall-a, region: west}
kinds:
  - {name: quick, layer_step_us: 100, batch_slots: 4}
models:
  - {name: m, layers: 4, serving: v1, versions: [v1]}
organisations:
  - {name: shops, keys: [], models: [m]}
upstreams:
  - {name: u1, address: "127.0.0.1:1", failure_domain: hall-a, kind: quick,
     model: m, layers: [0, 4]}
)";

class ConfigurationParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationParserTest);
  CPPUNIT_TEST(Parse_SmallFile_IsValid);
  CPPUNIT_TEST(Parse_SeveralErrors_AreReportedTogether);
  CPPUNIT_TEST(Parse_UnknownKey_IsAnErrorWithItsLine);
  CPPUNIT_TEST(Parse_MalformedYaml_IsOneError);
  CPPUNIT_TEST(Parse_NotUtf8_IsAnError);
  CPPUNIT_TEST(Parse_KeyOfTwoOrganisations_IsAnError);
  CPPUNIT_TEST(Split_ThenJoin_IsEquivalent);
  CPPUNIT_TEST(Split_OrderOfItems_DoesNotMatter);
  CPPUNIT_TEST(Join_CorruptPiece_Fails);
  CPPUNIT_TEST(IsRepeatable_LongestPrefix_Decides);
  CPPUNIT_TEST_SUITE_END();

  static bool HasError(const ParsedConfiguration& aParsed,
                       const std::string& aPath, int aLine) {
    return std::any_of(aParsed.errors.begin(), aParsed.errors.end(),
                       [&](const ConfigurationError& aError) {
                         return aError.path == aPath && aError.line == aLine;
                       });
  }

 public:
  void Parse_SmallFile_IsValid() {
    const ParsedConfiguration parsed = ParseConfiguration(kSmallFile);
    CPPUNIT_ASSERT(parsed.IsValid());
    CPPUNIT_ASSERT_EQUAL(4, parsed.configuration.upstreams[0].layers.last);
    CPPUNIT_ASSERT(parsed.configuration.kinds[0].layerStep == 100us);
  }

  void Parse_SeveralErrors_AreReportedTogether() {
    std::string file = kSmallFile;
    file.replace(file.find("layers: 4"), 9, "layers: 0");
    file.replace(file.find("kind: quick"), 11, "kind: qiuck");
    file.replace(file.find("[0, 4]"), 6, "[4, 0]");
    const ParsedConfiguration parsed = ParseConfiguration(file);
    CPPUNIT_ASSERT(HasError(parsed, "models[0].layers", 7));
    CPPUNIT_ASSERT(HasError(parsed, "upstreams.u1.kind", 0));
    CPPUNIT_ASSERT(HasError(parsed, "upstreams[0].layers", 12));
  }

  void Parse_UnknownKey_IsAnErrorWithItsLine() {
    std::string file = kSmallFile;
    file.replace(file.find("keys: []"), 8, "kyes: []");
    const ParsedConfiguration parsed = ParseConfiguration(file);
    CPPUNIT_ASSERT(HasError(parsed, "organisations[0].kyes", 9));
  }

  void Parse_MalformedYaml_IsOneError() {
    const ParsedConfiguration parsed = ParseConfiguration("a: [1,\n b: }");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.errors.size());
    CPPUNIT_ASSERT(parsed.errors[0].line >= 1);
  }

  void Parse_NotUtf8_IsAnError() {
    const ParsedConfiguration parsed =
        ParseConfiguration(std::string(kSmallFile) + "# \xB1\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.errors.size());
  }

  void Parse_KeyOfTwoOrganisations_IsAnError() {
    const std::string hash(64, 'a');
    std::string file = kSmallFile;
    file.replace(file.find("keys: []"), 8, "keys: [" + hash + "]");
    file.insert(file.find("upstreams:"),
                "  - {name: other, keys: [" + hash + "]}\n");
    const ParsedConfiguration parsed = ParseConfiguration(file);
    CPPUNIT_ASSERT(HasError(parsed, "organisations.other.keys", 0));
  }

  void Split_ThenJoin_IsEquivalent() {
    const ConfigurationPieces pieces = SplitConfiguration(kSmallFile);
    const Result<std::string> joined = JoinConfiguration(pieces);
    CPPUNIT_ASSERT(joined.has_value());
    CPPUNIT_ASSERT(ParseConfiguration(*joined).IsValid());
    CPPUNIT_ASSERT_EQUAL(pieces.Digest(), SplitConfiguration(*joined).Digest());
  }

  void Split_OrderOfItems_DoesNotMatter() {
    const std::string one =
        "failure_domains:\n- {name: a, region: r}\n- {name: b, region: r}\n";
    const std::string other =
        "failure_domains:\n- {region: r, name: b}\n- {name: a, region: r}\n";
    CPPUNIT_ASSERT_EQUAL(SplitConfiguration(one).Digest(),
                         SplitConfiguration(other).Digest());
  }

  void Join_CorruptPiece_Fails() {
    ConfigurationPieces pieces = SplitConfiguration(kSmallFile);
    pieces.texts.begin()->second += " ";
    CPPUNIT_ASSERT(!JoinConfiguration(pieces).has_value());
  }

  void IsRepeatable_LongestPrefix_Decides() {
    PlainService service;
    service.calls = {{"POST", "/a/", false}, {"POST", "/a/read/", true}};
    CPPUNIT_ASSERT(!IsRepeatable(service, "POST", "/a/x"));
    CPPUNIT_ASSERT(IsRepeatable(service, "POST", "/a/read/x"));
    CPPUNIT_ASSERT(!IsRepeatable(service, "POST", "/b"));
    CPPUNIT_ASSERT(IsRepeatable(service, "GET", "/b"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationParserTest);

}  // namespace
}  // namespace zincstep
