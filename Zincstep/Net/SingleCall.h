#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Zincstep/Net/ConnectionPool.h"
#include "Zincstep/Net/HttpParser.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {

/// How a call ended.
enum class SingleCallEnd {
  /// A complete response was received.
  Complete,
  /// No connection was established; no byte of the request was sent.
  NotConnected,
  /// The connection was lost or closed before the response was complete.
  Broken,
  /// The received bytes are not a valid HTTP response.
  BadResponse,
  /// The listener rejected a part of the body.
  Rejected,
};

inline constexpr NameTable<SingleCallEnd, 5> kSingleCallEndNames{{
    {SingleCallEnd::Complete, "complete"},
    {SingleCallEnd::NotConnected, "not_connected"},
    {SingleCallEnd::Broken, "broken"},
    {SingleCallEnd::BadResponse, "bad_answer"},
    {SingleCallEnd::Rejected, "rejected"},
}};

/// Receives the response of a call, on the loop's thread.
class SingleCallListener {
 public:
  virtual ~SingleCallListener() = default;

  /// Called with the head of the response.
  virtual void OnResponseHead(HttpHead aHead) = 0;
  /// Called with a part of the response's body. Returns false to reject it, for
  /// example as it is too long; the call then ends as `Rejected`.
  virtual bool OnResponseBody(std::string_view aPart) = 0;
  /// Called when all bytes of one read were passed on; the time to flush them.
  virtual void OnResponsePause() {}
  /// Called once when the call has ended; its last event.
  virtual void OnCallEnd(SingleCallEnd aEnd) = 0;
};

/// Pool from which a call may acquire its connection and to which it returns
/// it.
struct PooledConnections {
  ConnectionPool* pool = nullptr;
  /// Pool key: the upstream's incarnation, so that a restarted upstream does
  /// not share connections with its predecessor.
  std::string upstream;
};

/// One request and its response.
///
/// Without a pool the call opens its own connection: a surplus response cannot
/// be mistaken for that of another call, and no request is lost on a connection
/// that the upstream has just closed. With a pool it saves the handshake, but
/// may end as `Broken` without the upstream having read it, so the request must
/// be safe to retry.
///
/// Uses Asio and http_parser: RESTinio has no client, and libcurl retries a
/// request by itself when a reused connection closes without a response, which
/// is wrong for a request that must run at most once.
class SingleCall final : public std::enable_shared_from_this<SingleCall>,
                         private HttpParserListener {
 public:
  using Endpoint = TcpEndpoint;

  SingleCall(asio::io_context& aLoop, SingleCallListener& aListener);

  /// Connects within `aConnectTimeout`, or acquires a pooled connection, and
  /// sends `aRequest`.
  void Start(const Endpoint& aEndpoint, std::string aRequest,
             Micros aConnectTimeout,
             std::optional<PooledConnections> aPooled = std::nullopt);
  /// Closes the connection immediately; the listener gets no further events.
  void Cancel();
  /// Quarantines the upstream's pooled connections, because the one that this
  /// call reused failed. `aReason` is logged.
  void EvictPooled(const char* aReason);
  /// Stops or resumes reading, for backpressure on the upstream.
  void SetReading(bool aIsEnabled);

  /// Whether bytes have arrived that are not read yet.
  bool HasUnreadBytes() const;
  /// Whether bytes of the request may have been sent.
  bool HasSent() const { return this->hasSent; }
  /// Whether the call reused a connection.
  bool IsReused() const { return this->isReused; }
  /// Whether the call reused a connection and has received no byte on it.
  bool IsReusedAndUnanswered() const {
    return this->isReused && !this->parser.HasBegun();
  }

 private:
  void Connect(const Endpoint& aEndpoint, Micros aTimeout);
  void OnConnect(const asio::error_code& aError);
  /// Returns the connection to the pool if the request was written completely
  /// and the response had no surplus bytes.
  void ReturnConnection(bool aHasSurplus);
  void Write();
  void OnWritten(const asio::error_code& aError);
  void Read();
  void OnRead(const asio::error_code& aError, std::size_t aSize);
  /// Ends the call where the upstream has ended the stream in order, which may
  /// be the end of a response without a length.
  void OnStreamEnd();
  void LogMalformed(const Error& aError) const;
  void End(SingleCallEnd aEnd);
  void OnHead(HttpHead aHead) override;
  void OnBody(std::string_view aPart) override;
  void OnMessageEnd() override {}

  asio::ip::tcp::socket socket;
  asio::steady_timer connectTimer;
  SingleCallListener* listener;
  HttpParser parser;
  std::string request;
  std::array<char, 8 << 10> buffer{};
  std::optional<PooledConnections> pooled;
  /// Head of the response, for the pool; recorded only if there is one.
  HttpHead responseHead;
  bool isReused = false;
  bool hasSent = false;
  bool isRequestWritten = false;
  bool isWriteFailed = false;
  /// Whether a response without a length has ended with its stream, while the
  /// request was still being written.
  bool awaitsWrite = false;
  bool isRejected = false;
  bool isReading = false;
  bool isReadEnabled = true;
};

/// Makes a call and passes its complete response or an error to `aDone`.
///
/// `aTimeout` bounds the complete call. Fails with `UpstreamUnreachable` if
/// nothing was sent, with `DeadlineDuringRun` if the timeout expired, and with
/// `ResponseIncomplete` if the connection was lost or the body exceeds 16 MiB.
/// With `aPooled` the request is retried on a new connection if a reused one
/// fails or does not respond.
void FetchResponse(asio::io_context& aLoop,
                   const SingleCall::Endpoint& aEndpoint, std::string aRequest,
                   Micros aTimeout,
                   std::function<void(Result<HttpResponse>)> aDone,
                   std::optional<PooledConnections> aPooled = std::nullopt);

}  // namespace zincstep
