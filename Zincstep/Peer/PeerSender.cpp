#include "Zincstep/Peer/PeerSender.h"

#include <algorithm>

#include "Zincstep/Net/TcpSocket.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

std::array<unsigned char, kPeerLengthBytes> EncodeLength(std::size_t aLength) {
  return {static_cast<unsigned char>(aLength),
          static_cast<unsigned char>(aLength >> 8),
          static_cast<unsigned char>(aLength >> 16),
          static_cast<unsigned char>(aLength >> 24)};
}

std::string ToString(const asio::ip::tcp::endpoint& aEndpoint) {
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

}  // namespace

PeerSender::PeerSender(asio::io_context& aLoop, asio::ip::tcp::endpoint aPeer,
                       const PeerTransportSettings& aSettings,
                       SharedTraffic& aTraffic, QueuedByteCounter& aTotalQueued,
                       Random& aRandom)
    : socket(aLoop),
      timer(aLoop),
      peer(std::move(aPeer)),
      settings(aSettings),
      traffic(aTraffic),
      totalQueued(aTotalQueued),
      random(aRandom),
      backoff(aSettings.initialReconnectBackoff) {}

void PeerSender::Send(PeerFrame aMessage) {
  const std::size_t size = aMessage.Size() + kPeerLengthBytes;
  if (this->queuedBytes + size > this->settings.maxQueuedBytes) {
    this->traffic.dropped += 1;
    return;
  }
  this->queuedBytes += size;
  this->totalQueued.Add(aMessage);
  this->queue.push_back(std::move(aMessage));
  if (this->state == State::Closed) {
    this->Connect();
  } else if (this->state == State::Open && !this->isWriting) {
    this->Write();
  }
}

std::size_t PeerSender::DroppableBytes() const {
  return this->isWriting ? this->queuedBytes - this->SizeOf(this->queue.front())
                         : this->queuedBytes;
}

void PeerSender::DropQueued() {
  LogWarning("peer_messages_dropped",
             {{"peer", ToString(this->peer)},
              {"messages", this->queue.size() - (this->isWriting ? 1 : 0)},
              {"bytes", this->DroppableBytes()},
              {"held", this->totalQueued.Total()}});
  while (this->queue.size() > (this->isWriting ? 1U : 0U)) {
    this->traffic.dropped += 1;
    this->queuedBytes -= this->SizeOf(this->queue.back());
    this->totalQueued.Remove(this->queue.back());
    this->queue.pop_back();
  }
}

void PeerSender::Connect() {
  this->state = State::Connecting;
  this->traffic.connects += 1;
  this->socket = asio::ip::tcp::socket(this->timer.get_executor());
  auto self = this->shared_from_this();
  zincstep::Connect(this->socket, this->peer,
                    [self](const asio::error_code& aError) {
                      self->timer.cancel();
                      if (aError) {
                        self->StartBackoff();
                        return;
                      }
                      self->OnOpen();
                    });
  this->timer.expires_after(this->settings.connectTimeout);
  this->timer.async_wait([self](const asio::error_code& aError) {
    asio::error_code ignored;
    if (!aError && self->state == State::Connecting) {
      self->socket.close(ignored);  // Fails the attempt.
    }
  });
}

void PeerSender::OnOpen() {
  this->state = State::Open;
  this->backoff = this->settings.initialReconnectBackoff;
  asio::error_code ignored;
  SetSocketOptions(this->socket, this->settings.unacknowledgedTimeout);
  this->WaitForClose();
  if (!this->queue.empty()) {
    this->Write();
  }
}

void PeerSender::WaitForClose() {
  auto self = this->shared_from_this();
  this->socket.async_read_some(
      asio::buffer(this->discarded),
      [self](const asio::error_code& aError, std::size_t) {
        if (!aError) {
          self->WaitForClose();
        } else if (aError != asio::error::operation_aborted) {
          self->OnConnectionLost(aError);
        }
      });
}

std::size_t PeerSender::SizeOf(const PeerFrame& aMessage) {
  return aMessage.Size() + kPeerLengthBytes;
}

void PeerSender::Write() {
  const PeerFrame& message = this->queue.front();
  this->isWriting = true;
  this->length = EncodeLength(message.Size());
  this->parts.assign({asio::buffer(this->length), asio::buffer(message.head)});
  for (const SharedBytes& bytes : message.shared) {
    this->parts.emplace_back(asio::buffer(*bytes));
  }
  auto self = this->shared_from_this();
  asio::async_write(this->socket, this->parts,
                    [self](const asio::error_code& aError, std::size_t aBytes) {
                      self->isWriting = false;
                      if (aError) {
                        self->OnConnectionLost(aError);
                        return;
                      }
                      self->traffic.bytesOut += aBytes;
                      self->traffic.messagesOut += 1;
                      self->PopFront();
                      if (!self->queue.empty() && self->state == State::Open) {
                        self->Write();
                      }
                    });
}

void PeerSender::PopFront() {
  this->queuedBytes -= this->SizeOf(this->queue.front());
  this->totalQueued.Remove(this->queue.front());
  this->queue.pop_front();
}

void PeerSender::OnConnectionLost(const asio::error_code& aError) {
  if (this->state != State::Open || this->isWriting) {
    return;
  }
  LogInfo("peer_connection_lost", {{"peer", ToString(this->peer)},
                                   {"unsent", this->queue.size()},
                                   {"reason", aError.message()}});
  asio::error_code ignored;
  this->socket.close(ignored);
  this->state = State::Closed;
  if (!this->queue.empty()) {
    this->StartBackoff();
  }
}

void PeerSender::StartBackoff() {
  // Queued messages would be outdated by the time the peer is reachable.
  while (!this->queue.empty()) {
    this->traffic.dropped += 1;
    this->PopFront();
  }
  this->state = State::Backoff;
  const double jitter = 0.5 + this->random.Unit() / 2;
  this->timer.expires_after(Micros{static_cast<std::int64_t>(
      jitter * static_cast<double>(this->backoff.count()))});
  this->backoff =
      std::min(2 * this->backoff, this->settings.maxReconnectBackoff);
  auto self = this->shared_from_this();
  this->timer.async_wait([self](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    self->state = State::Closed;
    if (!self->queue.empty()) {
      self->Connect();
    }
  });
}

}  // namespace zincstep
