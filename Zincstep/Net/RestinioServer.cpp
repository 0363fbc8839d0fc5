#include <atomic>
#include <future>
#include <restinio/all.hpp>
#include <system_error>
#include <thread>
#include <unordered_map>

#include "Zincstep/Net/ErrorResponse.h"
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

/// With 2, RESTinio keeps reading during a response and detects a caller that
/// disconnects.
constexpr std::size_t kPipelinedRequests = 2;
/// RESTinio closes the connection when a request exceeds a limit by this
/// factor; below that the complete request is read and rejected with a matching
/// status.
constexpr std::size_t kHardLimitFactor = 8;
constexpr std::size_t kMaxUrlBytes = 8 << 10;

/// A request whose response is not complete yet.
struct Exchange {
  restinio::request_handle_t request;
  std::shared_ptr<ConnectionState> connection;
  std::unique_ptr<ChunkedResponse> stream;
};

/// Server on RESTinio; its state is accessed only on its thread.
class RestinioServer final : public HttpServer {
 public:
  RestinioServer(HttpServerSettings aSettings, HttpRequestListener& aListener)
      : settings(std::move(aSettings)), listener(aListener) {}

  ~RestinioServer() override { this->Stop(); }

  Result<void> Start() override;
  void RefuseRequests(HttpResponse aRefusal) override;
  std::size_t Unsent() const override { return this->unsent; }
  void Stop() override;
  std::uint16_t Port() const override { return this->port; }
  void Respond(ExchangeId aExchange, HttpResponse aResponse) override;
  void StartStream(ExchangeId aExchange, int aStatus,
                   HttpHeaders aHeaders) override;
  void Append(ExchangeId aExchange, std::string aPart) override;
  void Finish(ExchangeId aExchange) override;
  void Abort(ExchangeId aExchange) override;

 private:
  std::unique_ptr<Server> MakeServer();
  /// Returns the error of a start that failed for `aReason`.
  Result<void> ListenError(ErrorKind aKind, const char* aReason) const;
  restinio::request_handling_status_t OnRequest(
      const restinio::request_handle_t& aRequest);
  Result<void> CheckLimits(const HttpRequest& aRequest) const;
  void SendResponse(Exchange& aExchange, const HttpResponse& aResponse);
  /// Returns the callback of the last write of a response that `unsent` counts.
  restinio::write_status_cb_t OnWritten() {
    return [this](const asio::error_code&) { this->unsent -= 1; };
  }
  void RemoveExchange(ExchangeId aExchange);
  void OnConnectionClosed(ExchangeId aExchange);

  /// Runs `aStep` on the server's thread, if the exchange is still open.
  template <class Step>
  void OnThread(ExchangeId aExchange, Step aStep) {
    this->OnThread(aExchange, std::move(aStep), [] {});
  }
  /// The same; runs `aElse` if the exchange is no longer open.
  template <class Step, class Else>
  void OnThread(ExchangeId aExchange, Step aStep, Else aElse) {
    asio::post(this->server->io_context(),
               [this, aExchange, step = std::move(aStep), aElse]() mutable {
                 const auto found = this->exchanges.find(aExchange);
                 if (found != this->exchanges.end()) {
                   step(found->second);
                 } else {
                   aElse();
                 }
               });
  }

  HttpServerSettings settings;
  HttpRequestListener& listener;
  /// Declared before the server, whose connections call `OnWritten` when they
  /// are destroyed.
  std::atomic<std::size_t> unsent{0};
  /// Sent to each request, if set.
  std::optional<HttpResponse> refusal;
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
  try {
    this->server = this->MakeServer();
    const auto opened = std::make_shared<std::promise<void>>();
    this->server->open_async([opened] { opened->set_value(); },
                             [opened](std::exception_ptr aError) {
                               opened->set_exception(std::move(aError));
                             });
    this->thread = std::thread([this] { this->server->io_context().run(); });
    opened->get_future().get();
    return {};
  } catch (const std::system_error& error) {
    this->Stop();
    return this->ListenError(error.code() == asio::error::address_in_use
                                 ? ErrorKind::NotReady
                                 : ErrorKind::Internal,
                             error.what());
  } catch (const std::exception& error) {
    this->Stop();
    return this->ListenError(ErrorKind::Internal, error.what());
  }
}

Result<void> RestinioServer::ListenError(ErrorKind aKind,
                                         const char* aReason) const {
  return Fail(aKind, "cannot listen on " + this->settings.address + ":" +
                         std::to_string(this->settings.port) + ": " + aReason);
}

void RestinioServer::RefuseRequests(HttpResponse aRefusal) {
  asio::post(this->server->io_context(),
             [this, response = std::move(aRefusal)]() mutable {
               this->refusal = std::move(response);
               // Closes the listener; open connections are still served.
               this->server->close_async([] {},
                                         [](const std::exception_ptr&) {});
               this->listener.OnRequestsEnded();
             });
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
    exchange.connection->onClosed = [this, id] {
      this->OnConnectionClosed(id);
    };
  }
  Exchange& stored =
      this->exchanges.emplace(id, std::move(exchange)).first->second;
  const Result<void> limitCheck = this->CheckLimits(request);
  if (!limitCheck) {
    HttpResponse rejection = ErrorResponse(limitCheck.error());
    const bool hasTooManyFields =
        request.headers.size() > this->settings.maxHeaderFields;
    rejection.status = hasTooManyFields ? 431 : rejection.status;
    this->unsent += 1;
    this->SendResponse(stored, rejection);
    this->RemoveExchange(id);
    return restinio::request_accepted();
  }
  if (this->refusal) {
    this->unsent += 1;
    this->SendResponse(stored, *this->refusal);
    this->RemoveExchange(id);
    return restinio::request_accepted();
  }
  this->listener.OnRequest(std::move(request));
  return restinio::request_accepted();
}

