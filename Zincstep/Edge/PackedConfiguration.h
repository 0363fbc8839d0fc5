#pragma once

#include <string>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// Caches the compressed active configuration that is sent to many peers.
///
/// Each version goes to all daemons of a domain at about the same time, and
/// several versions may follow each other within a second. Compressed for each
/// requester, a configuration of 1,600 routes took more than the memory of the
/// smallest VM.
class PackedConfiguration {
 public:
  /// Returns the compressed text of the view's active configuration.
  SharedBytes Get(const ClusterView& aView);
  /// Cached bytes.
  std::size_t Bytes() const { return this->bytes ? this->bytes->size() : 0; }

 private:
  StoreRevision revision;
  std::uint64_t version = 0;
  SharedBytes bytes;
};

}  // namespace zincstep
