#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/ObservedChanges.h"

namespace zincstep {
namespace {

class ObservedChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObservedChangesTest);
  CPPUNIT_TEST(WithoutGap_AllObserved_IsTheLast);
  CPPUNIT_TEST(WithoutGap_OneMissing_IsTheOneBefore);
  CPPUNIT_TEST(WithoutGap_NextMissing_IsTheStart);
  CPPUNIT_TEST(Forget_UpToARevision_KeepsLaterOnes);
  CPPUNIT_TEST_SUITE_END();

  ObservedChanges observed;

 public:
  void setUp() override {
    for (const std::uint64_t revision : {7, 5, 6, 9}) {
      observed.Add({revision});
    }
  }

  void WithoutGap_AllObserved_IsTheLast() {
    observed.Add({8});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, observed.LastContiguous({4}).number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, observed.LastContiguous({6}).number);
  }

  void WithoutGap_OneMissing_IsTheOneBefore() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, observed.LastContiguous({4}).number);
  }

  void WithoutGap_NextMissing_IsTheStart() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, observed.LastContiguous({3}).number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, observed.LastContiguous({9}).number);
  }

  void Forget_UpToARevision_KeepsLaterOnes() {
    observed.DiscardUpTo({7});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observed.Size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, observed.LastContiguous({8}).number);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObservedChangesTest);

}  // namespace
}  // namespace zincstep
