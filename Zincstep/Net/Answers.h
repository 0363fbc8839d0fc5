#pragma once

#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// The JSON object that tells a caller of an error.
///
/// `{"error":{"kind":..., "outcome":..., "message":..., "retry_after_ms":..}}`
std::string ErrorJson(const Error& aError);

/// The refusal of a request: status, `Retry-After` and the JSON object.
HttpResponse ErrorResponse(const Error& aError);

/// An answer with status 200 and a JSON body.
HttpResponse JsonResponse(std::string aJson);

}  // namespace zincstep
