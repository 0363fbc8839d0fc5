#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// All known upstreams by id, each in its latest incarnation.
class UpstreamDirectory {
 public:
  /// Adds or updates an entry.
  void Put(UpstreamEntry aEntry, Instant aNow);
  /// Removes an entry; returns the upstream, or null if it was unknown.
  UpstreamPtr Remove(const std::string& aId, Instant aNow);

  /// The upstream of that id, or null.
  UpstreamPtr Find(const std::string& aId) const;
  /// The upstream of that number, or null.
  UpstreamPtr FindNumber(std::uint64_t aNumber) const;
  /// The upstreams of a service.
  const std::vector<UpstreamPtr>& OfService(const std::string& aService) const;
  /// The upstreams of models by their failure domains.
  const std::map<std::string, std::vector<UpstreamPtr>>& ModelsByDomain()
      const {
    return this->modelsByDomain;
  }
  /// All upstreams by id.
  const std::map<std::string, UpstreamPtr>& All() const { return this->all; }
  /// Incremented whenever an entry is added, changed or removed.
  std::uint64_t Changes() const { return this->changes; }

 private:
  void RemoveFromLists(const UpstreamPtr& aUpstream);
  /// Records the incarnation as the user of its address. Returns true if it
  /// used the address before and another incarnation of its service has started
  /// there since.
  bool IsSuperseded(const LiveUpstream& aUpstream);
  /// Of the upstreams of its service that are listed at its address, marks all
  /// but the one that was started last.
  void SetSuccessor(LiveUpstream& aUpstream);
  /// Returns another upstream of the same service at the same address, or null.
  UpstreamPtr SuccessorOf(const LiveUpstream& aUpstream) const;
  /// Returns the known object if this incarnation was removed and is still in
  /// use; else a new one, and marks a former incarnation as ended.
  UpstreamPtr Reactivate(UpstreamEntry aEntry, Instant aNow);

  std::uint64_t changes = 0;
  std::map<std::string, UpstreamPtr> all;
  std::unordered_map<std::uint64_t, UpstreamPtr> byNumber;
  std::map<std::string, std::vector<UpstreamPtr>> byService;
  std::map<std::string, std::vector<UpstreamPtr>> modelsByDomain;
  /// Removed incarnations by id that requests still run on: one that returns
  /// keeps its object, so that no chain names it twice.
  std::map<std::string, std::weak_ptr<LiveUpstream>> departed;

  /// Present and former users of an address.
  struct AddressUse {
    std::uint64_t present = 0;
    std::string id;
    std::string service;
    /// Incarnations that have ended, latest last.
    std::vector<std::uint64_t> former;

    void SetPresent(const LiveUpstream& aUpstream);
    void Retire(std::uint64_t aUpstream);
  };
  /// By address; addresses are reused.
  std::unordered_map<std::string, AddressUse> addressUses;
};

}  // namespace zincstep
