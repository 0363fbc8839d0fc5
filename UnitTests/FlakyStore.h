#pragma once

#include <functional>

#include "StandIns/MemoryStore.h"

namespace zincstep {

/// How a flaky store fails a call.
enum class StoreFault {
  None,
  /// The request is lost; nothing takes effect.
  Lost,
  /// The call takes effect, but its response is lost.
  ResponseLost,
};

/// A key-value service in memory with a fault chosen by the test for each call.
class FlakyStore final : public KeyValueStore {
 public:
  /// Called before each call to choose its fault.
  using FaultSource = std::function<StoreFault()>;

  explicit FlakyStore(standins::MemoryStore& aStore) : store(aStore) {}

  void SetFaults(FaultSource aSource) { this->source = std::move(aSource); }
  /// Runs `aStep` once, right before the next swap of the root, as another
  /// writer would.
  void BeforeNextSwap(std::function<void()> aStep) {
    this->beforeSwap = std::move(aStep);
  }

  Result<std::optional<StoredValue>> Get(const std::string& aKey) override {
    return this->Run<std::optional<StoredValue>>(
        [&] { return this->store.Get(aKey); });
  }
  Result<std::vector<KeyedValue>> List(const std::string& aPrefix) override {
    return this->Run<std::vector<KeyedValue>>(
        [&] { return this->store.List(aPrefix); });
  }
  Result<std::optional<std::uint64_t>> CompareAndSwap(const std::string& aKey,
                                                      std::uint64_t aExpected,
                                                      const std::string& aValue,
                                                      LeaseId aLease) override {
    if (this->beforeSwap && aKey.ends_with("root")) {
      std::exchange(this->beforeSwap, nullptr)();
    }
    return this->Run<std::optional<std::uint64_t>>([&] {
      return this->store.CompareAndSwap(aKey, aExpected, aValue, aLease);
    });
  }
  Result<bool> Remove(const std::string& aKey,
                      std::uint64_t aExpected) override {
    return this->Run<bool>([&] { return this->store.Remove(aKey, aExpected); });
  }
  Result<LeaseId> GrantLease(Micros aTtl) override {
    return this->Run<LeaseId>([&] { return this->store.GrantLease(aTtl); });
  }
  Result<void> RenewLease(LeaseId aLease) override {
    const Result<bool> renewed =
        this->Run<bool>([&] { return this->store.RenewLease(aLease); });
    if (!renewed) {
      return tl::unexpected(renewed.error());
    }
    if (!*renewed) {
      return Fail(ErrorKind::LeaseLost, "lease expired");
    }
    return {};
  }
  Result<std::optional<StoredValue>> Watch(const std::string& aKey,
                                           std::uint64_t aAfter,
                                           Micros) override {
    auto value = this->Get(aKey);
    if (value && *value && (*value)->revision <= aAfter) {
      return std::optional<StoredValue>();
    }
    return value;
  }

 private:
  template <class T, class Step>
  Result<T> Run(Step aStep) {
    const StoreFault fault = this->source ? this->source() : StoreFault::None;
    if (fault == StoreFault::Lost) {
      return Fail(ErrorKind::PlatformUnavailable, "request lost");
    }
    T result = aStep();
    if (fault == StoreFault::ResponseLost) {
      return Fail(ErrorKind::PlatformUnavailable, "response lost");
    }
    return result;
  }

  standins::MemoryStore& store;
  FaultSource source;
  std::function<void()> beforeSwap;
};

}  // namespace zincstep
