#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// What a caller may conclude about its request from a refusal.
enum class Outcome { NotRun, MayHaveRun, Ran };

/// Every kind of error that leaves a library of zincstep: the closed list.
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

/// One row of the table from error kind to the answer a caller gets.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;
  int status;
  Outcome outcome;
  /// When to come back; zero where coming back does not help.
  Micros retryAfter;
};

/// The row of the table for `aKind`.
const ErrorInfo& ErrorInfoFor(ErrorKind aKind);

/// `not_run`, `may_have_run` or `ran`: the word that callers read.
std::string_view NameOf(Outcome aOutcome);

/// An error with its kind and a message for people.
struct Error {
  ErrorKind kind = ErrorKind::Internal;
  std::string message;
  /// Goes before the table's value where it is set.
  std::optional<Micros> retryAfter;

  /// When the caller should come back: own value, else the table's.
  Micros RetryAfter() const {
    return this->retryAfter.value_or(ErrorInfoFor(this->kind).retryAfter);
  }
};

template <class T>
using Result = tl::expected<T, Error>;

/// A failed result of kind `aKind`.
inline tl::unexpected<Error> Fail(ErrorKind aKind, std::string aMessage) {
  return tl::unexpected<Error>(Error{aKind, std::move(aMessage), {}});
}

}  // namespace zincstep
