#include "Zincstep/Net/CallerListener.h"

#include <algorithm>

namespace zincstep {

CallerListener::CallerListener(asio::io_context& aLoop, CallerHandler& aHandler,
                               const Clock& aClock)
    : handler(aHandler),
      clock(aClock),
      acceptor(aLoop, [this](asio::ip::tcp::socket aSocket) {
        this->OnConnection(std::move(aSocket));
      }) {}

void CallerListener::OnConnection(asio::ip::tcp::socket aSocket) {
  auto connection = std::make_shared<CallerConnection>(
      std::move(aSocket), this->handler, this->limits, this->clock);
  if (!this->keepsAlive) {
    connection->DisableKeepAlive();
  }
  this->connections.insert(connection);
  connection->Start();
}

void CallerListener::SetLimits(const CallerLimits& aLimits) {
  this->limits = aLimits;
  for (const auto& connection : this->connections) {
    connection->OnLimitsChanged();
  }
}

ClosedConnections CallerListener::CloseIdle() {
  ClosedConnections closed;
  for (const auto& connection : this->connections) {
    const bool wasOpen = !connection->IsClosed();
    connection->CloseWhenDone();
    if (wasOpen && connection->IsClosed()) {
      closed.idle += 1;
      closed.unused += connection->HasReadRequest() ? 0 : 1;
      closed.unread += connection->WasClosedUnread() ? 1 : 0;
    }
  }
  return closed;
}

bool CallerListener::ExpectsRequests() const {
  return std::any_of(
      this->connections.begin(), this->connections.end(),
      [](const auto& aConnection) { return aConnection->ExpectsRequest(); });
}

std::size_t CallerListener::Unused() const {
  return static_cast<std::size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& aConnection) {
        return !aConnection->IsClosed() && !aConnection->HasReadRequest();
      }));
}

void CallerListener::DisableKeepAlive() {
  this->keepsAlive = false;
  for (const auto& connection : this->connections) {
    connection->DisableKeepAlive();
  }
}

ClosedConnections CallerListener::Tick() {
  const Instant now = this->clock.Now();
  ClosedConnections closed;
  std::erase_if(this->connections, [&](const auto& aConnection) {
    const bool wasOpen = !aConnection->IsClosed();
    closed.kept += aConnection->CheckTimeouts(now) ? 1 : 0;
    if (wasOpen && aConnection->IsClosed()) {
      closed.idle += 1;
      closed.unused += aConnection->HasReadRequest() ? 0 : 1;
      closed.unread += aConnection->WasClosedUnread() ? 1 : 0;
    }
    return aConnection->IsClosed();
  });
  return closed;
}

std::size_t CallerListener::Busy() const {
  std::size_t busy = 0;
  for (const auto& connection : this->connections) {
    busy += connection->IsBusy() ? 1 : 0;
  }
  return busy;
}

std::size_t CallerListener::PendingBytes() const {
  std::size_t bytes = 0;
  for (const auto& connection : this->connections) {
    bytes += connection->PendingBytes();
  }
  return bytes;
}

}  // namespace zincstep
