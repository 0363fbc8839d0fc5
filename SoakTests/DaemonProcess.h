#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace zincstep::soak {

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
  bool Start();
  /// Sends a signal if the process is running.
  void Signal(int aSignal);
  /// Returns whether the process is running; reaps it if it has exited.
  bool IsRunning();
  /// Kills the process and waits for it to exit.
  void Kill();
  /// Returns how the process ended, such as "exit 1" or "signal 6", each time
  /// that it was neither killed nor stopped. A stop ends with status 0, or with
  /// SIGTERM if the process had not installed its handler yet.
  const std::vector<std::string>& UnexpectedEnds() const {
    return this->unexpectedEnds;
  }

 private:
  /// Records an end by its wait status.
  void OnEnd(int aStatus);

  std::string program;
  std::string log;
  std::map<std::string, std::string> environment;
  pid_t pid = -1;
  /// Whether this process has been sent a signal to stop, or to be killed.
  bool isStopped = false;
  bool isKilled = false;
  std::vector<std::string> unexpectedEnds;
};

}  // namespace zincstep::soak
