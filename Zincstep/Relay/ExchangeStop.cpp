/// \file
/// What a stop of the daemon means for a request that was accepted.

#include "Zincstep/Relay/Exchange.h"

namespace zincstep {

bool Exchange::MayBeginRun() const {
  const Route& route = *this->request.route;
  const Instant now = this->Now();
  ExpectedDuration expected;
  expected.maximum = this->request.deadline - now;
  expected.isStream = route.kind == RouteKind::Streaming &&
                      this->request.service->model.has_value();
  expected.isRepeatable =
      expected.isStream ? route.isResumable : route.kind == RouteKind::Safe;
  return this->HasSentHead() ||
         this->context.stopPolicy.MayBeginRun(expected, now);
}

bool Exchange::EndInsteadOfRun() {
  ZINCSTEP_ASSERT(!this->call);
  if (this->MayBeginRun()) {
    return false;
  }
  this->Abandon(ErrorKind::Stopping, ErrorKind::StoppedDuringRun,
                "a run might not end before the exit");
  return true;
}

void Exchange::EndForExit() {
  if (!this->isDone) {
    this->Abandon(ErrorKind::Stopping, ErrorKind::StoppedDuringRun,
                  "the daemon exits");
  }
}

}  // namespace zincstep
