#include "Zincstep/Membership/LeavingUpstreams.h"

namespace zincstep {

bool LeavingUpstreams::OnLeaving(const std::string& aUpstream) {
  return this->leaving.insert(aUpstream).second;
}

std::vector<std::string> LeavingUpstreams::OnVmList(
    const std::vector<VmEntry>& aVms) {
  std::vector<std::string> newlyLeaving;
  std::set<std::string> current;
  for (const VmEntry& vm : aVms) {
    if (vm.role != VmRole::Upstream) {
      continue;
    }
    current.insert(vm.name);
    const bool hasReturned = this->removed.erase(vm.name) > 0 && !vm.leaving;
    if (hasReturned) {
      this->leaving.erase(vm.name);
    }
    if (vm.leaving && this->OnLeaving(vm.name)) {
      newlyLeaving.push_back(vm.name);
    }
  }
  for (const std::string& name : this->listed) {
    if (current.contains(name)) {
      continue;
    }
    this->removed.insert(name);
    if (this->OnLeaving(name)) {
      newlyLeaving.push_back(name);
    }
  }
  this->listed = std::move(current);
  return newlyLeaving;
}

}  // namespace zincstep
