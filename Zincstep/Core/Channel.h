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

/// Wakes the one thread that waits on it; shared by its incoming rings.
class WakeEvent {
 public:
  /// Wakes the waiting thread, or lets its next wait return at once.
  void Notify() {
    if (this->rung.exchange(true, std::memory_order_acq_rel)) {
      return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->signal.notify_one();
  }

  /// Waits for a ring, at most `aSpan`.
  void Wait(Micros aSpan) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->signal.wait_for(lock, aSpan, [this] { return this->rung.load(); });
    this->rung.store(false, std::memory_order_release);
  }

 private:
  std::atomic<bool> rung{false};
  std::mutex mutex;
  std::condition_variable signal;
};

/// A bounded ring of messages from many threads to one, with a doorbell.
///
/// The ring holds pointers, since the messages own memory of their own.
template <class T>
class Channel {
 public:
  Channel(std::size_t aCapacity, WakeEvent& aDoorbell)
      : ring(aCapacity), doorbell(aDoorbell) {}

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  ~Channel() {
    while (this->Pop()) {
    }
  }

  /// Appends `aMessage`; false when the ring is full.
  bool Push(T aMessage) {
    auto owned = std::make_unique<T>(std::move(aMessage));
    if (!this->ring.bounded_push(owned.get())) {
      return false;
    }
    (void)owned.release();
    this->doorbell.Notify();
    return true;
  }

  /// The oldest message, or null when the ring is empty.
  std::unique_ptr<T> Pop() {
    T* message = nullptr;
    if (!this->ring.pop(message)) {
      return nullptr;
    }
    return std::unique_ptr<T>(message);
  }

 private:
  boost::lockfree::queue<T*> ring;
  WakeEvent& doorbell;
};

}  // namespace zincstep
