#include <future>
#include <restinio/all.hpp>
#include <thread>
#include <unordered_map>

#include "Zincstep/Net/Answers.h"
#include "Zincstep/Net/HttpServer.h"
#include "Zincstep/Net/RefusingSocket.h"

namespace zincstep {

namespace {

using Traits =
    restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                       restinio::details::autodetect_request_handler_type,
                       restinio::noop_strand_t, RefusingSocket>;
using Server = restinio::http_server_t<Traits>;
using ChunkedResponse =
    restinio::response_builder_t<restinio::chunked_output_t>;

/// Two, so that RESTinio reads on during an answer and sees a caller go.
constexpr std::size_t kPipelinedRequests = 2;
/// Hard limits: past them RESTinio closes; below them the caller's
/// request is read whole and refused with the status that fits.
constexpr std::size_t kHardLimitFactor = 8;
constexpr std::size_t kMaxUrlBytes = 8 << 10;

/// One request that has come and is not answered yet.
struct Exchange {
  restinio::request_handle_t request;
  std::shared_ptr<ConnectionState> connection;
  std::unique_ptr<ChunkedResponse> stream;
};

/// Server by RESTinio; all of its state belongs to its one thread.
class RestinioServer final : public HttpServer {
 public:
  RestinioServer(HttpServerSettings aSettings, HttpRequestListener& aListener)
      : settings(std::move(aSettings)), listener(aListener) {}

  ~RestinioServer() override { this->Stop(); }

  Result<void> Start() override;
  void Stop() override;
  std::uint16_t Port() const override { return this->port; }
  void Respond(ExchangeId aExchange, HttpResponse aAnswer) override;
  void StartStream(ExchangeId aExchange, int aStatus,
                   HttpHeaders aHeaders) override;
  void Append(ExchangeId aExchange, std::string aPart) override;
  void Finish(ExchangeId aExchange) override;
  void Abort(ExchangeId aExchange) override;

 private:
  std::unique_ptr<Server> MakeServer();
  restinio::request_handling_status_t OnRequest(
      const restinio::request_handle_t& aRequest);
  Result<void> CheckLimits(const HttpRequest& aRequest) const;
  void Answer(Exchange& aExchange, const HttpResponse& aAnswer);
  void Forget(ExchangeId aExchange);
  void OnClosed(ExchangeId aExchange);

  /// Runs `aStep` on the server's thread with the exchange, if still open.
  template <class Step>
  void OnThread(ExchangeId aExchange, Step aStep) {
    asio::post(this->server->io_context(),
               [this, aExchange, step = std::move(aStep)]() mutable {
                 const auto found = this->exchanges.find(aExchange);
                 if (found != this->exchanges.end()) {
                   step(found->second);
                 }
               });
  }

