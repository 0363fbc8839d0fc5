#include "Zincstep/Net/CallerConnection.h"

#include <algorithm>

#include "Zincstep/Net/SingleCall.h"

namespace zincstep {

namespace {

/// A caller's connection is closed when bytes are unacknowledged for so long;
/// partitioned callers have given up by then.
constexpr Micros kUnacknowledgedTimeout = 8s;
/// Time after its connection within which a caller's first request arrives,
/// also if a packet is lost once.
constexpr Micros kFirstRequestTime = 300ms;
/// Bytes of later requests that are read ahead while one runs.
constexpr std::size_t kMaxReadAheadBytes = 64 << 10;
/// Added to the idle timeout, so that the connection never closes on a request
/// of a caller that respects the timeout.
constexpr Micros kIdleSlack = 1500ms;
/// Time for which what a caller sends behind its last response is discarded: a
/// large body over a usual link, while a caller that never ends keeps a
/// descriptor no longer.
constexpr Micros kDiscardTimeout = 2s;

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket aSocket,
                                   CallerHandler& aHandler,
                                   const CallerLimits& aLimits,
                                   const Clock& aClock)
    : socket(std::move(aSocket)),
      handler(aHandler),
      currentLimits(aLimits),
      clock(aClock),
      parser(HttpSide::Request, *this),
      openedAt(aClock.Now()),
      lastActive(openedAt) {
  SetSocketOptions(this->socket, kUnacknowledgedTimeout);
  this->UseCurrentLimits();
}

void CallerConnection::UseCurrentLimits() {
  this->limits = this->currentLimits;
  this->parser.SetMaxHeadBytes(this->limits.maxHeaderBytes);
}

void CallerConnection::OnLimitsChanged() {
  this->limits = Widest(this->limits, this->currentLimits);
  this->parser.SetMaxHeadBytes(this->limits.maxHeaderBytes);
}

void CallerConnection::Start() { this->Read(); }

void CallerConnection::Read() {
  if (this->isReading || (this->isClosed && !this->discardTimer) ||
      this->unparsed.size() > kMaxReadAheadBytes) {
    return;
  }
  this->isReading = true;
  auto self = this->shared_from_this();
  this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self](const asio::error_code& aError, std::size_t aSize) {
        self->isReading = false;
        self->CloseOnException([&] { self->OnRead(aError, aSize); });
      });
}

void CallerConnection::OnRead(const asio::error_code& aError,
                              std::size_t aSize) {
  if (this->discardTimer) {
    aError ? this->Close() : this->Read();
    return;
  }
  if (this->isClosed) {
    return;
  }
  if (aError) {
    const bool wasBusy = this->isBusy;
    this->Close();
    if (wasBusy) {
      this->handler.OnCallerDisconnected(*this);
    }
    return;
  }
  if (!this->hasLastResponse) {
    this->unparsed.append(this->buffer.data(), aSize);
  }
  if (!this->isBusy) {
    this->ParseNext();
  }
  this->Read();
}

void CallerConnection::CloseOnException(const std::function<void()>& aHandle) {
  try {
    aHandle();
  } catch (const std::exception&) {
    const bool wasBusy = this->isBusy && !this->isClosed;
    this->Close();
    if (wasBusy) {
      this->handler.OnCallerDisconnected(*this);
    }
    throw;
  }
}

void CallerConnection::ParseNext() {
  if (this->isClosed || this->unparsed.empty()) {
    return;
  }
  if (!this->parser.HasBegun()) {
    this->begunAt = this->clock.Now();
  }
  const auto consumed = this->parser.Feed(this->unparsed);
  if (!consumed) {
    this->Reject(consumed.error());
    return;
  }
  this->unparsed.erase(0, *consumed);
  this->lastActive = this->clock.Now();
  if (this->isBodyTooLarge) {
    this->Reject(
        {ErrorKind::RequestTooLarge, "request body exceeds the limit", {}});
    return;
  }
  if (!this->parser.IsComplete()) {
    return;
  }
  this->isBusy = true;
  this->hasReadRequest = true;
  this->closesAfterResponse =
      this->closesAfterResponse || !this->message.head.keepsAlive;
  this->message.readAt = this->lastActive;
  this->handler.OnRequest(this->shared_from_this(), std::move(this->message));
}

