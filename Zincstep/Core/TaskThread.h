#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "Zincstep/Core/Channel.h"

namespace zincstep {

/// A thread that runs the tasks of a bounded queue in order.
template <class Task>
class TaskThread {
 public:
  using Run = std::function<void(Task)>;

  /// Starts the thread, which calls `aRun` for each task.
  TaskThread(std::size_t aCapacity, Run aRun)
      : run(std::move(aRun)),
        tasks(aCapacity, this->wakeEvent),
        thread([this] { this->RunLoop(); }) {}

  /// Waits for the running task; queued tasks are dropped.
  ~TaskThread() {
    this->isStopping = true;
    this->wakeEvent.Notify();
    this->thread.join();
  }

  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;

  /// Appends a task; returns false if the queue is full.
  bool Push(Task aTask) { return this->tasks.Push(std::move(aTask)); }

 private:
  /// Maximum wait between checks of `isStopping`.
  static constexpr Micros kMaxWait = 1s;

  void RunLoop() {
    while (!this->isStopping) {
      this->wakeEvent.Wait(kMaxWait);
      while (auto task = this->isStopping ? nullptr : this->tasks.Pop()) {
        this->run(std::move(*task));
      }
    }
  }

  Run run;
  WakeEvent wakeEvent;
  Channel<Task> tasks;
  std::atomic<bool> isStopping{false};
  std::thread thread;
};

}  // namespace zincstep
