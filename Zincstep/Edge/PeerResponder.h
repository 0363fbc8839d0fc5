#pragma once

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Edge/PackedConfiguration.h"
#include "Zincstep/Edge/PackedLists.h"

namespace zincstep {

/// Responds to peers' queries for the state of the cluster.
///
/// The configuration and long lists, which many peers query at once, are
/// compressed once and cached. Full lists are limited by a byte budget.
class PeerResponder {
 public:
  /// `aLinkMbps`: link of this VM, in Mbit/s.
  PeerResponder(const ClusterView& aView, const Clock& aClock,
                double aLinkMbps);

  /// Returns the response to a query, in the current era of the store. Leaves
  /// out the lists while the budget for full lists is spent: the requester can
  /// query other peers or the store.
  ClusterResponse Respond(const ClusterQuery& aQuery, std::uint64_t aEra);
  /// Cached bytes.
  std::size_t Bytes() const;

 private:
  /// Returns the compressed list for a requester that has it as of `aSince`,
  /// and resets `aList`, which it replaces. Null if the list is short.
  static const PackedList* Pack(PackedLists& aLists, StoreRevision aSince,
                                StoreRevision aAt,
                                std::optional<ListUpdate>& aList);
  /// Reserves bytes of the budget for full lists; returns false if it is spent.
  bool TryReserve(std::size_t aBytes);

  const ClusterView& view;
  const Clock& clock;
  PackedConfiguration config;
  PackedLists upstreams;
  PackedLists daemons;
  /// Budget for full lists, in bytes; none are sent while it is not positive.
  TokenBucket listBudget;
};

}  // namespace zincstep
