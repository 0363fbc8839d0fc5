// Entries, keys and numbers of other processes that are valid JSON or nearly
// so, and that the formats do not allow. Each costs its own entry only, and the
// next change is followed.

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "UnitTests/RelayFixture.h"
#include "Zincstep/Cluster/StoreEraTracker.h"
#include "Zincstep/Core/ForeignJson.h"
#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/PeerMembers.h"

namespace zincstep {
namespace {

/// Numbers that are out of range for each field of an entry.
constexpr const char* kOddNumbers[] = {"-1",
                                       "0.5",
                                       "1e300",
                                       "-1e300",
                                       "1e999",
                                       "99999999999999999999",
                                       "-99999999999999999999",
                                       "18446744073709551615",
                                       "NaN",
                                       "Infinity"};

std::string EntryText(const std::string& aAddress, const std::string& aSlots) {
  return R"({"backend":"s","address":")" + aAddress +
         R"(","zone":"a","state":"ready","slots":)" + aSlots + "}";
}

class OddEntryTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(OddEntryTest);
  CPPUNIT_TEST(UpstreamEntry_PortOutOfRange_IsRejected);
  CPPUNIT_TEST(UpstreamEntry_OddNumber_CostsItselfAndIsCountedOnce);
  CPPUNIT_TEST(UpstreamEntry_IdThatIsNoName_IsRejected);
  CPPUNIT_TEST(DaemonEntry_OddLink_IsFinite);
  CPPUNIT_TEST(DaemonEntry_KeyThatIsNoName_IsRejected);
  CPPUNIT_TEST(DaemonEntry_Refused_IsCountedOncePerRevision);
  CPPUNIT_TEST(DaemonEntry_NameThatIsNotUtf8_IsWritten);
  CPPUNIT_TEST(StoreList_KeyThatIsNoText_KeepsTheOtherItems);
  CPPUNIT_TEST(StoreList_OddItem_KeepsTheOtherItems);
  CPPUNIT_TEST(StoreList_PageThatEndsWhereItBegan_IsNotReadForEver);
  CPPUNIT_TEST(StoreList_PageOfOddItems_IsNotTheLast);
  CPPUNIT_TEST(StoreWrite_KeyThatIsNotUtf8_IsSent);
  CPPUNIT_TEST(Order_RequestIdThatIsNotUtf8_IsSent);
  CPPUNIT_TEST(UpstreamReport_OddNumbers_AreClampedOrFail);
  CPPUNIT_TEST(Configuration_OddNumbers_AreClampedOrKeepTheLastOne);
  CPPUNIT_TEST(Depth_AtTheLimit_IsParsed);
  CPPUNIT_TEST_SUITE_END();

  StoreEraTracker eras;

  std::string Serve(const std::string& aBody) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
        loop, clock, [aBody](const auto& aTo, const auto&) {
          aTo->Answer(200, {}, aBody);
        }));
    return upstreams.back()->Address();
  }

  std::optional<Result<StoreRange>> RangeOf(const std::string& aBody) {
    auto store = platform::MakeStore(loop, this->Serve(aBody), eras).value();
    std::optional<Result<StoreRange>> range;
    store->Range(
        "p", [&](Result<StoreRange> aResult) { range = std::move(aResult); });
    this->RunUntil([&] { return range.has_value(); });
    return range;
  }

 public:
  void UpstreamEntry_PortOutOfRange_IsRejected() {
    for (const char* address :
         {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536",
          "10.0.0.1:80x", "10.0.0.1:", "10.0.0.1:99999999999999999999",
          R"(10.0.0.1\u0000:80)", R"(10.0.0.1\u0000\r\nX: y:80)"}) {
      CPPUNIT_ASSERT_MESSAGE(
          address, !decoder->DecodeUpstream("i1", EntryText(address, "4")));
    }
    CPPUNIT_ASSERT(
        decoder->DecodeUpstream("i1", EntryText("10.0.0.1:65535", "4")));
  }

  void UpstreamEntry_OddNumber_CostsItselfAndIsCountedOnce() {
    std::uint64_t revision = 1;
    std::uint64_t refused = 0;
    const auto put = [&](const std::string& aId, const std::string& aText) {
      view.OnUpstreamEvents({{{{aId, aText, revision}, false}}, revision});
    };
    put("kept", EntryText("10.0.0.2:80", "4"));
    for (const char* number : kOddNumbers) {
      revision += 1;
      put("odd", EntryText("10.0.0.1:80", number));
      put("odd", EntryText("10.0.0.1:80", number));
      refused += 1;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, refused, view.RefusedEntries());
      CPPUNIT_ASSERT(!view.Directory().Find("odd"));
      CPPUNIT_ASSERT(view.Directory().Find("kept"));
      revision += 1;
      put("odd", EntryText("10.0.0.1:80", "4"));
      CPPUNIT_ASSERT_MESSAGE(number, view.Directory().Find("odd"));
    }
  }

  // Guards against ids that would add a header field to each call.
  void UpstreamEntry_IdThatIsNoName_IsRejected() {
    for (const std::string& id :
         {std::string(), std::string("a b"), std::string("a\r\nX: y"),
          std::string("a\0b", 3), std::string("a\xff"),
          std::string("a\xed\xa0\x80"), std::string("a\xef\xbf\xbd")}) {
      CPPUNIT_ASSERT(
          !decoder->DecodeUpstream(id, EntryText("10.0.0.1:80", "4")));
    }
    CPPUNIT_ASSERT(
        decoder->DecodeUpstream("a/\xc3\xa4-1", EntryText("10.0.0.1:80", "4")));
  }

  void DaemonEntry_OddLink_IsFinite() {
    for (const char* number : kOddNumbers) {
      const auto daemon = DaemonEntry::Parse(
          "members/a/d1", R"({"peer":"h:1","failure_domain":"a","link_mbps":)" +
                              std::string(number) + "}");
      CPPUNIT_ASSERT(!daemon ||
                     (std::isfinite(daemon->linkMbps) &&
                      daemon->linkMbps >= 0 && daemon->linkMbps <= 1e9));
    }
  }

  void DaemonEntry_KeyThatIsNoName_IsRejected() {
    for (const std::string& key :
         {std::string("members/a/d\xff"), std::string("members/a/d\n"),
          std::string("members/a/d\xef\xbf\xbd"), std::string("members/a/")}) {
      CPPUNIT_ASSERT(
          !DaemonEntry::Parse(key, R"({"peer":"h:1","failure_domain":"a"})"));
    }
  }

  void DaemonEntry_Refused_IsCountedOncePerRevision() {
    EdgeSettings edge;
    edge.name = "self";
    edge.failureDomain = "a";
    PeerMembers members(edge, clock);
    const auto put = [&](const char* aText, std::uint64_t aRevision) {
      ListUpdate update;
      update.items = {{"members/a/odd", aText, aRevision},
                      {"blocked-requests", "{}", aRevision}};
      members.OnEntries(update);
    };
    put("[", 3);
    put("[", 3);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, members.RefusedEntries());
    put("{}", 4);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, members.RefusedEntries());
    put(R"({"peer":"127.0.0.1:1","failure_domain":"a"})", 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members.All().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, members.RefusedEntries());
  }

  // Guards against the exception that ended the daemon that registers a peer
  // whose message gives such a name.
  void DaemonEntry_NameThatIsNotUtf8_IsWritten() {
    const std::string text = DaemonEntry::TextOf({"d\xff", "h\xff:1", "a", 1});
    CPPUNIT_ASSERT(ParseForeignJson(text).has_value());
  }

  // Guards against a list that nobody could read while it held such a key.
  void StoreList_KeyThatIsNoText_KeepsTheOtherItems() {
    for (const char* key : {"p\xff", R"(p\udc80)", R"(p\ud800x)", R"(p\ud800)",
                            R"(p\ud800\u0041)", "p\xed\xa0\x80"}) {
      const auto range = this->RangeOf(
          R"({"at":9,"items":[{"privateKey":")" + std::string(key) +
          R"(","value":"eA==","revision":3},)"
          R"({"privateKey":"p1","value":"eA==","revision":4}]})");
      CPPUNIT_ASSERT_MESSAGE(key, *range);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, (*range)->items.size());
      CPPUNIT_ASSERT_EQUAL(std::string("p1"), (*range)->items.back().key);
      CPPUNIT_ASSERT(!IsPlainName((*range)->items.front().key));
    }
  }

  void StoreList_OddItem_KeepsTheOtherItems() {
    for (const char* item :
         {"null", "7", "[]", "{}", R"({"privateKey":7,"value":"eA=="})",
          R"({"privateKey":"p0","value":7})",
          R"({"privateKey":"p0","value":"?"})",
          R"({"privateKey":"p0","value":"eA==","revision":-1})",
          R"({"privateKey":"p0","value":"eA==","revision":1e300})"}) {
      const auto range = this->RangeOf(
          R"({"at":9,"items":[)" + std::string(item) +
          R"(,{"privateKey":"p1","value":"eA==","revision":4}]})");
      CPPUNIT_ASSERT_MESSAGE(item, *range);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, (*range)->items.size());
    }
  }

  void StoreList_PageThatEndsWhereItBegan_IsNotReadForEver() {
    const auto range =
        this->RangeOf(R"({"at":9,"more":true,"items":[)"
                      R"({"privateKey":"p1","value":"eA==","revision":4}]})");
    CPPUNIT_ASSERT(range.has_value());
    CPPUNIT_ASSERT(!*range);
  }

  // Guards against a list that seems to end at a page of odd items.
  void StoreList_PageOfOddItems_IsNotTheLast() {
    const auto range =
        this->RangeOf(R"({"at":9,"more":true,"items":[)"
                      R"({"privateKey":"p1","value":7,"revision":4}]})");
    CPPUNIT_ASSERT(range.has_value());
    CPPUNIT_ASSERT(!*range);
  }

  // Guards against the exception of `dump`, which ended the process.
  void StoreWrite_KeyThatIsNotUtf8_IsSent() {
    auto store =
        platform::MakeStore(loop, this->Serve(R"({"revision":7})"), eras)
            .value();
    std::optional<Result<StoreRevision>> write;
    StoreWrites writes;
    writes.removed = {"members/a/\xff"};
    writes.puts = {{"members/a/\xfe", "v"}};
    store->WriteAll(writes, [&](Result<StoreRevision> aResult) {
      write = std::move(aResult);
    });
    this->RunUntil([&] { return write.has_value(); });
    CPPUNIT_ASSERT(*write);
  }

  void Order_RequestIdThatIsNotUtf8_IsSent() {
    this->view.OnUpstreamEvents(
        {{{{"i1", EntryText(this->Serve("{}"), "4"), 5}, false}}, 5});
    const UpstreamPtr upstream = view.Directory().Find("i1");
    CPPUNIT_ASSERT(upstream);
    std::optional<Result<OrderOutcome>> outcome;
    control->Reroute(
        "r\xff", {{upstream, {0, 1}}},
        [&](Result<OrderOutcome> aResult) { outcome = std::move(aResult); });
    this->RunUntil([&] { return outcome.has_value(); });
    CPPUNIT_ASSERT(*outcome);
  }

  void UpstreamReport_OddNumbers_AreClampedOrFail() {
    for (const char* number : kOddNumbers) {
      const std::string text(number);
      UpstreamEntry entry;
      entry.address =
          this->Serve(R"({"layers":{"from":)" + text + R"(,"targetVersion":)" +
                      text + R"(},"running":)" + text + R"(,"queued":)" + text +
                      R"(,"sequence":)" + text + R"(,"pace":)" + text + "}");
      entry.id = entry.address;
      std::optional<Result<UpstreamReport>> report;
      control->Report(entry, 5s, [&](Result<UpstreamReport> aResult) {
        report = std::move(aResult);
      });
      this->RunUntil([&] { return report.has_value(); });
      CPPUNIT_ASSERT_MESSAGE(number,
                             !*report || std::isfinite((*report)->slowdown));
    }
  }

  void Configuration_OddNumbers_AreClampedOrKeepTheLastOne() {
    std::uint64_t revision = 1000;
    for (const char* field : {"\"timeoutMs\":2000", "\"maxAttempts\":2",
                              "\"layers\":2", "\"step_ms\":1"}) {
      for (const char* number : kOddNumbers) {
        std::string text = kRelayConfig;
        const std::size_t at = text.find(field);
        const std::size_t colon = text.find(':', at);
        const std::size_t end = text.find_first_of(",}", colon);
        text.replace(colon + 1, end - colon - 1, number);
        revision += 1;
        view.OnConfiguration({"config", text, revision});
        revision += 1;
        view.OnConfiguration({"config", kRelayConfig, revision});
        CPPUNIT_ASSERT_EQUAL(revision, view.ConfigStoreRevision().number);
        CPPUNIT_ASSERT_EQUAL(std::string(kRelayConfig), view.ConfigText());
      }
    }
  }

  void Depth_AtTheLimit_IsParsed() {
    const auto nested = [](std::size_t aDepth) {
      return std::string(aDepth, '[') + R"("]\"[{")" + std::string(aDepth, ']');
    };
    CPPUNIT_ASSERT(ParseForeignJson(nested(kMaxJsonDepth)));
    CPPUNIT_ASSERT(!ParseForeignJson(nested(kMaxJsonDepth + 1)));
    CPPUNIT_ASSERT(!ParseForeignJson("[1]", JsonLimits{.maxBytes = 2}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntryTest);

}  // namespace
}  // namespace zincstep
