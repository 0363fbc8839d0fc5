#include "Zincstep/Entry/CallerRequest.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::size_t kMaxMessages = 1024;
constexpr int kMaxRequestedTokens = 1'000'000;

Result<const Organisation*> Authenticate(const HttpRequest& aRequest,
                                         const Snapshot& aSnapshot) {
  const std::string_view header = FindHeader(aRequest.headers, "Authorization");
  if (!header.starts_with(kBearer)) {
    return Fail(ErrorKind::Unauthenticated, "a bearer key is required");
  }
  const std::string hash = Sha256Hex(header.substr(kBearer.size()));
  const auto found = aSnapshot.byKey.find(hash);
  if (found == aSnapshot.byKey.end()) {
    return Fail(ErrorKind::Unauthenticated, "unknown bearer key");
  }
  return found->second;
}

Result<Micros> ReadDeadline(const HttpRequest& aRequest,
                            const CallerLimits& aLimits) {
  const std::string_view text =
      FindHeader(aRequest.headers, "zincstep-deadline-ms");
  if (text.empty()) {
    return aLimits.defaultDeadline;
  }
  std::int64_t millis = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  const bool isInteger =
      read.ec == std::errc() && read.ptr == text.data() + text.size();
  if (!isInteger || millis <= 0 ||
      millis > aLimits.maxDeadline.count() / 1000) {
    return Fail(ErrorKind::BadRequest,
                "zincstep-deadline-ms: expected an integer from 1 to " +
                    std::to_string(aLimits.maxDeadline.count() / 1000));
  }
  return Micros{millis * 1000};
}

/// Returns the lower of the organisation's and the requested priority.
Result<Priority> ReadPriority(const HttpRequest& aRequest,
                              const Organisation& aOrganisation) {
  const std::string_view text =
      FindHeader(aRequest.headers, "zincstep-priority");
  if (text.empty()) {
    return aOrganisation.priority;
  }
  const auto requested = ValueIn(kPriorityNames, text);
  if (!requested) {
    return Fail(ErrorKind::BadRequest,
                "zincstep-priority: expected high, normal or low");
  }
  return std::max(*requested, aOrganisation.priority);
}

Result<std::string> ReadString(const Json& aJson, const char* aKey) {
  const auto found = aJson.find(aKey);
  if (found == aJson.end() || !found->is_string()) {
    return Fail(ErrorKind::BadRequest,
                std::string(aKey) + ": expected a string");
  }
  return found->get<std::string>();
}

/// Parses a message's content: a string, or a list of parts of type `text`,
/// which are joined.
Result<std::string> ReadContent(const Json& aMessage) {
  const auto content = aMessage.find("content");
  if (content != aMessage.end() && content->is_array()) {
    std::string joined;
    for (const Json& part : *content) {
      if (!part.is_object() || part.value("type", "") != "text") {
        return Fail(ErrorKind::BadRequest,
                    "messages: only parts of type text are supported");
      }
      Result<std::string> text = ReadString(part, "text");
      if (!text) {
        return text;
      }
      joined += *text;
    }
    return joined;
  }
  return ReadString(aMessage, "content");
}

Result<std::string> ReadMessages(const Json& aJson) {
  const auto messages = aJson.find("messages");
  if (messages == aJson.end() || !messages->is_array() || messages->empty() ||
      messages->size() > kMaxMessages) {
    return Fail(ErrorKind::BadRequest, "messages: expected a list of messages");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      return Fail(ErrorKind::BadRequest, "messages: expected objects");
    }
    const Result<std::string> role = ReadString(message, "role");
    const Result<std::string> content = ReadContent(message);
    if (!role || !content) {
      return role ? content : role;
    }
    prompt += "<" + *role + ">" + *content + "\n";
  }
  return prompt + "<assistant>";
}

