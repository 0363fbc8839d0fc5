#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// Receives requests, on the server's thread.
class HttpRequestListener {
 public:
  virtual ~HttpRequestListener() = default;

  /// Called with a complete request, which needs exactly one response.
  virtual void OnRequest(HttpRequest aRequest) = 0;

  /// Called when the caller of an open exchange has disconnected; a response is
  /// discarded.
  virtual void OnCallerDisconnected(ExchangeId aExchange) = 0;

  /// Called after `HttpServer::RefuseRequests`, when no request can follow.
  virtual void OnRequestsEnded() {}
};

/// Settings of an HTTP server.
struct HttpServerSettings {
  std::string address = "127.0.0.1";
  /// Listening port; 0 selects a free one.
  std::uint16_t port = 0;
  std::size_t maxConnections = 4096;
  std::size_t maxBodyBytes = 1 << 20;
  std::size_t maxHeaderFields = 100;
  std::size_t maxHeaderBytes = 16 << 10;
  /// Timeout for receiving a complete request.
  Micros readTimeout = 10s;
  /// Timeout for writing a part of a response.
  Micros writeTimeout = 30s;
};

/// An HTTP/1.1 server with one thread; methods are callable from any thread.
class HttpServer {
 public:
  virtual ~HttpServer() = default;

  /// Starts listening; fails as `ListenOn`.
  virtual Result<void> Start() = 0;
  /// Sends `aRefusal` to all requests from now on, which the listener does not
  /// get, and closes their connections.
  virtual void RefuseRequests(HttpResponse aRefusal) = 0;
  /// Number of complete responses that are not written to their connections
  /// yet.
  virtual std::size_t Unsent() const = 0;
  /// Closes all connections and ends the thread.
  virtual void Stop() = 0;
  /// Listening port, once started.
  virtual std::uint16_t Port() const = 0;

  /// Sends the complete response of an exchange.
  virtual void Respond(ExchangeId aExchange, HttpResponse aResponse) = 0;
  /// Starts a streamed response.
  virtual void StartStream(ExchangeId aExchange, int aStatus,
                           HttpHeaders aHeaders) = 0;
  /// Sends a part of a streamed response.
  virtual void Append(ExchangeId aExchange, std::string aPart) = 0;
  /// Completes a streamed response.
  virtual void Finish(ExchangeId aExchange) = 0;
  /// Truncates a streamed response, so that the caller cannot mistake it for a
  /// complete one.
  virtual void Abort(ExchangeId aExchange) = 0;
};

/// Creates an HTTP server on RESTinio.
std::unique_ptr<HttpServer> MakeHttpServer(HttpServerSettings aSettings,
                                           HttpRequestListener& aListener);

}  // namespace zincstep
