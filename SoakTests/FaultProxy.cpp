#include "SoakTests/FaultProxy.h"

namespace zincstep::soak {

namespace {

/// Between checks whether a blocked link forwards again.
constexpr Micros kStateCheckInterval = 20ms;

void CloseHard(TcpSocket& aSocket) {
  asio::error_code ignored;  // It may be closed already.
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

}  // namespace

/// One forwarded connection.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultProxy& aProxy, TcpSocket aCaller)
      : proxy(&aProxy), caller(std::move(aCaller)), target(aProxy.loop) {}

  void Start() {
    auto self = this->shared_from_this();
    this->target.async_connect(this->proxy->target,
                               [self](const asio::error_code& aError) {
                                 if (aError || self->proxy == nullptr) {
                                   self->Close();
                                   return;
                                 }
                                 self->Pump(true);
                                 self->Pump(false);
                               });
  }

  void Close() {
    CloseHard(this->caller);
    CloseHard(this->target);
    if (this->proxy != nullptr) {
      std::exchange(this->proxy, nullptr)
          ->connections.erase(this->shared_from_this());
    }
  }

  void Blackhole() { this->isBlackholed = true; }

  /// Called when the proxy is destroyed, which clears its connection set.
  void Detach() { this->proxy = nullptr; }

 private:
  struct Direction {
    std::array<char, 8 << 10> buffer{};
    std::size_t size = 0;
  };

  TcpSocket& SourceOf(bool aToTarget) {
    return aToTarget ? this->caller : this->target;
  }
  TcpSocket& DestinationOf(bool aToTarget) {
    return aToTarget ? this->target : this->caller;
  }
  Direction& DirectionOf(bool aToTarget) {
    return aToTarget ? this->forward : this->backward;
  }

  void Pump(bool aToTarget) {
    auto self = this->shared_from_this();
    this->SourceOf(aToTarget).async_read_some(
        asio::buffer(this->DirectionOf(aToTarget).buffer),
        [self, aToTarget](const asio::error_code& aError, std::size_t aSize) {
          if (self->isBlackholed && self->proxy != nullptr) {
            return;  // Nothing reaches the other side, not even the close.
          }
          if (aError || self->proxy == nullptr) {
            self->OnEnd(aToTarget, aError);
            return;
          }
          self->DirectionOf(aToTarget).size = aSize;
          self->ForwardAfter(aToTarget, self->proxy->delay);
        });
  }

  /// Forwards an orderly close by one side; anything else resets both sides.
  void OnEnd(bool aToTarget, const asio::error_code& aError) {
    if (this->proxy == nullptr || aError != asio::error::eof ||
        !this->proxy->CanForward(aToTarget)) {
      this->Close();
      return;
    }
    asio::error_code ignored;  // The other side may be closed already.
    this->DestinationOf(aToTarget).shutdown(TcpSocket::shutdown_send, ignored);
    if (std::exchange(this->hasEnded, true)) {
      this->Close();
    }
  }

  void ForwardAfter(bool aToTarget, Micros aDelay) {
    if (this->isBlackholed) {
      return;
    }
    if (aDelay == Micros{0} && this->proxy->CanForward(aToTarget)) {
      this->Forward(aToTarget);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        this->caller.get_executor(), std::max(aDelay, kStateCheckInterval));
    auto self = this->shared_from_this();
    timer->async_wait([self, timer, aToTarget](const asio::error_code&) {
      if (self->proxy != nullptr) {
        self->ForwardAfter(aToTarget, Micros{0});
      }
    });
  }

  void Forward(bool aToTarget) {
    auto self = this->shared_from_this();
    const Direction& direction = this->DirectionOf(aToTarget);
    asio::async_write(
        this->DestinationOf(aToTarget),
        asio::buffer(direction.buffer.data(), direction.size),
        [self, aToTarget](const asio::error_code& aError, std::size_t) {
          if (aError || self->proxy == nullptr) {
            self->Close();
            return;
          }
          self->Pump(aToTarget);
        });
  }

