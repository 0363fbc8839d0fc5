#include "Zincstep/Core/Error.h"

#include <array>

#include "Zincstep/Core/Assert.h"

namespace zincstep {

namespace {

using K = ErrorKind;
using O = Outcome;

constexpr std::array kErrorInfos{
    ErrorInfo{K::BadRequest, "bad_request", 400, O::NotRun, 0s},
    ErrorInfo{K::Unauthenticated, "unauthenticated", 401, O::NotRun, 0s},
    ErrorInfo{K::Forbidden, "forbidden", 403, O::NotRun, 0s},
    ErrorInfo{K::UnknownModel, "unknown_model", 404, O::NotRun, 0s},
    ErrorInfo{K::UnknownService, "unknown_service", 404, O::NotRun, 0s},
    ErrorInfo{K::UnknownRoute, "unknown_route", 404, O::NotRun, 0s},
    ErrorInfo{K::MethodNotAllowed, "method_not_allowed", 405, O::NotRun, 0s},
    ErrorInfo{K::RequestTooLarge, "request_too_large", 413, O::NotRun, 0s},
    ErrorInfo{K::KeyReused, "key_reused", 422, O::NotRun, 0s},
    ErrorInfo{K::KeyInProgress, "key_in_progress", 409, O::MayHaveRun, 1s},
    ErrorInfo{K::KeyFinished, "key_finished", 409, O::Ran, 0s},
    ErrorInfo{K::KeyInDoubt, "key_in_doubt", 503, O::NotRun, 2s},
    ErrorInfo{K::KeyMemoryFull, "key_memory_full", 503, O::NotRun, 30s},
    ErrorInfo{K::LimitReached, "limit_reached", 429, O::NotRun, 1s},
    ErrorInfo{K::RequestBlocked, "request_blocked", 503, O::NotRun, 600s},
    ErrorInfo{K::Overloaded, "overloaded", 503, O::NotRun, 1s},
    ErrorInfo{K::NoCapacity, "no_capacity", 503, O::NotRun, 2s},
    ErrorInfo{K::NotReady, "not_ready", 503, O::NotRun, 1s},
    ErrorInfo{K::Stopping, "stopping", 503, O::NotRun, 1s},
    ErrorInfo{K::StoppedDuringRun, "stopped_during_run", 502, O::MayHaveRun,
              0s},
    ErrorInfo{K::DeadlineBeforeRun, "deadline_before_run", 504, O::NotRun, 0s},
    ErrorInfo{K::DeadlineDuringRun, "deadline_during_run", 504, O::MayHaveRun,
              0s},
    ErrorInfo{K::UpstreamUnreachable, "upstream_unreachable", 503, O::NotRun,
              1s},
    ErrorInfo{K::UpstreamEnded, "upstream_ended", 502, O::MayHaveRun, 0s},
    ErrorInfo{K::UpstreamFailed, "upstream_failed", 502, O::MayHaveRun, 0s},
    ErrorInfo{K::ResponseIncomplete, "answer_incomplete", 502, O::MayHaveRun,
              0s},
    ErrorInfo{K::ConfigInvalid, "config_invalid", 400, O::NotRun, 0s},
    ErrorInfo{K::ConfigConflict, "config_conflict", 409, O::NotRun, 0s},
    ErrorInfo{K::PlatformUnavailable, "platform_unavailable", 503,
              O::MayHaveRun, 1s},
    ErrorInfo{K::HistoryLost, "history_lost", 503, O::NotRun, 1s},
    ErrorInfo{K::LeaseLost, "lease_lost", 409, O::NotRun, 0s},
    ErrorInfo{K::StoreRestored, "store_restored", 503, O::MayHaveRun, 1s},
    ErrorInfo{K::Internal, "internal", 500, O::MayHaveRun, 0s},
};

constexpr bool IsTableInOrder() {
  for (std::size_t i = 0; i < kErrorInfos.size(); ++i) {
    if (static_cast<std::size_t>(kErrorInfos[i].kind) != i) {
      return false;
    }
  }
  return kErrorInfos.size() == static_cast<std::size_t>(K::Internal) + 1;
}
static_assert(
    IsTableInOrder(),
    "kErrorInfos must have one row per ErrorKind, in the order of the enum");

}  // namespace

const ErrorInfo& ErrorInfoFor(ErrorKind aKind) {
  const auto index = static_cast<std::size_t>(aKind);
  ZINCSTEP_ASSERT(index < kErrorInfos.size());
  return kErrorInfos[index];
}

std::string_view NameOf(Outcome aOutcome) {
  constexpr std::array<std::string_view, 3> kNames{"not_run", "may_have_run",
                                                   "ran"};
  return kNames[static_cast<std::size_t>(aOutcome)];
}

}  // namespace zincstep
