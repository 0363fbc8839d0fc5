#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Zincstep/Net/CallerLimits.h"
#include "Zincstep/Net/HttpParser.h"

namespace zincstep {

class CallerConnection;

/// A complete request with its unmodified head.
struct CallerMessage {
  HttpHead head;
  std::string body;
  /// Time at which its last byte was read.
  Instant readAt;
};

/// Handles the requests of callers, on the loop's thread.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  /// Called with a complete request; the response goes through `aConnection`.
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                         CallerMessage aMessage) = 0;
  /// Called if the caller disconnects before its response is complete.
  virtual void OnCallerDisconnected(CallerConnection& aConnection) = 0;
};

/// One connection of a caller; handles one request at a time.
///
/// Reading continues while a request runs, so that a disconnected caller is
/// detected immediately. RESTinio does so too, but on a thread of its own: each
/// event of a response would need a thread wake-up, which costs more on these
/// VMs than the event itself. The caller side therefore uses Asio as well.
class CallerConnection final
    : public std::enable_shared_from_this<CallerConnection>,
      private HttpParserListener {
 public:
  CallerConnection(asio::ip::tcp::socket aSocket, CallerHandler& aHandler,
                   const CallerLimits& aLimits, const Clock& aClock);

  /// Starts reading.
  void Start();
  /// Sends the complete response to the current request.
  void Answer(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /// Starts a chunked response of unknown length.
  void BeginChunks(int aStatus, const HttpHeaders& aHeaders);
  /// Sends a part of a chunked response.
  void AppendChunk(std::string_view aPart);
  /// Completes a chunked response.
  void EndChunks();
  /// Closes immediately; a started response is truncated.
  void Abort();
  /// Closes once all pending bytes are written; a chunked response is
  /// truncated.
  void CloseWhenSent();
  /// Closes after the next response, or now if no request is expected.
  void CloseWhenDone();
  /// Closes the connection after the next response that can still announce it.
  void DisableKeepAlive() { this->closesAfterResponse = true; }
  /// Applies the listener's limits, which have changed. What has begun, a rest
  /// between two requests included, keeps the former ones where they are wider:
  /// callers may still rely on them.
  void OnLimitsChanged();
  /// Enforces the timeouts: responds 408 to an incomplete request, or closes an
  /// idle connection. Does neither where bytes have arrived that are not read,
  /// as the loop may have been held meanwhile; returns whether that is so.
  bool CheckTimeouts(Instant aNow);
  /// Whether bytes have arrived that are not read yet.
  bool HasUnreadBytes() const;

  /// Response bytes that are not written to the socket yet.
  std::size_t PendingBytes() const;
  /// Whether a request is in progress.
  bool IsBusy() const { return this->isBusy; }
  /// Whether the socket is closed. Not while the rest of a refused request is
  /// still read, although nothing more is sent then.
  bool IsClosed() const { return this->isClosed && !this->discardTimer; }
  /// Whether a request has arrived that is not read completely, refused ones
  /// included, or the first one of a new connection may be under way.
  bool ExpectsRequest() const;
  /// Whether it was closed between two requests with bytes that had arrived and
  /// were not read: a request without a response.
  bool WasClosedUnread() const { return this->wasClosedUnread; }
  /// Whether any request was read.
  bool HasReadRequest() const { return this->hasReadRequest; }

 private:
  /// Applies the listener's limits to the rest that begins now, and to the
  /// request behind it.
  void UseCurrentLimits();
  void Read();
  void OnRead(const asio::error_code& aError, std::size_t aSize);
  /// Runs a handler of the loop. One that throws leaves nobody who would
  /// respond or read on, so that the connection is closed.
  void CloseOnException(const std::function<void()>& aHandle);
  void ParseNext();
  /// Reserves memory for `aBytes` of a response and its framing. Without it, an
  /// allocation that fails midway would leave a head without its body, behind
  /// which another response would be read as that body.
  void Reserve(std::size_t aBytes);
  void Reject(const Error& aError);
  void Flush();
  void OnWritten(const asio::error_code& aError);
  void WriteHead(int aStatus, const HttpHeaders& aHeaders);
  void FinishResponse();
  /// Ends the responses, and closes the connection once the caller has ended
  /// its side, or after a timeout. A close with unread bytes resets the
  /// connection: a caller that is still sending would not get the response.
  void DiscardAndClose();
  void Close();
  void OnHead(HttpHead aHead) override;
  void OnBody(std::string_view aPart) override;
  void OnMessageEnd() override {}

  asio::ip::tcp::socket socket;
  CallerHandler& handler;
  /// Limits of the listener, for what begins from now on.
  const CallerLimits& currentLimits;
  /// Limits of the current rest or request; a request may have arrived during
  /// the rest.
  CallerLimits limits;
  const Clock& clock;
  HttpParser parser;
  CallerMessage message;
  std::array<char, 4 << 10> buffer{};
  /// Received bytes that are not parsed yet.
  std::string unparsed;
  std::string pending;
  std::string writing;
  Instant openedAt;
  Instant lastActive;
  /// When the first byte of the current request was read.
  Instant begunAt;
  bool isReading = false;
  bool isWriting = false;
  bool isBusy = false;
  bool isClosed = false;
  bool wasClosedUnread = false;
  bool hasReadRequest = false;
  /// The next response whose head is not written yet is the last one.
  bool closesAfterResponse = false;
  /// The head of the current response says that it is the last one.
  bool hasAnnouncedClose = false;
  /// The last response is complete; what is received from now on is discarded.
  bool hasLastResponse = false;
  bool closesAfterWrite = false;
  /// The last response refuses a request that has not been read whole.
  bool isRejectedUnread = false;
  /// Set while what the caller sends behind its last response is discarded.
  std::optional<asio::steady_timer> discardTimer;
  bool isBodyTooLarge = false;
};

}  // namespace zincstep
