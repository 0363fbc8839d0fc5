#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// All upstreams that are known, by their ids, each in its newest incarnation.
class UpstreamDirectory {
 public:
  /// An entry is new or has changed.
  void Put(UpstreamEntry aEntry, Instant aNow);
  /// An entry is gone; gives the upstream, or null where it was unknown.
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
  /// All of them.
  const std::map<std::string, UpstreamPtr>& All() const { return this->all; }
  /// Rises with each entry that comes, changes or goes.
  std::uint64_t Changes() const { return this->changes; }

 private:
  void Unlist(const UpstreamPtr& aUpstream);
  /// Notes who is at an address. True: this incarnation was there before, and
  /// another one of its service has begun there since.
  bool IsSucceeded(const LiveUpstream& aUpstream);
  /// Another upstream of the same service at the same address, or null.
  UpstreamPtr SuccessorOf(const LiveUpstream& aUpstream) const;
  /// The incarnation if it is off the list and still in use; else a new one,
  /// and what was in use has ended.
  UpstreamPtr TakeBack(UpstreamEntry aEntry, Instant aNow);

  std::uint64_t changes = 0;
  std::map<std::string, UpstreamPtr> all;
  std::unordered_map<std::uint64_t, UpstreamPtr> byNumber;
  std::map<std::string, std::vector<UpstreamPtr>> byService;
  std::map<std::string, std::vector<UpstreamPtr>> modelsByDomain;
  /// Incarnations off the list that requests still run on, by their ids: one
  /// that comes back is the same, so that no chain names it twice.
  std::map<std::string, std::weak_ptr<LiveUpstream>> departed;

  /// Who was and who is at an address.
  struct AddressUse {
    std::uint64_t present = 0;
    std::string id;
    std::string service;
    /// Incarnations that have ended, the latest last.
    std::vector<std::uint64_t> former;

    void SetPresent(const LiveUpstream& aUpstream);
    void Retire(std::uint64_t aUpstream);
  };
  /// By address; addresses are used again and again.
  std::unordered_map<std::string, AddressUse> uses;
};

}  // namespace zincstep
