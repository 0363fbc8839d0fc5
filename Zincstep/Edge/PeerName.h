#pragma once

#include <string>

namespace zincstep {

/// How one daemon names another, or itself.
struct PeerName {
  std::string name;
  /// Where it listens for other daemons.
  std::string address;
  std::string failureDomain;
  /// Its VM's link, in Mbit/s; 0: it does not tell.
  double linkMbps = 0;
};

}  // namespace zincstep
