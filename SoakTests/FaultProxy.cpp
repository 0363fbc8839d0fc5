#include "SoakTests/FaultProxy.h"

namespace zincstep::soak {

namespace {

/// Between looks whether a silent link is up again.
constexpr Micros kHeldPause = 20ms;

void CloseHard(TcpSocket& aSocket) {
  asio::error_code ignored;  // It may be closed already.
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

}  // namespace

/// One forwarded connection.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(FaultProxy& aProxy, TcpSocket aCaller)
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
          ->pairs.erase(this->shared_from_this());
    }
  }

  void Silence() { this->isSilent = true; }

  /// The proxy ends; it takes all pairs out itself.
  void Detach() { this->proxy = nullptr; }

 private:
  struct Direction {
    std::array<char, 8 << 10> buffer{};
    std::size_t size = 0;
  };

  TcpSocket& From(bool aToTarget) {
    return aToTarget ? this->caller : this->target;
  }
  TcpSocket& To(bool aToTarget) {
    return aToTarget ? this->target : this->caller;
  }
  Direction& Of(bool aToTarget) {
    return aToTarget ? this->forward : this->backward;
  }

  void Pump(bool aToTarget) {
    auto self = this->shared_from_this();
    this->From(aToTarget).async_read_some(
        asio::buffer(this->Of(aToTarget).buffer),
        [self, aToTarget](const asio::error_code& aError, std::size_t aSize) {
          if (self->isSilent && self->proxy != nullptr) {
            return;  // The other side hears of nothing, not of the end either.
          }
          if (aError || self->proxy == nullptr) {
            self->OnEnd(aToTarget, aError);
            return;
          }
          self->Of(aToTarget).size = aSize;
          self->Hold(aToTarget, self->proxy->delay);
        });
  }

  /// An orderly end of one side is passed on, anything else resets both.
  void OnEnd(bool aToTarget, const asio::error_code& aError) {
    if (this->proxy == nullptr || aError != asio::error::eof ||
        !this->proxy->Passes(aToTarget)) {
      this->Close();
      return;
    }
    asio::error_code ignored;  // The other side may be closed already.
    this->To(aToTarget).shutdown(TcpSocket::shutdown_send, ignored);
    if (std::exchange(this->hasEnded, true)) {
      this->Close();
    }
  }

  void Hold(bool aToTarget, Micros aFor) {
    if (this->isSilent) {
      return;
    }
    if (aFor == Micros{0} && this->proxy->Passes(aToTarget)) {
      this->Forward(aToTarget);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        this->caller.get_executor(), std::max(aFor, kHeldPause));
    auto self = this->shared_from_this();
    timer->async_wait([self, timer, aToTarget](const asio::error_code&) {
      if (self->proxy != nullptr) {
        self->Hold(aToTarget, Micros{0});
      }
    });
  }

  void Forward(bool aToTarget) {
    auto self = this->shared_from_this();
    const Direction& direction = this->Of(aToTarget);
    asio::async_write(
        this->To(aToTarget),
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
  bool isSilent = false;
};

FaultProxy::FaultProxy(asio::io_context& aLoop, std::uint16_t aTarget)
    : loop(aLoop),
      acceptor(aLoop, TcpEndpoint(asio::ip::address_v4::loopback(), 0)),
      target(asio::ip::address_v4::loopback(), aTarget) {
  this->Accept();
}

FaultProxy::~FaultProxy() {
  const auto all = std::move(this->pairs);
  for (const auto& pair : all) {
    pair->Detach();
    pair->Close();
  }
}

void FaultProxy::Set(LinkState aState) {
  this->state = aState;
  if (aState == LinkState::Reset) {
    const auto all = this->pairs;
    for (const auto& pair : all) {
      pair->Close();
    }
  }
}

void FaultProxy::SilenceOpen() {
  for (const auto& pair : this->pairs) {
    pair->Silence();
  }
}

std::uint16_t FaultProxy::Port() const {
  return this->acceptor.local_endpoint().port();
}

bool FaultProxy::Passes(bool aIsToTarget) const {
  return this->state == LinkState::Up ||
         (this->state == LinkState::OneWay && aIsToTarget);
}

void FaultProxy::Accept() {
  this->acceptor.async_accept(
      [this](const asio::error_code& aError, TcpSocket aSocket) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError && this->state == LinkState::Reset) {
          this->ResetLater(std::move(aSocket));
        } else if (!aError) {
          const auto pair = std::make_shared<Pair>(*this, std::move(aSocket));
          this->pairs.insert(pair);
          pair->Start();
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
  const auto held = std::make_shared<TcpSocket>(std::move(aSocket));
  const auto timer =
      std::make_shared<asio::steady_timer>(this->loop, this->resetDelay);
  timer->async_wait(
      [held, timer, told = this->onReset](const asio::error_code&) {
        CloseHard(*held);
        told();
      });
}

}  // namespace zincstep::soak
