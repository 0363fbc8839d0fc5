// An entry may come from another writer: with fields missing or of another
// type, a state that nobody knows, or bytes that are no JSON. Such an entry
// left the one before it in use, and a field of another type was filled with a
// default, so that requests went to whoever the damaged entry seemed to name.
// In the daemons' own entries a field of another type ended the daemon.

#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Core/Random.h"
#include "Zincstep/Edge/DaemonEntry.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

constexpr const char* kRight =
    R"({"backend":"s","address":"10.0.0.1:80","zone":"a","configVersion":"v1",)"
    R"("slots":4,"state":"ready","coldRemainingMs":0,"sequence":3,"born":7,)"
    R"("routeType":"k","layers":{"from":0,"targetVersion":2}})";

/// Of another upstream.
constexpr const char* kOther =
    R"({"backend":"s","address":"10.0.0.2:80","zone":"a","slots":4,)"
    R"("state":"ready"})";

class WrongEntryTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(WrongEntryTest);
  CPPUNIT_TEST(Entry_Right_NamesItsUpstream);
  CPPUNIT_TEST(Entry_FieldMissing_NamesNone);
  CPPUNIT_TEST(Entry_FieldOfAnotherType_NamesNone);
  CPPUNIT_TEST(Entry_NumberOutOfRange_NamesNone);
  CPPUNIT_TEST(Entry_NoObject_NamesNone);
  CPPUNIT_TEST(Entry_OneNameTwice_NamesNone);
  CPPUNIT_TEST(Entry_WrongAfterRight_TakesTheUpstreamOutOfUse);
  CPPUNIT_TEST(Entry_RightAgain_BringsTheUpstreamBack);
  CPPUNIT_TEST(Entry_WrongInAPeersList_TakesTheUpstreamOutOfUse);
  CPPUNIT_TEST(Entry_DamagedAtRandom_LeavesTheOthers);
  CPPUNIT_TEST(DaemonEntry_OfAnotherType_NamesNone);
  CPPUNIT_TEST_SUITE_END();

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  FakeClock clock;
  ClusterView view{*decoder, *this, clock};
  std::uint64_t revision = 1;

  bool NamesOne(const std::string& aText) {
    return decoder->DecodeUpstream("i1", aText).has_value();
  }

  /// The right entry with a part replaced.
  static std::string With(const std::string& aPart,
                          const std::string& aReplaced) {
    std::string text = kRight;
    const std::size_t at = text.find(aPart);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, aPart.size(), aReplaced);
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
  void Entry_Right_NamesItsUpstream() {
    CPPUNIT_ASSERT(this->NamesOne(kRight));
    // A plain service has neither layers nor a kind of accelerator.
    CPPUNIT_ASSERT(this->NamesOne(
        With(R"(,"routeType":"k","layers":{"from":0,"targetVersion":2})", "")));
    // One of a model that holds no layers yet tells null.
    CPPUNIT_ASSERT(
        this->NamesOne(With(R"({"from":0,"targetVersion":2})", "null")));
    // Who has not told its start yet is known by its id alone.
    CPPUNIT_ASSERT(this->NamesOne(With(R"("born":7,)", "")));
  }

  void Entry_FieldMissing_NamesNone() {
    for (const char* part :
         {R"("backend":"s",)", R"("address":"10.0.0.1:80",)", R"("zone":"a",)",
          R"("slots":4,)", R"("state":"ready",)"}) {
      CPPUNIT_ASSERT_MESSAGE(part, !this->NamesOne(With(part, "")));
    }
  }

  void Entry_FieldOfAnotherType_NamesNone() {
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
    for (const auto& [part, wrong] : cases) {
      for (const char* one : wrong) {
        CPPUNIT_ASSERT_MESSAGE(std::string(part) + " " + one,
                               !this->NamesOne(With(part, one)));
      }
    }
  }

  void Entry_NumberOutOfRange_NamesNone() {
    for (const char* number : {"-1", "9223372036854775808",
                               "18446744073709551616", "1e400", "2147483648"}) {
      const std::string text = std::string(":") + number;
      CPPUNIT_ASSERT_MESSAGE(number, !this->NamesOne(With(":4", text)));
      const std::string layers = R"({"from":0,"targetVersion")" + text + "}";
      CPPUNIT_ASSERT_MESSAGE(
          number,
          !this->NamesOne(With(R"({"from":0,"targetVersion":2})", layers)));
    }
    CPPUNIT_ASSERT(!this->NamesOne(With(":4", ":0")));
    CPPUNIT_ASSERT(!this->NamesOne(With(":7", ":-7")));
    CPPUNIT_ASSERT(!this->NamesOne(With(":7", ":9223372036854775808")));
    CPPUNIT_ASSERT(!this->NamesOne(With(R"("from":0,"targetVersion":2)",
                                        R"("from":2,"targetVersion":0)")));
  }

  void Entry_NoObject_NamesNone() {
    const std::string deep(100'000, '[');
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("[]"),
          std::string("7"), std::string("{"), std::string("\xff\xfe{}"), deep,
          std::string(1 << 20, 'x'), std::string(kRight) + "}",
          With("10.0.0.1", "10.0.\xc3\x28.1")}) {
      CPPUNIT_ASSERT(!this->NamesOne(text));
    }
  }

  void Entry_OneNameTwice_NamesNone() {
    CPPUNIT_ASSERT(!this->NamesOne(
        With(R"("zone":"a")", R"("zone":"a","address":"10.0.0.2:80")")));
  }

  void Entry_WrongAfterRight_TakesTheUpstreamOutOfUse() {
    this->Put("i1", kRight);
    this->Put("i2", kOther);
    this->Put("i1", With(R"("ready")", R"("resting")"));
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
    CPPUNIT_ASSERT(this->IsUsable("i2"));
  }

  void Entry_RightAgain_BringsTheUpstreamBack() {
    this->Put("i1", kRight);
    this->Put("i1", "{");
    this->Put("i1", kRight);
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  void Entry_WrongInAPeersList_TakesTheUpstreamOutOfUse() {
    this->Put("i1", kRight);
    this->Put("i2", kOther);
    ClusterView other{*decoder, *this, clock};
    other.OnUpstreams(
        {{{"i1", "{}", revision + 1}, {"i2", kOther, 3}}, revision + 1});
    view.OnUpdate(other.UpdateFor(view.Revisions()), clock.Now());
    CPPUNIT_ASSERT(!this->IsUsable("i1"));
    CPPUNIT_ASSERT(this->IsUsable("i2"));
  }

  void Entry_DamagedAtRandom_LeavesTheOthers() {
    constexpr int kCases = 10'000;
    Random random{11};
    this->Put("i2", kOther);
    for (int i = 0; i < kCases; ++i) {
      std::string text = kRight;
      const std::size_t damages = 1 + random.Below(4);
      for (std::size_t damage = 0; damage < damages; ++damage) {
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
      // Whatever is in use was decoded from what stands there now.
      CPPUNIT_ASSERT_EQUAL(this->NamesOne(text),
                           view.Directory().Find("i1") != nullptr);
      CPPUNIT_ASSERT(this->IsUsable("i2"));
    }
    this->Put("i1", kRight);
    CPPUNIT_ASSERT(this->IsUsable("i1"));
  }

  void DaemonEntry_OfAnotherType_NamesNone() {
    for (const char* text :
         {R"({"peer":7,"failure_domain":"a"})", R"({"peer":"h:1"})", "{}",
          R"({"peer":"h:1","failure_domain":null})", "[]", "", "\xff"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !DaemonEntry::Read("members/d1", text));
    }
    CPPUNIT_ASSERT(DaemonEntry::Read("members/d1",
                                     R"({"peer":"h:1","failure_domain":"a"})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WrongEntryTest);

}  // namespace
}  // namespace zincstep
