#include "Zincstep/Net/SingleCall.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// A connection to an upstream is closed when bytes are unacknowledged for so
/// long. Bounds the socket's lifetime only; the relay's failure detection is
/// much faster.
constexpr Micros kUnacknowledgedTimeout = 4s;
/// The same for a reused connection until its first byte is received: it may no
/// longer work, and the call needs time for a retry.
constexpr Micros kReusedUnacknowledgedTimeout = 400ms;
/// Maximum body of a buffered response; a call with a larger one fails.
constexpr std::size_t kMaxBufferedBodyBytes = 16 << 20;
/// Connect timeout of a buffered call.
constexpr Micros kMaxConnectTimeout = 700ms;

/// A reused connection may use 1/kReusedTimeoutDivisor of a call's timeout; the
/// remainder is for a new connection. Without this, the report call on a reused
/// connection that no longer responds fails (1 of 2 in the test), and a live
/// upstream gets no work for 2 s.
constexpr int kReusedTimeoutDivisor = 2;

/// Call that buffers its complete response.
class BufferedCall final : public SingleCallListener,
                           public std::enable_shared_from_this<BufferedCall> {
 public:
  BufferedCall(asio::io_context& aLoop, const SingleCall::Endpoint& aEndpoint,
               std::string aRequest, std::optional<PooledConnections> aPooled,
               std::function<void(Result<HttpResponse>)> aDone)
      : loop(aLoop),
        endpoint(aEndpoint),
        request(std::move(aRequest)),
        pooled(std::move(aPooled)),
        timer(aLoop),
        done(std::move(aDone)) {}

  void Start(Micros aTimeout) {
    this->self = this->shared_from_this();
    this->connectTimeout = std::min(aTimeout, kMaxConnectTimeout);
    this->Send(this->pooled);
    const bool canRetry = this->call->IsReusedAndUnanswered();
    const Micros firstTimeout =
        canRetry ? aTimeout / kReusedTimeoutDivisor : aTimeout;
    this->remaining = aTimeout - firstTimeout;
    this->StartTimer(firstTimeout);
  }

  void OnResponseHead(HttpHead aHead) override {
    this->response.status = aHead.status;
    this->response.headers = std::move(aHead.headers);
  }

  bool OnResponseBody(std::string_view aPart) override {
    if (this->response.body.size() + aPart.size() > kMaxBufferedBodyBytes) {
      return false;
    }
    this->response.body.append(aPart);
    return true;
  }

  void OnCallEnd(SingleCallEnd aEnd) override {
    if (aEnd == SingleCallEnd::Complete) {
      this->Finish(std::move(this->response));
      return;
    }
    if (this->call->IsReusedAndUnanswered()) {
      this->Send(std::nullopt);
      return;
    }
    if (aEnd == SingleCallEnd::Rejected) {
      this->Finish(Fail(ErrorKind::ResponseIncomplete,
                        "the body exceeds " +
                            std::to_string(kMaxBufferedBodyBytes) + " bytes"));
      return;
    }
    this->Finish(Fail(aEnd == SingleCallEnd::NotConnected
                          ? ErrorKind::UpstreamUnreachable
                          : ErrorKind::ResponseIncomplete,
                      std::string(NameIn(kSingleCallEndNames, aEnd))));
  }

 private:
  void Send(std::optional<PooledConnections> aPooled) {
    this->call = std::make_shared<SingleCall>(this->loop, *this);
    this->call->Start(this->endpoint, this->request, this->connectTimeout,
                      std::move(aPooled));
  }

  void StartTimer(Micros aDuration) {
    this->timer.expires_after(aDuration);
    this->timer.async_wait([sharedThis = this->shared_from_this()](
                               const asio::error_code& aError) {
      if (!aError && sharedThis->self) {
        sharedThis->OnTimeout();
      }
    });
  }

  void OnTimeout() {
    if (this->remaining == Micros{0}) {
      this->Abandon();
      return;
    }
    if (this->call->IsReusedAndUnanswered()) {
      this->call->EvictPooled("silent");
      this->call->Cancel();
      this->Send(std::nullopt);
    }
    this->StartTimer(std::exchange(this->remaining, Micros{0}));
  }

  void Abandon() {
    if (this->pooled) {
      this->pooled->pool->Quarantine(this->pooled->upstream);
    }
    this->call->Cancel();
    this->Finish(Fail(this->call->HasSent() ? ErrorKind::DeadlineDuringRun
                                            : ErrorKind::UpstreamUnreachable,
                      "no response before the timeout"));
  }

  void Finish(Result<HttpResponse> aResult) {
    const auto sharedThis = std::move(this->self);
    this->timer.cancel();
    if (sharedThis) {
      this->done(std::move(aResult));
    }
  }

  asio::io_context& loop;
  SingleCall::Endpoint endpoint;
  std::string request;
  std::optional<PooledConnections> pooled;
  /// Part of the call's timeout that remains after the current wait.
  Micros remaining{0};
  Micros connectTimeout{0};
  std::shared_ptr<SingleCall> call;
  asio::steady_timer timer;
  std::function<void(Result<HttpResponse>)> done;
  std::shared_ptr<BufferedCall> self;
  HttpResponse response;
};

}  // namespace

SingleCall::SingleCall(asio::io_context& aLoop, SingleCallListener& aListener)
    : socket(aLoop),
      connectTimer(aLoop),
      listener(&aListener),
      parser(HttpSide::Response, *this) {}

