#pragma once

#include <set>
#include <string>
#include <vector>

#include "Zincstep/Platform/Platform.h"

namespace zincstep {

/// Tracks which upstreams are leaving.
///
/// If sources disagree, any report that an upstream is leaving is accepted,
/// from the VM list, a peer or the upstream itself, and stays in effect. Only a
/// VM that disappeared from the list and is listed again counts as a new
/// upstream under an old name. A wrong report costs capacity for a while; a
/// missed one sends work to a VM that is about to stop.
class LeavingUpstreams {
 public:
  /// Applies a new VM list; returns the upstreams that it newly marks as
  /// leaving.
  std::vector<std::string> OnVmList(const std::vector<VmEntry>& aVms);
  /// Records a report of a peer or of the upstream itself that it is leaving;
  /// returns whether that was not known.
  bool OnLeaving(const std::string& aUpstream);

  bool IsLeaving(const std::string& aUpstream) const {
    return this->leaving.contains(aUpstream);
  }
  /// All upstreams known to be leaving.
  const std::set<std::string>& Leaving() const { return this->leaving; }

 private:
  std::set<std::string> listed;
  std::set<std::string> removed;
  std::set<std::string> leaving;
};

}  // namespace zincstep
