#include "Zincstep/Relay/LivenessCheck.h"

namespace zincstep {

void LivenessCheck::RequestReport(const UpstreamPtr& aUpstream, Micros aTimeout,
                                  Callback aDone) {
  const Instant latest = this->clock.Now() + aTimeout + this->maxLateness;
  this->control.Report(
      aUpstream->Entry(), aTimeout,
      [this, latest,
       done = std::move(aDone)](const Result<UpstreamReport>& aReport) {
        if (aReport) {
          done(Liveness::Alive, &*aReport);
        } else if (aReport.error().kind == ErrorKind::UpstreamEnded) {
          done(Liveness::Ended, nullptr);
        } else if (aReport.error().kind == ErrorKind::ResponseIncomplete) {
          done(Liveness::Dropped, nullptr);
        } else {
          done(this->TimeoutResult(latest), nullptr);
        }
      });
}

void LivenessCheck::ProbeConnection(const UpstreamPtr& aUpstream,
                                    Micros aTimeout, Callback aDone) {
  const Instant latest = this->clock.Now() + aTimeout + this->maxLateness;
  this->control.ProbeConnection(
      aUpstream->Entry(), aTimeout,
      [this, latest, done = std::move(aDone)](Reachability aReachability) {
        switch (aReachability) {
          case Reachability::Reached:
            done(Liveness::Unknown, nullptr);
            break;
          case Reachability::Dropped:
            done(Liveness::Dropped, nullptr);
            break;
          case Reachability::Refused:
            done(Liveness::Ended, nullptr);
            break;
          case Reachability::Silent:
            done(this->TimeoutResult(latest), nullptr);
            break;
        }
      });
}

void LivenessCheck::ProbePath(const UpstreamPtr& aUpstream, Micros aTimeout,
                              std::function<void(bool)> aDone) {
  this->control.ProbeConnection(
      aUpstream->Entry(), aTimeout,
      [done = std::move(aDone)](Reachability aReachability) {
        done(aReachability == Reachability::Reached);
      });
}

}  // namespace zincstep
