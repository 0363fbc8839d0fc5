#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/FlakyStore.h"
#include "Zincstep/Control/Control.h"

namespace zincstep {
namespace {

std::string FileWith(const std::string& aDomain) {
  return "zincstep: 1\nfailure_domains:\n  - {name: " + aDomain +
         ", region: r}\n";
}

class ConfigurationStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(Apply_FirstFile_IsRevisionOne);
  CPPUNIT_TEST(Apply_SameFileAgain_WritesNothing);
  CPPUNIT_TEST(Apply_OldBase_FailsWithConflict);
  CPPUNIT_TEST(Apply_RootResponseLost_IsResolvedFromTheStore);
  CPPUNIT_TEST(Apply_ResponseLostAndReplaced_IsResolvedFromTheStore);
  CPPUNIT_TEST(Apply_RequestLost_FailsAsUnavailable);
  CPPUNIT_TEST(Collect_PieceReused_IsKept);
  CPPUNIT_TEST(Collect_UnusedTwice_IsRemoved);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  standins::MemoryStore memory{this->clock};
  FlakyStore store{this->memory};
  ConfigurationStore configurations{this->store};

  std::optional<StoredConfiguration> Load() {
    return *this->configurations.Load(nullptr);
  }
  Result<ApplyOutcome> Apply(const std::string& aFile, const char* aWriter) {
    return this->configurations.Apply(aFile, this->Load(), aWriter,
                                      [] { return std::int64_t{0}; });
  }
  /// Injects a fault into the call with this number, from 1, only.
  void FailCall(int aNumber, StoreFault aFault) {
    auto count = std::make_shared<int>(0);
    this->store.SetFaults([count, aNumber, aFault] {
      return ++*count == aNumber ? aFault : StoreFault::None;
    });
  }

 public:
  void Apply_FirstFile_IsRevisionOne() {
    const auto outcome = this->Apply(FileWith("a"), "w1");
    CPPUNIT_ASSERT(outcome.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, outcome->revision);
    CPPUNIT_ASSERT(JoinConfiguration(this->Load()->pieces).has_value());
  }

  void Apply_SameFileAgain_WritesNothing() {
    (void)this->Apply(FileWith("a"), "w1");
    const std::uint64_t before = this->Load()->storeRevision;
    const auto outcome = this->Apply(FileWith("a"), "w2");
    CPPUNIT_ASSERT(outcome->unchanged);
    CPPUNIT_ASSERT_EQUAL(before, this->Load()->storeRevision);
  }

  void Apply_OldBase_FailsWithConflict() {
    (void)this->Apply(FileWith("a"), "w1");
    const auto base = this->Load();
    (void)this->Apply(FileWith("b"), "w2");
    const auto late = this->configurations.Apply(
        FileWith("c"), base, "w3", [] { return std::int64_t{0}; });
    CPPUNIT_ASSERT(!late.has_value());
    CPPUNIT_ASSERT(late.error().kind == ErrorKind::ConfigConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->Load()->root.revision);
  }

  void Apply_RootResponseLost_IsResolvedFromTheStore() {
    (void)this->Apply(FileWith("a"), "w1");
    const auto base = this->Load();
    // One piece is written, then the root.
    this->FailCall(2, StoreFault::ResponseLost);
    const auto outcome = this->configurations.Apply(
        FileWith("b"), base, "w2", [] { return std::int64_t{0}; });
    CPPUNIT_ASSERT(outcome.has_value());
    CPPUNIT_ASSERT(outcome->resolvedFromStore);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome->revision);
  }

  void Apply_ResponseLostAndReplaced_IsResolvedFromTheStore() {
    (void)this->Apply(FileWith("a"), "w1");
    const auto base = this->Load();
    ConfigurationStore other(this->store);
    int calls = 0;
    this->store.SetFaults([&] {
      calls += 1;
      if (calls == 3) {
        // Before w2 reads the store, w3 replaces its file.
        (void)other.Apply(FileWith("c"), this->Load(), "w3",
                          [] { return std::int64_t{0}; });
      }
      return calls == 2 ? StoreFault::ResponseLost : StoreFault::None;
    });
    const auto outcome = this->configurations.Apply(
        FileWith("b"), base, "w2", [] { return std::int64_t{0}; });
    CPPUNIT_ASSERT(outcome.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome->revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, this->Load()->root.revision);
  }

  void Apply_RequestLost_FailsAsUnavailable() {
    (void)this->Apply(FileWith("a"), "w1");
    const auto base = this->Load();
    this->FailCall(2, StoreFault::Lost);
    const auto outcome = this->configurations.Apply(
        FileWith("b"), base, "w2", [] { return std::int64_t{0}; });
    CPPUNIT_ASSERT(!outcome.has_value());
    CPPUNIT_ASSERT(outcome.error().kind == ErrorKind::PlatformUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->Load()->root.revision);
  }

  void Collect_PieceReused_IsKept() {
    (void)this->Apply(FileWith("a"), "w1");
    (void)this->Apply(FileWith("b"), "w2");
    const auto seen = this->configurations.CollectUnused({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen->size());
    // A writer reuses the first file and is delayed before it writes the root.
    this->store.BeforeNextSwap(
        [&] { (void)this->configurations.CollectUnused(*seen); });
    const auto outcome = this->Apply(FileWith("a"), "w3");
    CPPUNIT_ASSERT(outcome.has_value());
    CPPUNIT_ASSERT(JoinConfiguration(this->Load()->pieces).has_value());
  }

  void Collect_UnusedTwice_IsRemoved() {
    (void)this->Apply(FileWith("a"), "w1");
    (void)this->Apply(FileWith("b"), "w2");
    const auto seen = this->configurations.CollectUnused({});
    const auto left = this->configurations.CollectUnused(*seen);
    CPPUNIT_ASSERT(left->empty());
    const auto pieces = this->store.List(kPiecePrefix);
    CPPUNIT_ASSERT_EQUAL(this->Load()->pieces.texts.size(), pieces->size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

}  // namespace
}  // namespace zincstep
