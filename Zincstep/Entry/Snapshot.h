#pragma once

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "Zincstep/Config/Config.h"
#include "Zincstep/Control/ConfigurationStore.h"

namespace zincstep {

/// One accepted, immutable configuration with its indexes.
struct Snapshot {
  std::uint64_t revision = 0;
  Configuration configuration;
  /// Organisations by the hash of their bearer keys.
  std::unordered_map<std::string, const Organisation*> byKey;
  /// Failure domains of this daemon's region.
  std::set<std::string> regionDomains;
  std::string region;
  /// The root's text and the pieces, for forwarding to peers.
  std::string root;
  ConfigurationPieces pieces;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Creates the snapshot of a stored configuration.
///
/// Fails with `ConfigInvalid` if the pieces do not form a valid file.
Result<SnapshotPtr> MakeSnapshot(const StoredConfiguration& aStored,
                                 const std::string& aOwnDomain);

}  // namespace zincstep
