#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zincstep::soak {

/// What a process gets from the one that starts it.
struct StartConditions {
  /// Output goes into a pipe of one page that nobody reads, not into the log.
  bool hasUnreadOutput = false;
  /// Limit on open descriptors; 0 leaves it as it is.
  int maxDescriptors = 0;
};

/// Runs one edge daemon as a child process.
class DaemonProcess {
 public:
  /// `aEnvironment` holds the daemon's settings; its output is appended to
  /// the file `aLog`.
  DaemonProcess(std::string aProgram, std::string aLog,
                std::map<std::string, std::string> aEnvironment);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts the process unless it is running. Returns false if it could not be
  /// started.
  bool Start(const StartConditions& aConditions = {});
  /// Sends a signal if the process is running.
  void Signal(int aSignal);
  /// Returns whether the process is running; reaps it if it has exited.
  bool IsRunning();
  /// Returns whether the process has written output since its start.
  bool HasOutput();
  /// Kills the process and waits for it to exit.
  void Kill();
  /// Returns how the process ended, such as "exit 1" or "signal 6", and its
  /// last log line, each time that it was neither killed nor stopped. A stop
  /// ends with status 0, or with SIGTERM if the process had not installed its
  /// handler yet.
  const std::vector<std::string>& UnexpectedEnds() const {
    return this->unexpectedEnds;
  }

 private:
  /// Records an end by its wait status.
  void OnEnd(int aStatus);
  /// Returns the last line that was written since the start; where output is
  /// not read, the last one that fit into the pipe.
  std::string LastLine();
  void CloseOutput();

  std::string program;
  std::string log;
  std::map<std::string, std::string> environment;
  pid_t pid = -1;
  /// Reading end of the pipe that is not read while the process runs, or -1.
  int output = -1;
  /// Size of the log at the start.
  std::uintmax_t logStart = 0;
  /// Whether this process has been sent a signal to stop, or to be killed.
  bool isStopped = false;
  bool isKilled = false;
  std::vector<std::string> unexpectedEnds;
};

}  // namespace zincstep::soak
