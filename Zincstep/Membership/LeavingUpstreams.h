#pragma once

#include <set>
#include <string>
#include <vector>

#include "Zincstep/Platform/Platform.h"

namespace zincstep {

/// Which upstreams are leaving, by all that this daemon hears.
///
/// The rule for disagreement: whoever says "leaving" is believed, be it
/// the VM list, a peer or the upstream itself, and it stays so. Only a VM
/// that the list stopped showing and then shows anew is a new upstream
/// under an old name. A wrong "leaving" costs capacity for a while; a
/// missed one sends work to a VM that is about to go.
class LeavingUpstreams {
 public:
  /// Takes a new VM list; gives the upstreams that began to leave by it.
  std::vector<std::string> OnVmList(const std::vector<VmEntry>& aVms);
  /// A peer or the upstream itself says that it leaves; true if it is news.
  bool OnLeaving(const std::string& aUpstream);

  bool IsLeaving(const std::string& aUpstream) const {
    return this->leaving.contains(aUpstream);
  }
  /// All that are known to leave.
  const std::set<std::string>& Leaving() const { return this->leaving; }

 private:
  std::set<std::string> listed;
  std::set<std::string> vanished;
  std::set<std::string> leaving;
};

}  // namespace zincstep
