#include "Zincstep/Net/SingleCall.h"

namespace zincstep {

namespace {

/// Unanswered bytes end a connection to an upstream after so long; a bound
/// for sockets only, the relay's own detection is much quicker.
constexpr Micros kUpstreamSilence = 4s;
/// Longest answer of a call that is taken whole, in bytes.
constexpr std::size_t kMaxWholeAnswer = 16 << 20;
/// Longest wait for the connection of a call that is taken whole.
constexpr Micros kWholeConnectTimeout = 700ms;

/// Collects a whole answer.
class WholeCall final : public SingleCallListener,
                        public std::enable_shared_from_this<WholeCall> {
 public:
  WholeCall(asio::io_context& aLoop,
            std::function<void(Result<HttpAnswer>)> aDone)
      : call(std::make_shared<SingleCall>(aLoop, *this)),
        timer(aLoop),
        done(std::move(aDone)) {}

  void Start(const SingleCall::Endpoint& aEndpoint, std::string aRequest,
             Micros aTimeout) {
    this->self = this->shared_from_this();
    this->timer.expires_after(aTimeout);
    this->timer.async_wait(
        [held = this->shared_from_this()](const asio::error_code& aError) {
          if (!aError && held->self) {
            held->call->Cancel();
            held->Finish(Fail(held->call->HasSent()
                                  ? ErrorKind::AnswerIncomplete
                                  : ErrorKind::UpstreamUnreachable,
                              "no answer in time"));
          }
        });
    this->call->Start(aEndpoint, std::move(aRequest),
                      std::min(aTimeout, kWholeConnectTimeout));
  }

  void OnAnswerHead(HttpHead aHead) override {
    this->answer.status = aHead.status;
    this->answer.headers = std::move(aHead.headers);
  }

  void OnAnswerBody(std::string_view aPart) override {
    if (this->answer.body.size() + aPart.size() <= kMaxWholeAnswer) {
      this->answer.body.append(aPart);
    }
  }

  void OnCallEnd(SingleCallEnd aEnd) override {
    if (aEnd == SingleCallEnd::Complete) {
      this->Finish(std::move(this->answer));
      return;
    }
    this->Finish(Fail(aEnd == SingleCallEnd::NotConnected
                          ? ErrorKind::UpstreamUnreachable
                          : ErrorKind::AnswerIncomplete,
                      std::string(NameIn(kSingleCallEndNames, aEnd))));
  }

 private:
  void Finish(Result<HttpAnswer> aResult) {
    const auto held = std::move(this->self);
    this->timer.cancel();
    if (held) {
      this->done(std::move(aResult));
    }
  }

  std::shared_ptr<SingleCall> call;
  asio::steady_timer timer;
  std::function<void(Result<HttpAnswer>)> done;
  std::shared_ptr<WholeCall> self;
  HttpAnswer answer;
};

}  // namespace

SingleCall::SingleCall(asio::io_context& aLoop, SingleCallListener& aListener)
    : socket(aLoop),
      connectTimer(aLoop),
      listener(&aListener),
      parser(HttpSide::Answer, *this) {}

void SingleCall::Start(const Endpoint& aEndpoint, std::string aRequest,
                       Micros aConnectTimeout) {
  this->request = std::move(aRequest);
  auto self = this->shared_from_this();
  this->connectTimer.expires_after(aConnectTimeout);
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
  const auto used = this->parser.Feed({this->buffer.data(), aSize});
  if (this->listener == nullptr) {
    return;
  }
  this->listener->OnAnswerPause();
  if (this->listener == nullptr) {
    return;
  }
  if (!used) {
    this->End(SingleCallEnd::BadAnswer);
  } else if (this->parser.IsComplete()) {
    this->End(SingleCallEnd::Complete);
  } else {
    this->Read();
  }
}

void SingleCall::OnHead(HttpHead aHead) {
  if (this->listener != nullptr) {
    this->listener->OnAnswerHead(std::move(aHead));
  }
}

void SingleCall::OnBody(std::string_view aPart) {
  if (this->listener != nullptr) {
    this->listener->OnAnswerBody(aPart);
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

void SingleCall::End(SingleCallEnd aEnd) {
  SingleCallListener* told = this->listener;
  if (told == nullptr) {
    return;
  }
  this->Cancel();
  told->OnCallEnd(aEnd);
}

void FetchWhole(asio::io_context& aLoop, const SingleCall::Endpoint& aEndpoint,
                std::string aRequest, Micros aTimeout,
                std::function<void(Result<HttpAnswer>)> aDone) {
  std::make_shared<WholeCall>(aLoop, std::move(aDone))
      ->Start(aEndpoint, std::move(aRequest), aTimeout);
}

}  // namespace zincstep
