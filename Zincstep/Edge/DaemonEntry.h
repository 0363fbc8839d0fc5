#pragma once

#include <optional>
#include <string>

#include "Zincstep/Edge/PeerName.h"

namespace zincstep {

/// Encodes and parses the store entry by which daemons discover each other.
/// Keys are relative to the prefix of the daemons' own entries.
class DaemonEntry {
 public:
  /// Parses an entry; returns none if the key is not that of a daemon or the
  /// text is malformed.
  static std::optional<PeerName> Parse(const std::string& aKey,
                                       const std::string& aText);
  /// Returns the daemon's name from a key; empty if the key is not that of a
  /// daemon.
  static std::string NameOf(const std::string& aKey);
  static std::string KeyOf(const PeerName& aDaemon);
  static std::string TextOf(const PeerName& aDaemon);
  /// Returns the key prefix of the daemons of a failure domain.
  static std::string PrefixOf(const std::string& aFailureDomain);
};

}  // namespace zincstep
