#include "Zincstep/Net/SingleCall.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Unanswered bytes end a connection to an upstream after so long; a bound
/// for sockets only, the relay's own detection is much quicker.
constexpr Micros kUpstreamSilence = 4s;
/// The same on a kept connection until the first byte comes back: it may have
/// fallen silent, and whoever waits should have the time for another try.
constexpr Micros kReusedSilence = 400ms;
/// Longest answer of a call that is taken whole, in bytes.
constexpr std::size_t kMaxWholeAnswer = 16 << 20;
/// Longest wait for the connection of a call that is taken whole.
constexpr Micros kWholeConnectTimeout = 700ms;

/// A kept connection has one part in so many of a call's time; the rest is left
/// for a new one. Without it a report on a silent connection fails (1 of 2 in
/// the test), and the upstream is left out for 2 s though it lives.
constexpr int kReusedPart = 2;

/// Collects a whole answer.
class WholeCall final : public SingleCallListener,
                        public std::enable_shared_from_this<WholeCall> {
 public:
  WholeCall(asio::io_context& aLoop, const SingleCall::Endpoint& aEndpoint,
            std::string aRequest, std::optional<PooledConnections> aKept,
            std::function<void(Result<HttpResponse>)> aDone)
      : loop(aLoop),
        endpoint(aEndpoint),
        request(std::move(aRequest)),
        kept(std::move(aKept)),
        timer(aLoop),
        done(std::move(aDone)) {}

  void Start(Micros aTimeout) {
    this->self = this->shared_from_this();
    this->connectTimeout = std::min(aTimeout, kWholeConnectTimeout);
    this->Send(this->kept);
    const bool mayGoAgain = this->call->IsReusedAndUnanswered();
    const Micros first = mayGoAgain ? aTimeout / kReusedPart : aTimeout;
    this->left = aTimeout - first;
    this->Wait(first);
  }

  void OnResponseHead(HttpHead aHead) override {
    this->answer.status = aHead.status;
    this->answer.headers = std::move(aHead.headers);
  }

  void OnResponseBody(std::string_view aPart) override {
    if (this->answer.body.size() + aPart.size() <= kMaxWholeAnswer) {
      this->answer.body.append(aPart);
    }
  }

  void OnCallEnd(SingleCallEnd aEnd) override {
    if (aEnd == SingleCallEnd::Complete) {
      this->Finish(std::move(this->answer));
      return;
    }
    if (this->call->IsReusedAndUnanswered()) {
      this->Send(std::nullopt);
      return;
    }
    this->Finish(Fail(aEnd == SingleCallEnd::NotConnected
                          ? ErrorKind::UpstreamUnreachable
                          : ErrorKind::ResponseIncomplete,
                      std::string(NameIn(kSingleCallEndNames, aEnd))));
  }

 private:
  void Send(std::optional<PooledConnections> aKept) {
    this->call = std::make_shared<SingleCall>(this->loop, *this);
    this->call->Start(this->endpoint, this->request, this->connectTimeout,
                      std::move(aKept));
  }

  void Wait(Micros aSpan) {
    this->timer.expires_after(aSpan);
    this->timer.async_wait(
        [held = this->shared_from_this()](const asio::error_code& aError) {
          if (!aError && held->self) {
            held->OnTimeout();
          }
        });
  }

  void OnTimeout() {
    if (this->left == Micros{0}) {
      this->GiveUp();
      return;
    }
    if (this->call->IsReusedAndUnanswered()) {
      this->call->EvictPooled("silent");
      this->call->Cancel();
      this->Send(std::nullopt);
    }
    this->Wait(std::exchange(this->left, Micros{0}));
  }

  void GiveUp() {
    if (this->kept) {
      this->kept->pool->Quarantine(this->kept->upstream);
    }
    this->call->Cancel();
    this->Finish(Fail(this->call->HasSent() ? ErrorKind::DeadlineDuringRun
                                            : ErrorKind::UpstreamUnreachable,
                      "no answer in time"));
  }

  void Finish(Result<HttpResponse> aResult) {
    const auto held = std::move(this->self);
    this->timer.cancel();
    if (held) {
      this->done(std::move(aResult));
    }
  }

  asio::io_context& loop;
  SingleCall::Endpoint endpoint;
  std::string request;
  std::optional<PooledConnections> kept;
  /// Of the call's time, behind the part that is being waited for.
  Micros left{0};
  Micros connectTimeout{0};
  std::shared_ptr<SingleCall> call;
  asio::steady_timer timer;
  std::function<void(Result<HttpResponse>)> done;
  std::shared_ptr<WholeCall> self;
  HttpResponse answer;
};

}  // namespace

SingleCall::SingleCall(asio::io_context& aLoop, SingleCallListener& aListener)
    : socket(aLoop),
      connectTimer(aLoop),
      listener(&aListener),
      parser(HttpSide::Answer, *this) {}

