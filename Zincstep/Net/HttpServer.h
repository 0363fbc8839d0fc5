#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// Is told of requests; called on the server's own thread.
class HttpRequestListener {
 public:
  virtual ~HttpRequestListener() = default;

  /// A complete request has come; it must be answered once.
  virtual void OnRequest(HttpRequest aRequest) = 0;

  /// The caller of an open exchange has gone; an answer goes nowhere.
  virtual void OnCallerDisconnected(ExchangeId aExchange) = 0;
};

/// Settings of an HTTP server.
struct HttpServerSettings {
  std::string address = "127.0.0.1";
  /// 0 lets the system choose a port.
  std::uint16_t port = 0;
  std::size_t maxConnections = 4096;
  std::size_t maxBodyBytes = 1 << 20;
  std::size_t maxHeaderFields = 100;
  std::size_t maxHeaderBytes = 16 << 10;
  /// Time in which a whole request must have come.
  Micros readTimeout = 10s;
  /// Time in which a written part must have been taken.
  Micros writeTimeout = 30s;
};

/// An HTTP/1.1 server with one thread; its methods may be called from any.
class HttpServer {
 public:
  virtual ~HttpServer() = default;

  /// Starts to listen; fails where the address is taken.
  virtual Result<void> Start() = 0;
  /// Closes every connection and ends the thread.
  virtual void Stop() = 0;
  /// The port that is listened on, once started.
  virtual std::uint16_t Port() const = 0;

  /// Gives the whole answer of an exchange.
  virtual void Respond(ExchangeId aExchange, HttpResponse aAnswer) = 0;
  /// Begins an answer whose body comes in parts.
  virtual void StartStream(ExchangeId aExchange, int aStatus,
                           HttpHeaders aHeaders) = 0;
  /// Sends a further part of a streamed answer.
  virtual void Append(ExchangeId aExchange, std::string aPart) = 0;
  /// Ends a streamed answer.
  virtual void Finish(ExchangeId aExchange) = 0;
  /// Breaks a streamed answer off, so that it cannot pass for a whole one.
  virtual void Abort(ExchangeId aExchange) = 0;
};

/// An HTTP server by RESTinio.
std::unique_ptr<HttpServer> MakeHttpServer(HttpServerSettings aSettings,
                                           HttpRequestListener& aListener);

}  // namespace zincstep
