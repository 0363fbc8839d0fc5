/// \file
/// Ends of service calls without a response, and of all when the daemon ends.

#include "Zincstep/Entry/ServiceRequest.h"

namespace zincstep {

/// Ends a request without a response; reports it as not run only if that is
/// certain.
void ServiceHandler::FailRequest(Request& aRequest, const Error& aError) {
  if (!aRequest.mayHaveRun) {
    this->Refuse(aRequest, aError);
    return;
  }
  const bool isPastDeadline =
      aError.kind == ErrorKind::DeadlineDuringRun ||
      aRequest.caller.deadline <= this->context.clock.Now();
  Error error{ErrorKind::UpstreamFailed, aError.message, {}};
  if (isPastDeadline) {
    error.kind = ErrorKind::DeadlineDuringRun;
  } else if (aError.kind == ErrorKind::Stopping) {
    error.kind = ErrorKind::StoppedDuringRun;
  }
  this->End(aRequest, ErrorResponse(error), false,
            std::string(ErrorInfoFor(error.kind).name));
}

void ServiceHandler::EndForStop() {
  // A call in flight may have run, whatever its end would have shown.
  for (const auto& [call, id] : this->byCall) {
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
      found->second->mayHaveRun = true;
      if (found->second->repeatable) {
        this->context.calls.Cancel(call);
      }
    }
  }
  this->retryTimes.clear();
  while (!this->requests.empty()) {
    this->FailRequest(
        *this->requests.begin()->second,
        {ErrorKind::Stopping,
         "this daemon stopped before the response of the service arrived",
         {}});
  }
}

}  // namespace zincstep
