#pragma once

#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace zincstep {

/// A server that answers each request with `aBegin` and then with `aPiece`
/// again and again, until the other side closes the connection.
class EndlessUpstream {
 public:
  /// It stops sending, but keeps the connection open, after this many bytes:
  /// a bound for tests that fail.
  static constexpr std::size_t kMaxBytes = 96 << 20;

  EndlessUpstream(asio::io_context& aLoop, std::string aBegin,
                  std::string aPiece)
      : acceptor(aLoop, {asio::ip::address_v4::loopback(), 0}),
        begin(std::move(aBegin)) {
    constexpr std::size_t kBlockBytes = 64 << 10;
    while (this->block.size() < kBlockBytes) {
      this->block += aPiece;
    }
    this->Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  /// Closes all connections and accepts no more.
  void Close() {
    this->acceptor.close();
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        connection->socket.close();
      }
    }
  }

  int requests = 0;
  /// Connections that the other side has closed.
  int closed = 0;
  std::size_t sentBytes = 0;

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket aSocket)
        : socket(std::move(aSocket)) {}
    asio::ip::tcp::socket socket;
    std::string received;
    std::array<char, 4096> buffer{};
    std::string response;
    std::size_t sent = 0;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
          if (!aError) {
            const auto connection =
                std::make_shared<Connection>(std::move(aSocket));
            this->connections.push_back(connection);
            this->Read(connection);
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
          if (aConnection->received.find("\r\n\r\n") == std::string::npos) {
            this->Read(aConnection);
          } else {
            this->Respond(aConnection);
          }
        });
  }

  /// Replaces ID by the request's id.
  void Respond(const std::shared_ptr<Connection>& aConnection) {
    const std::string& request = aConnection->received;
    if (request.starts_with("GET /report")) {
      aConnection->socket.close();
      return;
    }
    this->requests += 1;
    constexpr std::string_view kId = "X-Attempt-Id: ";
    const std::size_t at = request.find(kId) + kId.size();
    const std::string id = request.substr(at, request.find('\r', at) - at);
    aConnection->response = this->begin;
    if (const std::size_t place = this->begin.find("ID");
        place != std::string::npos) {
      aConnection->response.replace(place, 2, id);
    }
    aConnection->response += this->block;
    this->Write(aConnection, aConnection->response);
  }

  void Write(const std::shared_ptr<Connection>& aConnection,
             const std::string& aBytes) {
    asio::async_write(
        aConnection->socket, asio::buffer(aBytes),
        [this, aConnection](const asio::error_code& aError, std::size_t aSize) {
          this->sentBytes += aSize;
          aConnection->sent += aSize;
          if (aError) {
            this->closed += 1;
          } else if (aConnection->sent < kMaxBytes) {
            this->Write(aConnection, this->block);
          } else {
            this->Read(aConnection);
          }
        });
  }

  asio::ip::tcp::acceptor acceptor;
  std::vector<std::weak_ptr<Connection>> connections;
  std::string begin;
  std::string block;
};

}  // namespace zincstep
