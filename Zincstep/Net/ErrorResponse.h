#pragma once

#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// Returns the JSON object that reports an error to a caller.
///
/// `{"error":{"kind":..., "outcome":..., "message":..., "retry_after_ms":..}}`
std::string ErrorJson(const Error& aError);

/// Returns the error response: status, `Retry-After` and the JSON object.
HttpResponse ErrorResponse(const Error& aError);

/// Returns a response with status 200 and a JSON body.
HttpResponse JsonResponse(std::string aJson);

}  // namespace zincstep