Result<int> ReadMaxTokens(const Json& aValue) {
  const bool isInteger = aValue.is_number_integer();
  const auto tokens = isInteger ? aValue.get<std::int64_t>() : 0;
  if (tokens < 1 || tokens > kMaxRequestedTokens) {
    return Fail(ErrorKind::BadRequest,
                "max_tokens: expected a positive integer");
  }
  return static_cast<int>(tokens);
}

Result<CompletionRequest> ReadFields(const Json& aJson, bool aIsChat) {
  CompletionRequest request;
  request.isChat = aIsChat;
  const Result<std::string> model = ReadString(aJson, "model");
  const Result<std::string> prompt =
      aIsChat ? ReadMessages(aJson) : ReadString(aJson, "prompt");
  if (!model || !prompt) {
    return tl::unexpected(model ? prompt.error() : model.error());
  }
  if (prompt->empty()) {
    return Fail(ErrorKind::BadRequest, "prompt: expected a non-empty string");
  }
  const std::size_t colon = model->find(':');
  request.model = model->substr(0, colon);
  request.adapter = colon == std::string::npos ? "" : model->substr(colon + 1);
  request.prompt = *prompt;
  const char* limit = aJson.contains("max_completion_tokens")
                          ? "max_completion_tokens"
                          : "max_tokens";
  if (aJson.contains(limit) && !aJson.at(limit).is_null()) {
    const Result<int> tokens = ReadMaxTokens(aJson.at(limit));
    if (!tokens) {
      return tl::unexpected(tokens.error());
    }
    request.maxTokens = *tokens;
  }
  if (aJson.contains("stream") && !aJson.at("stream").is_boolean()) {
    return Fail(ErrorKind::BadRequest, "stream: expected true or false");
  }
  request.stream = aJson.value("stream", false);
  if (aJson.contains("n") && aJson.at("n") != 1) {
    return Fail(ErrorKind::BadRequest, "n: expected 1");
  }
  return request;
}

}  // namespace

Result<CallerInfo> ParseCallerInfo(const HttpRequest& aRequest,
                                   const Snapshot& aSnapshot,
                                   const CallerLimits& aLimits, Instant aNow,
                                   Random& aRandom) {
  const Result<const Organisation*> organisation =
      Authenticate(aRequest, aSnapshot);
  if (!organisation) {
    return tl::unexpected(organisation.error());
  }
  const Result<Micros> deadline = ReadDeadline(aRequest, aLimits);
  if (!deadline) {
    return tl::unexpected(deadline.error());
  }
  const Result<Priority> priority = ReadPriority(aRequest, **organisation);
  if (!priority) {
    return tl::unexpected(priority.error());
  }
  CallerInfo info;
  info.organisation = *organisation;
  info.priority = *priority;
  info.deadline = aNow + *deadline;
  info.idempotencyKey = FindHeader(aRequest.headers, "Idempotency-Key");
  if (info.idempotencyKey.size() > kMaxKeyBytes) {
    return Fail(ErrorKind::BadRequest,
                "Idempotency-Key: expected at most 255 bytes");
  }
  info.trace =
      ReadTraceContext(FindHeader(aRequest.headers, "traceparent"), aRandom);
  return info;
}

Result<CompletionRequest> ReadCompletion(const std::string& aBody,
                                         bool aIsChat) {
  const Result<Json> json = ParseForeignJson(aBody);
  if (!json || !json->is_object()) {
    return Fail(ErrorKind::BadRequest, "the body is not a JSON object");
  }
  try {
    return ReadFields(*json, aIsChat);
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::BadRequest, error.what());
  }
}

std::string ClaimKey(const std::string& aOrganisation,
                     const std::string& aIdempotencyKey) {
  constexpr std::size_t kClaimKeyDigits = 32;
  return Sha256Hex(aOrganisation + "\n" + aIdempotencyKey)
      .substr(0, kClaimKeyDigits);
}

std::uint64_t RequestDigest(const HttpRequest& aRequest) {
  const std::string joined = aRequest.method + " " + aRequest.path + "?" +
                             aRequest.query + "\n" + aRequest.body;
  return Hash64(joined);
}

}  // namespace zincstep
