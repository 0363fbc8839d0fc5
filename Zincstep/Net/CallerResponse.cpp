/// \file
/// Writing of responses to a caller's connection.

#include <charconv>

#include "Zincstep/Net/CallerConnection.h"

namespace zincstep {

namespace {

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
  if (this->isWriting) {
    return;
  }
  if (this->hasLastResponse &&
      (this->isRejectedUnread || this->HasUnreadBytes())) {
    this->DiscardAndClose();
  } else if (this->hasLastResponse || this->closesAfterWrite) {
    this->Close();
  }
}

}  // namespace zincstep
