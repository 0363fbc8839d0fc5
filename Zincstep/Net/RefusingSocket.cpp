#include "Zincstep/Net/RefusingSocket.h"

#include <algorithm>

#include "Zincstep/Net/ErrorResponse.h"

namespace zincstep {

namespace {

constexpr std::size_t kMaxRecordedHeadBytes = 64 << 10;
constexpr std::size_t kMaxDrainedBytes = 64 << 10;
constexpr auto kSlowRequestTimeout = std::chrono::seconds(1);

/// Returns the error response for the received part of a message.
HttpResponse ErrorResponseFor(const ConnectionState& aState) {
  if (aState.unparsedBytes == 0) {
    return ErrorResponse({ErrorKind::NotReady,
                          "the request was not read before the timeout",
                          {}});
  }
  const auto elapsed = std::chrono::steady_clock::now() - aState.firstByteAt;
  const bool isHeadComplete = aState.head.find("\r\n\r\n") != std::string::npos;
  if (elapsed > kSlowRequestTimeout) {
    HttpResponse response =
        ErrorResponse({ErrorKind::BadRequest,
                       "request not received completely before the timeout",
                       {}});
    response.status = 408;
    return response;
  }
  if (!isHeadComplete && aState.unparsedBytes >= (4 << 10)) {
    HttpResponse response = ErrorResponse(
        {ErrorKind::RequestTooLarge, "header fields exceed the limit", {}});
    response.status = 431;
    return response;
  }
  return ErrorResponse({ErrorKind::BadRequest,
                        "message is not valid HTTP/1.1 or exceeds a limit",
                        {}});
}

std::string Serialize(const HttpResponse& aResponse) {
  std::string text =
      "HTTP/1.1 " + std::to_string(aResponse.status) + " Refused\r\n";
  for (const HttpHeader& header : aResponse.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aResponse.body.size()) + "\r\n";
  return text + "Connection: close\r\n\r\n" + aResponse.body;
}

}  // namespace

void RefusingSocket::RecordRead(ConnectionState& aState,
                                const asio::error_code& aError,
                                asio::mutable_buffer aBuffer,
                                std::size_t aLength) {
  if (aError) {
    aState.isCallerGone = true;
    return;
  }
  if (aState.unparsedBytes == 0) {
    aState.firstByteAt = std::chrono::steady_clock::now();
    aState.head.clear();
  }
  aState.unparsedBytes += aLength;
  const std::size_t remaining =
      kMaxRecordedHeadBytes -
      std::min(kMaxRecordedHeadBytes, aState.head.size());
  aState.head.append(static_cast<const char*>(aBuffer.data()),
                     std::min(remaining, aLength));
}

void RefusingSocket::shutdown(shutdown_type aType, asio::error_code& aError) {
  const auto connection = this->state;
  if (connection->pendingRequests > 0 && connection->onClosed) {
    std::exchange(connection->onClosed, nullptr)();
  }
  asio::error_code unknown;
  const bool hasUnreadBytes = Base::available(unknown) > 0 && !unknown;
  const bool shouldRespond = !connection->isCallerGone &&
                             connection->pendingRequests == 0 &&
                             !connection->hasLastResponse &&
                             (connection->unparsedBytes > 0 || hasUnreadBytes);
  asio::error_code ignored;
  if (shouldRespond) {
    connection->isCallerGone = true;
    Base::non_blocking(true, ignored);
    const std::string text = Serialize(ErrorResponseFor(*connection));
    Base::write_some(asio::buffer(text), ignored);
  }
  if (shouldRespond || hasUnreadBytes) {
    // Unread bytes would turn the close into a reset, which discards the
    // response before the caller has read it.
    Base::non_blocking(true, ignored);
    std::string drained(kMaxDrainedBytes, '\0');
    Base::read_some(asio::buffer(drained), ignored);
  }
  Base::shutdown(aType, aError);
}

}  // namespace zincstep
