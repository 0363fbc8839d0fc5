#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Bytes that several buffers may occupy together.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t aMaxBytes) : maxBytes(aMaxBytes) {}

  /// Acquires bytes, or none and returns false if fewer are left.
  bool TryAcquire(std::size_t aBytes) {
    if (aBytes > this->maxBytes - this->usedBytes) {
      return false;
    }
    this->usedBytes += aBytes;
    return true;
  }
  void Release(std::size_t aBytes) {
    ZINCSTEP_ASSERT(aBytes <= this->usedBytes);
    this->usedBytes -= aBytes;
  }
  std::size_t UsedBytes() const { return this->usedBytes; }

 private:
  std::size_t maxBytes;
  std::size_t usedBytes = 0;
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
  const std::string& Text() const { return this->text; }

 private:
  std::shared_ptr<ByteBudget> budget;
  std::size_t maxBytes;
  std::size_t acquiredBytes = 0;
  std::string text;
};

}  // namespace zincstep
