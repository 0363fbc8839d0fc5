#include <cstdio>

#include "Zincstep/Entry/EntryDaemon.h"
#include "Zincstep/Telemetry/Telemetry.h"

int main(int aCount, char** aWords) {
  const zincstep::EntrySettings settings =
      zincstep::ReadEntrySettings(aCount, aWords);
  if (!zincstep::StartLog("zincstep-entry", settings.logLevel)) {
    std::fprintf(stderr, "zincstep-entry: --log-level: no such level\n");
    return 2;
  }
  const int status = zincstep::RunEntryDaemon(settings);
  zincstep::StopLog();
  return status;
}
