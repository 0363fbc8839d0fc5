#include "Zincstep/Relay/LivenessCheck.h"

namespace zincstep {

void LivenessCheck::Ask(const UpstreamPtr& aUpstream, Micros aTimeout,
                        Done aDone) {
  const Instant latest = this->clock.Now() + aTimeout + this->lateness;
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
          done(this->SilenceAt(latest), nullptr);
        }
      });
}

void LivenessCheck::Connect(const UpstreamPtr& aUpstream, Micros aTimeout,
                            Done aDone) {
  const Instant latest = this->clock.Now() + aTimeout + this->lateness;
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
            done(this->SilenceAt(latest), nullptr);
            break;
        }
      });
}

}  // namespace zincstep
