#include <cstdio>

#include "StandIns/ServiceStandIn.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Settings/Settings.h"

using namespace zincstep;

int main(int aCount, char** aWords) {
  PrepareProgram();
  std::string address = "127.0.0.1:7400";
  std::string name = "service";
  SettingsReader reader("standin-service", "[flags]");
  reader.Address("listen", address, "Address to listen on");
  reader.Text("name", name, "Service name in the responses");
  ReadOrExit(reader, aCount, aWords);
  standins::ServiceStandIn service(address, name);
  standins::QuitOnSignals(service.Server());
  const Result<void> started = service.Start();
  if (!started) {
    std::fprintf(stderr, "standin-service: %s\n",
                 started.error().message.c_str());
    return 1;
  }
  service.Run();
  return 0;
}
