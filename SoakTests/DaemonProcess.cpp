#include "SoakTests/DaemonProcess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <vector>

namespace zincstep::soak {

namespace {

constexpr mode_t kLogMode = 0644;
/// Runs a program that is killed as soon as this process ends, however it does.
constexpr std::array kSetParentDeathSignal{"setpriv", "--pdeathsig", "KILL"};

}  // namespace

DaemonProcess::DaemonProcess(std::string aProgram, std::string aLog,
                             std::map<std::string, std::string> aEnvironment)
    : program(std::move(aProgram)),
      log(std::move(aLog)),
      environment(std::move(aEnvironment)) {}

DaemonProcess::~DaemonProcess() { this->Kill(); }

bool DaemonProcess::Start() {
  if (this->IsRunning()) {
    return true;
  }
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, this->log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
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
  command.push_back(this->program);
  std::vector<char*> arguments;
  for (std::string& argument : command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int error = posix_spawnp(&this->pid, arguments.front(), &files, nullptr,
                                 arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&files);
  this->isStopped = false;
  this->isKilled = false;
  if (error != 0) {
    this->pid = -1;
  }
  return error == 0;
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
                                   std::to_string(code));
  }
}

}  // namespace zincstep::soak
