#include "Zincstep/Entry/ResponseWriter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

std::string Dump(const Json& aJson) {
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string ServerSentEvent(const Json& aJson) {
  return "data: " + Dump(aJson) + "\n\n";
}

Json HeadJson(const ResponseHead& aHead, bool aIsPart) {
  const char* kind = "text_completion";
  if (aHead.isChat) {
    kind = aIsPart ? "chat.completion.chunk" : "chat.completion";
  }
  return {{"id", aHead.id},
          {"object", kind},
          {"created", aHead.created},
          {"model", aHead.model}};
}

Json UsageJson(int aPromptTokens, int aTokens) {
  return {{"prompt_tokens", aPromptTokens},
          {"completion_tokens", aTokens},
          {"total_tokens", aPromptTokens + aTokens}};
}

}  // namespace

std::string TokenEventText(const ResponseHead& aHead, const std::string& aText,
                           bool aIsFirst) {
  Json json = HeadJson(aHead, true);
  Json choice{{"index", 0}, {"finish_reason", nullptr}};
  if (aHead.isChat) {
    Json delta{{"content", aText}};
    if (aIsFirst) {
      delta["role"] = "assistant";
    }
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = aText;
  }
  json["choices"] = Json::array({std::move(choice)});
  return ServerSentEvent(json);
}

std::string EndEventText(const ResponseHead& aHead, const std::string& aReason,
                         int aPromptTokens, int aTokens) {
  Json json = HeadJson(aHead, true);
  Json choice{{"index", 0}, {"finish_reason", aReason}};
  if (aHead.isChat) {
    choice["delta"] = Json::object();
  } else {
    choice["text"] = "";
  }
  json["choices"] = Json::array({std::move(choice)});
  json["usage"] = UsageJson(aPromptTokens, aTokens);
  return ServerSentEvent(json) + "data: [DONE]\n\n";
}

std::string ErrorEventText(const Error& aError, int aTokens) {
  Json json = ParseForeignJsonOrThrow(ErrorJson(aError));
  json["error"]["tokens"] = aTokens;
  return ServerSentEvent(json);
}

std::string FullResponseText(const ResponseHead& aHead,
                             const std::string& aText,
                             const std::string& aReason, int aPromptTokens,
                             int aTokens) {
  Json json = HeadJson(aHead, false);
  Json choice{{"index", 0}, {"finish_reason", aReason}};
  if (aHead.isChat) {
    choice["message"] = {{"role", "assistant"}, {"content", aText}};
  } else {
    choice["text"] = aText;
  }
  json["choices"] = Json::array({std::move(choice)});
  json["usage"] = UsageJson(aPromptTokens, aTokens);
  return Dump(json);
}

std::string ModelListText(const Snapshot& aSnapshot,
                          const Organisation& aOrganisation) {
  Json list = Json::array();
  const auto add = [&](const std::string& aId) {
    list.push_back(
        {{"id", aId}, {"object", "model"}, {"owned_by", "zincstep"}});
  };
  for (const Model& model : aSnapshot.configuration.models) {
    const auto& allowed = aOrganisation.models;
    if (std::find(allowed.begin(), allowed.end(), model.name) ==
        allowed.end()) {
      continue;
    }
    add(model.name);
    for (const std::string& adapter : model.adapters) {
      add(model.name + ":" + adapter);
    }
  }
  return Dump({{"object", "list"}, {"data", std::move(list)}});
}

}  // namespace zincstep
