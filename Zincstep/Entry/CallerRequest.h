#pragma once

#include <optional>
#include <string>

#include "Zincstep/Entry/Snapshot.h"
#include "Zincstep/Net/Net.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// What the headers of a request specify, for models and services alike.
struct CallerInfo {
  /// Owner of the bearer key; points into the snapshot.
  const Organisation* organisation = nullptr;
  /// Empty if the caller sent none.
  std::string idempotencyKey;
  Priority priority = Priority::Normal;
  Instant deadline;
  TraceContext trace;
};

/// Limits on the deadlines that a caller may request.
struct CallerLimits {
  /// Deadline of requests that specify none.
  Micros defaultDeadline{0};
  Micros maxDeadline{0};
};

/// Authenticates the caller and parses the headers.
///
/// Fails with `Unauthenticated` if the bearer key is missing or unknown, and
/// with `BadRequest` if a header is invalid.
Result<CallerInfo> ParseCallerInfo(const HttpRequest& aRequest,
                                   const Snapshot& aSnapshot,
                                   const CallerLimits& aLimits, Instant aNow,
                                   Random& aRandom);

/// A parsed completion request.
struct CompletionRequest {
  std::string model;
  /// The part of the model's name after a colon; empty if there is none.
  std::string adapter;
  /// For a chat, all messages joined into one text.
  std::string prompt;
  std::optional<int> maxTokens;
  bool stream = false;
  bool isChat = false;
};

/// Parses the body of `/v1/completions` or `/v1/chat/completions`; fails with
/// `BadRequest`.
Result<CompletionRequest> ReadCompletion(const std::string& aBody,
                                         bool aIsChat);

/// Hash of organisation and idempotency key, used as the key of the claim.
std::string ClaimKey(const std::string& aOrganisation,
                     const std::string& aIdempotencyKey);

/// Hash of method, path, query and body, to distinguish a repeat from a reuse
/// of the key for another request.
std::uint64_t RequestDigest(const HttpRequest& aRequest);

}  // namespace zincstep
