/// \file
/// Faults that reach daemons as processes: signals, ports in use, odd entries
/// in the store, and the conditions of their start.

#include <signal.h>

#include <algorithm>
#include <array>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// Signals that ask a daemon for nothing.
constexpr std::array kSignals{SIGHUP, SIGUSR1, SIGUSR2};
/// Length of a series of signals, one each tick; the longest outlasts the grace
/// period of a stop (3 s).
constexpr std::uint64_t kMaxSignals = 400;
constexpr std::uint64_t kMaxStartSignals = 20;
constexpr Micros kMinInterval = 50ms;
constexpr Micros kIntervalSpread = 250ms;
/// How long a port is taken. The daemon restarts before or after its release.
constexpr Micros kMinTakenTime = 200ms;
constexpr Micros kTakenTimeSpread = 1800ms;
constexpr Micros kDownTimeSpread = 1s;
/// One in so many starts has an unread output, and few descriptors.
constexpr std::uint64_t kStartsPerUnread = 6;
constexpr std::uint64_t kStartsPerLimit = 4;
constexpr int kFewDescriptors = 200;

/// Keys that no upstream and no daemon uses, beside those that they do; the
/// second part of them below the daemons' own prefix.
constexpr std::array kOddKeys{
    "servers/odd-0",          "servers/odd-1",
    "zincstep/members/a/odd", "zincstep/members/b/odd",
    "zincstep/status/odd",    "zincstep/config/piece/odd",
    "zincstep/odd",
};
constexpr std::array kOddNumbers{
    "1e308",      "-1e308", "1e400", "99999999999999999999999",
    "4294967296", "0",      "-1",    "-9223372036854775808"};
constexpr std::array kOddPorts{"70000", "65536", "-1", "0", "99999999999", ""};
/// The second one overflows the stack (8 MB) of a recursive reader.
constexpr std::size_t kNested = 1000;
constexpr std::size_t kDeeplyNested = 150000;

std::string Nested(std::size_t aDepth) {
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

}  // namespace

bool Soak::StartDaemon(Daemon& aDaemon) {
  StartConditions conditions;
  if (this->settings.hasProcessFaults) {
    Random& draw = this->processRandom;
    aDaemon.signals = draw.Below(2) == 0 ? 1 + draw.Below(kMaxStartSignals) : 0;
    conditions.hasUnreadOutput = draw.Below(kStartsPerUnread) == 0;
    conditions.maxDescriptors =
        draw.Below(kStartsPerLimit) == 0 ? kFewDescriptors : 0;
    this->checker.WriteEvent("daemon_start",
                             {{"daemon", aDaemon.address.address().to_string()},
                              {"signals", aDaemon.signals},
                              {"unread_output", conditions.hasUnreadOutput},
                              {"max_descriptors", conditions.maxDescriptors}});
  }
  return aDaemon.process->Start(conditions);
}

void Soak::TickProcessFaults(Instant aNow) {
  Random& draw = this->processRandom;
  for (const auto& daemon : this->daemons) {
    // Between exec and the start of main (4 ms), a process cannot hold SIGHUP
    // back; its first output shows that this time is over.
    if (daemon->signals > 0 && daemon->process->HasOutput()) {
      daemon->signals -= 1;
      daemon->process->Signal(kSignals[draw.Below(kSignals.size())]);
    }
  }
  if (!this->isInjecting || aNow < this->nextProcessFault) {
    return;
  }
  this->nextProcessFault = aNow + DrawFrom(draw, kMinInterval, kIntervalSpread);
  Daemon& daemon = *this->daemons[draw.Below(this->daemons.size())];
  switch (draw.Below(4)) {
    case 0: {
      const bool stops = draw.Below(3) == 0;
      daemon.signals = 1 + draw.Below(kMaxSignals);
      this->RecordFault(std::to_string(daemon.signals) + " signals to " +
                        daemon.address.address().to_string() +
                        (stops ? ", which is stopped" : ""));
      if (stops) {
        daemon.process->Signal(SIGTERM);
      }
      break;
    }
    case 1: {
      const auto down =
          std::find_if(this->daemons.begin(), this->daemons.end(),
                       [](const auto& aOne) { return aOne->isDown; });
      this->TakePort(down == this->daemons.end() ? daemon : **down);
      break;
    }
    default:
      this->WriteOddEntry();
  }
}

