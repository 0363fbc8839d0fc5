#include "UnitTests/ChildProcess.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

namespace zincstep {

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(2);
constexpr int kMaxPolls = 30'000;
constexpr int kExecFailedStatus = 127;

}  // namespace

ChildProcess::ChildProcess(const ChildProcessSettings& aSettings) {
  std::vector<std::string> assignments;
  for (const auto& [name, value] : aSettings.environment) {
    assignments.push_back(name + "=" + value);
  }
  std::vector<char*> variables;
  for (std::string& assignment : assignments) {
    variables.push_back(assignment.data());
  }
  variables.push_back(nullptr);
  std::string program = aSettings.program;
  std::vector<std::string> words = aSettings.arguments;
  std::vector<char*> arguments{program.data()};
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  std::array<int, 2> ends{-1, -1};
  if (aSettings.hasPipe && ::pipe2(ends.data(), O_CLOEXEC) != 0) {
    return;
  }
  this->pid = ::fork();
  if (this->pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The test's sockets must not stay open in the child.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    if (aSettings.hasPipe) {
      ::dup2(ends[1], STDOUT_FILENO);
      ::dup2(ends[1], STDERR_FILENO);
    }
    aSettings.beforeExec();
    ::execve(program.c_str(), arguments.data(), variables.data());
    ::_exit(kExecFailedStatus);
  }
  if (aSettings.hasPipe) {
    ::close(ends[1]);
    this->pipe = ends[0];
    ::fcntl(this->pipe, F_SETFL, O_NONBLOCK);
  }
}

ChildProcess::~ChildProcess() {
  if (!this->HasEnded()) {
    this->Signal(SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
  }
  if (this->pipe >= 0) {
    ::close(this->pipe);
  }
}

void ChildProcess::Signal(int aSignal) {
  if (!this->HasEnded()) {
    ::kill(this->pid, aSignal);
  }
}

void ChildProcess::ReadAvailable() {
  std::array<char, 4096> buffer{};
  for (ssize_t size = 1; this->pipe >= 0 && size > 0;) {
    size = ::read(this->pipe, buffer.data(), buffer.size());
    if (size > 0) {
      this->output.append(buffer.data(), static_cast<std::size_t>(size));
    }
  }
}

bool ChildProcess::ReadUntil(const std::string& aText) {
  for (int poll = 0; poll < kMaxPolls; ++poll) {
    const bool hasEnded = this->HasEnded();
    this->ReadAvailable();
    if (this->output.find(aText) != std::string::npos) {
      return true;
    }
    if (hasEnded) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (this->end.empty() && ::waitpid(this->pid, &status, WNOHANG) != 0) {
    this->end = WIFEXITED(status)
                    ? "exit " + std::to_string(WEXITSTATUS(status))
                    : "signal " + std::to_string(WTERMSIG(status));
  }
  return !this->end.empty();
}

std::string ChildProcess::LastLine() const {
  const std::size_t end = this->output.find_last_not_of('\n');
  if (end == std::string::npos) {
    return "";
  }
  const std::size_t before = this->output.rfind('\n', end);
  const std::size_t start = before == std::string::npos ? 0 : before + 1;
  return this->output.substr(start, end + 1 - start);
}

std::string ChildProcess::WaitForEnd() {
  for (int poll = 0; poll < kMaxPolls && !this->HasEnded(); ++poll) {
    this->ReadAvailable();
    std::this_thread::sleep_for(kPollInterval);
  }
  this->ReadAvailable();
  return this->end.empty() ? "runs" : this->end;
}

}  // namespace zincstep
