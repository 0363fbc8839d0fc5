#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/ObservedChanges.h"

namespace zincstep {
namespace {

class ObservedChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObservedChangesTest);
  CPPUNIT_TEST(WithoutGap_AllTold_IsTheLast);
  CPPUNIT_TEST(WithoutGap_OneNotTold_IsTheOneBefore);
  CPPUNIT_TEST(WithoutGap_NextNotTold_IsWhereItBegan);
  CPPUNIT_TEST(Forget_UpToARevision_KeepsLaterOnes);
  CPPUNIT_TEST_SUITE_END();

  ObservedChanges told;

 public:
  void setUp() override {
    for (const std::uint64_t revision : {7, 5, 6, 9}) {
      told.Add({revision});
    }
  }

  void WithoutGap_AllTold_IsTheLast() {
    told.Add({8});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, told.WithoutGap({4}).number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, told.WithoutGap({6}).number);
  }

  void WithoutGap_OneNotTold_IsTheOneBefore() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, told.WithoutGap({4}).number);
  }

  void WithoutGap_NextNotTold_IsWhereItBegan() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, told.WithoutGap({3}).number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, told.WithoutGap({9}).number);
  }

  void Forget_UpToARevision_KeepsLaterOnes() {
    told.Forget({7});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.Size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, told.WithoutGap({8}).number);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObservedChangesTest);

}  // namespace
}  // namespace zincstep
