#include <cstdio>

#include "Zincstep/Entry/EntryDaemon.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Telemetry/Telemetry.h"

int main(int aCount, char** aWords) {
  zincstep::PrepareProcess();
  const zincstep::EntrySettings settings =
      zincstep::ReadEntrySettings(aCount, aWords);
  if (!zincstep::StartLog("zincstep-entry", settings.logLevel)) {
    std::fprintf(stderr, "zincstep-entry: --log-level: no such level\n");
    return 2;
  }
  zincstep::EndProcess(zincstep::RunEntryDaemon(settings));
}
