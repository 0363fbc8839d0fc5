#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Bytes that several buffers may occupy together, on any thread.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t aMaxBytes) : maxBytes(aMaxBytes) {}

  /// Acquires bytes, or none and returns false if fewer are left.
  bool TryAcquire(std::size_t aBytes) {
    std::size_t used = this->usedBytes;
    do {
      if (aBytes > this->maxBytes - used) {
        return false;
      }
    } while (!this->usedBytes.compare_exchange_weak(used, used + aBytes));
    return true;
  }
  void Release(std::size_t aBytes) {
    const std::size_t used = this->usedBytes.fetch_sub(aBytes);
    ZINCSTEP_ASSERT(aBytes <= used);
  }
  std::size_t UsedBytes() const { return this->usedBytes; }

 private:
  const std::size_t maxBytes;
  std::atomic<std::size_t> usedBytes{0};
};

/// The body of a message that is buffered until it is complete.
///
/// Bounded by a maximum of its own and by a budget that it shares. A short body
/// takes nothing from the budget, so that long ones can't use up what short
/// ones need.
class BodyBuffer {
 public:
  BodyBuffer(std::shared_ptr<ByteBudget> aBudget, std::size_t aMaxBytes)
      : budget(std::move(aBudget)), maxBytes(aMaxBytes) {}
  ~BodyBuffer() { this->Clear(); }
  BodyBuffer(const BodyBuffer&) = delete;
  BodyBuffer& operator=(const BodyBuffer&) = delete;

  /// Appends a part; returns false if the body became too long for that.
  bool Append(std::string_view aPart);
  /// Removes all bytes and releases their memory.
  void Clear();
  /// Returns the bytes and releases them from the budget.
  std::string Take();
  const std::string& Text() const { return this->text; }

 private:
  std::shared_ptr<ByteBudget> budget;
  std::size_t maxBytes;
  std::size_t acquiredBytes = 0;
  std::string text;
};

}  // namespace zincstep
