#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "Zincstep/Core/Channel.h"

namespace zincstep {

/// A thread that does one duty: it runs the tasks of a bounded ring in turn.
template <class Task>
class TaskThread {
 public:
  using Run = std::function<void(Task)>;

  /// `aRun` is called on the thread.
  TaskThread(std::size_t aCapacity, Run aRun)
      : run(std::move(aRun)),
        tasks(aCapacity, this->doorbell),
        thread([this] { this->Loop(); }) {}

  /// Waits for the task that runs; those that wait are dropped.
  ~TaskThread() {
    this->stopping = true;
    this->doorbell.Notify();
    this->thread.join();
  }

  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;

  /// Adds a task; false where the ring is full.
  bool Push(Task aTask) { return this->tasks.Push(std::move(aTask)); }

 private:
  /// Longest sleep between looks at whether to stop.
  static constexpr Micros kMaxSleep = 1s;

  void Loop() {
    while (!this->stopping) {
      this->doorbell.Wait(kMaxSleep);
      while (auto task = this->stopping ? nullptr : this->tasks.Pop()) {
        this->run(std::move(*task));
      }
    }
  }

  Run run;
  WakeEvent doorbell;
  Channel<Task> tasks;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace zincstep
