#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "StandIns/StandInServer.h"

namespace zincstep::standins {

/// An HTTP client that delivers results on a stand-in's event loop.
class LoopClient : private HttpCallListener {
 public:
  using Done = std::function<void(HttpCallResult)>;

  explicit LoopClient(asio::io_context& aLoop);

  /// Starts a call; `aDone` runs on the loop.
  void Call(HttpCall aCall, Done aDone);

 private:
  bool OnCallData(CallId aCall, std::string aPart) override;
  void OnCallEnd(CallId aCall, HttpCallResult aResult) override;

  asio::io_context& loop;
  std::mutex mutex;
  std::unordered_map<CallId, Done> pendingCalls;
  std::unique_ptr<HttpClient> http;
};

}  // namespace zincstep::standins
