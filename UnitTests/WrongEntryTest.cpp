// Another writer may store entries with missing fields, fields of a wrong type,
// unknown states or invalid JSON. Previously such an upstream entry left its
// predecessor in use, or a field of a wrong type got a default, so that
// requests went to whatever upstream the damaged entry seemed to name. A field
// of a wrong type in a daemon's entry crashed the daemon.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/UsersPool.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Core/Random.h"
#include "Zincstep/Edge/DaemonEntry.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

constexpr const char* kValid =
    R"({"backend":"s","address":"10.0.0.1:80","zone":"a","configVersion":"v1",)"
    R"("slots":4,"state":"ready","coldRemainingMs":0,"sequence":3,"born":7,)"
    R"("routeType":"k","layers":{"from":0,"targetVersion":2}})";

/// The entry of another upstream.
constexpr const char* kOther =
    R"({"backend":"s","address":"10.0.0.2:80","zone":"a","slots":4,)"
    R"("state":"ready"})";

class WrongEntryTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(WrongEntryTest);
  CPPUNIT_TEST(Entry_Valid_IsAccepted);
  CPPUNIT_TEST(Entry_FieldMissing_IsRejected);
  CPPUNIT_TEST(Entry_FieldOfWrongType_IsRejected);
  CPPUNIT_TEST(Entry_NumberOutOfRange_IsRejected);
  CPPUNIT_TEST(Entry_NotAnObject_IsRejected);
  CPPUNIT_TEST(Entry_DuplicateField_IsRejected);
  CPPUNIT_TEST(Entry_MalformedAfterValid_RemovesUpstream);
  CPPUNIT_TEST(Entry_ValidAgain_RestoresUpstream);
  CPPUNIT_TEST(Entry_MalformedInPeerList_RemovesUpstream);
  CPPUNIT_TEST(Entry_RandomlyDamaged_KeepsOthers);
  CPPUNIT_TEST(Entry_LayersBeyondTheModel_CountAsNone);
  CPPUNIT_TEST(DaemonEntry_WrongFieldType_IsRejected);
  CPPUNIT_TEST_SUITE_END();

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  ClusterView view{*decoder, *this, clock};
  std::uint64_t revision = 1;

  bool IsValid(const std::string& aText) {
    return decoder->DecodeUpstream("i1", aText).has_value();
  }

  /// Returns the valid entry with `aPart` replaced.
  static std::string With(const std::string& aPart,
                          const std::string& aReplacement) {
    std::string text = kValid;
    const std::size_t at = text.find(aPart);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, aPart.size(), aReplacement);
  }

  void Put(const std::string& aId, const std::string& aText) {
    revision += 1;
    view.OnUpstreamEvents({{{{aId, aText, revision}, false}}, revision});
  }

  bool IsUsable(const std::string& aId) {
    const UpstreamPtr upstream = view.Directory().Find(aId);
    return upstream && upstream->IsUsable(clock.Now());
  }

 public:
  void Entry_Valid_IsAccepted() {
    CPPUNIT_ASSERT(this->IsValid(kValid));
    // A plain service has neither layers nor a kind of accelerator.
    CPPUNIT_ASSERT(this->IsValid(
        With(R"(,"routeType":"k","layers":{"from":0,"targetVersion":2})", "")));
    // An upstream of a model that holds no layers yet has null.
    CPPUNIT_ASSERT(
        this->IsValid(With(R"({"from":0,"targetVersion":2})", "null")));
    // Without a start time an upstream is identified by its id alone.
    CPPUNIT_ASSERT(this->IsValid(With(R"("born":7,)", "")));
  }

  void Entry_FieldMissing_IsRejected() {
    for (const char* part :
         {R"("backend":"s",)", R"("address":"10.0.0.1:80",)", R"("zone":"a",)",
          R"("slots":4,)", R"("state":"ready",)"}) {
      CPPUNIT_ASSERT_MESSAGE(part, !this->IsValid(With(part, "")));
    }
  }

  void Entry_FieldOfWrongType_IsRejected() {
    const std::pair<const char*, std::vector<const char*>> cases[] = {
        {R"("s")", {"1", "null", "[]", R"("")"}},
        {R"("10.0.0.1:80")", {"1", R"("")", R"("10.0.0.1")", R"("x:y")"}},
        {R"("a")", {"1", "{}", "null"}},
        {":4", {R"(:"4")", ":4.5", ":true", ":null"}},
        {R"("ready")", {"1", R"("resting")", R"("READY")", "null"}},
        {":7", {R"(:"7")", ":7.5", ":null", ":[]"}},
        {R"("k")", {"1", "null", "{}"}},
        {R"({"from":0,"targetVersion":2})",
         {"1", "[]", R"("0-2")", "{}", R"({"from":0})",
          R"({"from":"0","targetVersion":2})",
          R"({"from":0.5,"targetVersion":2})"}}};
    for (const auto& [part, malformed] : cases) {
      for (const char* replacement : malformed) {
        CPPUNIT_ASSERT_MESSAGE(std::string(part) + " " + replacement,
                               !this->IsValid(With(part, replacement)));
      }
    }
  }

  void Entry_NumberOutOfRange_IsRejected() {
    for (const char* number : {"-1", "9223372036854775808",
                               "18446744073709551616", "1e400", "2147483648"}) {
      const std::string text = std::string(":") + number;
      CPPUNIT_ASSERT_MESSAGE(number, !this->IsValid(With(":4", text)));
      const std::string layers = R"({"from":0,"targetVersion")" + text + "}";
      CPPUNIT_ASSERT_MESSAGE(
          number,
          !this->IsValid(With(R"({"from":0,"targetVersion":2})", layers)));
    }
    CPPUNIT_ASSERT(!this->IsValid(With(":4", ":0")));
    CPPUNIT_ASSERT(!this->IsValid(With(":7", ":-7")));
    CPPUNIT_ASSERT(!this->IsValid(With(":7", ":9223372036854775808")));
    CPPUNIT_ASSERT(!this->IsValid(With(R"("from":0,"targetVersion":2)",
                                       R"("from":2,"targetVersion":0)")));
  }

  void Entry_NotAnObject_IsRejected() {
    const std::string deep(100'000, '[');
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("[]"),
          std::string("7"), std::string("{"), std::string("\xff\xfe{}"), deep,
          std::string(1 << 20, 'x'), std::string(kValid) + "}",
          With("10.0.0.1", "10.0.\xc3\x28.1")}) {
      CPPUNIT_ASSERT(!this->IsValid(text));
    }
  }

  void Entry_DuplicateField_IsRejected() {
    CPPUNIT_ASSERT(!this->IsValid(
        With(R"("zone":"a")", R"("zone":"a","address":"10.0.0.2:80")")));
  }

  void Entry_MalformedAfterValid_RemovesUpstream() {
    this->Put("i1", kValid);
    this->Put("i2", kOther);
    this->Put("i1", With(R"("ready")", R"("resting")"));
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
    CPPUNIT_ASSERT(this->IsUsable("i2"));
  }

  void Entry_ValidAgain_RestoresUpstream() {
    this->Put("i1", kValid);
    this->Put("i1", "{");
    this->Put("i1", kValid);
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  void Entry_MalformedInPeerList_RemovesUpstream() {
    this->Put("i1", kValid);
    this->Put("i2", kOther);
    ClusterView other{*decoder, *this, clock};
    other.OnUpstreams(
        {{{"i1", "{}", revision + 1}, {"i2", kOther, 3}}, revision + 1});
    view.OnUpdate(other.UpdateFor(view.Revisions()), clock.Now());
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
    CPPUNIT_ASSERT(this->IsUsable("i2"));
  }

  void Entry_RandomlyDamaged_KeepsOthers() {
    constexpr int kCases = 10'000;
    Random random{11};
    this->Put("i2", kOther);
    for (int i = 0; i < kCases; ++i) {
      std::string text = kValid;
      const std::size_t damageCount = 1 + random.Below(4);
      for (std::size_t damage = 0; damage < damageCount; ++damage) {
        const std::size_t at = random.Below(text.size());
        const char byte = static_cast<char>(random.Below(256));
        switch (random.Below(3)) {
          case 0:
            text[at] = byte;
            break;
          case 1:
            text.erase(at, 1 + random.Below(20));
            break;
          default:
            text.insert(at, 1 + random.Below(3), byte);
        }
      }
      this->Put("i1", text);
      // An upstream that is in use was decoded from the current entry.
      CPPUNIT_ASSERT_EQUAL(this->IsValid(text),
                           view.Directory().Find("i1") != nullptr);
      CPPUNIT_ASSERT(this->IsUsable("i2"));
    }
    this->Put("i1", kValid);
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  // Guards against reading past the model's layers, which ended the placement
  // leader.
  void Entry_LayersBeyondTheModel_CountAsNone() {
    const ModelShape model = UsersModel();
    std::vector<PlacedUpstream> pool = UsersPool();
    ApplyOrders(pool, PlacementPlanner{PlacementSettings{}}.Plan(
                          model, {pool, {}, {}}));
    std::vector<PlacedUpstream> withNone = pool;
    withNone.front().layers = {};
    const auto expected =
        PlacementPlanner{PlacementSettings{}}.Plan(model, {withNone, {}, {}});
    for (const LayerRange layers :
         {LayerRange{0, 1'000'000}, LayerRange{999'999, 1'000'000},
          LayerRange{model.layers, model.layers + 1}}) {
      std::vector<PlacedUpstream> damaged = pool;
      damaged.front().layers = layers;
      const auto orders =
          PlacementPlanner{PlacementSettings{}}.Plan(model, {damaged, {}, {}});
      CPPUNIT_ASSERT_EQUAL(expected.size(), orders.size());
    }
  }

  void DaemonEntry_WrongFieldType_IsRejected() {
    for (const char* text :
         {R"({"peer":7,"failure_domain":"a"})", R"({"peer":"h:1"})", "{}",
          R"({"peer":"h:1","failure_domain":null})", "[]", "", "\xff"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !DaemonEntry::Parse("members/d1", text));
    }
    CPPUNIT_ASSERT(DaemonEntry::Parse(
        "members/d1", R"({"peer":"h:1","failure_domain":"a"})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WrongEntryTest);

}  // namespace
}  // namespace zincstep
