#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {
namespace {

/// Sequences of random steps, each with its own seed.
constexpr int kRuns = 300;
constexpr int kSteps = 200;
constexpr std::size_t kKeys = 12;
/// Queries after which a requester has the list: one that detects the
/// difference and one for the full list.
constexpr int kQueries = 2;

/// The items under a prefix of a store, with all changes.
class FakeStore {
 public:
  void Put(const std::string& aKey) {
    this->revision.number += 1;
    this->items[aKey] = {aKey, "v", this->revision};
    this->events.push_back({this->items[aKey], false});
  }
  void Remove(const std::string& aKey) {
    if (this->items.erase(aKey) > 0) {
      this->revision.number += 1;
      this->events.push_back({{aKey, "", this->revision}, true});
    }
  }
  StoreRange Range() const {
    StoreRange range{{}, this->revision};
    for (const auto& [key, item] : this->items) {
      range.items.push_back(item);
    }
    return range;
  }
  StoreEvents Since(StoreRevision aRevision) const {
    StoreEvents since{{}, this->revision};
    for (const StoreEvent& event : this->events) {
      if (event.item.revision > aRevision) {
        since.events.push_back(event);
      }
    }
    return since;
  }

 private:
  StoreItems items;
  std::vector<StoreEvent> events;
  StoreRevision revision{1};
};

std::string TextOf(const StoreItems& aItems) {
  std::string text;
  for (const auto& [key, item] : aItems) {
    text += key + "@" + std::to_string(item.revision.number) + " ";
  }
  return text;
}

class ItemListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ItemListTest);
  CPPUNIT_TEST(Lists_SyncedWithEachOther_ConvergeToTheStore);
  CPPUNIT_TEST(UpdateSince_ManyRemovals_IsFull);
  CPPUNIT_TEST_SUITE_END();

  /// Some mirrors follow the store, by events or by full reads; all sync from
  /// each other in random order.
  static void RunRandomSteps(std::uint64_t aSeed) {
    Random random(aSeed);
    FakeStore store;
    std::array<PrefixMirror, 4> mirrors;
    const auto sync = [&](std::size_t aRequester, std::size_t aReporter) {
      PrefixMirror& requester = mirrors[aRequester];
      const StoreRevision since = requester.List().QuerySince();
      if (since < mirrors[aReporter].At()) {
        requester.OnUpdate(mirrors[aReporter].List().UpdateSince(since));
      }
    };
    for (int step = 0; step < kSteps; ++step) {
      const std::string key = "k" + std::to_string(random.Below(kKeys));
      const std::size_t local = random.Below(mirrors.size());
      const std::size_t remote = random.Below(mirrors.size());
      switch (random.Below(6)) {
        case 0:
          store.Put(key);
          break;
        case 1:
          store.Remove(key);
          break;
        case 2:
          mirrors[local].OnRange(store.Range());
          break;
        case 3:
          if (!mirrors[local].At().IsNone()) {
            mirrors[local].OnEvents(store.Since(mirrors[local].At()));
          }
          break;
        default:
          sync(local, remote);
      }
    }
    store.Put("last");
    mirrors[0].OnEvents(store.Since(mirrors[0].At()));
    for (std::size_t i = 1; i < mirrors.size(); ++i) {
      for (int query = 0; query < kQueries; ++query) {
        sync(i, 0);
      }
    }
    StoreItems expected;
    for (const StoreItem& item : store.Range().items) {
      expected[item.key] = item;
    }
    for (const PrefixMirror& mirror : mirrors) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(aSeed),
                                   TextOf(expected), TextOf(mirror.Items()));
    }
  }

 public:
  void Lists_SyncedWithEachOther_ConvergeToTheStore() {
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
      RunRandomSteps(seed);
    }
  }

  void UpdateSince_ManyRemovals_IsFull() {
    PrefixMirror mirror;
    mirror.OnRange({{{"kept", "v", 1}}, 1});
    StoreEvents events;
    for (std::uint64_t i = 2; i < 4000; ++i) {
      events.events.push_back({{"k" + std::to_string(i), "", i}, true});
    }
    events.at = {4000};
    mirror.OnEvents(events);
    CPPUNIT_ASSERT(mirror.List().UpdateSince({1}).isFull);
    CPPUNIT_ASSERT(!mirror.List().UpdateSince({3900}).isFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{99},
                         mirror.List().UpdateSince({3900}).removed.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ItemListTest);

}  // namespace
}  // namespace zincstep