void CallerConnection::Reject(const Error& aError) {
  this->isBusy = true;
  this->closesAfterResponse = true;
  this->isRejectedUnread = true;
  const bool isTooLarge = aError.kind == ErrorKind::RequestTooLarge;
  this->Answer(isTooLarge && !this->isBodyTooLarge
                   ? 431
                   : ErrorInfoFor(aError.kind).status,
               {}, aError.message);
}

void CallerConnection::OnHead(HttpHead aHead) {
  this->message = CallerMessage{};
  this->message.head = std::move(aHead);
}

void CallerConnection::OnBody(std::string_view aPart) {
  if (this->message.body.size() + aPart.size() > this->limits.maxBodyBytes) {
    this->isBodyTooLarge = true;
    return;
  }
  this->message.body.append(aPart);
}

void CallerConnection::DiscardAndClose() {
  this->isClosed = true;
  asio::error_code error;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (error) {
    this->Close();
    return;
  }
  this->discardTimer.emplace(this->socket.get_executor(), kDiscardTimeout);
  this->discardTimer->async_wait(
      [self = this->shared_from_this()](const asio::error_code& aError) {
        if (!aError) {
          self->Close();
        }
      });
  this->Read();
}

void CallerConnection::Abort() { this->Close(); }

void CallerConnection::CloseWhenSent() {
  this->closesAfterWrite = true;
  if (!this->isWriting) {
    this->Close();
  }
}

void CallerConnection::CloseWhenDone() {
  this->closesAfterResponse = true;
  const bool isIdle =
      !this->isBusy && !this->isWriting && !this->parser.HasBegun();
  if (isIdle && !this->ExpectsRequest()) {
    this->Close();
  }
}

bool CallerConnection::ExpectsRequest() const {
  // The exit of the process would reset the connection, as `Close` does.
  if (this->discardTimer) {
    return true;
  }
  if (this->isClosed || this->isBusy || this->hasLastResponse) {
    return false;
  }
  const bool isNew = !this->hasReadRequest &&
                     this->clock.Now() - this->openedAt < kFirstRequestTime;
  return isNew || this->parser.HasBegun() || this->HasUnreadBytes();
}

bool CallerConnection::HasUnreadBytes() const {
  asio::error_code error;
  return !this->isClosed && this->socket.available(error) > 0 && !error;
}

bool CallerConnection::CheckTimeouts(Instant aNow) {
  if (this->isClosed || this->isBusy || this->isWriting) {
    return false;
  }
  const bool isMidRequest = this->parser.HasBegun();
  const Micros timeout = isMidRequest ? this->limits.headerTimeout
                                      : this->limits.idleTimeout + kIdleSlack;
  // A head is short; if each byte renewed its timeout, a caller could hold a
  // connection for ever by one byte now and then.
  const bool isInHead = isMidRequest && !this->parser.HasHead();
  const Instant since = isInHead ? this->begunAt : this->lastActive;
  if (aNow - since <= timeout) {
    return false;
  }
  if (this->HasUnreadBytes()) {
    return true;
  }
  if (isMidRequest) {
    this->isBusy = true;
    this->closesAfterResponse = true;
    this->isRejectedUnread = true;
    this->Answer(408, {}, "request not received completely before the timeout");
  } else {
    this->Close();
  }
  return false;
}

std::size_t CallerConnection::PendingBytes() const {
  return this->pending.size() + this->writing.size() * this->isWriting;
}

void CallerConnection::Close() {
  this->wasClosedUnread =
      this->wasClosedUnread ||
      (!this->isBusy && !this->hasLastResponse && this->HasUnreadBytes());
  this->isClosed = true;
  this->discardTimer.reset();
  asio::error_code ignored;  // There is no recovery from a failed close.
  this->socket.close(ignored);
}

}  // namespace zincstep