void SingleCall::Start(const Endpoint& aEndpoint, std::string aRequest,
                       Micros aConnectTimeout,
                       std::optional<PooledConnections> aKept) {
  this->request = std::move(aRequest);
  this->kept = std::move(aKept);
  auto resting =
      this->kept ? this->kept->pool->Take(this->kept->upstream) : std::nullopt;
  if (!resting) {
    this->Connect(aEndpoint, aConnectTimeout);
    return;
  }
  this->socket = std::move(*resting);
  this->isReused = true;
  this->hasSent = true;
  SetSocketOptions(this->socket, kReusedSilence);
  this->Write();
  this->Read();
}

void SingleCall::Connect(const Endpoint& aEndpoint, Micros aTimeout) {
  auto self = this->shared_from_this();
  this->connectTimer.expires_after(aTimeout);
  this->connectTimer.async_wait([self](const asio::error_code& aError) {
    if (!aError && !self->hasSent) {
      self->End(SingleCallEnd::NotConnected);
    }
  });
  this->socket.async_connect(aEndpoint, [self](const asio::error_code& aError) {
    self->OnConnect(aError);
  });
}

void SingleCall::OnConnect(const asio::error_code& aError) {
  if (this->listener == nullptr) {
    return;
  }
  this->connectTimer.cancel();
  if (aError) {
    this->End(SingleCallEnd::NotConnected);
    return;
  }
  SetSocketOptions(this->socket, kUpstreamSilence);
  this->hasSent = true;
  this->Write();
  this->Read();
}

void SingleCall::Write() {
  auto self = this->shared_from_this();
  asio::async_write(this->socket, asio::buffer(this->request),
                    [self](const asio::error_code&, std::size_t) {
                      // A broken connection shows on reading, where an
                      // answer may still lie.
                    });
}

void SingleCall::Read() {
  if (this->isReading || !this->mayRead || this->listener == nullptr) {
    return;
  }
  this->isReading = true;
  auto self = this->shared_from_this();
  this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self](const asio::error_code& aError, std::size_t aSize) {
        self->isReading = false;
        self->OnRead(aError, aSize);
      });
}

void SingleCall::OnRead(const asio::error_code& aError, std::size_t aSize) {
  if (this->listener == nullptr) {
    return;
  }
  if (aError) {
    const bool ended = aError == asio::error::eof && this->parser.FeedEnd();
    this->End(ended ? SingleCallEnd::Complete : SingleCallEnd::Broken);
    return;
  }
  if (this->IsReusedAndUnanswered()) {
    SetSocketOptions(this->socket, kUpstreamSilence);
  }
  const auto used = this->parser.Feed({this->buffer.data(), aSize});
  if (this->listener == nullptr) {
    return;
  }
  this->listener->OnResponsePause();
  if (this->listener == nullptr) {
    return;
  }
  if (!used) {
    this->End(SingleCallEnd::BadAnswer);
  } else if (this->parser.IsComplete()) {
    this->Leave(*used < aSize);
    this->End(SingleCallEnd::Complete);
  } else {
    this->Read();
  }
}

void SingleCall::Leave(bool aHasSurplus) {
  if (this->kept && !aHasSurplus) {
    this->kept->pool->Put(this->kept->upstream, std::move(this->socket),
                          this->answerHead);
  }
}

void SingleCall::OnHead(HttpHead aHead) {
  if (this->kept) {
    this->answerHead = aHead;
  }
  if (this->listener != nullptr) {
    this->listener->OnResponseHead(std::move(aHead));
  }
}

void SingleCall::OnBody(std::string_view aPart) {
  if (this->listener != nullptr) {
    this->listener->OnResponseBody(aPart);
  }
}

void SingleCall::SetReading(bool aReads) {
  this->mayRead = aReads;
  if (aReads && this->hasSent) {
    this->Read();
  }
}

void SingleCall::Cancel() {
  this->listener = nullptr;
  this->connectTimer.cancel();
  asio::error_code ignored;  // Closing is all that is left to do.
  this->socket.close(ignored);
}

void SingleCall::EvictPooled(const char* aReason) {
  // Others that rest there may have gone the same way, and each would cost a
  // request the time until that shows.
  LogInfo("kept_connection_unfit",
          {{"upstream", this->kept->upstream}, {"reason", aReason}});
  this->kept->pool->Quarantine(this->kept->upstream);
}

void SingleCall::End(SingleCallEnd aEnd) {
  SingleCallListener* told = this->listener;
  if (told == nullptr) {
    return;
  }
  if (aEnd == SingleCallEnd::Broken && this->IsReusedAndUnanswered()) {
    this->EvictPooled("broken");
  }
  this->Cancel();
  told->OnCallEnd(aEnd);
}

void FetchResponse(asio::io_context& aLoop,
                   const SingleCall::Endpoint& aEndpoint, std::string aRequest,
                   Micros aTimeout,
                   std::function<void(Result<HttpResponse>)> aDone,
                   std::optional<PooledConnections> aKept) {
  std::make_shared<WholeCall>(aLoop, aEndpoint, std::move(aRequest),
                              std::move(aKept), std::move(aDone))
      ->Start(aTimeout);
}

}  // namespace zincstep