void SingleCall::Start(const Endpoint& aEndpoint, std::string aRequest,
                       Micros aConnectTimeout,
                       std::optional<PooledConnections> aPooled) {
  this->request = std::move(aRequest);
  this->pooled = std::move(aPooled);
  auto idle = this->pooled ? this->pooled->pool->Acquire(this->pooled->upstream)
                           : std::nullopt;
  if (!idle) {
    this->Connect(aEndpoint, aConnectTimeout);
    return;
  }
  this->socket = std::move(*idle);
  this->isReused = true;
  this->hasSent = true;
  SetSocketOptions(this->socket, kReusedUnacknowledgedTimeout);
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
  zincstep::Connect(
      this->socket, aEndpoint,
      [self](const asio::error_code& aError) { self->OnConnect(aError); });
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
  SetSocketOptions(this->socket, kUnacknowledgedTimeout);
  this->hasSent = true;
  this->Write();
  this->Read();
}

void SingleCall::Write() {
  auto self = this->shared_from_this();
  asio::async_write(this->socket, asio::buffer(this->request),
                    [self](const asio::error_code& aError, std::size_t) {
                      self->OnWritten(aError);
                    });
}

void SingleCall::OnWritten(const asio::error_code& aError) {
  this->isRequestWritten = !aError;
  this->isWriteFailed = static_cast<bool>(aError);
  if (this->awaitsWrite) {
    this->End(aError ? SingleCallEnd::Broken : SingleCallEnd::Complete);
  }
  // Otherwise the read ends the call; a response may still be readable.
}

void SingleCall::Read() {
  if (this->isReading || !this->isReadEnabled || this->listener == nullptr) {
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
  if (aError == asio::error::eof) {
    this->OnStreamEnd();
    return;
  }
  if (aError) {
    this->End(SingleCallEnd::Broken);
    return;
  }
  if (this->IsReusedAndUnanswered()) {
    SetSocketOptions(this->socket, kUnacknowledgedTimeout);
  }
  const auto consumed = this->parser.Feed({this->buffer.data(), aSize});
  if (this->listener == nullptr) {
    return;
  }
  if (this->isRejected) {
    this->End(SingleCallEnd::Rejected);
    return;
  }
  this->listener->OnResponsePause();
  if (this->listener == nullptr) {
    return;
  }
  if (!consumed) {
    this->LogMalformed(consumed.error());
    this->End(SingleCallEnd::BadResponse);
  } else if (this->parser.IsComplete()) {
    this->ReturnConnection(*consumed < aSize);
    this->End(SingleCallEnd::Complete);
  } else {
    this->Read();
  }
}

void SingleCall::OnStreamEnd() {
  // The kernel reports a reset or a timeout once: where a write took the error,
  // the read sees an orderly end. So the request must be written in full too.
  if (this->isWriteFailed || !this->parser.FeedEnd()) {
    this->End(SingleCallEnd::Broken);
  } else if (this->isRequestWritten) {
    this->End(SingleCallEnd::Complete);
  } else {
    this->awaitsWrite = true;
  }
}

void SingleCall::LogMalformed(const Error& aError) const {
  asio::error_code ignored;  // An unknown peer has port 0.
  const auto peer = this->socket.remote_endpoint(ignored);
  LogWarning("response_malformed", {{"address", peer.address().to_string()},
                                    {"port", peer.port()},
                                    {"reason", aError.message},
                                    {"line", this->parser.FaultyLine()}});
}

void SingleCall::ReturnConnection(bool aHasSurplus) {
  // An upstream may respond before it has read the whole request. The rest is
  // not sent any more, so that another request must not follow.
  if (this->pooled && this->isRequestWritten && !aHasSurplus) {
    this->pooled->pool->Put(this->pooled->upstream, std::move(this->socket),
                            this->responseHead);
  }
}

void SingleCall::OnHead(HttpHead aHead) {
  if (this->pooled) {
    this->responseHead = aHead;
  }
  if (this->listener != nullptr) {
    this->listener->OnResponseHead(std::move(aHead));
  }
}

void SingleCall::OnBody(std::string_view aPart) {
  if (this->listener != nullptr && !this->isRejected) {
    this->isRejected = !this->listener->OnResponseBody(aPart);
  }
}

bool SingleCall::HasUnreadBytes() const {
  asio::error_code error;
  return this->socket.is_open() && this->socket.available(error) > 0 && !error;
}

void SingleCall::SetReading(bool aIsEnabled) {
  this->isReadEnabled = aIsEnabled;
  if (aIsEnabled && this->hasSent) {
    this->Read();
  }
}

void SingleCall::Cancel() {
  this->listener = nullptr;
  this->connectTimer.cancel();
  asio::error_code ignored;  // There is no recovery from a failed close.
  this->socket.close(ignored);
}

void SingleCall::EvictPooled(const char* aReason) {
  // The upstream's other idle connections may have failed the same way, and
  // each would delay one request until the failure is detected.
  LogInfo("kept_connection_unfit",
          {{"upstream", this->pooled->upstream}, {"reason", aReason}});
  this->pooled->pool->Quarantine(this->pooled->upstream);
}

void SingleCall::End(SingleCallEnd aEnd) {
  SingleCallListener* target = this->listener;
  if (target == nullptr) {
    return;
  }
  if (aEnd == SingleCallEnd::Broken && this->IsReusedAndUnanswered()) {
    this->EvictPooled("broken");
  }
  this->Cancel();
  target->OnCallEnd(aEnd);
}

void FetchResponse(asio::io_context& aLoop,
                   const SingleCall::Endpoint& aEndpoint, std::string aRequest,
                   Micros aTimeout,
                   std::function<void(Result<HttpResponse>)> aDone,
                   std::optional<PooledConnections> aPooled) {
  std::make_shared<BufferedCall>(aLoop, aEndpoint, std::move(aRequest),
                                 std::move(aPooled), std::move(aDone))
      ->Start(aTimeout);
}

}  // namespace zincstep