  HttpServerSettings settings;
  HttpRequestListener& listener;
  std::unique_ptr<Server> server;
  std::thread thread;
  std::uint16_t port = 0;
  ExchangeId lastExchange = 0;
  std::unordered_map<ExchangeId, Exchange> exchanges;
};

std::unique_ptr<Server> RestinioServer::MakeServer() {
  const auto limits =
      restinio::incoming_http_msg_limits_t{}
          .max_url_size(kMaxUrlBytes)
          .max_field_name_size(this->settings.maxHeaderBytes)
          .max_field_value_size(this->settings.maxHeaderBytes)
          .max_field_count(this->settings.maxHeaderFields * kHardLimitFactor)
          .max_body_size(this->settings.maxBodyBytes * kHardLimitFactor);
  return std::make_unique<Server>(
      restinio::own_io_context(), [&](auto& aOptions) {
        aOptions.port(this->settings.port)
            .address(this->settings.address)
            .incoming_http_msg_limits(limits)
            .max_pipelined_requests(kPipelinedRequests)
            .read_next_http_message_timelimit(this->settings.readTimeout)
            .write_http_response_timelimit(this->settings.writeTimeout)
            .handle_request_timeout(std::chrono::hours(24))
            .acceptor_options_setter([](auto& aAcceptor) {
              aAcceptor.set_option(
                  asio::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter([](auto& aSocket) {
              aSocket.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook(
                [this](asio::ip::tcp::acceptor& aAcceptor) {
                  this->port = aAcceptor.local_endpoint().port();
                })
            .concurrent_accepts_count(4)
            .request_handler(
                [this](const restinio::request_handle_t& aRequest) {
                  return this->OnRequest(aRequest);
                });
      });
}

Result<void> RestinioServer::Start() {
  this->server = this->MakeServer();
  std::promise<std::string> opened;
  this->server->open_async([&opened] { opened.set_value(""); },
                           [&opened](const std::exception_ptr& aFault) {
                             try {
                               std::rethrow_exception(aFault);
                             } catch (const std::exception& fault) {
                               opened.set_value(fault.what());
                             }
                           });
  this->thread = std::thread([this] { this->server->io_context().run(); });
  const std::string fault = opened.get_future().get();
  if (fault.empty()) {
    return {};
  }
  this->Stop();
  return Fail(ErrorKind::Internal,
              "cannot listen on " + this->settings.address + ": " + fault);
}

void RestinioServer::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  asio::post(this->server->io_context(), [this] {
    this->server->close_async([this] { this->server->io_context().stop(); },
                              [](const std::exception_ptr&) {});
  });
  this->thread.join();
}

restinio::request_handling_status_t RestinioServer::OnRequest(
    const restinio::request_handle_t& aRequest) {
  const ExchangeId id = ++this->lastExchange;
  HttpRequest request;
  request.exchange = id;
  request.method = aRequest->header().method().c_str();
  request.path = std::string(aRequest->header().path());
  request.query = std::string(aRequest->header().query());
  for (const auto& field : aRequest->header()) {
    request.headers.push_back({field.name(), field.value()});
  }
  request.body = aRequest->body();

  Exchange exchange;
  exchange.request = aRequest;
  exchange.connection = RefusingSocket::Current();
  if (exchange.connection) {
    exchange.connection->unparsedBytes = 0;
    exchange.connection->pendingRequests += 1;
    exchange.connection->onClosed = [this, id] { this->OnClosed(id); };
  }
  Exchange& kept =
      this->exchanges.emplace(id, std::move(exchange)).first->second;
  const Result<void> fits = this->CheckLimits(request);
  if (!fits) {
    HttpResponse refusal = ErrorResponse(fits.error());
    const bool headersTooLarge =
        request.headers.size() > this->settings.maxHeaderFields;
    refusal.status = headersTooLarge ? 431 : refusal.status;
    this->Answer(kept, refusal);
    this->Forget(id);
    return restinio::request_accepted();
  }
  this->listener.OnRequest(std::move(request));
  return restinio::request_accepted();
}

Result<void> RestinioServer::CheckLimits(const HttpRequest& aRequest) const {
  if (aRequest.body.size() > this->settings.maxBodyBytes) {
    return Fail(ErrorKind::RequestTooLarge,
                "the body is larger than " +
                    std::to_string(this->settings.maxBodyBytes) + " bytes");
  }
  std::size_t bytes = 0;
  for (const HttpHeader& header : aRequest.headers) {
    bytes += header.name.size() + header.value.size();
  }
  if (aRequest.headers.size() > this->settings.maxHeaderFields ||
      bytes > this->settings.maxHeaderBytes) {
    return Fail(ErrorKind::RequestTooLarge, "the header fields are too large");
  }
  return {};
}

void RestinioServer::Answer(Exchange& aExchange, const HttpResponse& aAnswer) {
  auto response =
      aExchange.request->create_response(restinio::http_status_line_t{
          restinio::http_status_code_t{
              static_cast<std::uint16_t>(aAnswer.status)},
          aAnswer.status < 400 ? "OK" : "Refused"});
  for (const HttpHeader& header : aAnswer.headers) {
    response.append_header(header.name, header.value);
  }
  response.set_body(aAnswer.body);
  response.done();
}

void RestinioServer::Forget(ExchangeId aExchange) {
  const auto found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  if (found->second.connection) {
    found->second.connection->pendingRequests -= 1;
  }
  this->exchanges.erase(found);
}

void RestinioServer::OnClosed(ExchangeId aExchange) {
  if (this->exchanges.contains(aExchange)) {
    this->Forget(aExchange);
    this->listener.OnCallerDisconnected(aExchange);
  }
}

void RestinioServer::Respond(ExchangeId aExchange, HttpResponse aAnswer) {
  this->OnThread(aExchange, [this, aExchange,
                             answer = std::move(aAnswer)](Exchange& aOpen) {
    this->Answer(aOpen, answer);
    this->Forget(aExchange);
  });
}

void RestinioServer::StartStream(ExchangeId aExchange, int aStatus,
                                 HttpHeaders aHeaders) {
  this->OnThread(
      aExchange, [aStatus, headers = std::move(aHeaders)](Exchange& aOpen) {
        aOpen.stream = std::make_unique<ChunkedResponse>(
            aOpen.request->create_response<restinio::chunked_output_t>(
                restinio::http_status_line_t{
                    restinio::http_status_code_t{
                        static_cast<std::uint16_t>(aStatus)},
                    "OK"}));
        for (const HttpHeader& header : headers) {
          aOpen.stream->append_header(header.name, header.value);
        }
        aOpen.stream->flush();
      });
}

void RestinioServer::Append(ExchangeId aExchange, std::string aPart) {
  this->OnThread(aExchange, [part = std::move(aPart)](Exchange& aOpen) mutable {
    if (aOpen.stream) {
      aOpen.stream->append_chunk(std::move(part));
      aOpen.stream->flush();
    }
  });
}

void RestinioServer::Finish(ExchangeId aExchange) {
  this->OnThread(aExchange, [this, aExchange](Exchange& aOpen) {
    if (aOpen.stream) {
      aOpen.stream->done();
    }
    this->Forget(aExchange);
  });
}

void RestinioServer::Abort(ExchangeId aExchange) {
  this->OnThread(aExchange, [this, aExchange](Exchange& aOpen) {
    // Without the last chunk the caller's library reports a broken answer.
    if (aOpen.stream) {
      aOpen.stream->connection_close();
    }
    this->Forget(aExchange);
  });
}

}  // namespace

std::unique_ptr<HttpServer> MakeHttpServer(HttpServerSettings aSettings,
                                           HttpRequestListener& aListener) {
  return std::make_unique<RestinioServer>(std::move(aSettings), aListener);
}

}  // namespace zincstep
