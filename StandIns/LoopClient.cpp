#include "StandIns/LoopClient.h"

namespace zincstep::standins {

LoopClient::LoopClient(asio::io_context& aLoop)
    : loop(aLoop), http(MakeHttpClient()) {}

void LoopClient::Call(HttpCall aCall, Done aDone) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const CallId id = this->http->Start(std::move(aCall), *this);
  this->pendingCalls[id] = std::move(aDone);
}

bool LoopClient::OnCallData(CallId, std::string) { return true; }

void LoopClient::OnCallEnd(CallId aCall, HttpCallResult aResult) {
  Done done;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    done = std::move(this->pendingCalls.at(aCall));
    this->pendingCalls.erase(aCall);
  }
  asio::post(this->loop,
             [done = std::move(done), result = std::move(aResult)]() mutable {
               done(std::move(result));
             });
}

}  // namespace zincstep::standins
