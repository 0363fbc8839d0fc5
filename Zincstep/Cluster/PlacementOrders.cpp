#include "Zincstep/Cluster/PlacementOrders.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

PlacementOrders::PlacementOrders(PlacementOrdersSettings aSettings,
                                 UpstreamControl& aControl, ClusterView& aView,
                                 const Clock& aClock,
                                 std::function<bool()> aMayIssueOrders)
    : settings(aSettings),
      control(aControl),
      view(aView),
      clock(aClock),
      mayIssueOrders(std::move(aMayIssueOrders)) {}

void PlacementOrders::Clear() {
  this->pending.clear();
  this->queue.clear();
}

void PlacementOrders::Send(const ModelShape& aModel,
                           const PlacementOrder& aOrder) {
  const UpstreamPtr upstream = this->view.Directory().Find(aOrder.id);
  if (!upstream) {
    return;
  }
  this->pending[aOrder.id] = {upstream->Number(), aOrder.layers, Instant::max(),
                              ExpiryAction::Discard};
  this->queue.push_back(
      {upstream, aOrder,
       aModel.loadTime * aOrder.layers.Size() / aModel.layers});
  this->SendQueued();
}

void PlacementOrders::SendQueued() {
  while (!this->queue.empty() &&
         this->callsInFlight < this->settings.maxConcurrentCalls) {
    const QueuedOrder next = std::move(this->queue.front());
    this->queue.pop_front();
    if (!this->mayIssueOrders()) {
      this->pending.erase(next.order.id);
      continue;
    }
    this->StartOrder(next);
  }
}

void PlacementOrders::StartOrder(const QueuedOrder& aQueued) {
  this->callsInFlight += 1;
  this->Expect(*aQueued.upstream, aQueued.order.layers,
               this->settings.reportTimeout * 2, ExpiryAction::Discard);
  this->control.Report(aQueued.upstream->Entry(), this->settings.reportTimeout,
                       [this, aQueued](const Result<UpstreamReport>& aReport) {
                         this->OnReport(aQueued, aReport);
                       });
}

void PlacementOrders::OnCallEnded() {
  this->callsInFlight -= 1;
  this->SendQueued();
}

void PlacementOrders::OnReport(const QueuedOrder& aQueued,
                               const Result<UpstreamReport>& aReport) {
  const UpstreamPtr& upstream = aQueued.upstream;
  const std::string& id = aQueued.order.id;
  const LayerRange layers = aQueued.order.layers;
  // The order count in a report is valid for the reporting incarnation only.
  const bool isListed = this->view.Directory().Find(id) == upstream;
  if (!isListed || !this->mayIssueOrders()) {
    this->OnCallEnded();
    return;
  }
  if (!aReport) {
    this->OnReportFailed(*upstream, aReport.error());
    this->OnCallEnded();
    return;
  }
  upstream->OnResponse(this->clock.Now());
  if (aReport->isBusy) {
    LogInfo("placement_busy", {{"upstream", id},
                               {"first_layer", aReport->layers.first},
                               {"last_layer", aReport->layers.last},
                               {"running", aReport->running},
                               {"queued", aReport->queued},
                               {"memory_used", aReport->memoryUsed},
                               {"pace", aReport->slowdown}});
    this->Expect(*upstream, layers, this->settings.refusedBackoff,
                 ExpiryAction::Discard);
    this->OnCallEnded();
    return;
  }
  LogInfo("placement_ordered",
          {{"upstream", id},
           {"first_layer", layers.first},
           {"last_layer", layers.last},
           {"release",
            std::string(NameIn(kReleaseModeNames, aQueued.order.releaseMode))},
           {"running", aReport->running},
           {"memory_used", aReport->memoryUsed},
           {"memory_total", aReport->memoryTotal},
           {"expected_sequence", aReport->sequence}});
  this->Expect(*upstream, layers, aQueued.loadTime + this->settings.loadSlack,
               ExpiryAction::Check);
  this->control.Place(upstream->Entry(), layers, aReport->sequence,
                      aQueued.order.releaseMode,
                      [this, aQueued](const Result<OrderOutcome>& aOutcome) {
                        this->OnOrderResult(aQueued, aOutcome);
                        this->OnCallEnded();
                      });
}

