#include "Client/Commands.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Settings/Settings.h"

namespace {

constexpr const char* kUsage =
    "[flags] COMMAND\n\n"
    "Commands on the accepted configuration (need --platform):\n"
    "  check FILE       validate a file and list all its errors\n"
    "  diff FILE        show what applying a file would change\n"
    "  apply FILE       make a file the accepted configuration, atomically\n"
    "  get              print the accepted configuration\n"
    "  status           show the active revision of each daemon\n"
    "  collect          remove pieces that no configuration uses\n"
    "Commands on one daemon (need --daemon):\n"
    "  daemon           show its state\n"
    "  upstreams        show the upstreams in its view\n"
    "  chains           show its planned chains through the layers\n"
    "  organisations    show the tokens served to each organisation\n"
    "  explain REQUEST  show the route of a request\n"
    "  drain            finish the requests it has begun, then stop\n\n"
    "Exit status: 0 done, 1 failed, 2 invalid usage, 3 invalid file,\n"
    "4 another file was accepted first, 5 no response, 6 accepted but not\n"
    "active on all daemons in time, 7 differences found\n";

}  // namespace

int main(int aCount, char** aArguments) {
  zincstep::PrepareProgram();
  zincstep::client::ClientSettings settings;
  zincstep::SettingsReader reader("zincstep", kUsage);
  reader.Address("platform", settings.platform,
                 "Address of the platform's services");
  reader.Address("daemon", settings.daemon, "Operators' address of a daemon");
  reader.Flag("json", settings.json, "Print JSON for scripts");
  reader.Integer("base", settings.base, -1, INT64_MAX,
                 "Revision that the file is based on; -1 for any");
  reader.Millis("wait-ms", settings.wait, 0, 3600000,
                "Time to wait until it is active on all daemons");
  const auto arguments = zincstep::ReadOrExit(reader, aCount, aArguments);
  return static_cast<int>(zincstep::client::Commands(settings).Run(arguments));
}