void Soak::TakePort(Daemon& aDaemon) {
  Random& draw = this->processRandom;
  const bool listens = draw.Below(2) == 0;
  const TcpEndpoint& port =
      aDaemon.listening[draw.Below(aDaemon.listening.size())];
  const Micros time = DrawFrom(draw, kMinTakenTime, kTakenTimeSpread);
  const Instant now = this->clock.Now();
  aDaemon.process->Kill();
  if (!aDaemon.isDown) {
    aDaemon.isDown = true;
    this->heals.push_back({now + DrawFrom(draw, Micros{0}, kDownTimeSpread),
                           [&aDaemon] { aDaemon.isDown = false; }});
  }
  const auto taken = std::make_shared<asio::ip::tcp::socket>(this->loop);
  asio::error_code error;
  taken->open(port.protocol(), error);
  // Binds beside connections of the killed process that the kernel keeps. A
  // connection without the option then keeps others from the port.
  taken->set_option(asio::socket_base::reuse_address(true), error);
  taken->bind(port, error);
  if (!error && listens) {
    ::listen(taken->native_handle(), SOMAXCONN);
  } else if (!error) {
    taken->set_option(asio::socket_base::reuse_address(false), error);
    taken->connect({asio::ip::address_v4::loopback(), this->store.Port()},
                   error);
  }
  // Closes with a reset, so that the port is free at once.
  asio::error_code ignored;
  taken->set_option(asio::socket_base::linger(true, 0), ignored);
  this->RecordFault("port " + std::to_string(port.port()) + " of " +
                    port.address().to_string() + " taken by a " +
                    (listens ? "listener" : "connection") + " for " +
                    std::to_string(time / 1ms) + " ms" +
                    (error ? ": " + error.message() : ""));
  this->heals.push_back({now + time, [taken] {
                           asio::error_code closed;
                           taken->close(closed);
                         }});
}

std::string Soak::DrawOddEntry() {
  Random& draw = this->processRandom;
  const auto number = [&draw] {
    return std::string(kOddNumbers[draw.Below(kOddNumbers.size())]);
  };
  const std::string address =
      std::string("127.0.0.1:") + kOddPorts[draw.Below(kOddPorts.size())];
  const std::string backend = draw.Below(4) == 0 ? "model" : "odd";
  switch (draw.Below(8)) {
    case 0:
      return R"({"backend":"odd","address":)";
    case 1:
      return "";
    case 2:
      return Nested(kNested);
    case 3:
      return R"({"backend":)" + Nested(kNested) + "}";
    case 4:
      return "{\"backend\":\"\xff\xfe\",\"address\":\"\xc3(\"," +
             std::string("\"peer\":\"\x80\",\"failure_domain\":\"\xed\xa0\"}");
    case 5:
    case 6:
      return R"({"backend":")" + backend + R"(","address":")" + address +
             R"(","peer":")" + address +
             R"(","failure_domain":"a","zone":"a","born":)" + number() +
             R"(,"slots":)" + number() +
             R"(,"state":"ready","routeType":"k",)" + R"("link_mbps":)" +
             number() + R"(,"layers":{"from":)" + number() +
             R"(,"targetVersion":)" + number() + "}}";
    default:
      return Nested(kDeeplyNested);
  }
}

void Soak::WriteOddEntry() {
  const std::string key = kOddKeys[this->processRandom.Below(kOddKeys.size())];
  if (this->processRandom.Below(6) == 0) {
    this->RecordFault("odd entry " + key + " removed");
    this->store.Remove(key);
    return;
  }
  const std::string value = this->DrawOddEntry();
  this->RecordFault("odd entry " + key + " of " + std::to_string(value.size()) +
                    " bytes");
  this->store.Put(key, value);
}

}  // namespace zincstep::soak
