#include "Zincstep/Net/ErrorResponse.h"

#include <nlohmann/json.hpp>

namespace zincstep {

std::string ErrorJson(const Error& aError) {
  const ErrorInfo& info = ErrorInfoFor(aError.kind);
  nlohmann::json error{{"kind", info.name},
                       {"outcome", NameOf(info.outcome)},
                       {"message", aError.message}};
  if (aError.RetryAfter() > 0s) {
    error["retry_after_ms"] = aError.RetryAfter().count() / 1000;
  }
  const nlohmann::json body{{"error", std::move(error)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse ErrorResponse(const Error& aError) {
  HttpResponse response = JsonResponse(ErrorJson(aError));
  response.status = ErrorInfoFor(aError.kind).status;
  if (aError.RetryAfter() > 0s) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(aError.RetryAfter());
    response.headers.push_back(
        {"Retry-After", std::to_string(seconds.count())});
  }
  return response;
}

HttpResponse JsonResponse(std::string aJson) {
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(aJson);
  return response;
}

}  // namespace zincstep
