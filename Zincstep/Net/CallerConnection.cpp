#include "Zincstep/Net/CallerConnection.h"

#include <algorithm>
#include <charconv>

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
/// Upper bound of a response's status line, own header fields and chunk frame.
constexpr std::size_t kMaxFramingBytes = 512;

/// Returns the size of header fields on the wire.
std::size_t SizeOf(const HttpHeaders& aHeaders) {
  constexpr std::size_t kSeparatorBytes = 4;
  std::size_t size = 0;
  for (const auto& [name, value] : aHeaders) {
    size += name.size() + value.size() + kSeparatorBytes;
  }
  return size;
}

void AppendNumber(std::string& aText, std::size_t aValue, int aBase) {
  char digits[24];
  const auto written =
      std::to_chars(digits, digits + sizeof(digits), aValue, aBase);
  aText.append(digits, written.ptr);
}

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
  if (this->isReading || this->isClosed ||
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

void CallerConnection::WriteHead(int aStatus, const HttpHeaders& aHeaders) {
  this->pending += "HTTP/1.1 ";
  AppendNumber(this->pending, static_cast<std::size_t>(aStatus), 10);
  this->pending += ' ';
  this->pending += http_status_str(static_cast<http_status>(aStatus));
  this->pending += "\r\n";
  for (const HttpHeader& header : aHeaders) {
    this->pending += header.name;
    this->pending += ": ";
    this->pending += header.value;
    this->pending += "\r\n";
  }
  this->hasAnnouncedClose = this->closesAfterResponse;
  if (this->hasAnnouncedClose) {
    this->pending += "Connection: close\r\n";
  }
}

void CallerConnection::Reserve(std::size_t aBytes) {
  this->pending.reserve(this->pending.size() + aBytes + kMaxFramingBytes);
}

void CallerConnection::Answer(int aStatus, const HttpHeaders& aHeaders,
                              std::string_view aBody) {
  if (this->isClosed) {
    return;
  }
  ZINCSTEP_ASSERT(this->isBusy);
  this->Reserve(SizeOf(aHeaders) + aBody.size());
  this->WriteHead(aStatus, aHeaders);
  this->pending += "Content-Length: ";
  AppendNumber(this->pending, aBody.size(), 10);
  this->pending += "\r\n\r\n";
  this->pending += aBody;
  this->FinishResponse();
}

void CallerConnection::BeginChunks(int aStatus, const HttpHeaders& aHeaders) {
  if (this->isClosed) {
    return;
  }
  ZINCSTEP_ASSERT(this->isBusy);
  this->Reserve(SizeOf(aHeaders));
  this->WriteHead(aStatus, aHeaders);
  this->pending += "Transfer-Encoding: chunked\r\n\r\n";
}

void CallerConnection::AppendChunk(std::string_view aPart) {
  if (this->isClosed || aPart.empty()) {
    return;
  }
  this->Reserve(aPart.size());
  AppendNumber(this->pending, aPart.size(), 16);
  this->pending += "\r\n";
  this->pending += aPart;
  this->pending += "\r\n";
  this->Flush();
}

void CallerConnection::EndChunks() {
  if (this->isClosed) {
    return;
  }
  this->pending += "0\r\n\r\n";
  this->FinishResponse();
}

void CallerConnection::FinishResponse() {
  this->isBusy = false;
  this->lastActive = this->clock.Now();
  this->parser.Reset();
  this->UseCurrentLimits();
  // A caller that was not told may have sent its next request already.
  if (this->hasAnnouncedClose) {
    this->hasLastResponse = true;
    this->unparsed.clear();
  }
  this->Flush();
  if (!this->unparsed.empty()) {
    // Deferred: the handler is still inside the call that sent the response.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      if (!self->isBusy) {
        self->CloseOnException([&self] {
          self->ParseNext();
          self->Read();
        });
      }
    });
  }
}

void CallerConnection::Flush() {
  if (this->isWriting || this->isClosed || this->pending.empty()) {
    return;
  }
  this->isWriting = true;
  std::swap(this->writing, this->pending);
  this->pending.clear();
  auto self = this->shared_from_this();
  asio::async_write(this->socket, asio::buffer(this->writing),
                    [self](const asio::error_code& aError, std::size_t) {
                      self->isWriting = false;
                      self->CloseOnException([&] { self->OnWritten(aError); });
                    });
}

void CallerConnection::OnWritten(const asio::error_code& aError) {
  if (this->isClosed) {
    return;
  }
  if (aError) {
    return;  // The pending read reports the lost connection.
  }
  this->lastActive = this->clock.Now();
  this->Flush();
  if (!this->isWriting && (this->hasLastResponse || this->closesAfterWrite)) {
    this->Close();
  }
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
  asio::error_code ignored;  // There is no recovery from a failed close.
  this->socket.close(ignored);
}

}  // namespace zincstep
