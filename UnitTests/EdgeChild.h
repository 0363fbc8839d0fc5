#pragma once

#include "UnitTests/DaemonChild.h"

namespace zincstep {

/// The deployed daemon as a child process, on ports of its own and without a
/// store.
struct EdgeChild : DaemonChild {
  /// Variables of the four addresses.
  static constexpr std::array kListenVariables{
      "ZINCSTEP_LISTEN", "ZINCSTEP_ADMIN_LISTEN", "ZINCSTEP_PEER_LISTEN",
      "ZINCSTEP_FORWARD_LISTEN"};
  static constexpr const char* kRequiredVariable = "ZINCSTEP_STORE";
  /// Variables that may be an empty text.
  static constexpr std::array kOptionalVariables{
      "ZINCSTEP_MEMORY_MB",     "ZINCSTEP_LINK_MBPS",
      "ZINCSTEP_RETRY_RATIO",   "ZINCSTEP_DRAIN_NOTICE_MS",
      "ZINCSTEP_FIRST_START",   "ZINCSTEP_FAIL_CLOSED",
      "ZINCSTEP_LOAD_SURVEY",   "ZINCSTEP_SEEDS",
      "ZINCSTEP_FORWARD_LISTEN"};
  /// Two variables with durations.
  static constexpr std::array kMillisVariables{"ZINCSTEP_DRAIN_NOTICE_MS",
                                               "ZINCSTEP_KEY_REVOCATION_MS"};

  /// Returns settings with ports that were free just now.
  static ChildProcessSettings Settings() {
    ChildProcessSettings settings;
    settings.program = ZINCSTEP_EDGE_PROGRAM;
    settings.environment = {{"ZINCSTEP_NAME", "n1"},
                            {"ZINCSTEP_FAILURE_DOMAIN", "a"},
                            {"ZINCSTEP_STOP_GRACE_S", "3"},
                            {"ZINCSTEP_STORE", "127.0.0.1:1"}};
    DrawPorts(settings, kListenVariables);
    return settings;
  }
};

}  // namespace zincstep
