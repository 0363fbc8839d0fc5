#include "Zincstep/Pool/CountedControl.h"

namespace zincstep {

void CountedControl::Count(std::uint64_t aUpstream, UpstreamCall aCall) {
  if (const UpstreamPtr upstream = this->directory.FindNumber(aUpstream)) {
    this->limits.OnCall(*upstream, aCall);
  }
}

void CountedControl::ProbeConnection(const UpstreamEntry& aUpstream,
                                     Micros aTimeout,
                                     std::function<void(Reachability)> aDone) {
  // Not counted: no request is sent.
  this->control.ProbeConnection(aUpstream, aTimeout, std::move(aDone));
}

void CountedControl::Report(const UpstreamEntry& aUpstream, Micros aTimeout,
                            Done<UpstreamReport> aDone) {
  const std::uint64_t number = aUpstream.Incarnation().Number();
  this->Count(number, UpstreamCall::Report);
  this->control.Report(
      aUpstream, aTimeout,
      [this, number, sentAt = this->clock.Now(),
       done = std::move(aDone)](const Result<UpstreamReport>& aReport) {
        const UpstreamPtr upstream = this->directory.FindNumber(number);
        // Reports need not carry limits, so one without a limit does not end
        // it.
        const bool hasNotice = aReport && (aReport->notice.callsPerSecond ||
                                           aReport->notice.isLeaving);
        if (hasNotice && upstream) {
          this->limits.OnNotice(upstream, aReport->notice, sentAt);
        }
        if (aReport && upstream) {
          upstream->firstStage.Announce(aReport->Load(this->clock.Now()));
        }
        done(aReport);
      });
}

void CountedControl::Place(const UpstreamEntry& aUpstream, LayerRange aLayers,
                           std::uint64_t aExpectedSequence,
                           ReleaseMode aReleaseMode, Done<OrderOutcome> aDone) {
  this->Count(aUpstream.Incarnation().Number(), UpstreamCall::Order);
  this->control.Place(aUpstream, aLayers, aExpectedSequence, aReleaseMode,
                      std::move(aDone));
}

void CountedControl::Reroute(const std::string& aRequestId,
                             const PoolChain& aChain,
                             Done<OrderOutcome> aDone) {
  this->limits.OnCall(*aChain.front().upstream, UpstreamCall::Order);
  this->control.Reroute(aRequestId, aChain, std::move(aDone));
}

}  // namespace zincstep
