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
  /// The answer came whole.
  Complete,
  /// No connection: not a byte of the request was sent.
  NotConnected,
  /// The connection broke, or ended before the answer did.
  Broken,
  /// What came is no answer in the protocol.
  BadAnswer,
};

inline constexpr NameTable<SingleCallEnd, 4> kSingleCallEndNames{{
    {SingleCallEnd::Complete, "complete"},
    {SingleCallEnd::NotConnected, "not_connected"},
    {SingleCallEnd::Broken, "broken"},
    {SingleCallEnd::BadAnswer, "bad_answer"},
}};

/// Is told of a call's answer, on the loop's thread.
class SingleCallListener {
 public:
  virtual ~SingleCallListener() = default;

  /// The head of the answer has come.
  virtual void OnResponseHead(HttpHead aHead) = 0;
  /// A part of its body has come.
  virtual void OnResponseBody(std::string_view aPart) = 0;
  /// All bytes that lay ready have been told: a time to pass them on.
  virtual void OnResponsePause() {}
  /// The call has ended; the last that is told.
  virtual void OnCallEnd(SingleCallEnd aEnd) = 0;
};

/// Where a call may find a connection that is kept, and leave its own.
struct PooledConnections {
  ConnectionPool* pool = nullptr;
  /// Of the upstream that is called, for this incarnation alone.
  std::string upstream;
};

/// One request and its answer.
///
/// Without kept connections it has one of its own: a surplus answer cannot be
/// taken for another call's, and a request is never lost to a connection that
/// the other side has just closed. With them it saves the handshake, and may
/// end as broken without having been read; so it has to be one that may be
/// sent again.
///
/// RESTinio has no client, and libcurl sends a request again by itself
/// where a kept connection closes without an answer, which a request that
/// may run once must not meet; so calls are made by Asio and http_parser.
class SingleCall final : public std::enable_shared_from_this<SingleCall>,
                         private HttpParserListener {
 public:
  using Endpoint = TcpEndpoint;

  SingleCall(asio::io_context& aLoop, SingleCallListener& aListener);

  /// Connects within `aConnectTimeout` and sends `aRequest`.
  void Start(const Endpoint& aEndpoint, std::string aRequest,
             Micros aConnectTimeout,
             std::optional<PooledConnections> aKept = std::nullopt);
  /// Closes the connection at once; nothing more is told.
  void Cancel();
  /// The kept connection that it went on is unfit: those of the same upstream
  /// are not used any more.
  void EvictPooled(const char* aReason);
  /// Stops or resumes reading, so that a slow reader holds up the writer.
  void SetReading(bool aReads);

  /// Whether bytes of the request may have left.
  bool HasSent() const { return this->hasSent; }
  /// Whether it went on a kept connection and nothing has come back.
  bool IsReusedAndUnanswered() const {
    return this->isReused && !this->parser.HasBegun();
  }

 private:
  void Connect(const Endpoint& aEndpoint, Micros aTimeout);
  void OnConnect(const asio::error_code& aError);
  /// Leaves the connection to the next call, or closes it.
  void Leave(bool aHasSurplus);
  void Write();
  void Read();
  void OnRead(const asio::error_code& aError, std::size_t aSize);
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
  std::optional<PooledConnections> kept;
  /// Of the answer; without what was told of it.
  HttpHead answerHead;
  bool isReused = false;
  bool hasSent = false;
  bool isReading = false;
  bool mayRead = true;
};

/// Makes a call and gives its whole answer, or how it failed.
///
/// `aTimeout` bounds the whole call. Fails with `UpstreamUnreachable`
/// where nothing was sent, else with `DeadlineDuringRun` where no answer came
/// in time, and with `ResponseIncomplete` where the connection broke. With
/// `aKept` the request is sent again, on a new connection, where a kept one
/// breaks or says nothing.
void FetchResponse(asio::io_context& aLoop,
                   const SingleCall::Endpoint& aEndpoint, std::string aRequest,
                   Micros aTimeout,
                   std::function<void(Result<HttpResponse>)> aDone,
                   std::optional<PooledConnections> aKept = std::nullopt);

}  // namespace zincstep
