#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// What an error response implies about the execution of the request.
enum class Outcome { NotRun, MayHaveRun, Ran };

/// All kinds of errors that zincstep's libraries return.
enum class ErrorKind {
  BadRequest,
  Unauthenticated,
  Forbidden,
  UnknownModel,
  UnknownService,
  UnknownRoute,
  MethodNotAllowed,
  RequestTooLarge,
  KeyReused,
  KeyInProgress,
  KeyFinished,
  KeyInDoubt,
  KeyMemoryFull,
  LimitReached,
  RequestBlocked,
  Overloaded,
  NoCapacity,
  NotReady,
  Stopping,
  StoppedDuringRun,
  DeadlineBeforeRun,
  DeadlineDuringRun,
  UpstreamUnreachable,
  UpstreamEnded,
  UpstreamFailed,
  ResponseIncomplete,
  ConfigInvalid,
  ConfigConflict,
  PlatformUnavailable,
  HistoryLost,
  LeaseLost,
  StoreRestored,
  Internal,
};

/// How an error kind is reported to callers.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;
  int status;
  Outcome outcome;
  /// Default `Retry-After`; zero if a retry does not help.
  Micros retryAfter;
};

/// Returns how `aKind` is reported.
const ErrorInfo& ErrorInfoFor(ErrorKind aKind);

/// Returns `not_run`, `may_have_run` or `ran`, the text in error responses.
std::string_view NameOf(Outcome aOutcome);

/// An error with its kind and a human-readable message.
struct Error {
  ErrorKind kind = ErrorKind::Internal;
  std::string message;
  /// Overrides the default of `kind` if set.
  std::optional<Micros> retryAfter;

  /// Returns the time after which the caller should retry; zero if a retry does
  /// not help.
  Micros RetryAfter() const {
    return this->retryAfter.value_or(ErrorInfoFor(this->kind).retryAfter);
  }
};

template <class T>
using Result = tl::expected<T, Error>;

/// Returns a failed result of kind `aKind`.
inline tl::unexpected<Error> Fail(ErrorKind aKind, std::string aMessage) {
  return tl::unexpected<Error>(Error{aKind, std::move(aMessage), {}});
}

}  // namespace zincstep
