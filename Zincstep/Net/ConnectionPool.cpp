#include "Zincstep/Net/ConnectionPool.h"

#include <sys/socket.h>

#include <charconv>

namespace zincstep {

namespace {

constexpr Micros kSweepPause = 1s;
constexpr std::string_view kTimeoutField = "timeout=";

/// How long the other side keeps a resting connection, where it tells.
std::optional<Micros> KeptTime(const HttpHead& aHead) {
  for (const HttpHeader& header : aHead.headers) {
    const std::size_t at = SameHeaderName(header.name, "Keep-Alive")
                               ? header.value.find(kTimeoutField)
                               : std::string::npos;
    if (at == std::string::npos) {
      continue;
    }
    const char* end = header.value.data() + header.value.size();
    int seconds = 0;
    const auto read = std::from_chars(
        header.value.data() + at + kTimeoutField.size(), end, seconds);
    return read.ec == std::errc{} ? std::chrono::seconds(seconds) : 0s;
  }
  return std::nullopt;
}

/// Whether the other side has neither closed it nor sent anything.
bool IsQuiet(TcpSocket& aSocket) {
  char byte = 0;
  const auto got =
      ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::optional<TcpSocket> ConnectionPool::Take(const std::string& aUpstream) {
  const auto found = this->byUpstream.find(aUpstream);
  if (found == this->byUpstream.end()) {
    return std::nullopt;
  }
  const Instant now = this->clock.Now();
  std::vector<Rest>& resting = found->second;
  while (!resting.empty()) {
    // The one that has rested for the shortest time.
    Rest last = std::move(resting.back());
    resting.pop_back();
    if (now < last.until && IsQuiet(last.socket)) {
      return std::move(last.socket);
    }
  }
  this->byUpstream.erase(found);
  return std::nullopt;
}

void ConnectionPool::Put(const std::string& aUpstream, TcpSocket aSocket,
                         const HttpHead& aHead) {
  const Instant now = this->clock.Now();
  this->Sweep(now);
  const auto distrusted = this->quarantinedUntil.find(aUpstream);
  const bool isDistrusted =
      distrusted != this->quarantinedUntil.end() && now < distrusted->second;
  if (!aHead.keepsAlive || isDistrusted) {
    return;  // Closed by its end of life.
  }
  Micros rest = this->settings.maxIdleTime;
  if (const auto kept = KeptTime(aHead)) {
    rest = std::min(rest,
                    FromSeconds(ToSeconds(*kept) * this->settings.keptShare));
  }
  std::vector<Rest>& resting = this->byUpstream[aUpstream];
  if (resting.size() < this->settings.maxIdleConnections) {
    resting.push_back({std::move(aSocket), now + rest});
  }
}

void ConnectionPool::Quarantine(const std::string& aUpstream) {
  this->byUpstream.erase(aUpstream);
  this->quarantinedUntil[aUpstream] =
      this->clock.Now() + this->settings.quarantineTime;
}

std::size_t ConnectionPool::IdleCount() const {
  std::size_t sum = 0;
  for (const auto& [upstream, resting] : this->byUpstream) {
    sum += resting.size();
  }
  return sum;
}

void ConnectionPool::Sweep(Instant aNow) {
  if (aNow < this->nextSweep) {
    return;
  }
  this->nextSweep = aNow + kSweepPause;
  for (auto& [upstream, resting] : this->byUpstream) {
    std::erase_if(resting,
                  [aNow](const Rest& aRest) { return aNow >= aRest.until; });
  }
  std::erase_if(this->byUpstream,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::erase_if(this->quarantinedUntil,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
}

}  // namespace zincstep
