#pragma once

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// Wakes one waiting thread; shared by the thread's incoming channels.
class WakeEvent {
 public:
  /// Wakes the waiting thread, or makes its next wait return immediately.
  void Notify() {
    if (this->isNotified.exchange(true, std::memory_order_acq_rel)) {
      return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->condition.notify_one();
  }

  /// Waits for a notification, at most `aTimeout`.
  void Wait(Micros aTimeout) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->condition.wait_for(lock, aTimeout,
                             [this] { return this->isNotified.load(); });
    this->isNotified.store(false, std::memory_order_release);
  }

 private:
  std::atomic<bool> isNotified{false};
  std::mutex mutex;
  std::condition_variable condition;
};

/// Bounded lock-free queue of messages from many threads to one, with a wake-up
/// event.
///
/// The queue stores pointers, because `boost::lockfree::queue` requires a
/// trivial element type and messages own memory.
template <class T>
class Channel {
 public:
  Channel(std::size_t aCapacity, WakeEvent& aWakeEvent)
      : queue(aCapacity), wakeEvent(aWakeEvent) {}

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  ~Channel() {
    while (this->Pop()) {
    }
  }

  /// Appends `aMessage`; returns false if the queue is full.
  bool Push(T aMessage) {
    auto owned = std::make_unique<T>(std::move(aMessage));
    if (!this->queue.bounded_push(owned.get())) {
      return false;
    }
    (void)owned.release();
    this->wakeEvent.Notify();
    return true;
  }

  /// Removes and returns the oldest message; null if the queue is empty.
  std::unique_ptr<T> Pop() {
    T* message = nullptr;
    if (!this->queue.pop(message)) {
      return nullptr;
    }
    return std::unique_ptr<T>(message);
  }

 private:
  boost::lockfree::queue<T*> queue;
  WakeEvent& wakeEvent;
};

}  // namespace zincstep
