#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/PackedLists.h"

namespace zincstep {
namespace {

class PackedListsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PackedListsTest);
  CPPUNIT_TEST(Find_SameStateAndAsker_IsWhatWasPacked);
  CPPUNIT_TEST(Find_OtherStateOrAsker_IsNone);
  CPPUNIT_TEST(Add_ManyAskers_KeepsFew);
  CPPUNIT_TEST_SUITE_END();

  PackedLists lists;

  static ListUpdate ListAt(std::uint64_t aNumber, std::uint64_t aEra = 1) {
    ListUpdate list;
    list.at = {aNumber, aEra};
    list.items = {{"i1", "text", {aNumber, aEra}}};
    list.isWhole = false;
    return list;
  }

 public:
  void Find_SameStateAndAsker_IsWhatWasPacked() {
    lists.Add({5, 1}, ListAt(9));
    const PackedList* found = lists.Find({5, 1}, {9, 1});
    CPPUNIT_ASSERT(found != nullptr);
    CPPUNIT_ASSERT(!found->isWhole);
  }

  void Find_OtherStateOrAsker_IsNone() {
    lists.Add({5, 1}, ListAt(9));
    CPPUNIT_ASSERT(lists.Find({6, 1}, {9, 1}) == nullptr);
    CPPUNIT_ASSERT(lists.Find({5, 1}, {9, 2}) == nullptr);
    lists.Add({5, 1}, ListAt(10));
    CPPUNIT_ASSERT(lists.Find({5, 1}, {9, 1}) == nullptr);
  }

  void Add_ManyAskers_KeepsFew() {
    for (std::uint64_t since = 1; since < 1000; ++since) {
      lists.Add({since, 1}, ListAt(2000));
    }
    int kept = 0;
    for (std::uint64_t since = 1; since < 1000; ++since) {
      kept += lists.Find({since, 1}, {2000, 1}) != nullptr ? 1 : 0;
    }
    CPPUNIT_ASSERT(kept > 0 && kept <= 64);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PackedListsTest);

}  // namespace
}  // namespace zincstep
