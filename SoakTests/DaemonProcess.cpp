#include "SoakTests/DaemonProcess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/ioctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <vector>

namespace zincstep::soak {

namespace {

constexpr mode_t kLogMode = 0644;
/// Runs a program that is killed as soon as this process ends, however it does.
constexpr std::array kSetParentDeathSignal{"setpriv", "--pdeathsig", "KILL"};
/// Size of a pipe that nobody reads; some tens of log lines fill it.
constexpr int kUnreadBytes = 4096;

/// Returns the last line of a text.
std::string LastLineOf(std::string aText) {
  while (aText.ends_with('\n')) {
    aText.pop_back();
  }
  return aText.substr(aText.rfind('\n') + 1);
}

}  // namespace

DaemonProcess::DaemonProcess(std::string aProgram, std::string aLog,
                             std::map<std::string, std::string> aEnvironment)
    : program(std::move(aProgram)),
      log(std::move(aLog)),
      environment(std::move(aEnvironment)) {}

DaemonProcess::~DaemonProcess() { this->Kill(); }

bool DaemonProcess::Start(const StartConditions& aConditions) {
  if (this->IsRunning()) {
    return true;
  }
  std::error_code missing;
  const std::uintmax_t size = std::filesystem::file_size(this->log, missing);
  this->logStart = missing ? 0 : size;
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  std::array<int, 2> pipe{-1, -1};
  if (aConditions.hasUnreadOutput && ::pipe2(pipe.data(), O_CLOEXEC) == 0) {
    ::fcntl(pipe[1], F_SETPIPE_SZ, kUnreadBytes);
    posix_spawn_file_actions_adddup2(&files, pipe[1], STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, this->log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  }
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // Inherited sockets would keep connections open that the soak test closes:
  // 2 in 1,000 requests stalled until their timeout.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::vector<std::string> assignments;
  for (const auto& [name, value] : this->environment) {
    assignments.push_back(name + "=" + value);
  }
  std::vector<char*> variables;
  for (std::string& line : assignments) {
    variables.push_back(line.data());
  }
  variables.push_back(nullptr);
  std::vector<std::string> command(kSetParentDeathSignal.begin(),
                                   kSetParentDeathSignal.end());
  if (aConditions.maxDescriptors > 0) {
    command.insert(
        command.end(),
        {"prlimit", "--nofile=" + std::to_string(aConditions.maxDescriptors)});
  }
  command.push_back(this->program);
  std::vector<char*> arguments;
  for (std::string& argument : command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int error = posix_spawnp(&this->pid, arguments.front(), &files, nullptr,
                                 arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&files);
  this->output = pipe[0];
  if (pipe[1] >= 0) {
    ::close(pipe[1]);
  }
  this->isStopped = false;
  this->isKilled = false;
  if (error != 0) {
    this->pid = -1;
    this->CloseOutput();
  }
  return error == 0;
}

bool DaemonProcess::HasOutput() {
  if (this->output >= 0) {
    int bytes = 0;
    return ::ioctl(this->output, FIONREAD, &bytes) == 0 && bytes > 0;
  }
  std::error_code missing;
  return std::filesystem::file_size(this->log, missing) > this->logStart &&
         !missing;
}

std::string DaemonProcess::LastLine() {
  std::string text;
  if (!this->HasOutput()) {
    return text;
  }
  if (this->output >= 0) {
    text.resize(kUnreadBytes);
    const ssize_t count = ::read(this->output, text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return "(output not read) " + LastLineOf(std::move(text));
  }
  std::ifstream file(this->log);
  file.seekg(static_cast<std::streamoff>(this->logStart));
  for (std::string line; std::getline(file, line);) {
    text = std::move(line);
  }
  return text;
}

void DaemonProcess::CloseOutput() {
  if (this->output >= 0) {
    ::close(this->output);
    this->output = -1;
  }
}

void DaemonProcess::Signal(int aSignal) {
  if (this->pid > 0) {
    this->isStopped = this->isStopped || aSignal == SIGTERM;
    this->isKilled = this->isKilled || aSignal == SIGKILL;
    ::kill(this->pid, aSignal);
  }
}

bool DaemonProcess::IsRunning() {
  int status = 0;
  if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->OnEnd(status);
  }
  return this->pid > 0;
}

void DaemonProcess::Kill() {
  if (this->IsRunning()) {
    this->Signal(SIGKILL);
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->OnEnd(status);
  }
}

void DaemonProcess::OnEnd(int aStatus) {
  this->pid = -1;
  const bool isExit = WIFEXITED(aStatus);
  const int code = isExit ? WEXITSTATUS(aStatus) : WTERMSIG(aStatus);
  const bool isExpected = isExit ? this->isStopped && code == 0
                                 : (this->isKilled && code == SIGKILL) ||
                                       (this->isStopped && code == SIGTERM);
  if (!isExpected) {
    this->unexpectedEnds.push_back((isExit ? "exit " : "signal ") +
                                   std::to_string(code) +
                                   ", last line: " + this->LastLine());
  }
  this->CloseOutput();
}

}  // namespace zincstep::soak
