#include "Zincstep/Net/RefusingSocket.h"

#include <algorithm>

#include "Zincstep/Net/Answers.h"

namespace zincstep {

namespace {

constexpr std::size_t kKeptHead = 64 << 10;
constexpr std::size_t kDrainBytes = 64 << 10;
constexpr auto kSlowRequest = std::chrono::seconds(1);

/// The refusal that fits what came of the message.
HttpResponse RefusalFor(const ConnectionState& aState) {
  const auto waited = std::chrono::steady_clock::now() - aState.firstByte;
  const bool headEnded = aState.head.find("\r\n\r\n") != std::string::npos;
  if (waited > kSlowRequest) {
    HttpResponse answer = ErrorResponse(
        {ErrorKind::BadRequest, "the request did not come in time", {}});
    answer.status = 408;
    return answer;
  }
  if (!headEnded && aState.unparsedBytes >= (4 << 10)) {
    HttpResponse answer = ErrorResponse(
        {ErrorKind::RequestTooLarge, "the header fields are too large", {}});
    answer.status = 431;
    return answer;
  }
  return ErrorResponse({ErrorKind::BadRequest,
                        "the message is not valid HTTP/1.1 or passes a limit",
                        {}});
}

std::string Serialize(const HttpResponse& aAnswer) {
  std::string text =
      "HTTP/1.1 " + std::to_string(aAnswer.status) + " Refused\r\n";
  for (const HttpHeader& header : aAnswer.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aAnswer.body.size()) + "\r\n";
  return text + "Connection: close\r\n\r\n" + aAnswer.body;
}

}  // namespace

void RefusingSocket::NoteRead(ConnectionState& aState,
                              const asio::error_code& aError,
                              asio::mutable_buffer aBuffer,
                              std::size_t aLength) {
  if (aError) {
    aState.callerGone = true;
    return;
  }
  if (aState.unparsedBytes == 0) {
    aState.firstByte = std::chrono::steady_clock::now();
    aState.head.clear();
  }
  aState.unparsedBytes += aLength;
  const std::size_t room = kKeptHead - std::min(kKeptHead, aState.head.size());
  aState.head.append(static_cast<const char*>(aBuffer.data()),
                     std::min(room, aLength));
}

void RefusingSocket::shutdown(shutdown_type aType, asio::error_code& aError) {
  const auto held = this->state;
  if (held->pendingRequests > 0 && held->onClosed) {
    std::exchange(held->onClosed, nullptr)();
  }
  const bool refuse = !held->callerGone && held->pendingRequests == 0 &&
                      held->unparsedBytes > 0;
  if (refuse) {
    held->callerGone = true;
    asio::error_code ignored;
    Base::non_blocking(true, ignored);
    const std::string text = Serialize(RefusalFor(*held));
    Base::write_some(asio::buffer(text), ignored);
    // Unread bytes would turn the close into a reset that takes the
    // answer away from the caller.
    std::string drained(kDrainBytes, '\0');
    Base::read_some(asio::buffer(drained), ignored);
  }
  Base::shutdown(aType, aError);
}

}  // namespace zincstep
