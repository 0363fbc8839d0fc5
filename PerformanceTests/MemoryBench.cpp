#include <malloc.h>

#include <memory>

#include "PerformanceTests/BenchOutput.h"
#include "PerformanceTests/FakeFleet.h"
#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Once/Once.h"
#include "Zincstep/Sequence/Sequence.h"

namespace zincstep::bench {
namespace {

/// Returns the bytes allocated from the heap and by mmap.
double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns the chain unchanged.
class NoOpRepairer final : public ChainRepairer {
 public:
  Result<Chain> Repair(const Chain& aChain, const std::vector<bool>&, Instant,
                       bool) override {
    return aChain;
  }
};

void MeasureKeys() {
  for (const int keys : {10000, 20000, 40000, 80000}) {
    const double before = HeapBytes();
    WitnessTable table{WitnessTableSettings{}};
    const std::string key = Sha256Hex("").substr(0, 28);
    for (int i = 0; i < keys; ++i) {
      Claim claim;
      claim.key = key + std::to_string(100000 + i);
      claim.claimant = {"entry-a1/0123456789ab", std::uint64_t(i)};
      (void)table.Vote(claim, Instant{1s});
    }
    Print("memory.key." + std::to_string(keys), (HeapBytes() - before) / keys,
          "bytes a key");
    Print("memory.key_counted." + std::to_string(keys),
          static_cast<double>(table.Bytes()) / keys, "bytes a key");
  }
}

void MeasureStreams() {
  NoOpRepairer repairer;
  Chain chain;
  for (int i = 0; i < 4; ++i) {
    chain.hops.push_back({i, {8 * i, 8 * i + 8}});
  }
  for (const int streams : {100, 400, 1600, 6400}) {
    const double before = HeapBytes();
    std::vector<std::unique_ptr<StreamMachine>> machines;
    for (int i = 0; i < streams; ++i) {
      machines.push_back(std::make_unique<StreamMachine>(
          std::uint64_t(i), 32, StreamSettings{}, repairer));
      (void)machines.back()->Start(chain, Instant{1s});
      for (int token = 0; token < 210; ++token) {
        TokenEvent event;
        event.request = std::uint64_t(i);
        event.attempt = 1;
        event.position = token;
        for (const ChainHop& hop : chain.hops) {
          event.stages.push_back({hop.layers, 0us, 1000us, 100us});
        }
        (void)machines.back()->OnToken(event, Instant{1s + token * 20ms});
      }
    }
    Print("memory.stream_machine." + std::to_string(streams),
          (HeapBytes() - before) / streams, "bytes a stream");
  }
}

void MeasurePlanners() {
  for (const int replicas : {68, 170, 340, 1700}) {
    FleetShape shape;
    shape.replicas = replicas;
    const Fleet fleet = MakeBenchFleet(shape);
    const double before = HeapBytes();
    ChainPlanner planner(fleet, {});
    planner.SetPlan(ComputeFlowPlan(
        fleet, std::vector<double>(fleet.replicas.size(), 1.0)));
    Print("memory.planner." + std::to_string(replicas),
          (HeapBytes() - before) / replicas, "bytes an upstream");
  }
}

void MeasureOrganisations() {
  for (const int count : {100, 400, 1300, 2600}) {
    const double before = HeapBytes();
    FairQueue queue{FairQueueSettings{}};
    DomainLimit limits{DomainLimitSettings{}};
    for (int i = 0; i < count; ++i) {
      const std::string name = "organisation-" + std::to_string(i);
      queue.OnBegin(name, 1, {40, 200});
      (void)limits.Admit(name, 600, 20, Instant{1s});
    }
    Print("memory.organisation." + std::to_string(count),
          (HeapBytes() - before) / count, "bytes an organisation");
  }
}

}  // namespace
}  // namespace zincstep::bench

int main() {
  zincstep::bench::MeasureKeys();
  zincstep::bench::MeasureStreams();
  zincstep::bench::MeasurePlanners();
  zincstep::bench::MeasureOrganisations();
  return 0;
}
