#include <nlohmann/json.hpp>
#include <thread>

#include "Zincstep/Core/ForeignJson.h"
#include "Zincstep/Net/Net.h"
#include "Zincstep/Platform/KeyValueStore.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kNotModified = 304;
/// Delay before the first retry of a read; grows linearly with each attempt.
constexpr Micros kReadRetryDelay = 100ms;

/// Sends calls to the platform and parses its responses.
class HttpPlatform {
 public:
  explicit HttpPlatform(PlatformSettings aSettings)
      : settings(std::move(aSettings)) {}

  HttpCallResult Call(const std::string& aMethod, const std::string& aPath,
                      std::string aBody, Micros aExtraTimeout = 0us) const {
    HttpCall call;
    call.method = aMethod;
    call.url = "http://" + this->settings.address + aPath;
    call.headers = {{"User-Agent", this->settings.userAgent}};
    call.body = std::move(aBody);
    call.timeout = this->settings.timeout + aExtraTimeout;
    return FetchBlocking(call, this->settings.responseBytes);
  }

  static tl::unexpected<Error> Unavailable(const HttpCallResult& aResult) {
    const std::string reason = aResult.fault.empty()
                                   ? "status " + std::to_string(aResult.status)
                                   : aResult.fault;
    return Fail(ErrorKind::PlatformUnavailable,
                "the key-value service did not respond: " + reason);
  }

  /// Runs `aRead` on the JSON body of a response with status 200; any other
  /// outcome fails with `PlatformUnavailable`.
  template <class T, class Read>
  static Result<T> ReadResponse(const HttpCallResult& aResult, Read aRead) {
    if (aResult.end != CallEnd::Answered || aResult.status != kOk) {
      return Unavailable(aResult);
    }
    try {
      return aRead(ParseForeignJsonOrThrow(aResult.body));
    } catch (const Json::exception& error) {
      return Fail(ErrorKind::PlatformUnavailable, error.what());
    }
  }

 private:
  PlatformSettings settings;
};

StoredValue ValueFromJson(const Json& aJson) {
  return {aJson.at("value").get<std::string>(),
          aJson.at("revision").get<std::uint64_t>()};
}

class HttpKeyValueStore final : public KeyValueStore {
 public:
  explicit HttpKeyValueStore(PlatformSettings aSettings)
      : platform(std::move(aSettings)) {}

  Result<std::optional<StoredValue>> Get(const std::string& aKey) override {
    return ReadOptional(this->platform.Call("GET", "/v1/kv/" + aKey, ""));
  }

  Result<std::vector<KeyedValue>> List(const std::string& aPrefix) override {
    const auto result =
        this->platform.Call("GET", "/v1/kv?prefix=" + aPrefix, "");
    const auto read = [](const Json& aJson) {
      std::vector<KeyedValue> values;
      for (const Json& item : aJson.at("values")) {
        values.push_back(
            {item.at("key").get<std::string>(), ValueFromJson(item)});
      }
      return values;
    };
    return HttpPlatform::ReadResponse<std::vector<KeyedValue>>(result, read);
  }

  Result<std::optional<std::uint64_t>> CompareAndSwap(const std::string& aKey,
                                                      std::uint64_t aExpected,
                                                      const std::string& aValue,
                                                      LeaseId aLease) override {
    const std::string path = "/v1/kv/" + aKey +
                             "?if=" + std::to_string(aExpected) +
                             "&lease=" + std::to_string(aLease);
    const auto result = this->platform.Call("PUT", path, aValue);
    if (result.end == CallEnd::Answered && result.status == kConflict) {
      return std::optional<std::uint64_t>();
    }
    const auto read = [](const Json& aJson) {
      return std::optional(aJson.at("revision").get<std::uint64_t>());
    };
    return HttpPlatform::ReadResponse<std::optional<std::uint64_t>>(result,
                                                                    read);
  }

  Result<bool> Remove(const std::string& aKey,
                      std::uint64_t aExpected) override {
    const auto result = this->platform.Call(
        "DELETE", "/v1/kv/" + aKey + "?if=" + std::to_string(aExpected), "");
    if (result.end == CallEnd::Answered && result.status == kConflict) {
      return false;
    }
    const Result<void> done = CheckStatus(result);
    if (!done) {
      return tl::unexpected(done.error());
    }
    return true;
  }

  Result<LeaseId> GrantLease(Micros aTtl) override {
    const auto result = this->platform.Call(
        "POST", "/v1/leases?ttl_ms=" + std::to_string(aTtl.count() / 1000), "");
    const auto read = [](const Json& aJson) {
      return aJson.at("lease").get<LeaseId>();
    };
    return HttpPlatform::ReadResponse<LeaseId>(result, read);
  }

  Result<void> RenewLease(LeaseId aLease) override {
    const auto result =
        this->platform.Call("PUT", "/v1/leases/" + std::to_string(aLease), "");
    if (result.end == CallEnd::Answered && result.status == kNotFound) {
      return Fail(ErrorKind::LeaseLost, "the lease has expired");
    }
    return CheckStatus(result);
  }

  Result<std::optional<StoredValue>> Watch(const std::string& aKey,
                                           std::uint64_t aAfter,
                                           Micros aWait) override {
    const std::string path = "/v1/watch/" + aKey +
                             "?after=" + std::to_string(aAfter) +
                             "&wait_ms=" + std::to_string(aWait.count() / 1000);
    return ReadOptional(this->platform.Call("GET", path, "", aWait));
  }

