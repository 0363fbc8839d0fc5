// Another process may write JSON or YAML that is nested as deep as a value of
// the store is long. A parsed document was copied, written or destroyed by
// recursion, one frame per level, and 150,000 levels ended the daemon by
// SIGSEGV, as often as it read the text.

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "UnitTests/NestedTexts.h"
#include "UnitTests/RelayFixture.h"
#include "Zincstep/Cluster/StoreEraTracker.h"
#include "Zincstep/Edge/BlockList.h"
#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Platform/Platform.h"

namespace zincstep {
namespace {

constexpr const char* kUpstreamFields =
    R"("backend":"s","address":"10.0.0.1:80","zone":"a","slots":4,)"
    R"("state":"ready")";

/// A store that is never called.
class UnusedStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange, Done<StoreCommit>) override {}
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t>) override {}
  void Renew(std::uint64_t, Done<bool>) override {}
  void End(std::uint64_t, Done<bool>) override {}
};

class NestedTextTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(NestedTextTest);
  CPPUNIT_TEST(UpstreamEntry_NestedAsAWhole_IsRejected);
  CPPUNIT_TEST(UpstreamEntry_NestedLayers_IsRejected);
  CPPUNIT_TEST(UpstreamEntry_NestedUnknownField_IsRejected);
  CPPUNIT_TEST(UpstreamEntry_Nested_KeepsOthersAndFollowsTheNextChange);
  CPPUNIT_TEST(Configuration_Nested_KeepsTheLastOne);
  CPPUNIT_TEST(DaemonEntry_Nested_IsRejected);
  CPPUNIT_TEST(BlockList_Nested_KeepsTheLastList);
  CPPUNIT_TEST(StoreResponse_Nested_Fails);
  CPPUNIT_TEST(UpstreamReport_Nested_Fails);
  CPPUNIT_TEST(OrderResponse_Nested_HasNoAddress);
  CPPUNIT_TEST(PlatformResponse_Nested_Fails);
  CPPUNIT_TEST_SUITE_END();

  UnusedStore unusedStore;
  StoreEraTracker eras;

  /// Starts a server that responds to each request with `aBody`.
  std::string Serve(const std::string& aBody) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
        loop, clock, [aBody](const auto& aTo, const auto&) {
          aTo->Answer(200, {}, aBody);
        }));
    return upstreams.back()->Address();
  }

  static std::string EntryWith(const std::string& aField,
                               const std::string& aValue) {
    return std::string("{") + kUpstreamFields + ",\"" + aField +
           "\":" + aValue + "}";
  }

 public:
  void UpstreamEntry_NestedAsAWhole_IsRejected() {
    for (const std::string& text : NestedTexts()) {
      CPPUNIT_ASSERT(!decoder->DecodeUpstream("i1", text));
    }
  }

  void UpstreamEntry_NestedLayers_IsRejected() {
    for (const std::string& text : NestedTexts()) {
      CPPUNIT_ASSERT(!decoder->DecodeUpstream("i1", EntryWith("layers", text)));
    }
  }

  void UpstreamEntry_NestedUnknownField_IsRejected() {
    for (const std::string& text : NestedTexts()) {
      CPPUNIT_ASSERT(!decoder->DecodeUpstream("i1", EntryWith("x", text)));
    }
  }

  void UpstreamEntry_Nested_KeepsOthersAndFollowsTheNextChange() {
    const std::string valid = std::string("{") + kUpstreamFields + "}";
    std::uint64_t revision = 10;
    const auto put = [&](const std::string& aId, const std::string& aText) {
      revision += 1;
      view.OnUpstreamEvents({{{{aId, aText, revision}, false}}, revision});
    };
    put("kept", valid);
    for (const std::string& text : NestedIn(kUpstreamFields, {"layers"})) {
      put("odd", text);
      CPPUNIT_ASSERT(!view.Directory().Find("odd"));
      CPPUNIT_ASSERT(view.Directory().Find("kept"));
      put("odd", valid);
      CPPUNIT_ASSERT(view.Directory().Find("odd"));
    }
  }

  void Configuration_Nested_KeepsTheLastOne() {
    std::uint64_t revision = 1000;
    for (const std::string& text :
         NestedIn(R"("configVersion":9)", {"routes", "services", "x"})) {
      CPPUNIT_ASSERT(!decoder->DecodeConfiguration(text));
      revision += 1;
      view.OnConfiguration({"config", text, revision});
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view.ConfigVersion());
    }
  }

  void DaemonEntry_Nested_IsRejected() {
    for (const std::string& text :
         NestedIn(R"("peer":"10.0.0.1:80","failure_domain":"a")",
                  {"link_mbps", "x"})) {
      CPPUNIT_ASSERT(!DaemonEntry::Parse("members/a/d1", text));
    }
  }

  void BlockList_Nested_KeepsTheLastList() {
    BlockList list("own/", unusedStore, crashes, clock);
    const auto put = [&](const std::string& aText, std::uint64_t aRevision) {
      list.OnEntries({{BlockList::kKey, {BlockList::kKey, aText, aRevision}}});
    };
    std::uint64_t revision = 1;
    const std::string valid =
        R"({"blocked":[")" + TextOf(Fingerprint{1}) + R"("]})";
    put(valid, revision);
    for (const std::string& text :
         NestedIn("\"blocked\":[]", {"suspected", "x"})) {
      revision += 1;
      put(text, revision);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.Blocked(clock.Now()).size());
    }
  }

  void StoreResponse_Nested_Fails() {
    for (const std::string& text :
         NestedIn(R"("at":1)", {"items", "events", "revision", "x"})) {
      auto store = platform::MakeStore(loop, this->Serve(text), eras).value();
      std::optional<Result<StoreRange>> range;
      std::optional<Result<StoreEvents>> events;
      std::optional<Result<StoreRevision>> write;
      store->Range(
          "p", [&](Result<StoreRange> aResult) { range = std::move(aResult); });
      store->Watch("p", {}, 1ms, [&](Result<StoreEvents> aResult) {
        events = std::move(aResult);
      });
      store->WriteAll({}, [&](Result<StoreRevision> aResult) {
        write = std::move(aResult);
      });
      this->RunUntil([&] { return range && events && write; });
      CPPUNIT_ASSERT(!*range && !*events && !*write);
    }
  }

  void UpstreamReport_Nested_Fails() {
    for (const std::string& text :
         NestedIn(R"("running":1)", {"layers", "stalled", "born", "x"})) {
      UpstreamEntry entry;
      entry.address = this->Serve(text);
      entry.id = entry.address;  // Connections are pooled by upstream.
      entry.startTimeMs = 7;
      std::optional<Result<UpstreamReport>> report;
      control->Report(entry, 5s, [&](Result<UpstreamReport> aResult) {
        report = std::move(aResult);
      });
      this->RunUntil([&] { return report.has_value(); });
      CPPUNIT_ASSERT(!*report);
    }
  }

  void OrderResponse_Nested_HasNoAddress() {
    for (const std::string& text : NestedIn("", {"address"})) {
      UpstreamEntry entry;
      entry.id = "i1";
      entry.address = this->Serve(text);
      std::optional<Result<OrderOutcome>> outcome;
      control->Place(
          entry, {0, 1}, 1, ReleaseMode::AbortRequests,
          [&](Result<OrderOutcome> aResult) { outcome = std::move(aResult); });
      this->RunUntil([&] { return outcome.has_value(); });
      CPPUNIT_ASSERT(*outcome && (*outcome)->atFault.empty());
    }
  }

  void PlatformResponse_Nested_Fails() {
    for (const std::string& text :
         NestedIn(R"("revision":1)", {"value", "values", "vms", "x"})) {
      PlatformSettings platform;
      platform.address = this->Serve(text);
      bool hasValue = true;
      bool hasList = true;
      std::atomic<bool> isDone = false;
      std::thread caller([&] {
        hasValue = MakeHttpKeyValueStore(platform)->Get("k").has_value();
        hasList = MakeHttpVmList(platform)->List().has_value();
        isDone = true;
      });
      this->RunUntil([&] { return isDone.load(); });
      caller.join();
      CPPUNIT_ASSERT(!hasValue && !hasList);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NestedTextTest);

}  // namespace
}  // namespace zincstep
