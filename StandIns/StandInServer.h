#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "Zincstep/Net/Net.h"

namespace zincstep::standins {

/// An HTTP server that handles requests and timers on one event loop.
class StandInServer : private HttpRequestListener {
 public:
  using Handler = std::function<void(const HttpRequest&)>;

  /// Listens on `aAddress` (host:port) once started. `aDisconnectHandler` runs
  /// when a caller disconnects; only `exchange` of its request is set.
  StandInServer(const std::string& aAddress, Handler aHandler,
                Handler aDisconnectHandler = nullptr);
  ~StandInServer() override;

  /// Starts the server; returns an error if the address is in use.
  Result<void> Start();
  /// Runs the event loop until `Quit`.
  void Run();
  /// Stops the event loop; may be called from any thread.
  void Quit();

  HttpServer& Http() { return *this->http; }
  asio::io_context& Loop() { return this->loop; }
  std::uint16_t Port() const { return this->http->Port(); }

  /// Runs `aCallback` on the event loop after `aDelay`.
  void RunAfter(Micros aDelay, std::function<void()> aCallback);

 private:
  void OnRequest(HttpRequest aRequest) override;
  void OnCallerDisconnected(ExchangeId aExchange) override;

  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> workGuard;
  std::unique_ptr<HttpServer> http;
  Handler handler;
  Handler disconnectHandler;
};

/// Splits host:port; the port is 0 if it is missing or invalid.
void SplitAddress(const std::string& aAddress, std::string& aHost,
                  std::uint16_t& aPort);

/// Returns a query parameter as a number, or `aDefault` if missing or invalid.
std::int64_t QueryNumber(const HttpRequest& aRequest, const char* aName,
                         std::int64_t aDefault);

/// Stops the event loop of `aServer` on SIGTERM and SIGINT.
void QuitOnSignals(StandInServer& aServer);

}  // namespace zincstep::standins
