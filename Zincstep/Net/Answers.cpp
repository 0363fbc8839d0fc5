#include "Zincstep/Net/Answers.h"

#include <nlohmann/json.hpp>

namespace zincstep {

std::string ErrorJson(const Error& aError) {
  const ErrorInfo& row = ErrorInfoFor(aError.kind);
  nlohmann::json error{{"kind", row.name},
                       {"outcome", NameOf(row.outcome)},
                       {"message", aError.message}};
  if (aError.RetryAfter() > 0s) {
    error["retry_after_ms"] = aError.RetryAfter().count() / 1000;
  }
  const nlohmann::json whole{{"error", std::move(error)}};
  return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse ErrorResponse(const Error& aError) {
  HttpResponse answer = JsonResponse(ErrorJson(aError));
  answer.status = ErrorInfoFor(aError.kind).status;
  if (aError.RetryAfter() > 0s) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(aError.RetryAfter());
    answer.headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  return answer;
}

HttpResponse JsonResponse(std::string aJson) {
  HttpResponse answer;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = std::move(aJson);
  return answer;
}

}  // namespace zincstep
