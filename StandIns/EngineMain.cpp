#include <cstdio>

#include "StandIns/EngineStandIn.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Settings/Settings.h"

using namespace zincstep;

int main(int aCount, char** aWords) {
  PrepareProgram();
  standins::EngineStandInSettings settings;
  settings.address = "127.0.0.1:7300";
  std::int64_t first = 0;
  std::int64_t last = 8;
  std::int64_t layerStep = 1000;
  std::int64_t slots = 8;
  std::int64_t prefill = 20000;
  std::int64_t seed = 1;
  SettingsReader reader("standin-engine", "[flags]");
  reader.Address("listen", settings.address, "Address to listen on");
  reader.Text("name", settings.name, "Name of this upstream");
  reader.Text("model", settings.model, "Model to serve");
  reader.Text("model-version", settings.version, "Version of the model");
  reader.Integer("first-layer", first, 0, 4096, "First layer to serve");
  reader.Integer("last-layer", last, 1, 4096,
                 "End of the layer range, exclusive");
  reader.Integer("layer-step-us", layerStep, 1, 10000000,
                 "Time per layer of a decode step, in microseconds");
  reader.Integer("slots", slots, 1, 4096,
                 "Maximum number of sequences in a batch");
  reader.Integer("prefill-layer-ns", prefill, 1, 1000000000,
                 "Prefill time per token and layer, in nanoseconds");
  reader.Flag("checks-fence", settings.checksFence,
              "Reject orders with an outdated fence");
  reader.Millis("load-ms", settings.loadTime, 0, 600000,
                "Time to load a version");
  reader.Millis("load-lag-ms", settings.loadLag, 1, 600000,
                "Interval between updates of the reported load");
  reader.Integer("seed", seed, 0, INT64_MAX, "Seed of the random faults");
  ReadOrExit(reader, aCount, aWords);
  settings.layers = {static_cast<int>(first), static_cast<int>(last)};
  settings.accelerator.layerStep = Micros{layerStep};
  settings.accelerator.slots = static_cast<int>(slots);
  settings.accelerator.prefillLayerNanos = prefill;
  settings.seed = static_cast<std::uint64_t>(seed);
  standins::EngineStandIn engine(settings);
  standins::QuitOnSignals(engine.Server());
  const Result<void> started = engine.Start();
  if (!started) {
    std::fprintf(stderr, "standin-engine: %s\n",
                 started.error().message.c_str());
    return 1;
  }
  engine.Run();
  return 0;
}
