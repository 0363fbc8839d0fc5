#include "Zincstep/Net/ConnectionPool.h"

#include <sys/socket.h>

#include <charconv>

namespace zincstep {

namespace {

constexpr Micros kSweepInterval = 1s;
constexpr std::string_view kTimeoutParameter = "timeout=";

/// Returns the timeout in the `Keep-Alive` header, if there is one; 0 if it
/// cannot be parsed.
std::optional<Micros> KeepAliveTimeout(const HttpHead& aHead) {
  for (const HttpHeader& header : aHead.headers) {
    const std::size_t at = SameHeaderName(header.name, "Keep-Alive")
                               ? header.value.find(kTimeoutParameter)
                               : std::string::npos;
    if (at == std::string::npos) {
      continue;
    }
    const char* end = header.value.data() + header.value.size();
    int seconds = 0;
    const auto parsed = std::from_chars(
        header.value.data() + at + kTimeoutParameter.size(), end, seconds);
    return parsed.ec == std::errc{} ? std::chrono::seconds(seconds) : 0s;
  }
  return std::nullopt;
}

/// Returns whether the connection is open and nothing was received on it.
bool IsUnused(TcpSocket& aSocket) {
  char byte = 0;
  const auto received =
      ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::optional<TcpSocket> ConnectionPool::Acquire(const std::string& aUpstream) {
  const auto found = this->idleByUpstream.find(aUpstream);
  if (found == this->idleByUpstream.end()) {
    return std::nullopt;
  }
  const Instant now = this->clock.Now();
  std::vector<IdleConnection>& connections = found->second;
  while (!connections.empty()) {
    // The most recently used connection is the most likely to work.
    IdleConnection last = std::move(connections.back());
    connections.pop_back();
    if (now < last.expiresAt && IsUnused(last.socket)) {
      return std::move(last.socket);
    }
  }
  this->idleByUpstream.erase(found);
  return std::nullopt;
}

void ConnectionPool::Put(const std::string& aUpstream, TcpSocket aSocket,
                         const HttpHead& aHead) {
  const Instant now = this->clock.Now();
  this->Sweep(now);
  const auto quarantined = this->quarantinedUntil.find(aUpstream);
  const bool isQuarantined =
      quarantined != this->quarantinedUntil.end() && now < quarantined->second;
  if (!aHead.keepsAlive || isQuarantined) {
    return;  // The destructor of `aSocket` closes the connection.
  }
  Micros idleTime = this->settings.maxIdleTime;
  if (const auto timeout = KeepAliveTimeout(aHead)) {
    idleTime = std::min(idleTime, FromSeconds(ToSeconds(*timeout) *
                                              this->settings.keepAliveShare));
  }
  std::vector<IdleConnection>& connections = this->idleByUpstream[aUpstream];
  if (connections.size() < this->settings.maxIdleConnections) {
    connections.push_back({std::move(aSocket), now + idleTime});
  }
}

void ConnectionPool::Quarantine(const std::string& aUpstream) {
  this->idleByUpstream.erase(aUpstream);
  this->quarantinedUntil[aUpstream] =
      this->clock.Now() + this->settings.quarantineTime;
}

std::size_t ConnectionPool::IdleCount() const {
  std::size_t count = 0;
  for (const auto& [upstream, connections] : this->idleByUpstream) {
    count += connections.size();
  }
  return count;
}

void ConnectionPool::Sweep(Instant aNow) {
  if (aNow < this->nextSweep) {
    return;
  }
  this->nextSweep = aNow + kSweepInterval;
  for (auto& [upstream, connections] : this->idleByUpstream) {
    std::erase_if(connections, [aNow](const IdleConnection& aConnection) {
      return aNow >= aConnection.expiresAt;
    });
  }
  std::erase_if(this->idleByUpstream,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::erase_if(this->quarantinedUntil,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
}

}  // namespace zincstep
