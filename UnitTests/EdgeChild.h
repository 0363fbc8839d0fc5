#pragma once

#include <array>
#include <asio.hpp>
#include <vector>

#include "UnitTests/ChildProcess.h"

namespace zincstep {

/// The deployed daemon as a child process, on ports of its own and without a
/// store.
struct EdgeChild {
  /// Variables of the four addresses.
  static constexpr std::array kListenVariables{
      "ZINCSTEP_LISTEN", "ZINCSTEP_ADMIN_LISTEN", "ZINCSTEP_PEER_LISTEN",
      "ZINCSTEP_FORWARD_LISTEN"};

  /// Returns settings with ports that were free just now.
  static ChildProcessSettings Settings() {
    ChildProcessSettings settings;
    settings.program = ZINCSTEP_EDGE_PROGRAM;
    settings.environment = {{"ZINCSTEP_NAME", "n1"},
                            {"ZINCSTEP_FAILURE_DOMAIN", "a"},
                            {"ZINCSTEP_STOP_GRACE_S", "3"},
                            {"ZINCSTEP_STORE", "127.0.0.1:1"}};
    asio::io_context loop;
    std::vector<asio::ip::tcp::acceptor> held;
    for (const char* variable : kListenVariables) {
      const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
      held.emplace_back(loop, any);
      settings.environment[variable] =
          "127.0.0.1:" + std::to_string(held.back().local_endpoint().port());
    }
    return settings;
  }

  /// Returns the port that a setting names.
  static std::uint16_t PortOf(const ChildProcessSettings& aSettings,
                              const char* aVariable) {
    const std::string& address = aSettings.environment.at(aVariable);
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
  }
};

}  // namespace zincstep