Result<void> RestinioServer::CheckLimits(const HttpRequest& aRequest) const {
  if (aRequest.body.size() > this->settings.maxBodyBytes) {
    return Fail(ErrorKind::RequestTooLarge,
                "request body exceeds " +
                    std::to_string(this->settings.maxBodyBytes) + " bytes");
  }
  std::size_t bytes = 0;
  for (const HttpHeader& header : aRequest.headers) {
    bytes += header.name.size() + header.value.size();
  }
  if (aRequest.headers.size() > this->settings.maxHeaderFields ||
      bytes > this->settings.maxHeaderBytes) {
    return Fail(ErrorKind::RequestTooLarge, "header fields exceed the limit");
  }
  return {};
}

void RestinioServer::SendResponse(Exchange& aExchange,
                                  const HttpResponse& aResponse) {
  auto response =
      aExchange.request->create_response(restinio::http_status_line_t{
          restinio::http_status_code_t{
              static_cast<std::uint16_t>(aResponse.status)},
          aResponse.status < 400 ? "OK" : "Refused"});
  for (const HttpHeader& header : aResponse.headers) {
    response.append_header(header.name, header.value);
  }
  response.set_body(aResponse.body);
  if (this->refusal) {
    // A caller that reused the connection would lose its next request.
    response.connection_close();
    if (aExchange.connection) {
      aExchange.connection->hasLastResponse = true;
    }
  }
  response.done(this->OnWritten());
}

void RestinioServer::RemoveExchange(ExchangeId aExchange) {
  const auto found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  if (found->second.connection) {
    found->second.connection->pendingRequests -= 1;
  }
  this->exchanges.erase(found);
}

void RestinioServer::OnConnectionClosed(ExchangeId aExchange) {
  if (this->exchanges.contains(aExchange)) {
    this->RemoveExchange(aExchange);
    this->listener.OnCallerDisconnected(aExchange);
  }
}

void RestinioServer::Respond(ExchangeId aExchange, HttpResponse aResponse) {
  this->unsent += 1;
  this->OnThread(
      aExchange,
      [this, aExchange,
       response = std::move(aResponse)](Exchange& aOpenExchange) {
        this->SendResponse(aOpenExchange, response);
        this->RemoveExchange(aExchange);
      },
      [this] { this->unsent -= 1; });
}

void RestinioServer::StartStream(ExchangeId aExchange, int aStatus,
                                 HttpHeaders aHeaders) {
  this->OnThread(aExchange, [aStatus, headers = std::move(aHeaders)](
                                Exchange& aOpenExchange) {
    aOpenExchange.stream = std::make_unique<ChunkedResponse>(
        aOpenExchange.request->create_response<restinio::chunked_output_t>(
            restinio::http_status_line_t{
                restinio::http_status_code_t{
                    static_cast<std::uint16_t>(aStatus)},
                "OK"}));
    for (const HttpHeader& header : headers) {
      aOpenExchange.stream->append_header(header.name, header.value);
    }
    aOpenExchange.stream->flush();
  });
}

void RestinioServer::Append(ExchangeId aExchange, std::string aPart) {
  this->OnThread(aExchange,
                 [part = std::move(aPart)](Exchange& aOpenExchange) mutable {
                   if (aOpenExchange.stream) {
                     aOpenExchange.stream->append_chunk(std::move(part));
                     aOpenExchange.stream->flush();
                   }
                 });
}

void RestinioServer::Finish(ExchangeId aExchange) {
  this->unsent += 1;
  this->OnThread(
      aExchange,
      [this, aExchange](Exchange& aOpenExchange) {
        if (aOpenExchange.stream) {
          aOpenExchange.stream->done(this->OnWritten());
        } else {
          this->unsent -= 1;
        }
        this->RemoveExchange(aExchange);
      },
      [this] { this->unsent -= 1; });
}

void RestinioServer::Abort(ExchangeId aExchange) {
  this->OnThread(aExchange, [this, aExchange](Exchange& aOpenExchange) {
    // Without the last chunk the caller's HTTP library reports an incomplete
    // response.
    if (aOpenExchange.connection) {
      aOpenExchange.connection->hasLastResponse = true;
    }
    if (aOpenExchange.stream) {
      aOpenExchange.stream->connection_close();
    }
    this->RemoveExchange(aExchange);
  });
}

}  // namespace

std::unique_ptr<HttpServer> MakeHttpServer(HttpServerSettings aSettings,
                                           HttpRequestListener& aListener) {
  return std::make_unique<RestinioServer>(std::move(aSettings), aListener);
}

}  // namespace zincstep
