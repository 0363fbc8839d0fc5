#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace zincstep {

/// State of one connection that RESTinio reads from.
struct ConnectionState {
  /// Bytes read since the last complete request.
  std::size_t unparsedBytes = 0;
  /// Requests whose response is not complete yet.
  int pendingRequests = 0;
  /// The last read failed, so the caller can no longer receive a response.
  bool isCallerGone = false;
  /// The last response announced the close or was truncated: none may follow.
  bool hasLastResponse = false;
  std::chrono::steady_clock::time_point firstByteAt;
  /// Start of the current message, from which the error is determined.
  std::string head;
  /// Called once if the connection closes with pending requests.
  std::function<void()> onClosed;
};

/// A socket that sends a 4xx response before it closes on an invalid message.
///
/// RESTinio closes a connection without a response when a message is not valid
/// HTTP, exceeds a limit or arrives too slowly. The socket type is a parameter
/// of RESTinio's traits, so this one sends the response in `shutdown`, the last
/// step before the close.
class RefusingSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit RefusingSocket(asio::io_context& aContext)
      : Base(aContext), state(std::make_shared<ConnectionState>()) {}

  RefusingSocket(RefusingSocket&& aOther) noexcept
      : Base(std::move(static_cast<Base&>(aOther))),
        state(
            std::exchange(aOther.state, std::make_shared<ConnectionState>())) {}

  /// Returns the state of the connection whose handler runs on this thread, or
  /// null.
  static std::shared_ptr<ConnectionState>& Current() {
    thread_local std::shared_ptr<ConnectionState> current;
    return current;
  }

  // Handlers are forwarding references: Asio creates the buffers from the
  // handler in the same call that moves it, in unspecified order.

  /// Reads, and records the bytes received since the last complete request.
  template <class Buffers, class Handler>
  void async_read_some(const Buffers& aBuffers, Handler&& aHandler) {
    auto connection = this->state;
    const auto buffer =
        asio::mutable_buffer(*asio::buffer_sequence_begin(aBuffers));
    Base::async_read_some(
        aBuffers,
        [connection, buffer, handler = std::forward<Handler>(aHandler)](
            const asio::error_code& aError, std::size_t aLength) mutable {
          RecordRead(*connection, aError, buffer, aLength);
          Current() = connection;
          handler(aError, aLength);
          Current() = nullptr;
        });
  }

  /// Writes; sets `Current`, since a buffered request may be handled in the
  /// write's handler.
  template <class Buffers, class Handler>
  void async_write_some(const Buffers& aBuffers, Handler&& aHandler) {
    auto connection = this->state;
    Base::async_write_some(
        aBuffers,
        [connection, handler = std::forward<Handler>(aHandler)](
            const asio::error_code& aError, std::size_t aLength) mutable {
          Current() = connection;
          handler(aError, aLength);
          Current() = nullptr;
        });
  }

  /// Sends an error response if the current message has none, then shuts down.
  /// A message may have arrived that is not read: the time limit of RESTinio
  /// counts the time in which the server's thread was held.
  void shutdown(shutdown_type aType, asio::error_code& aError);

 private:
  static void RecordRead(ConnectionState& aState,
                         const asio::error_code& aError,
                         asio::mutable_buffer aBuffer, std::size_t aLength);

  std::shared_ptr<ConnectionState> state;
};

}  // namespace zincstep
