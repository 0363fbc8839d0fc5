#pragma once

#include <string>

namespace zincstep {

/// Name, address and location of a daemon.
struct PeerName {
  std::string name;
  /// host:port where it listens for other daemons.
  std::string address;
  std::string failureDomain;
  /// Link of its VM, in Mbit/s; 0 if unknown.
  double linkMbps = 0;
};

}  // namespace zincstep
