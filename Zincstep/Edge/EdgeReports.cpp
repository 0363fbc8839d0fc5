/// \file
/// What the daemon tells operators: readiness, metrics and status.

#include "Zincstep/Edge/EdgeProcess.h"

namespace zincstep {

BufferedMemory::Bytes EdgeProcess::BufferedBytes() const {
  BufferedMemory::Bytes bytes{};
  const auto of = [&bytes](BufferKind aKind) -> std::size_t& {
    return bytes[static_cast<std::size_t>(aKind)];
  };
  of(BufferKind::ToPeers) = this->peers.BytesToPeers();
  of(BufferKind::FromPeers) = this->peers.BytesFromPeers();
  of(BufferKind::PackedLists) = this->peers.BytesPacked();
  of(BufferKind::ToCallers) =
      this->callers.PendingBytes() + this->forwarded.PendingBytes();
  of(BufferKind::FromUpstreams) = this->relay.BufferedResponseBytes();
  return bytes;
}

bool EdgeProcess::IsReady() const {
  const auto age = this->view.ValidationAge();
  return !this->stop.IsStopping() && this->view.Table() && age &&
         *age <= this->relaySettings.maxValidationAge;
}

std::string EdgeProcess::MetricsText() {
  const auto age = this->view.ValidationAge();
  this->metrics.Set("zincstep_active_requests",
                    static_cast<double>(this->relay.Active()));
  this->metrics.Set("zincstep_handler_failures",
                    static_cast<double>(this->handlerFailures));
  this->metrics.Set("zincstep_config_proof_age_seconds",
                    age ? ToSeconds(*age) : -1);
  const auto listsAge = this->view.ListsAge();
  this->metrics.Set("zincstep_lists_proof_age_seconds",
                    listsAge ? ToSeconds(*listsAge) : -1);
  this->metrics.Set(
      "zincstep_config_revision",
      static_cast<double>(this->view.ConfigStoreRevision().number));
  this->metrics.Set("zincstep_config_version",
                    static_cast<double>(this->view.ConfigVersion()));
  this->metrics.Set("zincstep_store_era",
                    static_cast<double>(this->eras.CurrentEra().value_or(0)));
  this->metrics.Set("zincstep_upstreams",
                    static_cast<double>(this->view.Directory().All().size()));
  this->metrics.Set("zincstep_wrong_entries",
                    static_cast<double>(this->view.InvalidEntries()));
  const auto countRefused = [this](const char* aKind, std::uint64_t aTotal) {
    constexpr const char* kName = "zincstep_refused_entries_total";
    const Metrics::Labels labels{{"kind", aKind}};
    this->metrics.Count(kName, labels,
                        static_cast<double>(aTotal) -
                            this->metrics.CounterValue(kName, labels));
  };
  countRefused("upstream", this->view.RefusedEntries());
  countRefused("daemon", this->peers.Members().RefusedEntries());
  countRefused("block_list", this->blockList.RefusedEntries());
  this->metrics.Set(
      "zincstep_blocked_requests",
      static_cast<double>(this->crashes.Blocked(this->clock.Now()).size()));
  this->metrics.Set("zincstep_retry_burst", this->relaySettings.retries.burst);
  for (const auto& [service, retries] : this->retryWindows) {
    this->metrics.Set("zincstep_retries_left",
                      retries.Available(this->clock.Now()),
                      {{"service", service}});
  }
  this->bufferedMemory.Report(this->BufferedBytes());
  this->metrics.Set("zincstep_placement_duty",
                    this->controller.IsLeader() ? 1 : 0);
  for (const auto& [service, targets] : this->controller.Targets()) {
    for (const auto& [domain, target] : targets) {
      this->metrics.Set("zincstep_placement_demand_tokens", target.target,
                        {{"service", service}, {"domain", domain}});
    }
  }
  // Written anew each time, so that organisations that are no longer among the
  // largest have no series.
  Metrics load;
  this->statistics.Report(load, this->clock.Now());
  return this->metrics.Text() + load.Text();
}

std::string EdgeProcess::StatusText() const {
  const Instant now = this->clock.Now();
  nlohmann::json status = this->statistics.Status(now);
  status["name"] = this->settings.name;
  status["failure_domain"] = this->settings.failureDomain;
  status["ready"] = this->IsReady();
  status["config_version"] = this->view.ConfigVersion();
  status["active_requests"] = this->relay.Active();
  nlohmann::json& stages = status["first_stages"] = nlohmann::json::array();
  const auto& domains = this->view.Directory().ModelsByDomain();
  const auto own = domains.find(this->settings.failureDomain);
  if (own != domains.end()) {
    for (const UpstreamPtr& upstream : own->second) {
      const UpstreamEntry& entry = upstream->Entry();
      if (entry.layers.first != 0 || entry.layers.Size() == 0) {
        continue;
      }
      const auto load = upstream->firstStage.Announced(now);
      stages.push_back({{"upstream", entry.id},
                        {"slots", entry.slots},
                        {"counted", upstream->firstStage.Counted()},
                        {"running", load ? load->running : -1},
                        {"queued", load ? load->queued : -1},
                        {"load_age_ms", load ? (now - load->at) / 1ms : -1},
                        {"may_get_work", upstream->IsUsable(now)}});
    }
  }
  return status.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace zincstep
