#include "UnitTests/RelayFixture.h"
#include "Zincstep/Cluster/StoreEraTracker.h"

namespace zincstep {
namespace {

/// Responses of the store to writes.
class StoreResponseTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(StoreResponseTest);
  CPPUNIT_TEST(Write_WithRevision_Succeeds);
  CPPUNIT_TEST(Write_WithoutUsableRevision_Fails);
  CPPUNIT_TEST_SUITE_END();

  StoreEraTracker eras;

  /// Returns the results of a conditional write and of an unconditional one.
  std::pair<Result<StoreCommit>, Result<StoreRevision>> Write(
      const std::string& aBody) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
        loop, clock, [aBody](const auto& aTo, const auto&) {
          aTo->Answer(200, {}, aBody);
        }));
    auto store =
        platform::MakeStore(loop, upstreams.back()->Address(), eras).value();
    std::optional<Result<StoreCommit>> commit;
    std::optional<Result<StoreRevision>> revision;
    StoreChange change;
    change.key = "k";
    change.value = "v";
    store->Commit(change, [&](Result<StoreCommit> aResult) {
      commit = std::move(aResult);
    });
    store->WriteAll({}, [&](Result<StoreRevision> aResult) {
      revision = std::move(aResult);
    });
    this->RunUntil([&] { return commit && revision; });
    return {*commit, *revision};
  }

 public:
  void Write_WithRevision_Succeeds() {
    const auto [commit, revision] = this->Write(R"({"revision":7})");
    CPPUNIT_ASSERT(commit && commit->done && commit->revision.number == 7);
    CPPUNIT_ASSERT(revision && revision->number == 7);
  }

  // Guards against an exception that ended the process.
  void Write_WithoutUsableRevision_Fails() {
    for (const char* body :
         {R"({"revision":null})", R"({"revision":"7"})", "[]", "7"}) {
      const auto [commit, revision] = this->Write(body);
      CPPUNIT_ASSERT_MESSAGE(body, !commit && !revision);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreResponseTest);

}  // namespace
}  // namespace zincstep
