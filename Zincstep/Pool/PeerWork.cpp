#include "Zincstep/Pool/PeerWork.h"

namespace zincstep {

void PeerWork::TakeBack(Told& aTold) {
  for (const PeerShare& share : aTold.shares) {
    share.upstream->RemoveRemoteWork(share.work);
  }
  aTold.shares.clear();
}

void PeerWork::Update(const std::string& aDaemon,
                      std::vector<PeerShare> aShares, Instant aNow) {
  Told& told = this->byDaemon[aDaemon];
  TakeBack(told);
  told.shares = std::move(aShares);
  told.at = aNow;
  for (const PeerShare& share : told.shares) {
    share.upstream->AddRemoteWork(share.work);
  }
}

void PeerWork::Tick(Instant aNow, Micros aLife) {
  for (auto told = this->byDaemon.begin(); told != this->byDaemon.end();) {
    if (aNow - told->second.at < aLife) {
      ++told;
      continue;
    }
    TakeBack(told->second);
    told = this->byDaemon.erase(told);
  }
}

}  // namespace zincstep
