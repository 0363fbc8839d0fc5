#include "Client/Commands.h"
#include "Zincstep/Settings/Settings.h"

namespace {

constexpr const char* kUsage =
    "[flags] COMMAND\n\n"
    "Commands on the accepted configuration (need --platform):\n"
    "  check FILE       say whether a file is valid, with all its faults\n"
    "  diff FILE        show what applying a file would change\n"
    "  apply FILE       make a file the accepted configuration, as a whole\n"
    "  get              print the accepted configuration\n"
    "  status           show what is in force on each daemon\n"
    "  collect          remove pieces that no configuration uses\n"
    "Commands on one daemon (need --daemon):\n"
    "  daemon           show its state\n"
    "  upstreams        show the upstreams as it sees them\n"
    "  chains           show the ways that it plans through the layers\n"
    "  organisations    show what it has served to each organisation\n"
    "  explain REQUEST  show the way that a request took\n"
    "  drain            let it end what it has begun, then stop\n\n"
    "Exit status: 0 done, 1 failed, 2 wrong usage, 3 file not valid,\n"
    "4 another file was accepted first, 5 no answer, 6 accepted but not\n"
    "in force everywhere in time, 7 differences found\n";

}  // namespace

int main(int aCount, char** aWords) {
  zincstep::client::ClientSettings settings;
  zincstep::SettingsReader reader("zincstep", kUsage);
  reader.Address("platform", settings.platform,
                 "Address of the platform's services");
  reader.Address("daemon", settings.daemon, "Operators' address of a daemon");
  reader.Flag("json", settings.json, "Print JSON for scripts");
  reader.Integer("base", settings.base, -1, INT64_MAX,
                 "Revision that the file was made from; -1 for any");
  reader.Millis("wait-ms", settings.wait, 0, 3600000,
                "Time to wait until it is in force everywhere");
  const auto words = zincstep::ReadOrExit(reader, aCount, aWords);
  return static_cast<int>(zincstep::client::Commands(settings).Run(words));
}
