/// \file
/// The load survey of a daemon that has started.

#include "Zincstep/Edge/EdgeProcess.h"

namespace zincstep {

void EdgeProcess::SurveyLoadSoon() {
  if (this->isSurveyDue || this->survey.IsOver(this->clock.Now())) {
    return;
  }
  this->isSurveyDue = true;
  asio::post(this->loop, [this] {
    this->isSurveyDue = false;
    this->SurveyLoad();
  });
}

void EdgeProcess::SurveyLoad() {
  const Instant now = this->clock.Now();
  if (this->settings.features.loadSurvey == FeatureMode::Off ||
      this->survey.IsOver(now)) {
    return;
  }
  const auto& domains = this->view.Directory().ModelsByDomain();
  const auto own = domains.find(this->settings.failureDomain);
  if (own == domains.end()) {
    return;
  }
  const PeerMembers& members = this->peers.Members();
  const std::size_t rank = members.Rank();
  const SurveyRank surveyRank{rank, rank == 0 && members.HasDiscoveredPeers()};
  const std::vector<UpstreamPtr> asked =
      this->survey.Next(own->second, surveyRank, now);
  if (asked.empty()) {
    return;
  }
  LogInfo("load_survey", {{"reports", asked.size()},
                          {"reports_in_all", this->survey.Requested()},
                          {"rank", rank}});
  for (const UpstreamPtr& upstream : asked) {
    this->metrics.Count("zincstep_load_survey_reports_total");
    this->control.Report(
        upstream->Entry(), this->relaySettings.reportTimeout,
        [this, upstream](const Result<UpstreamReport>& aReport) {
          this->OnSurveyReport(upstream, aReport);
        });
  }
}

void EdgeProcess::OnSurveyReport(const UpstreamPtr& aUpstream,
                                 const Result<UpstreamReport>& aReport) {
  const Instant now = this->clock.Now();
  const UpstreamEntry& entry = aUpstream->Entry();
  if (aReport) {
    this->survey.OnReport(*aUpstream, aReport->running, aReport->queued, now);
    aUpstream->OnResponse(now);
    LogInfo("load_survey_report", {{"upstream", entry.id},
                                   {"running", aReport->running},
                                   {"queued", aReport->queued},
                                   {"slots", entry.slots}});
  } else {
    this->survey.OnNoReport(*aUpstream);
    LogInfo("load_survey_report",
            {{"upstream", entry.id}, {"error", aReport.error().message}});
  }
  if (!this->survey.IsPending()) {
    this->peers.GossipSoon();
  }
}

}  // namespace zincstep
