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
  this->waiting.clear();
}

void PlacementOrders::Give(const ModelShape& aModel,
                           const PlacementOrder& aOrder) {
  const UpstreamPtr upstream = this->view.Directory().Find(aOrder.id);
  if (!upstream) {
    return;
  }
  this->pending[aOrder.id] = {upstream->Number(), aOrder.layers, Instant::max(),
                              AtEnd::Forget};
  this->waiting.push_back(
      {upstream, aOrder,
       aModel.loadTime * aOrder.layers.Size() / aModel.layers});
  this->GiveWaiting();
}

void PlacementOrders::GiveWaiting() {
  while (!this->waiting.empty() &&
         this->called < this->settings.maxConcurrentCalls) {
    const Waiting next = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (!this->mayIssueOrders()) {
      this->pending.erase(next.order.id);
      continue;
    }
    this->Begin(next);
  }
}

void PlacementOrders::Begin(const Waiting& aWaiting) {
  this->called += 1;
  this->Hold(*aWaiting.upstream, aWaiting.order.layers,
             this->settings.reportTimeout * 2, AtEnd::Forget);
  this->control.Report(aWaiting.upstream->Entry(), this->settings.reportTimeout,
                       [this, aWaiting](const Result<UpstreamReport>& aReport) {
                         this->OnReport(aWaiting, aReport);
                       });
}

void PlacementOrders::EndCall() {
  this->called -= 1;
  this->GiveWaiting();
}

void PlacementOrders::OnReport(const Waiting& aWaiting,
                               const Result<UpstreamReport>& aReport) {
  const UpstreamPtr& upstream = aWaiting.upstream;
  const std::string& id = aWaiting.order.id;
  const LayerRange layers = aWaiting.order.layers;
  // The count of orders in a report is that of the start which gave it.
  const bool isListed = this->view.Directory().Find(id) == upstream;
  if (!isListed || !this->mayIssueOrders()) {
    this->EndCall();
    return;
  }
  if (!aReport) {
    this->OnSilent(*upstream, aReport.error());
    this->EndCall();
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
    this->Hold(*upstream, layers, this->settings.refusedPause, AtEnd::Forget);
    this->EndCall();
    return;
  }
  LogInfo("placement_ordered", {{"upstream", id},
                                {"first_layer", layers.first},
                                {"last_layer", layers.last},
                                {"memory_used", aReport->memoryUsed},
                                {"memory_total", aReport->memoryTotal},
                                {"expected_sequence", aReport->sequence}});
  this->Hold(*upstream, layers, aWaiting.loadTime + this->settings.orderSlack,
             AtEnd::Check);
  this->control.Place(upstream->Entry(), layers, aReport->sequence,
                      aWaiting.order.releaseMode,
                      [this, aWaiting](const Result<OrderOutcome>& aOutcome) {
                        this->OnOrdered(aWaiting, aOutcome);
                        this->EndCall();
                      });
}

void PlacementOrders::OnSilent(LiveUpstream& aUpstream, const Error& aError) {
  const std::string& id = aUpstream.Entry().id;
  LogInfo("upstream_suspected", {{"upstream", id},
                                 {"reason", "no report about an order"},
                                 {"error", aError.message}});
  aUpstream.Suspect(this->clock.Now());
  this->pending.erase(id);
}

void PlacementOrders::OnOrdered(const Waiting& aWaiting,
                                const Result<OrderOutcome>& aOutcome) {
  const LiveUpstream& upstream = *aWaiting.upstream;
  const PlacementOrder& order = aWaiting.order;
  if (upstream.HasEnded()) {
    LogInfo("placement_order_void",
            {{"upstream", order.id}, {"reason", "it has started again"}});
    return;
  }
  if (!aOutcome) {
    LogWarning("placement_unanswered",
               {{"upstream", order.id}, {"reason", aOutcome.error().message}});
    this->Hold(upstream, order.layers,
               aWaiting.loadTime + this->settings.unansweredPause,
               AtEnd::Check);
  } else if (aOutcome->status != OrderStatus::Accepted) {
    LogWarning("placement_refused", {{"upstream", order.id}});
    this->Hold(upstream, order.layers, this->settings.refusedPause,
               AtEnd::Forget);
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
  const bool isDone =
      order.layers == entry.layers || order.incarnation != aUpstream->Number();
  const bool isOver = aNow >= order.until;
  if (isDone || (isOver && order.atEnd == AtEnd::Forget)) {
    this->pending.erase(found);
    return std::nullopt;
  }
  const LayerRange expected = order.layers;
  if (isOver) {
    this->Check(aUpstream, order);
  }
  return expected;
}

void PlacementOrders::Check(const UpstreamPtr& aUpstream, Order& aOrder) {
  if (this->called >= this->settings.maxConcurrentCalls) {
    return;  // The next look asks.
  }
  this->called += 1;
  aOrder.until = this->clock.Now() + this->settings.reportTimeout * 2;
  this->control.Report(aUpstream->Entry(), this->settings.reportTimeout,
                       [this, aUpstream, layers = aOrder.layers](
                           const Result<UpstreamReport>& aReport) {
                         this->OnChecked(aUpstream, layers, aReport);
                         this->EndCall();
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
    this->OnSilent(*aUpstream, aReport.error());
    return;
  }
  aUpstream->OnResponse(this->clock.Now());
  if (aReport->isBusy || aReport->layers == aLayers) {
    this->Hold(*aUpstream, aLayers, this->settings.checkPause, AtEnd::Check);
    return;
  }
  LogInfo("placement_order_lost", {{"upstream", id},
                                   {"first_layer", aReport->layers.first},
                                   {"last_layer", aReport->layers.last}});
  this->pending.erase(found);
}

void PlacementOrders::Hold(const LiveUpstream& aUpstream, LayerRange aLayers,
                           Micros aTime, AtEnd aAtEnd) {
  this->pending[aUpstream.Entry().id] = {aUpstream.Number(), aLayers,
                                         this->clock.Now() + aTime, aAtEnd};
}

}  // namespace zincstep
