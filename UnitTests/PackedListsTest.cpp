#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/PackedLists.h"

namespace zincstep {
namespace {

class PackedListsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PackedListsTest);
  CPPUNIT_TEST(Find_SameRevisions_ReturnsCachedList);
  CPPUNIT_TEST(Find_OtherRevisions_ReturnsNull);
  CPPUNIT_TEST(Add_ManyRevisions_CachesFew);
  CPPUNIT_TEST_SUITE_END();

  PackedLists lists;

  static ListUpdate ListAt(std::uint64_t aNumber, std::uint64_t aEra = 1) {
    ListUpdate list;
    list.at = {aNumber, aEra};
    list.items = {{"i1", "text", {aNumber, aEra}}};
    list.isFull = false;
    return list;
  }

 public:
  void Find_SameRevisions_ReturnsCachedList() {
    lists.Add({5, 1}, ListAt(9));
    const PackedList* found = lists.Find({5, 1}, {9, 1});
    CPPUNIT_ASSERT(found != nullptr);
    CPPUNIT_ASSERT(!found->isFull);
  }

  void Find_OtherRevisions_ReturnsNull() {
    lists.Add({5, 1}, ListAt(9));
    CPPUNIT_ASSERT(lists.Find({6, 1}, {9, 1}) == nullptr);
    CPPUNIT_ASSERT(lists.Find({5, 1}, {9, 2}) == nullptr);
    lists.Add({5, 1}, ListAt(10));
    CPPUNIT_ASSERT(lists.Find({5, 1}, {9, 1}) == nullptr);
  }

  void Add_ManyRevisions_CachesFew() {
    for (std::uint64_t since = 1; since < 1000; ++since) {
      lists.Add({since, 1}, ListAt(2000));
    }
    int cached = 0;
    for (std::uint64_t since = 1; since < 1000; ++since) {
      cached += lists.Find({since, 1}, {2000, 1}) != nullptr ? 1 : 0;
    }
    CPPUNIT_ASSERT(cached > 0 && cached <= 64);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PackedListsTest);

}  // namespace
}  // namespace zincstep
