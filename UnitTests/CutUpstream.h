#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace zincstep {

/// How an upstream ends a connection.
enum class CutKind { Close, Reset };

/// An upstream on loopback that writes bytes as they are and then ends the
/// connection, as a process does that ends within its response.
class CutUpstream {
 public:
  explicit CutUpstream(asio::io_context& aLoop)
      : loop(aLoop), acceptor(aLoop, {asio::ip::address_v4::loopback(), 0}) {
    this->Accept();
  }

  /// Responds with `aBytes` and ends the connection. The next `aWholeResponses`
  /// requests get `Whole` on a connection that stays open.
  void Script(std::string aBytes, CutKind aCut, int aWholeResponses = 0) {
    this->Script(
        [bytes = std::move(aBytes)](const std::string&) { return bytes; }, aCut,
        aWholeResponses);
  }
  /// The same with bytes that depend on the head of the request.
  void Script(std::function<std::string(const std::string&)> aRespond,
              CutKind aCut, int aWholeResponses = 0) {
    this->respond = std::move(aRespond);
    this->cut = aCut;
    this->wholeResponses = aWholeResponses;
    this->requests = 0;
    this->reusedConnections = 0;
  }

  /// A complete response, without a body at first.
  std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  asio::ip::tcp::endpoint Endpoint() const {
    return this->acceptor.local_endpoint();
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Endpoint().port());
  }
  asio::io_context& Loop() const { return this->loop; }
  /// Number of requests since the last `Script`.
  int Requests() const { return this->requests; }
  /// Number of connections with a second request since the last `Script`.
  int ReusedConnections() const { return this->reusedConnections; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket aSocket)
        : socket(std::move(aSocket)) {}
    asio::ip::tcp::socket socket;
    std::string received;
    std::array<char, 4096> buffer{};
    int requests = 0;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
          if (!aError) {
            this->Read(std::make_shared<Connection>(std::move(aSocket)));
            this->Accept();
          }
        });
  }

  void Read(const std::shared_ptr<Connection>& aConnection) {
    aConnection->socket.async_read_some(
        asio::buffer(aConnection->buffer),
        [this, aConnection](const asio::error_code& aError, std::size_t aSize) {
          if (aError) {
            return;
          }
          aConnection->received.append(aConnection->buffer.data(), aSize);
          if (HasRequest(aConnection->received)) {
            this->Respond(aConnection);
          } else {
            this->Read(aConnection);
          }
        });
  }

  /// Whether the bytes are a complete request with a length or without a body.
  static bool HasRequest(const std::string& aBytes) {
    constexpr std::string_view kLength = "Content-Length: ";
    const std::size_t end = aBytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const std::size_t at = aBytes.find(kLength);
    const std::size_t length =
        at < end ? std::stoul(aBytes.substr(at + kLength.size())) : 0;
    return aBytes.size() >= end + 4 + length;
  }

  void Respond(const std::shared_ptr<Connection>& aConnection) {
    const std::string request = std::exchange(aConnection->received, {});
    this->requests += 1;
    aConnection->requests += 1;
    this->reusedConnections += aConnection->requests == 2 ? 1 : 0;
    asio::error_code ignored;  // The caller may have closed.
    if (this->wholeResponses > 0) {
      this->wholeResponses -= 1;
      asio::write(aConnection->socket, asio::buffer(this->whole), ignored);
      this->Read(aConnection);
      return;
    }
    asio::write(aConnection->socket, asio::buffer(this->respond(request)),
                ignored);
    if (this->cut == CutKind::Reset) {
      aConnection->socket.set_option(asio::socket_base::linger(true, 0),
                                     ignored);
    }
    aConnection->socket.close(ignored);
  }

  asio::io_context& loop;
  asio::ip::tcp::acceptor acceptor;
  std::function<std::string(const std::string&)> respond;
  CutKind cut = CutKind::Close;
  int wholeResponses = 0;
  int requests = 0;
  int reusedConnections = 0;
};

}  // namespace zincstep
