#include "SoakTests/SoakCaller.h"

namespace zincstep::soak {

namespace {

constexpr Micros kConnectTimeout = 1s;
/// Callers use connections that have rested for up to four fifths of the time
/// for which a daemon keeps them.
constexpr double kKeptShare = 0.8;
constexpr Micros kLongestRest = 60s;

/// One request and its whole answer.
class Call final : public SingleCallListener,
                   public std::enable_shared_from_this<Call> {
 public:
  Call(asio::io_context& aLoop, SoakCaller::Done aDone)
      : timer(aLoop),
        call(std::make_shared<SingleCall>(aLoop, *this)),
        done(std::move(aDone)) {}

  void Start(const TcpEndpoint& aDaemon, std::string aRequest,
             std::optional<PooledConnections> aKept, Micros aPatience) {
    this->self = this->shared_from_this();
    this->timer.expires_after(aPatience);
    this->timer.async_wait([held = this->self](const asio::error_code& aError) {
      if (!aError) {
        held->call->Cancel();
        held->Finish(Fail(ErrorKind::DeadlineDuringRun, "no answer in time"));
      }
    });
    this->call->Start(aDaemon, std::move(aRequest), kConnectTimeout,
                      std::move(aKept));
  }

  void OnResponseHead(HttpHead aHead) override {
    this->answer.status = aHead.status;
    this->answer.headers = std::move(aHead.headers);
  }

  void OnResponseBody(std::string_view aPart) override {
    this->answer.body.append(aPart);
  }

  void OnCallEnd(SingleCallEnd aEnd) override {
    if (aEnd == SingleCallEnd::Complete) {
      this->Finish(std::move(this->answer));
    } else {
      this->Finish(Fail(aEnd == SingleCallEnd::NotConnected
                            ? ErrorKind::UpstreamUnreachable
                            : ErrorKind::ResponseIncomplete,
                        std::string(NameIn(kSingleCallEndNames, aEnd))));
    }
  }

 private:
  void Finish(const Result<HttpResponse>& aResult) {
    const auto held = std::move(this->self);
    this->timer.cancel();
    if (held) {
      this->done(aResult);
    }
  }

  asio::steady_timer timer;
  std::shared_ptr<SingleCall> call;
  SoakCaller::Done done;
  std::shared_ptr<Call> self;
  HttpResponse answer;
};

ConnectionPoolSettings PoolSettings() {
  ConnectionPoolSettings settings;
  settings.maxIdleTime = kLongestRest;
  settings.keptShare = kKeptShare;
  settings.quarantineTime = 0s;
  return settings;
}

}  // namespace

SoakCaller::SoakCaller(asio::io_context& aLoop, const Clock& aClock)
    : loop(aLoop), pool(PoolSettings(), aClock) {}

void SoakCaller::Send(const TcpEndpoint& aDaemon, std::string aRequest,
                      bool aKeeps, Micros aPatience, Done aDone) {
  const std::string name = aDaemon.address().to_string();
  std::make_shared<Call>(this->loop, std::move(aDone))
      ->Start(aDaemon, std::move(aRequest),
              aKeeps ? std::optional(PooledConnections{&this->pool, name})
                     : std::nullopt,
              aPatience);
}

}  // namespace zincstep::soak