  FaultProxy* proxy;
  TcpSocket caller;
  TcpSocket target;
  Direction forward;
  Direction backward;
  bool hasEnded = false;
  bool isBlackholed = false;
};

FaultProxy::FaultProxy(asio::io_context& aLoop, std::uint16_t aTarget)
    : FaultProxy(aLoop, TcpEndpoint(asio::ip::address_v4::loopback(), 0),
                 aTarget) {}

FaultProxy::FaultProxy(asio::io_context& aLoop, const TcpEndpoint& aListen,
                       std::uint16_t aTarget)
    : loop(aLoop),
      acceptor(aLoop),
      endpoint(aListen),
      target(asio::ip::address_v4::loopback(), aTarget) {
  this->Listen(asio::socket_base::max_listen_connections);
  this->endpoint = this->acceptor.local_endpoint();
  this->Accept();
}

FaultProxy::~FaultProxy() {
  const auto all = std::move(this->connections);
  for (const auto& connection : all) {
    connection->Detach();
    connection->Close();
  }
}

void FaultProxy::SetState(LinkState aState) {
  this->state = aState;
  if (aState == LinkState::Reset) {
    const auto all = this->connections;
    for (const auto& connection : all) {
      connection->Close();
    }
  }
}

void FaultProxy::SetNewConnections(NewConnections aBehaviour) {
  this->generation += 1;
  this->fillers.clear();
  asio::error_code ignored;  // It may be closed already.
  this->acceptor.close(ignored);
  switch (aBehaviour) {
    case NewConnections::Accepted:
      this->Listen(asio::socket_base::max_listen_connections);
      this->Accept();
      break;
    case NewConnections::Refused:
      break;
    case NewConnections::Hang:
      this->Listen(0);
      this->FillQueue();
      break;
  }
}

void FaultProxy::Listen(int aBacklog) {
  this->acceptor.open(this->endpoint.protocol());
  this->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->acceptor.bind(this->endpoint);
  this->acceptor.listen(aBacklog);
}

void FaultProxy::FillQueue() {
  // The kernel queues one connection more than the backlog, which is 0.
  constexpr int kFillers = 2;
  for (int i = 0; i < kFillers; ++i) {
    this->fillers.push_back(std::make_shared<TcpSocket>(this->loop));
    this->fillers.back()->async_connect(
        this->endpoint,
        [socket = this->fillers.back()](const asio::error_code&) {});
  }
}

void FaultProxy::BlackholeOpen() {
  for (const auto& connection : this->connections) {
    connection->Blackhole();
  }
}

bool FaultProxy::CanForward(bool aIsToTarget) const {
  return this->state == LinkState::Up ||
         (this->state == LinkState::OneWay && aIsToTarget);
}

void FaultProxy::Accept() {
  this->acceptor.async_accept(
      [this, accepting = this->generation](const asio::error_code& aError,
                                           TcpSocket aSocket) {
        if (aError == asio::error::operation_aborted ||
            accepting != this->generation) {
          return;
        }
        if (!aError && this->state == LinkState::Reset) {
          this->ResetLater(std::move(aSocket));
        } else if (!aError) {
          const auto connection =
              std::make_shared<Connection>(*this, std::move(aSocket));
          this->connections.insert(connection);
          connection->Start();
        }
        this->Accept();
      });
}

void FaultProxy::ResetLater(TcpSocket aSocket) {
  if (this->resetDelay == Micros{0}) {
    CloseHard(aSocket);
    this->onReset();
    return;
  }
  const auto socket = std::make_shared<TcpSocket>(std::move(aSocket));
  const auto timer =
      std::make_shared<asio::steady_timer>(this->loop, this->resetDelay);
  timer->async_wait(
      [socket, timer, notify = this->onReset](const asio::error_code&) {
        CloseHard(*socket);
        notify();
      });
}

}  // namespace zincstep::soak
