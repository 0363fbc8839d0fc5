#include "Zincstep/Edge/CapacityGossip.h"

namespace zincstep {

void CapacityGossip::Fill(WorkGossip& aGossip, std::size_t aDaemons,
                          Micros aInterval) {
  this->scheduler.SetDomain(aDaemons, aInterval);
  aGossip.demands = this->scheduler.Demands();
  aGossip.organisations =
      this->scheduler.Organisations(kMaxOrganisationDemands);
}

void CapacityGossip::Apply(const std::string& aSender,
                           const WorkGossip& aGossip) {
  this->scheduler.OnPeerDemands(aSender, aGossip.demands,
                                aGossip.organisations);
}

}  // namespace zincstep
