#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace zincstep {

/// Settings of a child process.
struct ChildProcessSettings {
  std::string program;
  std::vector<std::string> arguments;
  std::map<std::string, std::string> environment;
  /// Runs in the child before the program does, to set what it inherits.
  std::function<void()> beforeExec = [] {};
  /// Whether the output is a pipe that `ReadUntil` reads; otherwise
  /// `beforeExec` sets the standard descriptors.
  bool hasPipe = true;
};

/// Runs a program as a child process, which is killed at the latest when this
/// object is destroyed or when this process ends.
class ChildProcess {
 public:
  explicit ChildProcess(const ChildProcessSettings& aSettings);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return this->pid; }
  /// Sends a signal, unless the process has ended.
  void Signal(int aSignal);
  /// Reads the output until it contains `aText`; returns false if the process
  /// has ended before, or after 60 s.
  bool ReadUntil(const std::string& aText);
  /// Returns whether the process has ended.
  bool HasEnded();
  /// Waits until the process has ended and returns how, as "exit 0" or
  /// "signal 6"; "runs" after 60 s.
  std::string WaitForEnd();
  /// The output so far.
  const std::string& Output() const { return this->output; }
  /// The last line of the output so far.
  std::string LastLine() const;

 private:
  /// Reads what is in the pipe now.
  void ReadAvailable();

  pid_t pid = -1;
  int pipe = -1;
  std::string output;
  std::string end;
};

}  // namespace zincstep
