#include "StandIns/StandInServer.h"

#include <charconv>

namespace zincstep::standins {

void SplitAddress(const std::string& aAddress, std::string& aHost,
                  std::uint16_t& aPort) {
  const std::size_t colon = aAddress.rfind(':');
  aHost = aAddress.substr(0, colon);
  aPort = 0;
  if (colon != std::string::npos) {
    const char* end = aAddress.data() + aAddress.size();
    std::from_chars(aAddress.data() + colon + 1, end, aPort);
  }
}

std::int64_t QueryNumber(const HttpRequest& aRequest, const char* aName,
                         std::int64_t aDefault) {
  const std::string text = QueryValue(aRequest.query, aName);
  std::int64_t value = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

StandInServer::StandInServer(const std::string& aAddress, Handler aHandler,
                             Handler aDisconnectHandler)
    : workGuard(asio::make_work_guard(this->loop)),
      handler(std::move(aHandler)),
      disconnectHandler(std::move(aDisconnectHandler)) {
  HttpServerSettings settings;
  SplitAddress(aAddress, settings.address, settings.port);
  settings.maxBodyBytes = 64 << 20;
  settings.readTimeout = 120s;
  this->http = MakeHttpServer(settings, *this);
}

StandInServer::~StandInServer() { this->http->Stop(); }

Result<void> StandInServer::Start() { return this->http->Start(); }

void StandInServer::Run() { this->loop.run(); }

void StandInServer::Quit() { this->loop.stop(); }

void StandInServer::RunAfter(Micros aDelay, std::function<void()> aCallback) {
  auto timer = std::make_shared<asio::steady_timer>(this->loop, aDelay);
  timer->async_wait(
      [timer, callback = std::move(aCallback)](const asio::error_code& aError) {
        if (!aError) {
          callback();
        }
      });
}

void StandInServer::OnRequest(HttpRequest aRequest) {
  asio::post(this->loop,
             [this, request = std::move(aRequest)] { this->handler(request); });
}

void StandInServer::OnCallerDisconnected(ExchangeId aExchange) {
  if (!this->disconnectHandler) {
    return;
  }
  asio::post(this->loop, [this, aExchange] {
    HttpRequest request;
    request.exchange = aExchange;
    this->disconnectHandler(request);
  });
}

void QuitOnSignals(StandInServer& aServer) {
  auto signals =
      std::make_shared<asio::signal_set>(aServer.Loop(), SIGTERM, SIGINT);
  signals->async_wait([&aServer, signals](const asio::error_code& aError, int) {
    if (!aError) {
      aServer.Quit();
    }
  });
}

}  // namespace zincstep::standins