 private:
  static Result<std::optional<StoredValue>> ReadOptional(
      const HttpCallResult& aResult) {
    if (aResult.end == CallEnd::Answered && aResult.status == kNotFound) {
      return std::optional<StoredValue>();
    }
    const auto read = [](const Json& aJson) {
      return std::optional(ValueFromJson(aJson));
    };
    return HttpPlatform::ReadResponse<std::optional<StoredValue>>(aResult,
                                                                  read);
  }

  static Result<void> CheckStatus(const HttpCallResult& aResult) {
    if (aResult.end != CallEnd::Answered || aResult.status != kOk) {
      return HttpPlatform::Unavailable(aResult);
    }
    return {};
  }

  HttpPlatform platform;
};

VmEntry VmFromJson(const Json& aJson) {
  VmEntry entry;
  entry.name = aJson.at("name").get<std::string>();
  entry.failureDomain = aJson.at("failure_domain").get<std::string>();
  const auto role = aJson.at("role").get<std::string>();
  entry.role =
      ValueIn(kVmRoleNames, std::string_view(role)).value_or(VmRole::Upstream);
  entry.address = aJson.at("address").get<std::string>();
  entry.peerAddress = aJson.value("peer_address", "");
  entry.leaving = aJson.value("leaving", false);
  return entry;
}

class HttpVmList final : public VmList {
 public:
  explicit HttpVmList(PlatformSettings aSettings)
      : platform(std::move(aSettings)) {}

  Result<std::vector<VmEntry>> List() override {
    const std::string path = "/v1/vms?after=" + std::to_string(this->revision);
    const auto result = this->platform.Call("GET", path, "");
    if (result.end == CallEnd::Answered && result.status == kNotModified) {
      return this->lastList;
    }
    std::uint64_t listRevision = 0;
    const auto read = [&listRevision](const Json& aJson) {
      std::vector<VmEntry> entries;
      for (const Json& item : aJson.at("vms")) {
        entries.push_back(VmFromJson(item));
      }
      listRevision = aJson.at("revision").get<std::uint64_t>();
      return entries;
    };
    auto list = HttpPlatform::ReadResponse<std::vector<VmEntry>>(result, read);
    if (list) {
      this->lastList = *list;
      this->revision = listRevision;
    }
    return list;
  }

 private:
  HttpPlatform platform;
  /// Revision of `lastList`. The list has some hundred kilobytes and changes
  /// every few minutes, so that the platform sends it only if it has changed
  /// since.
  std::uint64_t revision = 0;
  std::vector<VmEntry> lastList;
};

/// Retries failed reads. Writes are not retried, as they may have taken effect;
/// the caller handles them.
class RetryingReads final : public KeyValueStore {
 public:
  RetryingReads(std::unique_ptr<KeyValueStore> aStore, int aMaxAttempts)
      : store(std::move(aStore)), maxAttempts(aMaxAttempts) {}

  Result<std::optional<StoredValue>> Get(const std::string& aKey) override {
    return this->Retry([&] { return this->store->Get(aKey); });
  }
  Result<std::vector<KeyedValue>> List(const std::string& aPrefix) override {
    return this->Retry([&] { return this->store->List(aPrefix); });
  }
  Result<std::optional<std::uint64_t>> CompareAndSwap(const std::string& aKey,
                                                      std::uint64_t aExpected,
                                                      const std::string& aValue,
                                                      LeaseId aLease) override {
    return this->store->CompareAndSwap(aKey, aExpected, aValue, aLease);
  }
  Result<bool> Remove(const std::string& aKey,
                      std::uint64_t aExpected) override {
    return this->store->Remove(aKey, aExpected);
  }
  Result<LeaseId> GrantLease(Micros aTtl) override {
    return this->store->GrantLease(aTtl);
  }
  Result<void> RenewLease(LeaseId aLease) override {
    return this->store->RenewLease(aLease);
  }
  Result<std::optional<StoredValue>> Watch(const std::string& aKey,
                                           std::uint64_t aAfter,
                                           Micros aWait) override {
    return this->store->Watch(aKey, aAfter, aWait);
  }

 private:
  template <class Read>
  auto Retry(Read aRead) -> decltype(aRead()) {
    auto result = aRead();
    for (int i = 1; i < this->maxAttempts && !result; ++i) {
      std::this_thread::sleep_for(kReadRetryDelay * i);
      result = aRead();
    }
    return result;
  }

  std::unique_ptr<KeyValueStore> store;
  int maxAttempts;
};

}  // namespace

std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(
    PlatformSettings aSettings) {
  return std::make_unique<HttpKeyValueStore>(std::move(aSettings));
}

std::unique_ptr<KeyValueStore> MakeRetryingReads(
    std::unique_ptr<KeyValueStore> aStore, int aMaxAttempts) {
  return std::make_unique<RetryingReads>(std::move(aStore), aMaxAttempts);
}

std::unique_ptr<VmList> MakeHttpVmList(PlatformSettings aSettings) {
  return std::make_unique<HttpVmList>(std::move(aSettings));
}

}  // namespace zincstep
