/// \file
/// Ends of completion requests that wait, and of all when the daemon ends.

#include "Zincstep/Entry/ModelRequest.h"

namespace zincstep {

void ModelHandler::RefuseWaiting(Request& aRequest, const Error& aError) {
  if (aRequest.isRestarted) {
    const ErrorKind kind = aError.kind == ErrorKind::Stopping
                               ? ErrorKind::StoppedDuringRun
                               : ErrorKind::ResponseIncomplete;
    this->context.Refuse(aRequest.exchange,
                         {kind, aError.message, aError.retryAfter});
    this->claims.Finish(aRequest.id, nullptr);
  } else {
    this->context.Refuse(aRequest.exchange, aError);
    this->claims.Release(aRequest.id);
  }
  this->EndSpan(aRequest, std::string(ErrorInfoFor(aError.kind).name));
  this->Remove(aRequest.id);
}

void ModelHandler::EndForStop() {
  std::vector<std::uint64_t> open;
  for (const auto& [id, request] : this->requests) {
    open.push_back(id);
  }
  for (const std::uint64_t id : open) {
    Request* request = this->Find(id);
    if (request == nullptr) {
      continue;
    }
    if (request->machine) {
      this->ApplyActions(*request, request->machine->OnStop());
      continue;
    }
    if (request->isWaiting) {
      this->QueueOf(*request).Remove(id);
    }
    this->RefuseWaiting(*request,
                        {ErrorKind::Stopping,
                         "this daemon stopped before the request was started",
                         {}});
  }
}

}  // namespace zincstep
