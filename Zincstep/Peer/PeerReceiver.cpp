#include "Zincstep/Peer/PeerReceiver.h"

#include <algorithm>
#include <new>
#include <utility>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Time between checks whether the listener has consumed enough to read on.
constexpr Micros kConsumptionCheckInterval = 10ms;
/// Bytes of a message for which memory is taken before any of them arrives;
/// then as much again as has arrived. A length alone must not cost 8 MB.
constexpr std::size_t kFirstPartBytes = 16 << 10;

std::size_t DecodeLength(
    const std::array<unsigned char, kPeerLengthBytes>& aBytes) {
  return static_cast<std::size_t>(aBytes[0]) |
         static_cast<std::size_t>(aBytes[1]) << 8 |
         static_cast<std::size_t>(aBytes[2]) << 16 |
         static_cast<std::size_t>(aBytes[3]) << 24;
}

}  // namespace

PeerReceiver::PeerReceiver(asio::ip::tcp::socket aSocket,
                           const PeerTransportSettings& aSettings,
                           PeerListener& aListener, SharedTraffic& aTraffic)
    : socket(std::move(aSocket)),
      timer(this->socket.get_executor()),
      settings(aSettings),
      listener(aListener),
      traffic(aTraffic) {}

bool PeerReceiver::IsListenerBehind() const {
  return this->settings.maxUnconsumedBytes > 0 &&
         this->traffic.unconsumedBytes > this->settings.maxUnconsumedBytes;
}

void PeerReceiver::ScheduleRead() {
  auto self = this->shared_from_this();
  this->timer.expires_after(kConsumptionCheckInterval);
  this->timer.async_wait([self](const asio::error_code& aError) {
    if (!aError) {
      self->ReadMessage();
    }
  });
}

void PeerReceiver::ReadMessage() {
  if (this->IsListenerBehind()) {
    this->ScheduleRead();
    return;
  }
  auto self = this->shared_from_this();
  this->timer.expires_after(this->settings.idleTimeout);
  this->timer.async_wait([self](const asio::error_code& aError) {
    if (!aError) {
      asio::error_code ignored;
      self->socket.close(ignored);
    }
  });
  asio::async_read(this->socket, asio::buffer(this->head),
                   [self](const asio::error_code& aError, std::size_t) {
                     if (aError) {
                       self->timer.cancel();
                       return;
                     }
                     self->ReadBody();
                   });
}

void PeerReceiver::Close() {
  this->timer.cancel();
  asio::error_code ignored;  // There is no recovery from a failed close.
  this->socket.close(ignored);
  this->body = std::string();
}

void PeerReceiver::ReadBody() {
  this->length = DecodeLength(this->head);
  if (this->length == 0 || this->length > this->settings.maxMessageBytes) {
    this->timer.cancel();
    return;
  }
  this->ReadBodyPart();
}

void PeerReceiver::ReadBodyPart() {
  const std::size_t received = this->body.size();
  try {
    this->body.resize(
        std::min(this->length, std::max(2 * received, kFirstPartBytes)));
  } catch (const std::bad_alloc&) {
    // Returns at once what other connections lack. The sender connects again.
    this->Close();
    LogWarning("peer_message_dropped",
               {{"bytes", this->length}, {"reason", "out of memory"}});
    return;
  }
  auto self = this->shared_from_this();
  asio::async_read(
      this->socket,
      asio::buffer(this->body.data() + received, this->body.size() - received),
      [self](const asio::error_code& aError, std::size_t) {
        if (aError) {
          self->timer.cancel();
        } else if (self->body.size() < self->length) {
          self->ReadBodyPart();
        } else {
          self->OnMessage();
        }
      });
}

void PeerReceiver::OnMessage() {
  const std::size_t size = this->body.size();
  this->traffic.bytesIn += size + kPeerLengthBytes;
  this->traffic.messagesIn += 1;
  this->traffic.unconsumedBytes += size;
  this->listener.OnPeerData(std::exchange(this->body, {}));
  this->ReadMessage();
}

}  // namespace zincstep
