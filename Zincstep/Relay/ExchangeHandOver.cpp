/// \file
/// Detection that this daemon is cut off from a service, and the hand-over of
/// its requests.

#include "Zincstep/Relay/Exchange.h"

namespace zincstep {

UpstreamReach Exchange::Reach() const {
  return ReachOf(
      this->context.view.Directory().OfService(this->request.service->name),
      this->Now());
}

bool Exchange::IsCutOff() const {
  const UpstreamReach reach = this->Reach();
  return reach.IsCutOff() || this->context.reach.FailsToConnect(
                                 this->request.service->name, reach.listed);
}

bool Exchange::SkipsUpstreams() const {
  // Counting the upstreams for each request would be slow.
  if (!this->context.reach.MayBeCutOff(this->request.service->name)) {
    return false;
  }
  const UpstreamReach reach = this->Reach();
  const bool isUnreachable =
      reach.listed > 0 && reach.unreachable == reach.listed;
  return isUnreachable || this->context.reach.FailsToConnect(
                              this->request.service->name, reach.listed);
}

bool Exchange::MayHandOver() {
  const bool mayForward = !this->isDone && !this->request.isForwarded &&
                          (!this->mayHaveRun || this->MayRunAgain()) &&
                          this->Now() < this->request.deadline &&
                          this->MayBeginRun();
  if (!mayForward || !this->IsCutOff() || this->IsBlocked()) {
    return false;
  }
  // An open run is cancelled for it. Where other daemons reach no more of the
  // upstreams, these are silent themselves, and the run may go on.
  const std::string& service = this->request.service->name;
  return this->call ? this->context.forwards.HasReaching(
                          service, this->Reach().unreachable)
                    : this->context.forwards.Choose(service, {}).has_value();
}

bool Exchange::TryHandOver() {
  if (!this->MayHandOver()) {
    return false;
  }
  const std::string& service = this->request.service->name;
  ZINCSTEP_ASSERT(!this->call);
  const ExchangeProgress progress = this->TakeProgress();
  this->isDone = true;
  this->OnFinished();
  const UpstreamReach reach = this->Reach();
  LogInfo("request_handed_over", {{"request", this->request.info.id},
                                  {"service", service},
                                  {"unreachable", reach.unreachable},
                                  {"listed", reach.listed},
                                  {"runs", this->runs}});
  this->context.metrics.Count("zincstep_requests_handed_over_total",
                              {{"service", service}});
  this->context.handOver(this->request, progress);
  return true;
}

ExchangeProgress Exchange::TakeProgress() {
  ExchangeProgress progress;
  progress.counted = this->counted;
  progress.mayHaveRun = this->mayHaveRun;
  progress.runs = this->runs;
  progress.sends = this->sends;
  progress.waited = this->waited;
  progress.firstEventDelay = this->firstEventDelay;
  progress.maxEventGap = this->maxEventGap;
  return progress;
}

void Exchange::OnConnected() {
  if (this->call && !this->call->IsReused()) {
    this->context.reach.OnConnected(this->request.service->name);
  }
}

void Exchange::OnNotConnected() {
  this->Suspect(*this->upstream);
  this->context.reach.OnNotConnected(this->request.service->name,
                                     *this->upstream);
}

}  // namespace zincstep
