#include "Zincstep/Process/StopSignalTime.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstddef>

#include "Zincstep/Core/Assert.h"

namespace zincstep {

namespace {

constexpr std::array kStopSignals{SIGTERM, SIGINT};
constexpr Instant::rep kNone = -1;

/// State of the signal handler, which may only use atomics without locks.
std::atomic<Instant::rep> arrivedAt{kNone};
static_assert(std::atomic<Instant::rep>::is_always_lock_free);
/// Handlers installed before, in the order of `kStopSignals`; not changed while
/// `OnStopSignal` is installed.
std::array<struct sigaction, kStopSignals.size()> formerActions{};
std::atomic_flag isInstalled;

void OnStopSignal(int aSignal, siginfo_t* aInfo, void* aContext) {
  Instant::rep none = kNone;
  arrivedAt.compare_exchange_strong(
      none, SystemClock().Now().time_since_epoch().count());
  for (std::size_t i = 0; i < kStopSignals.size(); ++i) {
    if (kStopSignals[i] != aSignal) {
      continue;
    }
    const struct sigaction& former = formerActions[i];
    if ((former.sa_flags & SA_SIGINFO) != 0) {
      former.sa_sigaction(aSignal, aInfo, aContext);
    } else if (former.sa_handler != SIG_DFL && former.sa_handler != SIG_IGN) {
      former.sa_handler(aSignal);
    }
  }
}

}  // namespace

StopSignalTime::StopSignalTime() {
  ZINCSTEP_ASSERT(!isInstalled.test_and_set());
  arrivedAt = kNone;
  for (std::size_t i = 0; i < kStopSignals.size(); ++i) {
    ::sigaction(kStopSignals[i], nullptr, &formerActions[i]);
    struct sigaction action = formerActions[i];
    action.sa_flags |= SA_SIGINFO;
    action.sa_sigaction = OnStopSignal;
    ::sigaction(kStopSignals[i], &action, nullptr);
  }
}

StopSignalTime::~StopSignalTime() {
  for (std::size_t i = 0; i < kStopSignals.size(); ++i) {
    ::sigaction(kStopSignals[i], &formerActions[i], nullptr);
  }
  isInstalled.clear();
}

std::optional<Instant> StopSignalTime::ArrivedAt() const {
  const Instant::rep at = arrivedAt;
  return at == kNone ? std::nullopt : std::optional(Instant{Micros{at}});
}

}  // namespace zincstep
