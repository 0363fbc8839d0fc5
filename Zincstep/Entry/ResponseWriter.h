#pragma once

#include <string>

#include "Zincstep/Entry/CallerRequest.h"

namespace zincstep {

/// Fields that every event of a streamed response repeats.
struct ResponseHead {
  std::string id;
  std::string model;
  /// Wall-clock time in seconds.
  std::int64_t created = 0;
  bool isChat = false;
};

/// Returns the server-sent event for a part of a streamed response.
std::string TokenEventText(const ResponseHead& aHead, const std::string& aText,
                           bool aIsFirst);
/// Returns the events that end a streamed response.
std::string EndEventText(const ResponseHead& aHead, const std::string& aReason,
                         int aPromptTokens, int aTokens);
/// Returns the event that ends a streamed response with an error, with the
/// number of tokens sent before.
std::string ErrorEventText(const Error& aError, int aTokens);
/// Returns the body of a response that is not streamed.
std::string FullResponseText(const ResponseHead& aHead,
                             const std::string& aText,
                             const std::string& aReason, int aPromptTokens,
                             int aTokens);
/// Returns the list of models that an organisation may use, as JSON.
std::string ModelListText(const Snapshot& aSnapshot,
                          const Organisation& aOrganisation);

}  // namespace zincstep
