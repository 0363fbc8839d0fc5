#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {
namespace {

/// Sequences of random steps; each with a seed of its own.
constexpr int kRuns = 300;
constexpr int kSteps = 200;
constexpr std::size_t kKeys = 12;
/// Questions after which an asker has the list: one that finds the
/// difference, one for the whole.
constexpr int kQuestions = 2;

/// A prefix of a store with all that happened under it.
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
  CPPUNIT_TEST(Lists_ThatTellEachOther_EndAsTheStore);
  CPPUNIT_TEST(CopySince_ManyRemovals_IsWhole);
  CPPUNIT_TEST_SUITE_END();

  /// Some follow the store, by events or after a lost history; all ask each
  /// other in any order.
  static void Play(std::uint64_t aSeed) {
    Random random(aSeed);
    FakeStore store;
    std::array<PrefixMirror, 4> mirrors;
    const auto ask = [&](std::size_t aRequester, std::size_t aReporter) {
      PrefixMirror& asker = mirrors[aRequester];
      const StoreRevision since = asker.List().AskSince();
      if (since < mirrors[aReporter].At()) {
        asker.OnUpdate(mirrors[aReporter].List().UpdateSince(since));
      }
    };
    for (int step = 0; step < kSteps; ++step) {
      const std::string key = "k" + std::to_string(random.Below(kKeys));
      const std::size_t one = random.Below(mirrors.size());
      const std::size_t other = random.Below(mirrors.size());
      switch (random.Below(6)) {
        case 0:
          store.Put(key);
          break;
        case 1:
          store.Remove(key);
          break;
        case 2:
          mirrors[one].OnRange(store.Range());
          break;
        case 3:
          if (!mirrors[one].At().IsNone()) {
            mirrors[one].OnEvents(store.Since(mirrors[one].At()));
          }
          break;
        default:
          ask(one, other);
      }
    }
    store.Put("last");
    mirrors[0].OnEvents(store.Since(mirrors[0].At()));
    for (std::size_t i = 1; i < mirrors.size(); ++i) {
      for (int question = 0; question < kQuestions; ++question) {
        ask(i, 0);
      }
    }
    StoreItems wanted;
    for (const StoreItem& item : store.Range().items) {
      wanted[item.key] = item;
    }
    for (const PrefixMirror& mirror : mirrors) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(aSeed),
                                   TextOf(wanted), TextOf(mirror.Items()));
    }
  }

 public:
  void Lists_ThatTellEachOther_EndAsTheStore() {
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
      Play(seed);
    }
  }

  void CopySince_ManyRemovals_IsWhole() {
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
