#include "SoakTests/SoakCaller.h"

namespace zincstep::soak {

namespace {

constexpr Micros kConnectTimeout = 1s;
/// Callers reuse connections that have been idle for up to four fifths of the
/// time for which a daemon keeps them open.
constexpr double kMaxIdleShare = 0.8;
constexpr Micros kMaxIdleTime = 60s;

/// One request and its buffered response.
class Call final : public SingleCallListener,
                   public std::enable_shared_from_this<Call> {
 public:
  Call(asio::io_context& aLoop, SoakCaller::Done aDone)
      : timer(aLoop),
        call(std::make_shared<SingleCall>(aLoop, *this)),
        done(std::move(aDone)) {}

  void Start(const TcpEndpoint& aDaemon, std::string aRequest,
             std::optional<PooledConnections> aPool, Micros aTimeout) {
    this->self = this->shared_from_this();
    this->timer.expires_after(aTimeout);
    this->timer.async_wait(
        [owner = this->self](const asio::error_code& aError) {
          if (!aError) {
            owner->call->Cancel();
            owner->Finish(
                Fail(ErrorKind::DeadlineDuringRun, "no response in time"));
          }
        });
    this->call->Start(aDaemon, std::move(aRequest), kConnectTimeout,
                      std::move(aPool));
  }

  void OnResponseHead(HttpHead aHead) override {
    this->hasResponse = true;
    this->response.status = aHead.status;
    this->response.headers = std::move(aHead.headers);
  }

  bool OnResponseBody(std::string_view aPart) override {
    this->response.body.append(aPart);
    return true;
  }

  void OnCallEnd(SingleCallEnd aEnd) override {
    if (aEnd == SingleCallEnd::Complete) {
      this->Finish(std::move(this->response));
    } else {
      this->Finish(Fail(aEnd == SingleCallEnd::NotConnected
                            ? ErrorKind::UpstreamUnreachable
                            : ErrorKind::ResponseIncomplete,
                        std::string(NameIn(kSingleCallEndNames, aEnd))));
    }
  }

 private:
  void Finish(const Result<HttpResponse>& aResult) {
    const auto owner = std::move(this->self);
    this->timer.cancel();
    if (owner) {
      this->done(aResult, {this->call->IsReused(), this->hasResponse});
    }
  }

  asio::steady_timer timer;
  std::shared_ptr<SingleCall> call;
  SoakCaller::Done done;
  std::shared_ptr<Call> self;
  HttpResponse response;
  bool hasResponse = false;
};

ConnectionPoolSettings PoolSettings(Micros aMaxIdleTime) {
  ConnectionPoolSettings settings;
  settings.maxIdleTime = aMaxIdleTime;
  settings.keepAliveShare = kMaxIdleShare;
  settings.quarantineTime = 0s;
  return settings;
}

}  // namespace

SoakCaller::SoakCaller(asio::io_context& aLoop, const Clock& aClock)
    : loop(aLoop), clock(aClock) {
  this->SetMaxIdleTime(kMaxIdleTime);
}

void SoakCaller::SetMaxIdleTime(Micros aMaxIdleTime) {
  this->pool.emplace(PoolSettings(aMaxIdleTime), this->clock);
}

void SoakCaller::Send(const TcpEndpoint& aDaemon, std::string aRequest,
                      std::optional<std::string> aConnection, Micros aTimeout,
                      Done aDone) {
  std::make_shared<Call>(this->loop, std::move(aDone))
      ->Start(aDaemon, std::move(aRequest),
              aConnection ? std::optional(PooledConnections{
                                &*this->pool, std::move(*aConnection)})
                          : std::nullopt,
              aTimeout);
}

}  // namespace zincstep::soak
