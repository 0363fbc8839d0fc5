#include "Zincstep/Membership/LeavingUpstreams.h"

namespace zincstep {

bool LeavingUpstreams::OnLeaving(const std::string& aUpstream) {
  return this->leaving.insert(aUpstream).second;
}

std::vector<std::string> LeavingUpstreams::OnVmList(
    const std::vector<VmEntry>& aVms) {
  std::vector<std::string> news;
  std::set<std::string> now;
  for (const VmEntry& vm : aVms) {
    if (vm.role != VmRole::Upstream) {
      continue;
    }
    now.insert(vm.name);
    const bool isNewVm = this->vanished.erase(vm.name) > 0 && !vm.leaving;
    if (isNewVm) {
      this->leaving.erase(vm.name);
    }
    if (vm.leaving && this->OnLeaving(vm.name)) {
      news.push_back(vm.name);
    }
  }
  for (const std::string& name : this->listed) {
    if (now.contains(name)) {
      continue;
    }
    this->vanished.insert(name);
    if (this->OnLeaving(name)) {
      news.push_back(name);
    }
  }
  this->listed = std::move(now);
  return news;
}

}  // namespace zincstep
