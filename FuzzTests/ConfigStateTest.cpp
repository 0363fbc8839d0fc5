#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>

#include "FuzzTests/StateCheck.h"
#include "UnitTests/FlakyStore.h"
#include "Zincstep/Control/Control.h"

namespace zincstep {
namespace {

constexpr int kOperators = 3;
constexpr int kDaemons = 4;

std::string ConfigurationText(int aVariant) {
  return "zincstep: 1\nfailure_domains:\n  - {name: d" +
         std::to_string(aVariant) + ", region: r}\n";
}

struct ConfigModel {};

/// Operators that write concurrently, and daemons that read the store and
/// forward configurations to each other.
class ConfigWorld {
 public:
  ConfigWorld() {
    this->store.SetFaults([this] {
      if (this->faults.empty()) {
        return StoreFault::None;
      }
      const StoreFault next = this->faults.back();
      this->faults.pop_back();
      return next;
    });
  }

  /// Checks that the accepted roots in the store form one linear history.
  void CheckHistory() {
    const auto value = this->memory.Get(kRootKey);
    if (!value) {
      return;
    }
    const auto root = ReadRoot(value->value);
    RC_ASSERT(root.has_value());
    RC_ASSERT(root->revision >= this->highestRevision);
    this->highestRevision = root->revision;
    // All pieces of an accepted configuration can be read.
    for (const PieceName& piece : root->pieces) {
      RC_ASSERT(this->memory.Get(kPiecePrefix + piece.digest).has_value());
    }
    std::uint64_t last = 0;
    for (const AcceptedWrite& write : root->history) {
      RC_ASSERT(write.revision > last);
      last = write.revision;
      const auto recorded = this->acceptedWriters.find(write.revision);
      RC_ASSERT(recorded == this->acceptedWriters.end() ||
                recorded->second == write.writer);
      this->acceptedWriters[write.revision] = write.writer;
    }
    RC_ASSERT(last == root->revision);
  }

  void ReadBase(std::size_t aOperator) {
    auto loaded = this->configurations.Load(nullptr);
    if (loaded) {
      this->bases[aOperator] = *loaded;
    }
  }

  void Apply(std::size_t aOperator, int aVariant) {
    const std::string writer = "w" + std::to_string(++this->writerCount);
    const auto outcome = this->configurations.Apply(
        ConfigurationText(aVariant), this->bases[aOperator], writer,
        [] { return std::int64_t{0}; });
    this->faults.clear();
    this->CheckHistory();
    bool isAccepted = false;
    for (const auto& [revision, name] : this->acceptedWriters) {
      isAccepted = isAccepted || name == writer;
    }
    if (outcome && !outcome->unchanged) {
      // Reported as accepted: the write is in the history at that revision.
      RC_ASSERT(this->acceptedWriters.at(outcome->revision) == writer);
    } else if (!outcome && outcome.error().kind == ErrorKind::ConfigConflict) {
      RC_ASSERT(!isAccepted);
    }
  }

  /// Submits a configuration from any source to a daemon, which activates it if
  /// it is newer.
  void Submit(std::size_t aDaemon, std::uint64_t aRevision) {
    if (aRevision > this->activeRevisions[aDaemon]) {
      this->activeRevisions[aDaemon] = aRevision;
    }
  }

  void Read(std::size_t aDaemon) {
    const auto loaded = this->configurations.Load(nullptr);
    this->faults.clear();
    if (loaded && *loaded) {
      // A loaded configuration is complete; an incomplete one is not used.
      RC_ASSERT(JoinConfiguration((*loaded)->pieces).has_value());
      RC_ASSERT(this->acceptedWriters.contains((*loaded)->root.revision));
      this->Submit(aDaemon, (*loaded)->root.revision);
    }
  }

  void Collect() {
    auto unused = this->configurations.CollectUnused(this->unusedPieces);
    this->faults.clear();
    if (unused) {
      this->unusedPieces = *unused;
    }
  }

  FakeClock clock;
  standins::MemoryStore memory{this->clock};
  FlakyStore store{this->memory};
  ConfigurationStore configurations{this->store};
  std::vector<StoreFault> faults;
  std::vector<std::optional<StoredConfiguration>> bases{kOperators};
  std::vector<std::uint64_t> activeRevisions =
      std::vector<std::uint64_t>(kDaemons, 0);
  std::map<std::uint64_t, std::string> acceptedWriters;
  std::vector<KeyedValue> unusedPieces;
  std::uint64_t highestRevision = 0;
  int writerCount = 0;
};

using Base = rc::state::Command<ConfigModel, ConfigWorld>;

struct ConfigStep : Base {
  int kind =
      *rc::gen::weightedElement<int>({{3, 0}, {5, 1}, {3, 2}, {2, 3}, {1, 4}});
  std::size_t selector = *rc::gen::inRange<std::size_t>(0, 12);
  int variant = *rc::gen::inRange(0, 4);
  std::vector<StoreFault> faults =
      *rc::gen::container<std::vector<StoreFault>>(rc::gen::weightedElement(
          {std::pair<std::size_t, StoreFault>{4, StoreFault::None},
           {1, StoreFault::Lost},
           {1, StoreFault::ResponseLost}}));

  void run(const ConfigModel&, ConfigWorld& aWorld) const override {
    aWorld.faults = this->faults;
    const std::vector<std::uint64_t> before = aWorld.activeRevisions;
    switch (this->kind) {
      case 0:
        aWorld.ReadBase(this->selector % kOperators);
        break;
      case 1:
        aWorld.Apply(this->selector % kOperators, this->variant);
        break;
      case 2:
        aWorld.Read(this->selector % kDaemons);
        break;
      case 3:
        // A peer forwards its active configuration.
        aWorld.Submit(this->selector % kDaemons,
                      aWorld.activeRevisions[(this->selector + 1) % kDaemons]);
        break;
      default:
        aWorld.Collect();
        break;
    }
    aWorld.faults.clear();
    for (std::size_t i = 0; i < before.size(); ++i) {
      RC_ASSERT(aWorld.activeRevisions[i] >= before[i]);
    }
  }
  void show(std::ostream& aOut) const override {
    aOut << "Step(" << this->kind << "," << this->selector << ","
         << this->variant << "," << this->faults.size() << " faults)";
  }
};

class ConfigStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStateTest);
  CPPUNIT_TEST(Configurations_AnyFaults_FormOneHistory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Configurations_AnyFaults_FormOneHistory() {
    std::uint64_t accepted = 0;
    CPPUNIT_ASSERT(CheckState("configurations", [&accepted] {
      ConfigWorld world;
      rc::state::check(ConfigModel{}, world,
                       rc::state::gen::execOneOfWithArgs<ConfigStep>());
      accepted += world.highestRevision;
    }));
    CPPUNIT_ASSERT(accepted > 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);

}  // namespace
}  // namespace zincstep