void PlacementOrders::OnReportFailed(LiveUpstream& aUpstream,
                                     const Error& aError) {
  const std::string& id = aUpstream.Entry().id;
  LogInfo("upstream_suspected", {{"upstream", id},
                                 {"reason", "no response to a report request"},
                                 {"error", aError.message}});
  aUpstream.Suspect(this->clock.Now());
  this->pending.erase(id);
}

void PlacementOrders::OnOrderResult(const QueuedOrder& aQueued,
                                    const Result<OrderOutcome>& aOutcome) {
  const LiveUpstream& upstream = *aQueued.upstream;
  const PlacementOrder& order = aQueued.order;
  if (upstream.HasEnded()) {
    LogInfo("placement_order_void",
            {{"upstream", order.id}, {"reason", "the upstream has restarted"}});
    return;
  }
  if (!aOutcome) {
    LogWarning("placement_unanswered",
               {{"upstream", order.id}, {"reason", aOutcome.error().message}});
    this->Expect(upstream, order.layers,
                 aQueued.loadTime + this->settings.unansweredDelay,
                 ExpiryAction::Check);
  } else if (aOutcome->status != OrderStatus::Accepted) {
    LogWarning("placement_refused", {{"upstream", order.id}});
    this->Expect(upstream, order.layers, this->settings.refusedBackoff,
                 ExpiryAction::Discard);
  }
}

std::optional<LayerRange> PlacementOrders::ExpectedOf(
    const UpstreamPtr& aUpstream, Instant aNow) {
  const UpstreamEntry& entry = aUpstream->Entry();
  const auto found = this->pending.find(entry.id);
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  Order& order = found->second;
  const bool isComplete =
      order.layers == entry.layers || order.incarnation != aUpstream->Number();
  const bool hasExpired = aNow >= order.expiresAt;
  if (isComplete ||
      (hasExpired && order.expiryAction == ExpiryAction::Discard)) {
    this->pending.erase(found);
    return std::nullopt;
  }
  const LayerRange expected = order.layers;
  if (hasExpired) {
    this->Check(aUpstream, order);
  }
  return expected;
}

void PlacementOrders::Check(const UpstreamPtr& aUpstream, Order& aOrder) {
  if (this->callsInFlight >= this->settings.maxConcurrentCalls) {
    return;  // Checked again on a later call.
  }
  this->callsInFlight += 1;
  aOrder.expiresAt = this->clock.Now() + this->settings.reportTimeout * 2;
  this->control.Report(aUpstream->Entry(), this->settings.reportTimeout,
                       [this, aUpstream, layers = aOrder.layers](
                           const Result<UpstreamReport>& aReport) {
                         this->OnChecked(aUpstream, layers, aReport);
                         this->OnCallEnded();
                       });
}

void PlacementOrders::OnChecked(const UpstreamPtr& aUpstream,
                                LayerRange aLayers,
                                const Result<UpstreamReport>& aReport) {
  const std::string& id = aUpstream->Entry().id;
  const auto found = this->pending.find(id);
  const bool isSame = found != this->pending.end() &&
                      found->second.incarnation == aUpstream->Number() &&
                      found->second.layers == aLayers;
  if (!isSame) {
    return;
  }
  if (!aReport) {
    this->OnReportFailed(*aUpstream, aReport.error());
    return;
  }
  aUpstream->OnResponse(this->clock.Now());
  if (aReport->isBusy || aReport->layers == aLayers) {
    this->Expect(*aUpstream, aLayers, this->settings.checkInterval,
                 ExpiryAction::Check);
    return;
  }
  LogInfo("placement_order_lost", {{"upstream", id},
                                   {"first_layer", aReport->layers.first},
                                   {"last_layer", aReport->layers.last}});
  this->pending.erase(found);
}

void PlacementOrders::Expect(const LiveUpstream& aUpstream, LayerRange aLayers,
                             Micros aTime, ExpiryAction aExpiryAction) {
  this->pending[aUpstream.Entry().id] = {
      aUpstream.Number(), aLayers, this->clock.Now() + aTime, aExpiryAction};
}

}  // namespace zincstep
