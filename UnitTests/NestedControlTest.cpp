// JSON and YAML that the entry daemon and the client read, nested as deep as a
// value of the store is long; see NestedTextTest.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/NestedTexts.h"
#include "Zincstep/Config/Config.h"
#include "Zincstep/Control/Control.h"
#include "Zincstep/Engine/Engine.h"
#include "Zincstep/Entry/CallerRequest.h"
#include "Zincstep/Once/Once.h"

namespace zincstep {
namespace {

class NestedControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NestedControlTest);
  CPPUNIT_TEST(CallerRequest_Nested_Is400);
  CPPUNIT_TEST(EngineText_Nested_IsRejected);
  CPPUNIT_TEST(MemberLists_Nested_AreRejected);
  CPPUNIT_TEST(DomainStatus_Nested_IsRejected);
  CPPUNIT_TEST(ConfigurationRoot_Nested_IsRejected);
  CPPUNIT_TEST(ConfigurationPiece_Nested_IsRejected);
  CPPUNIT_TEST(YamlFile_Nested_IsRejected);
  CPPUNIT_TEST(YamlFile_AliasOfItself_IsRejected);
  CPPUNIT_TEST(YamlFile_AliasesThatMultiply_AreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallerRequest_Nested_Is400() {
    for (const std::string& text : NestedIn(
             R"("model":"m")", {"prompt", "messages", "n", "stream", "x"})) {
      for (const bool isChat : {false, true}) {
        const auto request = ReadCompletion(text, isChat);
        CPPUNIT_ASSERT(!request &&
                       request.error().kind == ErrorKind::BadRequest);
      }
    }
  }

  void EngineText_Nested_IsRejected() {
    for (const std::string& text : NestedIn("", {"stages", "x"})) {
      CPPUNIT_ASSERT(!ReadLine(text));
      CPPUNIT_ASSERT(!ReadAttempt(text));
      CPPUNIT_ASSERT(!ReadLoad(text));
      CPPUNIT_ASSERT(!ReadProgress(text).hasResponded);
    }
  }

  void MemberLists_Nested_AreRejected() {
    for (const std::string& text :
         NestedIn(R"("version":1,"lists":[])", {"handed_to", "x"})) {
      CPPUNIT_ASSERT(!ReadMemberLists(text));
    }
  }

  void DomainStatus_Nested_IsRejected() {
    for (const std::string& text : NestedIn("", {"daemons", "x"})) {
      CPPUNIT_ASSERT(!ReadDomainStatus(text));
    }
  }

  void ConfigurationRoot_Nested_IsRejected() {
    for (const std::string& text : NestedIn("", {"pieces", "x"})) {
      CPPUNIT_ASSERT(!ReadRoot(text));
    }
  }

  // A writer of a piece also writes the root with the piece's digest.
  void ConfigurationPiece_Nested_IsRejected() {
    for (const std::string& text : NestedIn("", {"x"})) {
      for (const char* section : {"limits", "organisations/01"}) {
        ConfigurationPieces pieces;
        pieces.names = {{section, Sha256Hex(text)}};
        pieces.texts = {{pieces.names.front().digest, text}};
        CPPUNIT_ASSERT(!JoinConfiguration(pieces));
        (void)CompareConfigurations(pieces, {});
      }
    }
  }

  void YamlFile_Nested_IsRejected() {
    std::vector<std::string> texts = NestedIn("", {"models", "x"});
    texts.push_back(Repeat("- ", kValueBytes / 2) + "a");
    texts.push_back(Repeat("? ", kValueBytes / 2) + "a");
    std::string indented;
    for (int i = 0; i < 1000; ++i) {
      indented += std::string(static_cast<std::size_t>(i), ' ') + "a:\n";
    }
    texts.push_back(indented);
    for (const std::string& text : texts) {
      CPPUNIT_ASSERT(!ParseConfiguration(text).errors.empty());
    }
  }

  void YamlFile_AliasOfItself_IsRejected() {
    for (const char* text : {"&a [*a]", "models: &a [*a]", "x: &a {y: *a}"}) {
      CPPUNIT_ASSERT(!ParseConfiguration(text).errors.empty());
    }
  }

  // Guards against ten lines that name 10^12 nodes.
  void YamlFile_AliasesThatMultiply_AreRejected() {
    std::string text = "x0: &x0 [1, 1, 1, 1, 1, 1, 1, 1, 1, 1]\n";
    for (int i = 1; i < 12; ++i) {
      const std::string name = "x" + std::to_string(i);
      const std::string before = "*x" + std::to_string(i - 1);
      text += name + ": &" + name + " [" + Repeat(before + " , ", 9) + before +
              " ]\n";
    }
    CPPUNIT_ASSERT(!ParseConfiguration(text).errors.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NestedControlTest);

}  // namespace
}  // namespace zincstep
