#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {
namespace {

class StoreEraTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreEraTrackerTest);
  CPPUNIT_TEST(Response_First_SetsTheEra);
  CPPUNIT_TEST(Response_OfANewEra_NotifiesOnce);
  CPPUNIT_TEST(Response_RequestedInAnEarlierEra_IsRejected);
  CPPUNIT_TEST(Response_OfAnEarlierEraOrNone_KeepsTheEra);
  CPPUNIT_TEST(PeerReport_OfANewEra_NotifiesOnce);
  CPPUNIT_TEST(PeerReport_WithoutEra_IsIgnored);
  CPPUNIT_TEST(Revision_OfALaterEra_IsGreaterThanHigherNumbers);
  CPPUNIT_TEST_SUITE_END();

  StoreEraTracker eras;
  int restores = 0;

 public:
  void setUp() override {
    eras.SetOnRestored([this](std::uint64_t, std::uint64_t) { restores += 1; });
  }

  void Response_First_SetsTheEra() {
    CPPUNIT_ASSERT(!eras.CurrentEra());
    CPPUNIT_ASSERT(eras.Accepts(std::nullopt, 4));
    CPPUNIT_ASSERT(eras.CurrentEra() == 4);
    CPPUNIT_ASSERT_EQUAL(0, restores);
  }

  void Response_OfANewEra_NotifiesOnce() {
    eras.Accepts(std::nullopt, 1);
    eras.Accepts(1, 2);
    eras.Accepts(1, 2);
    CPPUNIT_ASSERT_EQUAL(1, restores);
    CPPUNIT_ASSERT(eras.Accepts(2, 2));
  }

  // A condition may hold by chance in the new era, and a watch may skip lost
  // changes.
  void Response_RequestedInAnEarlierEra_IsRejected() {
    eras.Accepts(std::nullopt, 1);
    CPPUNIT_ASSERT(!eras.Accepts(1, 2));
    CPPUNIT_ASSERT(!eras.Accepts(1, 2));
  }

  void Response_OfAnEarlierEraOrNone_KeepsTheEra() {
    eras.Accepts(std::nullopt, 2);
    CPPUNIT_ASSERT(!eras.Accepts(2, 1));
    CPPUNIT_ASSERT(!eras.Accepts(2, 0));
    CPPUNIT_ASSERT(eras.CurrentEra() == 2);
    CPPUNIT_ASSERT_EQUAL(0, restores);
  }

  void PeerReport_OfANewEra_NotifiesOnce() {
    eras.Accepts(std::nullopt, 2);
    eras.OnPeerReport(1);
    CPPUNIT_ASSERT_EQUAL(0, restores);
    eras.OnPeerReport(3);
    CPPUNIT_ASSERT_EQUAL(1, restores);
    CPPUNIT_ASSERT(!eras.Accepts(2, 3));
  }

  // Daemons that started together treated the first response of the store as a
  // restore from a backup.
  void PeerReport_WithoutEra_IsIgnored() {
    eras.OnPeerReport(0);
    CPPUNIT_ASSERT(!eras.CurrentEra());
    CPPUNIT_ASSERT(eras.Accepts(std::nullopt, 3));
    CPPUNIT_ASSERT_EQUAL(0, restores);
  }

  void Revision_OfALaterEra_IsGreaterThanHigherNumbers() {
    CPPUNIT_ASSERT(StoreRevision({7, 2}) > StoreRevision({900, 1}));
    CPPUNIT_ASSERT(StoreRevision({7, 2}) < StoreRevision({8, 2}));
    CPPUNIT_ASSERT(StoreRevision({7, 2}) != StoreRevision({7, 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTrackerTest);

}  // namespace
}  // namespace zincstep
