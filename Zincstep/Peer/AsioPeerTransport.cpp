#include <algorithm>
#include <asio.hpp>
#include <thread>
#include <unordered_map>

#include "Zincstep/Net/ConnectionAcceptor.h"
#include "Zincstep/Net/TcpSocket.h"
#include "Zincstep/Peer/PeerReceiver.h"
#include "Zincstep/Peer/PeerSender.h"
#include "Zincstep/Process/Process.h"

namespace zincstep {

namespace {

using Tcp = asio::ip::tcp;

class AsioPeerTransport final : public PeerTransport {
 public:
  AsioPeerTransport(PeerTransportSettings aSettings, PeerListener& aListener)
      : settings(std::move(aSettings)),
        listener(aListener),
        random(this->settings.seed),
        workGuard(asio::make_work_guard(this->loop)),
        acceptor(this->loop, [this](Tcp::socket aSocket) {
          std::make_shared<PeerReceiver>(std::move(aSocket), this->settings,
                                         this->listener, this->traffic)
              ->Start();
        }) {}

  ~AsioPeerTransport() override { this->Stop(); }

  Result<void> Start() override {
    Result<void> listening = this->acceptor.Start(this->settings.listen);
    if (!listening) {
      return listening;
    }
    try {
      this->thread = std::thread([this] {
        while (!RunGuarded("peers", [this] { this->loop.run(); })) {
        }
      });
    } catch (const std::system_error& error) {
      return Fail(
          ErrorKind::Internal,
          std::string("cannot start the thread of peers: ") + error.what());
    }
    return {};
  }

  void Stop() override {
    if (!this->thread.joinable()) {
      return;
    }
    asio::post(this->loop, [this] {
      this->acceptor.Close();
      this->loop.stop();
    });
    this->thread.join();
  }

  std::uint16_t Port() const override { return this->acceptor.Port(); }

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
                        .emplace(aAddress, std::make_shared<PeerSender>(
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

  PeerTransportSettings settings;
  PeerListener& listener;
  Random random;
  SharedTraffic traffic;
  QueuedByteCounter totalQueued{this->traffic};
  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> workGuard;
  ConnectionAcceptor acceptor;
  std::unordered_map<std::string, std::shared_ptr<PeerSender>> senders;
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
