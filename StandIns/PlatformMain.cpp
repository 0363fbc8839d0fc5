#include <cstdio>

#include "StandIns/PlatformStandIn.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Settings/Settings.h"

using namespace zincstep;

int main(int aCount, char** aWords) {
  PrepareProgram();
  std::string address = "127.0.0.1:7000";
  Micros lag = 500ms;
  std::int64_t seed = 1;
  SettingsReader reader("standin-platform", "[flags]");
  reader.Address("listen", address, "Address to listen on");
  reader.Millis("vm-list-lag-ms", lag, 0, 600000,
                "Delay until a VM change appears in the VM list");
  reader.Integer("seed", seed, 0, INT64_MAX, "Seed of the random faults");
  ReadOrExit(reader, aCount, aWords);
  standins::PlatformStandIn platform(address, lag,
                                     static_cast<std::uint64_t>(seed));
  standins::QuitOnSignals(platform.Server());
  const Result<void> started = platform.Start();
  if (!started) {
    std::fprintf(stderr, "standin-platform: %s\n",
                 started.error().message.c_str());
    return 1;
  }
  platform.Run();
  return 0;
}
