#pragma once

#include <string>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// The configuration in force as it is told to many, packed once.
///
/// Each version goes to all daemons of a domain at about the same time, and
/// several versions may follow each other within a second: written anew for
/// each asker, a configuration of 1,600 routes took more than the memory of the
/// smallest VM.
class PackedConfiguration {
 public:
  /// The text of the configuration in force in that view, packed.
  SharedBytes Of(const ClusterView& aView);
  /// Bytes that are kept.
  std::size_t Bytes() const { return this->bytes ? this->bytes->size() : 0; }

 private:
  StoreRevision foundAt;
  std::uint64_t version = 0;
  SharedBytes bytes;
};

}  // namespace zincstep
