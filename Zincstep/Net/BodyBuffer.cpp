#include "Zincstep/Net/BodyBuffer.h"

namespace zincstep {

namespace {

/// A body up to this size takes nothing from the budget, in bytes.
constexpr std::size_t kShortBodyBytes = 16 << 10;

}  // namespace

bool BodyBuffer::Append(std::string_view aPart) {
  const std::size_t size = this->text.size() + aPart.size();
  const std::size_t needed =
      size > kShortBodyBytes ? size - kShortBodyBytes : 0;
  if (size > this->maxBytes ||
      !this->budget->TryAcquire(needed - this->acquiredBytes)) {
    return false;
  }
  this->acquiredBytes = needed;
  this->text.append(aPart);
  return true;
}

void BodyBuffer::Clear() {
  this->budget->Release(std::exchange(this->acquiredBytes, 0));
  this->text = std::string();
}

std::string BodyBuffer::Take() {
  std::string taken = std::move(this->text);
  this->Clear();
  return taken;
}

}  // namespace zincstep
