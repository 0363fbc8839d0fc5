#pragma once

#include <array>
#include <asio.hpp>
#include <chrono>
#include <random>
#include <thread>
#include <vector>

#include "UnitTests/ChildProcess.h"

namespace zincstep {

/// What all daemons as child processes have in common: addresses on loopback.
struct DaemonChild {
  /// Returns the port that a setting names.
  static std::uint16_t PortOf(const ChildProcessSettings& aSettings,
                              const char* aVariable) {
    const std::string& address = aSettings.environment.at(aVariable);
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
  }

  /// Sets each of `aVariables` to an address whose port was free just now.
  ///
  /// Draws ports below the default ephemeral range: another process's outgoing
  /// connection would get one between the draw and its use, or between two
  /// daemons of a test.
  template <class Variables>
  static void DrawPorts(ChildProcessSettings& aSettings,
                        const Variables& aVariables) {
    constexpr int kMinPort = 16'384;
    constexpr int kMaxPort = 32'767;
    std::random_device device;
    std::uniform_int_distribution<int> ports(kMinPort, kMaxPort);
    asio::io_context loop;
    std::vector<asio::ip::tcp::acceptor> held;
    for (const char* variable : aVariables) {
      asio::error_code error = asio::error::address_in_use;
      int port = 0;
      while (error) {
        port = ports(device);
        held.emplace_back(loop, asio::ip::tcp::v4());
        held.back().bind({asio::ip::address_v4::loopback(),
                          static_cast<std::uint16_t>(port)},
                         error);
      }
      aSettings.environment[variable] = "127.0.0.1:" + std::to_string(port);
    }
  }

  /// Connects to an address of `aDaemon` until that succeeds or the process
  /// has ended.
  static void ConnectTo(ChildProcess& aDaemon,
                        const ChildProcessSettings& aSettings,
                        const char* aVariable) {
    // Many dials in a row would find one that connects to itself.
    constexpr auto kInterval = std::chrono::milliseconds(2);
    asio::io_context loop;
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                           PortOf(aSettings, aVariable));
    asio::error_code error = asio::error::connection_refused;
    while (error && !aDaemon.HasEnded()) {
      std::this_thread::sleep_for(kInterval);
      asio::ip::tcp::socket caller(loop);
      caller.connect(endpoint, error);
    }
  }
};

}  // namespace zincstep
