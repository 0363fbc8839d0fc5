#pragma once

#include <string>

#include "Zincstep/Entry/CallerRequest.h"

namespace zincstep {

/// Facts that every part of one answer repeats.
struct AnswerHead {
  std::string id;
  std::string model;
  std::int64_t created = 0;
  bool isChat = false;
};

/// A server-sent event that carries a part of a streamed answer.
std::string TokenEventText(const AnswerHead& aHead, const std::string& aText,
                           bool aIsFirst);
/// The events that end a streamed answer.
std::string EndEventText(const AnswerHead& aHead, const std::string& aReason,
                         int aPromptTokens, int aTokens);
/// The event that breaks a streamed answer off, with how far it got.
std::string ErrorEventText(const Error& aError, int aTokens);
/// A whole answer.
std::string WholeAnswerText(const AnswerHead& aHead, const std::string& aText,
                            const std::string& aReason, int aPromptTokens,
                            int aTokens);
/// The list of models that an organisation may use.
std::string ModelListText(const Snapshot& aSnapshot,
                          const Organisation& aOrganisation);

}  // namespace zincstep
