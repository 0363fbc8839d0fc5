#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "Zincstep/Net/Net.h"

namespace zincstep::standins {

/// An HTTP server whose requests are handled on one loop with timers.
class StandInServer : private HttpRequestListener {
 public:
  using Handler = std::function<void(const HttpRequest&)>;

  /// Listens on `aAddress`, written as host:port.
  StandInServer(const std::string& aAddress, Handler aHandler,
                Handler aGoneHandler = nullptr);
  ~StandInServer() override;

  /// Starts the server; fails where the address is taken.
  Result<void> Start();
  /// Runs the loop until `Quit`.
  void Run();
  /// Ends the loop; may be called from any thread.
  void Quit();

  HttpServer& Http() { return *this->http; }
  asio::io_context& Loop() { return this->loop; }
  std::uint16_t Port() const { return this->http->Port(); }

  /// Runs `aStep` on the loop after `aDelay`.
  void After(Micros aDelay, std::function<void()> aStep);

 private:
  void OnRequest(HttpRequest aRequest) override;
  void OnCallerDisconnected(ExchangeId aExchange) override;

  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::unique_ptr<HttpServer> http;
  Handler handler;
  Handler goneHandler;
};

/// Splits host:port; the port is 0 where it cannot be read.
void SplitAddress(const std::string& aAddress, std::string& aHost,
                  std::uint16_t& aPort);

/// The number in a query value, or `aDefault`.
std::int64_t QueryNumber(const HttpRequest& aRequest, const char* aName,
                         std::int64_t aDefault);

/// Ends `aServer`'s loop on SIGTERM and SIGINT.
void QuitOnSignals(StandInServer& aServer);

}  // namespace zincstep::standins
