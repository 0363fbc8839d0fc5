#include "Zincstep/Process/Process.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <future>
#include <string>
#include <system_error>
#include <thread>

#include "Zincstep/Core/Time.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Time that the queued lines of the log may take at the end.
constexpr Micros kFlushTimeout = 1s;

/// Signals whose default action ends a process, though they ask for nothing:
/// closed connections, a log that has reached the limit on file sizes, and
/// signals that other daemons use for purposes of their own.
constexpr std::array kIgnoredSignals{SIGPIPE, SIGXFSZ, SIGUSR1,
                                     SIGUSR2, SIGALRM, SIGVTALRM};

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : kHandledSignals) {
    sigaddset(&signals, signal);
  }
  return signals;
}

void OpenStandardDescriptors() {
  int descriptor = STDIN_FILENO;
  while (descriptor >= 0 && descriptor <= STDERR_FILENO) {
    // Gets the lowest number that is free.
    descriptor = ::open("/dev/null", O_RDWR);
  }
  if (descriptor > STDERR_FILENO) {
    ::close(descriptor);
  }
}

/// Replaces what the parent has left: the signals that are blocked, and closed
/// descriptors.
void Prepare(const sigset_t& aBlocked) {
  pthread_sigmask(SIG_SETMASK, &aBlocked, nullptr);
  for (const int signal : kIgnoredSignals) {
    std::signal(signal, SIG_IGN);
  }
  OpenStandardDescriptors();
}

/// Runs `StopLog` with a timeout; returns whether it has ended. Where no thread
/// can be started for it, writes the queued lines and returns false.
bool StopLogInTime() {
  std::promise<void> stopped;
  std::future<void> isStopped = stopped.get_future();
  try {
    std::thread([done = std::move(stopped)]() mutable {
      StopLog();
      done.set_value();
    }).detach();
  } catch (const std::system_error&) {
    WaitForLog(kFlushTimeout);
    return false;
  }
  return isStopped.wait_for(kFlushTimeout) == std::future_status::ready;
}

[[noreturn]] void OnTerminate() {
  static std::atomic_flag isTerminating;
  while (isTerminating.test_and_set()) {
    // Another thread ends the process.
    std::this_thread::sleep_for(kFlushTimeout);
  }
  std::string reason = "terminated";
  if (const std::exception_ptr current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& error) {
      reason = error.what();
    } catch (...) {
      reason = "an exception of an unknown type";
    }
  }
  try {
    LogError("process_aborted", {{"reason", reason}});
    // The log stays: other threads still use it.
    WaitForLog(kFlushTimeout);
  } catch (const std::exception&) {
    // An exception would end the process here, without any text.
    std::fprintf(stderr, "process aborted: %s\n", reason.c_str());
  }
  std::abort();
}

}  // namespace

void PrepareProcess() {
  Prepare(HandledSignals());
  std::set_terminate(OnTerminate);
}

void PrepareProgram() {
  sigset_t none;
  sigemptyset(&none);
  Prepare(none);
}

DeliverSignals::DeliverSignals() {
  const sigset_t handled = HandledSignals();
  pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

DeliverSignals::~DeliverSignals() {
  const sigset_t handled = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

void EndProcess(int aStatus) {
  if (StopLogInTime()) {
    std::exit(aStatus);
  }
  // Destructors of static objects would wait for the log's thread.
  std::_Exit(aStatus);
}

}  // namespace zincstep
