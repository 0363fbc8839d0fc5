#include "Zincstep/Pool/PeerWork.h"

namespace zincstep {

void PeerWork::Revert(Report& aReport) {
  for (const PeerShare& share : aReport.shares) {
    share.upstream->RemoveRemoteWork(share.work);
    share.upstream->firstStage.RemoveRemote(share.firstStageRequests);
  }
  aReport.shares.clear();
}

void PeerWork::Update(const std::string& aDaemon,
                      std::vector<PeerShare> aShares, Instant aNow) {
  Report& report = this->byDaemon[aDaemon];
  Revert(report);
  report.shares = std::move(aShares);
  report.at = aNow;
  for (const PeerShare& share : report.shares) {
    share.upstream->AddRemoteWork(share.work);
    share.upstream->firstStage.AddRemote(share.firstStageRequests);
  }
}

void PeerWork::Tick(Instant aNow, Micros aMaxAge) {
  for (auto report = this->byDaemon.begin(); report != this->byDaemon.end();) {
    if (aNow - report->second.at < aMaxAge) {
      ++report;
      continue;
    }
    Revert(report->second);
    report = this->byDaemon.erase(report);
  }
}

}  // namespace zincstep
