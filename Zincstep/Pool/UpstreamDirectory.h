#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// All upstreams that are known, by the id of their incarnation.
class UpstreamDirectory {
 public:
  /// An entry is new or has changed.
  void Put(UpstreamEntry aEntry, Instant aNow);
  /// An entry is gone; gives the upstream, or null where it was unknown.
  UpstreamPtr Remove(const std::string& aId, Instant aNow);

  /// The upstream of that id, or null.
  UpstreamPtr Find(const std::string& aId) const;
  /// The upstreams of a service.
  const std::vector<UpstreamPtr>& OfService(const std::string& aService) const;
  /// All of them.
  const std::map<std::string, UpstreamPtr>& All() const { return this->all; }

 private:
  void Unlist(const UpstreamPtr& aUpstream);

  std::map<std::string, UpstreamPtr> all;
  std::map<std::string, std::vector<UpstreamPtr>> byService;
  /// Incarnations off the list that requests still run on: one that comes
  /// back is the same, so that no chain names it twice.
  std::map<std::string, std::weak_ptr<LiveUpstream>> departed;
};

}  // namespace zincstep
