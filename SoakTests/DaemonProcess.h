#pragma once

#include <sys/types.h>

#include <map>
#include <string>

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
  void Signal(int aSignal) const;
  /// Returns whether the process is running; reaps it if it has exited.
  bool IsRunning();
  /// Kills the process and waits for it to exit.
  void Kill();

 private:
  std::string program;
  std::string log;
  std::map<std::string, std::string> environment;
  pid_t pid = -1;
};

}  // namespace zincstep::soak
