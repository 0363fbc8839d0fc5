#pragma once

#include <sys/types.h>

#include <map>
#include <string>

namespace zincstep::soak {

/// One edge daemon as a process of its own.
class DaemonProcess {
 public:
  /// `aEnvironment` holds its settings; its lines go to the end of `aLog`.
  DaemonProcess(std::string aProgram, std::string aLog,
                std::map<std::string, std::string> aEnvironment);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts it unless it runs; false: it could not be started.
  bool Start();
  /// Sends a signal where it runs.
  void Signal(int aSignal) const;
  /// Whether it runs; notes its end where it does not.
  bool IsRunning();
  /// Kills it and waits for its end.
  void Kill();

 private:
  std::string program;
  std::string log;
  std::map<std::string, std::string> environment;
  pid_t pid = -1;
};

}  // namespace zincstep::soak
