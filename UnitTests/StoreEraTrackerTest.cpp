#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {
namespace {

class StoreEraTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreEraTrackerTest);
  CPPUNIT_TEST(Answer_FirstOfAll_TellsTheEra);
  CPPUNIT_TEST(Answer_OfANewEra_IsToldOnce);
  CPPUNIT_TEST(Answer_AskedForInAnEarlierEra_IsNotBelieved);
  CPPUNIT_TEST(Answer_OfAnEarlierEraOrNone_LowersNothing);
  CPPUNIT_TEST(Told_ByAPeer_IsTheSame);
  CPPUNIT_TEST(Told_ByAPeerThatKnowsNone_IsNoEra);
  CPPUNIT_TEST(Revision_OfALaterEra_GoesBeforeHigherNumbers);
  CPPUNIT_TEST_SUITE_END();

  StoreEraTracker eras;
  int restores = 0;

 public:
  void setUp() override {
    eras.SetOnRestored([this](std::uint64_t, std::uint64_t) { restores += 1; });
  }

  void Answer_FirstOfAll_TellsTheEra() {
    CPPUNIT_ASSERT(!eras.CurrentEra());
    CPPUNIT_ASSERT(eras.Accepts(std::nullopt, 4));
    CPPUNIT_ASSERT(eras.CurrentEra() == 4);
    CPPUNIT_ASSERT_EQUAL(0, restores);
  }

  void Answer_OfANewEra_IsToldOnce() {
    eras.Accepts(std::nullopt, 1);
    eras.Accepts(1, 2);
    eras.Accepts(1, 2);
    CPPUNIT_ASSERT_EQUAL(1, restores);
    CPPUNIT_ASSERT(eras.Accepts(2, 2));
  }

  // A condition may hold by chance there, and a watch pass over what was lost.
  void Answer_AskedForInAnEarlierEra_IsNotBelieved() {
    eras.Accepts(std::nullopt, 1);
    CPPUNIT_ASSERT(!eras.Accepts(1, 2));
    CPPUNIT_ASSERT(!eras.Accepts(1, 2));
  }

  void Answer_OfAnEarlierEraOrNone_LowersNothing() {
    eras.Accepts(std::nullopt, 2);
    CPPUNIT_ASSERT(!eras.Accepts(2, 1));
    CPPUNIT_ASSERT(!eras.Accepts(2, 0));
    CPPUNIT_ASSERT(eras.CurrentEra() == 2);
    CPPUNIT_ASSERT_EQUAL(0, restores);
  }

  void Told_ByAPeer_IsTheSame() {
    eras.Accepts(std::nullopt, 2);
    eras.OnPeerReport(1);
    CPPUNIT_ASSERT_EQUAL(0, restores);
    eras.OnPeerReport(3);
    CPPUNIT_ASSERT_EQUAL(1, restores);
    CPPUNIT_ASSERT(!eras.Accepts(2, 3));
  }

  // Daemons that started together each took the first answer of the store for a
  // return from a copy.
  void Told_ByAPeerThatKnowsNone_IsNoEra() {
    eras.OnPeerReport(0);
    CPPUNIT_ASSERT(!eras.CurrentEra());
    CPPUNIT_ASSERT(eras.Accepts(std::nullopt, 3));
    CPPUNIT_ASSERT_EQUAL(0, restores);
  }

  void Revision_OfALaterEra_GoesBeforeHigherNumbers() {
    CPPUNIT_ASSERT(StoreRevision({7, 2}) > StoreRevision({900, 1}));
    CPPUNIT_ASSERT(StoreRevision({7, 2}) < StoreRevision({8, 2}));
    CPPUNIT_ASSERT(StoreRevision({7, 2}) != StoreRevision({7, 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTrackerTest);

}  // namespace
}  // namespace zincstep
