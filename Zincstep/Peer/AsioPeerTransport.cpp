#include <algorithm>
#include <array>
#include <asio.hpp>
#include <atomic>
#include <deque>
#include <thread>
#include <unordered_map>

#include "Zincstep/Net/TcpSocket.h"
#include "Zincstep/Peer/PeerTransport.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t kLengthBytes = 4;
/// Time between checks whether the listener has consumed enough to read on.
constexpr Micros kConsumptionCheckInterval = 10ms;

std::array<unsigned char, kLengthBytes> EncodeLength(std::size_t aLength) {
  return {static_cast<unsigned char>(aLength),
          static_cast<unsigned char>(aLength >> 8),
          static_cast<unsigned char>(aLength >> 16),
          static_cast<unsigned char>(aLength >> 24)};
}

std::size_t DecodeLength(
    const std::array<unsigned char, kLengthBytes>& aBytes) {
  return static_cast<std::size_t>(aBytes[0]) |
         static_cast<std::size_t>(aBytes[1]) << 8 |
         static_cast<std::size_t>(aBytes[2]) << 16 |
         static_cast<std::size_t>(aBytes[3]) << 24;
}

std::string ToString(const Tcp::endpoint& aEndpoint) {
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

/// Counters that are read from several threads.
struct SharedTraffic {
  std::atomic<std::uint64_t> bytesOut{0};
  std::atomic<std::uint64_t> bytesIn{0};
  std::atomic<std::uint64_t> messagesOut{0};
  std::atomic<std::uint64_t> messagesIn{0};
  std::atomic<std::uint64_t> dropped{0};
  std::atomic<std::uint64_t> connects{0};
  std::atomic<std::uint64_t> totalQueuedBytes{0};
  std::atomic<std::uint64_t> unconsumedBytes{0};
};

/// Counts the bytes that are queued for all peers; shared bytes count once.
class QueuedByteCounter {
 public:
  explicit QueuedByteCounter(SharedTraffic& aTraffic) : traffic(aTraffic) {}

  void Add(const PeerFrame& aMessage) {
    this->traffic.totalQueuedBytes += aMessage.head.size();
    for (const SharedBytes& bytes : aMessage.shared) {
      if (++this->referenceCounts[bytes.get()] == 1) {
        this->traffic.totalQueuedBytes += bytes->size();
      }
    }
  }

  void Remove(const PeerFrame& aMessage) {
    this->traffic.totalQueuedBytes -= aMessage.head.size();
    for (const SharedBytes& bytes : aMessage.shared) {
      const auto found = this->referenceCounts.find(bytes.get());
      if (--found->second == 0) {
        this->traffic.totalQueuedBytes -= bytes->size();
        this->referenceCounts.erase(found);
      }
    }
  }

  std::size_t Total() const { return this->traffic.totalQueuedBytes; }

 private:
  SharedTraffic& traffic;
  /// Queued messages that refer to the same bytes.
  std::unordered_map<const std::string*, std::size_t> referenceCounts;
};

/// Connection that a peer opened; receives only.
class Receiver : public std::enable_shared_from_this<Receiver> {
 public:
  Receiver(Tcp::socket aSocket, const PeerTransportSettings& aSettings,
           PeerListener& aListener, SharedTraffic& aTraffic)
      : socket(std::move(aSocket)),
        timer(this->socket.get_executor()),
        settings(aSettings),
        listener(aListener),
        traffic(aTraffic) {}

  void Start() { this->ReadMessage(); }

 private:
  bool IsListenerBehind() const {
    return this->settings.maxUnconsumedBytes > 0 &&
           this->traffic.unconsumedBytes > this->settings.maxUnconsumedBytes;
  }

  void ScheduleRead() {
    auto self = this->shared_from_this();
    this->timer.expires_after(kConsumptionCheckInterval);
    this->timer.async_wait([self](const asio::error_code& aError) {
      if (!aError) {
        self->ReadMessage();
      }
    });
  }

  void ReadMessage() {
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

  void ReadBody() {
    const std::size_t length = DecodeLength(this->head);
    if (length == 0 || length > this->settings.maxMessageBytes) {
      this->timer.cancel();
      return;
    }
    this->body.resize(length);
    auto self = this->shared_from_this();
    asio::async_read(this->socket, asio::buffer(this->body),
                     [self](const asio::error_code& aError, std::size_t) {
                       if (aError) {
                         self->timer.cancel();
                         return;
                       }
                       self->traffic.bytesIn +=
                           self->body.size() + kLengthBytes;
                       self->traffic.messagesIn += 1;
                       self->traffic.unconsumedBytes += self->body.size();
                       self->listener.OnPeerData(std::move(self->body));
                       self->body = std::string();
                       self->ReadMessage();
                     });
  }

  Tcp::socket socket;
  asio::steady_timer timer;
  const PeerTransportSettings& settings;
  PeerListener& listener;
  SharedTraffic& traffic;
  std::array<unsigned char, kLengthBytes> head{};
  std::string body;
};

/// Connection to one peer; sends only.
class Sender : public std::enable_shared_from_this<Sender> {
 public:
  Sender(asio::io_context& aLoop, Tcp::endpoint aPeer,
         const PeerTransportSettings& aSettings, SharedTraffic& aTraffic,
         QueuedByteCounter& aTotalQueued, Random& aRandom)
      : socket(aLoop),
        timer(aLoop),
        peer(std::move(aPeer)),
        settings(aSettings),
        traffic(aTraffic),
        totalQueued(aTotalQueued),
        random(aRandom),
        backoff(aSettings.initialReconnectBackoff) {}

  void Send(PeerFrame aMessage) {
    const std::size_t size = aMessage.Size() + kLengthBytes;
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

  void Close() {
    asio::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
  }

  /// Queued bytes without the message that is being written.
  std::size_t DroppableBytes() const {
    return this->isWriting
               ? this->queuedBytes - this->SizeOf(this->queue.front())
               : this->queuedBytes;
  }

  /// Drops all queued messages but the one that is being written.
  void DropQueued() {
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

 private:
  enum class State { Closed, Connecting, Open, Backoff };

  void Connect() {
    this->state = State::Connecting;
    this->traffic.connects += 1;
    this->socket = Tcp::socket(this->timer.get_executor());
    auto self = this->shared_from_this();
    this->socket.async_connect(this->peer,
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

  void OnOpen() {
    this->state = State::Open;
    this->backoff = this->settings.initialReconnectBackoff;
    asio::error_code ignored;
    SetSocketOptions(this->socket, this->settings.unacknowledgedTimeout);
    this->WaitForClose();
    if (!this->queue.empty()) {
      this->Write();
    }
  }

  /// The peer never sends here: any end of a read is the connection's end.
  void WaitForClose() {
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

  static std::size_t SizeOf(const PeerFrame& aMessage) {
    return aMessage.Size() + kLengthBytes;
  }

  void Write() {
    const PeerFrame& message = this->queue.front();
    this->isWriting = true;
    this->length = EncodeLength(message.Size());
    this->parts.assign(
        {asio::buffer(this->length), asio::buffer(message.head)});
    for (const SharedBytes& bytes : message.shared) {
      this->parts.emplace_back(asio::buffer(*bytes));
    }
    auto self = this->shared_from_this();
    asio::async_write(
        this->socket, this->parts,
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

  void PopFront() {
    this->queuedBytes -= this->SizeOf(this->queue.front());
    this->totalQueued.Remove(this->queue.front());
    this->queue.pop_front();
  }

  void OnConnectionLost(const asio::error_code& aError) {
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

  void StartBackoff() {
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

  Tcp::socket socket;
  asio::steady_timer timer;
  Tcp::endpoint peer;
  const PeerTransportSettings& settings;
  SharedTraffic& traffic;
  QueuedByteCounter& totalQueued;
  Random& random;
  State state = State::Closed;
  Micros backoff;
  std::deque<PeerFrame> queue;
  std::size_t queuedBytes = 0;
  /// Buffers of the message that is being written.
  std::vector<asio::const_buffer> parts;
  std::array<unsigned char, kLengthBytes> length{};
  std::array<char, 64> discarded{};
  bool isWriting = false;
};

class AsioPeerTransport final : public PeerTransport {
 public:
  AsioPeerTransport(PeerTransportSettings aSettings, PeerListener& aListener)
      : settings(std::move(aSettings)),
        listener(aListener),
        random(this->settings.seed),
        workGuard(asio::make_work_guard(this->loop)),
        acceptor(this->loop) {}

  ~AsioPeerTransport() override { this->Stop(); }

  Result<void> Start() override {
    const Result<Tcp::endpoint> endpoint = ParseEndpoint(this->settings.listen);
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    asio::error_code error;
    this->acceptor.open(endpoint->protocol(), error);
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(*endpoint, error);
    if (!error) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Fail(
          ErrorKind::Internal,
          "cannot listen on " + this->settings.listen + ": " + error.message());
    }
    this->port = this->acceptor.local_endpoint().port();
    this->Accept();
    this->thread = std::thread([this] { this->loop.run(); });
    return {};
  }

  void Stop() override {
    if (!this->thread.joinable()) {
      return;
    }
    asio::post(this->loop, [this] {
      asio::error_code ignored;
      this->acceptor.close(ignored);
      this->loop.stop();
    });
    this->thread.join();
  }

  std::uint16_t Port() const override { return this->port; }

  void Send(const std::string& aAddress, PeerFrame aMessage) override {
    asio::post(
        this->loop, [this, aAddress, message = std::move(aMessage)]() mutable {
          this->DropUntilFits(message.Size());
          auto found = this->senders.find(aAddress);
          if (found == this->senders.end()) {
            const Result<Tcp::endpoint> peer = ParseEndpoint(aAddress);
            if (!peer) {
              return;
            }
            found = this->senders
                        .emplace(aAddress, std::make_shared<Sender>(
                                               this->loop, *peer,
                                               this->settings, this->traffic,
                                               this->totalQueued, this->random))
                        .first;
          }
          found->second->Send(std::move(message));
        });
  }

  void OnConsumed(std::size_t aBytes) override {
    this->traffic.unconsumedBytes -= aBytes;
  }

  PeerTraffic Traffic() const override {
    return {this->traffic.bytesOut,         this->traffic.bytesIn,
            this->traffic.messagesOut,      this->traffic.messagesIn,
            this->traffic.dropped,          this->traffic.connects,
            this->traffic.totalQueuedBytes, this->traffic.unconsumedBytes};
  }

 private:
  /// Drops the queues of the peers with the most queued bytes until `aBytes`
  /// more fit.
  void DropUntilFits(std::size_t aBytes) {
    while (this->totalQueued.Total() + aBytes >
           this->settings.maxTotalQueuedBytes) {
      const auto longest =
          std::max_element(this->senders.begin(), this->senders.end(),
                           [](const auto& aLeft, const auto& aRight) {
                             return aLeft.second->DroppableBytes() <
                                    aRight.second->DroppableBytes();
                           });
      if (longest == this->senders.end() ||
          longest->second->DroppableBytes() == 0) {
        return;
      }
      longest->second->DropQueued();
    }
  }

  void Accept() {
    this->acceptor.async_accept(
        [this](const asio::error_code& aError, Tcp::socket aSocket) {
          if (aError == asio::error::operation_aborted) {
            return;
          }
          if (!aError) {
            std::make_shared<Receiver>(std::move(aSocket), this->settings,
                                       this->listener, this->traffic)
                ->Start();
          }
          this->Accept();
        });
  }

  PeerTransportSettings settings;
  PeerListener& listener;
  Random random;
  SharedTraffic traffic;
  QueuedByteCounter totalQueued{this->traffic};
  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> workGuard;
  Tcp::acceptor acceptor;
  std::unordered_map<std::string, std::shared_ptr<Sender>> senders;
  std::uint16_t port = 0;
  std::thread thread;
};

}  // namespace

std::size_t PeerFrame::Size() const {
  std::size_t size = this->head.size();
  for (const SharedBytes& bytes : this->shared) {
    size += bytes->size();
  }
  return size;
}

std::string PeerFrame::ToString() const {
  std::string text = this->head;
  for (const SharedBytes& bytes : this->shared) {
    text += *bytes;
  }
  return text;
}

std::unique_ptr<PeerTransport> MakePeerTransport(
    PeerTransportSettings aSettings, PeerListener& aListener) {
  return std::make_unique<AsioPeerTransport>(std::move(aSettings), aListener);
}

}  // namespace zincstep
