#pragma once

#include "UnitTests/DaemonChild.h"

namespace zincstep {

/// The entry daemon as a child process, on ports of its own and without a
/// platform.
struct EntryChild : DaemonChild {
  /// Variables of the three addresses.
  static constexpr std::array kListenVariables{
      "ZINCSTEP_LISTEN", "ZINCSTEP_ADMIN_LISTEN", "ZINCSTEP_PEER_LISTEN"};
  static constexpr const char* kRequiredVariable = "ZINCSTEP_PLATFORM";
  /// Variables that may be an empty text.
  static constexpr std::array kOptionalVariables{
      "ZINCSTEP_MAX_BODY_BYTES", "ZINCSTEP_READ_TIMEOUT_MS",
      "ZINCSTEP_TRACE_FILE", "ZINCSTEP_LOG_LEVEL", "ZINCSTEP_SEED"};
  /// Two variables with durations.
  static constexpr std::array kMillisVariables{"ZINCSTEP_GOSSIP_MS",
                                               "ZINCSTEP_LEASE_MS"};

  /// Returns settings with ports that were free just now.
  static ChildProcessSettings Settings() {
    ChildProcessSettings settings;
    settings.program = ZINCSTEP_ENTRY_PROGRAM;
    settings.environment = {{"ZINCSTEP_VM", "n1"},
                            {"ZINCSTEP_FAILURE_DOMAIN", "a"},
                            {"ZINCSTEP_DRAIN_GRACE_MS", "0"},
                            {"ZINCSTEP_PLATFORM", "127.0.0.1:1"}};
    DrawPorts(settings, kListenVariables);
    return settings;
  }
};

}  // namespace zincstep
