#pragma once

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Edge/PackedConfiguration.h"
#include "Zincstep/Edge/PackedLists.h"

namespace zincstep {

/// Answers what peers ask of the cluster.
///
/// What many ask for at once, the configuration and long lists, is packed once
/// and held once. Whole lists fall under a budget of bytes.
class PeerResponder {
 public:
  /// `aLinkMbps`: this VM's link.
  PeerResponder(const ClusterView& aView, const Clock& aClock,
                double aLinkMbps);

  /// The answer to a question, in the present era of the store. Whole lists are
  /// left out while the budget is spent: the asker has others to ask, and the
  /// store.
  ClusterGive To(const ClusterWant& aWant, std::uint64_t aEra);
  /// Bytes that are kept packed.
  std::size_t Bytes() const;

 private:
  /// What is packed of a list for one who has it as of `aSince`; it takes the
  /// place of `aList`. Null where that is short.
  static const PackedList* Pack(PackedLists& aLists, StoreRevision aSince,
                                StoreRevision aAt,
                                std::optional<ListUpdate>& aList);
  /// Whether whole lists of so many bytes may be told, which then count.
  bool MaySpend(std::size_t aBytes);

  const ClusterView& view;
  const Clock& clock;
  PackedConfiguration config;
  PackedLists upstreams;
  PackedLists daemons;
  /// Bytes of whole lists that may be told; none are while it is below zero.
  TokenBucket listBytes;
};

}  // namespace zincstep
