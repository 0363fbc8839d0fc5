#include "Zincstep/Core/Error.h"

#include <array>

#include "Zincstep/Core/Assert.h"

namespace zincstep {

namespace {

using K = ErrorKind;
using O = Outcome;

constexpr std::array kAnswers{
    ErrorAnswer{K::BadRequest, "bad_request", 400, O::NotRun, 0s},
    ErrorAnswer{K::Unauthenticated, "unauthenticated", 401, O::NotRun, 0s},
    ErrorAnswer{K::Forbidden, "forbidden", 403, O::NotRun, 0s},
    ErrorAnswer{K::UnknownModel, "unknown_model", 404, O::NotRun, 0s},
    ErrorAnswer{K::UnknownService, "unknown_service", 404, O::NotRun, 0s},
    ErrorAnswer{K::UnknownRoute, "unknown_route", 404, O::NotRun, 0s},
    ErrorAnswer{K::MethodNotAllowed, "method_not_allowed", 405, O::NotRun, 0s},
    ErrorAnswer{K::RequestTooLarge, "request_too_large", 413, O::NotRun, 0s},
    ErrorAnswer{K::KeyReused, "key_reused", 422, O::NotRun, 0s},
    ErrorAnswer{K::KeyInProgress, "key_in_progress", 409, O::MayHaveRun, 1s},
    ErrorAnswer{K::KeyFinished, "key_finished", 409, O::Ran, 0s},
    ErrorAnswer{K::KeyInDoubt, "key_in_doubt", 503, O::NotRun, 2s},
    ErrorAnswer{K::KeyMemoryFull, "key_memory_full", 503, O::NotRun, 30s},
    ErrorAnswer{K::LimitReached, "limit_reached", 429, O::NotRun, 1s},
    ErrorAnswer{K::RequestBlocked, "request_blocked", 503, O::NotRun, 600s},
    ErrorAnswer{K::Overloaded, "overloaded", 503, O::NotRun, 1s},
    ErrorAnswer{K::NoCapacity, "no_capacity", 503, O::NotRun, 2s},
    ErrorAnswer{K::NotReady, "not_ready", 503, O::NotRun, 1s},
    ErrorAnswer{K::Stopping, "stopping", 503, O::NotRun, 1s},
    ErrorAnswer{K::DeadlineBeforeRun, "deadline_before_run", 504, O::NotRun,
                0s},
    ErrorAnswer{K::DeadlineDuringRun, "deadline_during_run", 504, O::MayHaveRun,
                0s},
    ErrorAnswer{K::UpstreamUnreachable, "upstream_unreachable", 503, O::NotRun,
                1s},
    ErrorAnswer{K::UpstreamEnded, "upstream_ended", 502, O::MayHaveRun, 0s},
    ErrorAnswer{K::UpstreamFailed, "upstream_failed", 502, O::MayHaveRun, 0s},
    ErrorAnswer{K::AnswerIncomplete, "answer_incomplete", 502, O::MayHaveRun,
                0s},
    ErrorAnswer{K::ConfigInvalid, "config_invalid", 400, O::NotRun, 0s},
    ErrorAnswer{K::ConfigConflict, "config_conflict", 409, O::NotRun, 0s},
    ErrorAnswer{K::PlatformUnavailable, "platform_unavailable", 503,
                O::MayHaveRun, 1s},
    ErrorAnswer{K::HistoryLost, "history_lost", 503, O::NotRun, 1s},
    ErrorAnswer{K::LeaseLost, "lease_lost", 409, O::NotRun, 0s},
    ErrorAnswer{K::StoreRestored, "store_restored", 503, O::MayHaveRun, 1s},
    ErrorAnswer{K::Internal, "internal", 500, O::MayHaveRun, 0s},
};

constexpr bool TableIsInOrder() {
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<std::size_t>(kAnswers[i].kind) != i) {
      return false;
    }
  }
  return kAnswers.size() == static_cast<std::size_t>(K::Internal) + 1;
}
static_assert(TableIsInOrder(), "one row a kind, in the order of the list");

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind aKind) {
  const auto row = static_cast<std::size_t>(aKind);
  ZINCSTEP_ASSERT(row < kAnswers.size());
  return kAnswers[row];
}

std::string_view NameOf(Outcome aOutcome) {
  constexpr std::array<std::string_view, 3> kNames{"not_run", "may_have_run",
                                                   "ran"};
  return kNames[static_cast<std::size_t>(aOutcome)];
}

}  // namespace zincstep
