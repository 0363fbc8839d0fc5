#pragma once

#include <optional>
#include <string>

#include "Zincstep/Entry/Snapshot.h"
#include "Zincstep/Net/Net.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// What the headers of a request say, whatever it asks for.
struct CallerInfo {
  const Organisation* organisation = nullptr;
  /// Empty where the caller gave none.
  std::string idempotencyKey;
  Priority priority = Priority::Normal;
  Instant deadline;
  TraceContext trace;
};

/// Limits of what a caller may ask for.
struct CallerLimits {
  Micros defaultDeadline{0};
  Micros maxDeadline{0};
};

/// Reads the headers; fails with the refusal that fits.
Result<CallerInfo> ReadCallerFacts(const HttpRequest& aRequest,
                                   const Snapshot& aSnapshot,
                                   const CallerLimits& aLimits, Instant aNow,
                                   Random& aRandom);

/// A request for tokens of a model.
struct CompletionRequest {
  std::string model;
  /// Behind a colon in the model's name; empty for none.
  std::string adapter;
  std::string prompt;
  std::optional<int> maxTokens;
  bool stream = false;
  bool isChat = false;
};

/// Reads the body of `/v1/completions` or `/v1/chat/completions`.
Result<CompletionRequest> ReadCompletion(const std::string& aBody,
                                         bool aIsChat);

/// Hash of organisation and idempotency key: the claim's key.
std::string ClaimKey(const std::string& aOrganisation,
                     const std::string& aIdempotencyKey);

/// Hash of what a request asks for, to tell a repeat from another one.
std::uint64_t RequestDigest(const HttpRequest& aRequest);

}  // namespace zincstep
