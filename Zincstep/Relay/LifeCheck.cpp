#include "Zincstep/Relay/LifeCheck.h"

namespace zincstep {

void LifeCheck::Ask(const UpstreamPtr& aUpstream, Micros aTimeout, Done aDone) {
  const Instant latest = this->clock.Now() + aTimeout + this->lateness;
  this->control.Report(
      aUpstream->Entry(), aTimeout,
      [this, latest,
       done = std::move(aDone)](const Result<UpstreamReport>& aReport) {
        if (aReport) {
          done(LifeSign::Lives, &*aReport);
        } else if (aReport.error().kind == ErrorKind::UpstreamEnded) {
          done(LifeSign::Ended, nullptr);
        } else if (aReport.error().kind == ErrorKind::AnswerIncomplete) {
          done(LifeSign::Dropped, nullptr);
        } else {
          done(this->SilenceAt(latest), nullptr);
        }
      });
}

void LifeCheck::Connect(const UpstreamPtr& aUpstream, Micros aTimeout,
                        Done aDone) {
  const Instant latest = this->clock.Now() + aTimeout + this->lateness;
  this->control.Reach(
      aUpstream->Entry(), aTimeout,
      [this, latest, done = std::move(aDone)](Reachability aReachability) {
        switch (aReachability) {
          case Reachability::Reached:
            done(LifeSign::Unknown, nullptr);
            break;
          case Reachability::Dropped:
            done(LifeSign::Dropped, nullptr);
            break;
          case Reachability::Refused:
            done(LifeSign::Ended, nullptr);
            break;
          case Reachability::Silent:
            done(this->SilenceAt(latest), nullptr);
            break;
        }
      });
}

}  // namespace zincstep
