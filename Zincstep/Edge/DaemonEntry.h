#pragma once

#include <optional>
#include <string>

#include "Zincstep/Edge/PeerName.h"

namespace zincstep {

/// The entry by which a daemon is found: its key behind the daemons' own prefix
/// of the store, and its text.
class DaemonEntry {
 public:
  /// Reads an entry; none where it is no such entry, or does not parse.
  static std::optional<PeerName> Read(const std::string& aKey,
                                      const std::string& aText);
  /// The daemon that a key is of; empty where it is no such entry's.
  static std::string NameIn(const std::string& aKey);
  static std::string KeyOf(const PeerName& aDaemon);
  static std::string TextOf(const PeerName& aDaemon);
  /// What the keys of a failure domain's daemons begin with.
  static std::string PrefixOf(const std::string& aFailureDomain);
};

}  // namespace zincstep
