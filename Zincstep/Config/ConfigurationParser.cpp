#include "Zincstep/Config/ConfigurationParser.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "Zincstep/Config/YamlReader.h"

namespace zincstep {

namespace {

constexpr std::int64_t kMaxLayers = 4096;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxMicros = 60'000'000;
constexpr std::size_t kKeyHashDigits = 64;

FailureDomain ParseFailureDomain(YamlReader aReader) {
  aReader.AllowOnly({"name", "region"});
  return {aReader.Text("name"), aReader.Text("region")};
}

AcceleratorKind ParseKind(YamlReader aReader) {
  aReader.AllowOnly(
      {"name", "layer_step_us", "batch_slots", "prefill_layer_ns"});
  AcceleratorKind kind;
  kind.name = aReader.Text("name");
  kind.layerStep = Micros{aReader.Integer("layer_step_us", 1, kMaxMicros)};
  kind.batchSlots = static_cast<int>(aReader.Integer("batch_slots", 1, 4096));
  kind.prefillLayerNanos = aReader.IntegerOr(
      "prefill_layer_ns", 0, kMaxMicros, kind.layerStep.count() * 1000 / 50);
  return kind;
}

Model ParseModel(YamlReader aReader) {
  aReader.AllowOnly({"name", "layers", "serving", "versions", "adapters",
                     "max_tokens", "context_tokens"});
  Model model;
  model.name = aReader.Text("name");
  model.layers = static_cast<int>(aReader.Integer("layers", 1, kMaxLayers));
  model.serving = aReader.Text("serving");
  model.versions = aReader.Texts("versions");
  model.adapters = aReader.Texts("adapters");
  model.maxTokens =
      static_cast<int>(aReader.IntegerOr("max_tokens", 1, kMaxTokens, 1024));
  model.contextTokens = static_cast<int>(
      aReader.IntegerOr("context_tokens", 1, kMaxTokens, 8192));
  const auto& versions = model.versions;
  if (std::find(versions.begin(), versions.end(), model.serving) ==
      versions.end()) {
    aReader.AddError("serving", "one of the model's versions");
  }
  return model;
}

Priority ParsePriority(YamlReader& aReader) {
  const std::string name = aReader.TextOr("priority", "normal");
  const auto priority = ValueIn(kPriorityNames, std::string_view(name));
  if (!priority) {
    aReader.AddError("priority", "high, normal or low");
  }
  return priority.value_or(Priority::Normal);
}

bool IsKeyHash(const std::string& aText) {
  const auto isHexDigit = [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  };
  return aText.size() == kKeyHashDigits &&
         std::all_of(aText.begin(), aText.end(), isHexDigit);
}

Organisation ParseOrganisation(YamlReader aReader) {
  aReader.AllowOnly({"name", "weight", "priority", "tokens_per_second", "keys",
                     "models", "services"});
  Organisation organisation;
  organisation.name = aReader.Text("name");
  organisation.weight = aReader.NumberOr("weight", 0.001, 1000, 1);
  organisation.priority = ParsePriority(aReader);
  organisation.tokensPerSecond =
      aReader.NumberOr("tokens_per_second", 0, 1e9, 0);
  organisation.keys = aReader.Texts("keys");
  organisation.models = aReader.Texts("models");
  organisation.services = aReader.Texts("services");
  if (!std::all_of(organisation.keys.begin(), organisation.keys.end(),
                   IsKeyHash)) {
    aReader.AddError("keys", "SHA-256 hashes, 64 lower-case hex digits each");
  }
  return organisation;
}

Upstream ParseUpstream(YamlReader aReader) {
  aReader.AllowOnly({"name", "address", "failure_domain", "kind", "model",
                     "version", "layers", "checks_fence"});
  Upstream upstream;
  upstream.name = aReader.Text("name");
  upstream.address = aReader.Text("address");
  upstream.failureDomain = aReader.Text("failure_domain");
  upstream.kind = aReader.Text("kind");
  upstream.model = aReader.Text("model");
  upstream.version = aReader.TextOr("version", "");
  upstream.layers = aReader.Layers("layers");
  upstream.checksFence = aReader.FlagOr("checks_fence", false);
  return upstream;
}

Link ParseLink(YamlReader aReader) {
  aReader.AllowOnly({"from", "to", "one_way_us", "mbit"});
  Link link;
  link.from = aReader.Text("from");
  link.to = aReader.Text("to");
  link.oneWay = Micros{aReader.Integer("one_way_us", 0, kMaxMicros)};
  link.megabitsPerSecond = aReader.NumberOr("mbit", 0.001, 1e7, 1000);
  return link;
}

ServiceReplica ParseReplica(YamlReader aReader) {
  aReader.AllowOnly({"name", "address", "failure_domain"});
  return {aReader.Text("name"), aReader.Text("address"),
          aReader.Text("failure_domain")};
}

CallRule ParseCall(YamlReader aReader) {
  aReader.AllowOnly({"method", "path", "repeatable"});
  return {aReader.Text("method"), aReader.Text("path"),
          aReader.FlagOr("repeatable", false)};
}

PlainService ParseService(YamlReader aReader) {
  aReader.AllowOnly({"name", "path", "host", "replicas", "calls"});
  PlainService service;
  service.name = aReader.Text("name");
  service.pathPrefix = aReader.TextOr("path", "");
  service.host = aReader.TextOr("host", "");
  for (YamlReader& replica : aReader.Mappings("replicas")) {
    service.replicas.push_back(ParseReplica(replica));
  }
  for (YamlReader& call : aReader.Mappings("calls")) {
    service.calls.push_back(ParseCall(call));
  }
  const bool isValidPrefix =
      service.pathPrefix.empty() || (service.pathPrefix.front() == '/' &&
                                     !service.pathPrefix.starts_with("/v1/"));
  if (!isValidPrefix) {
    aReader.AddError("path", "a path from / that is not under /v1/");
  }
  if (service.pathPrefix.empty() && service.host.empty()) {
    aReader.AddError("", "a path or a host");
  }
  return service;
}

/// Checks that names are unique and that references resolve.
class ReferenceCheck {
 public:
  ReferenceCheck(const Configuration& aConfiguration,
                 std::vector<ConfigurationError>& aErrors)
      : configuration(aConfiguration), errors(aErrors) {}

  void Run() {
    this->domains =
        this->CollectNames("failure_domains", configuration.failureDomains);
    this->kinds = this->CollectNames("kinds", configuration.kinds);
    this->models = this->CollectNames("models", configuration.models);
    this->services = this->CollectNames("services", configuration.services);
    this->CollectNames("organisations", configuration.organisations);
    this->CollectNames("upstreams", configuration.upstreams);
    this->CheckUpstreams();
    this->CheckOrganisations();
    this->CheckLinks();
    this->CheckReplicas();
    this->CheckKeys();
  }

 private:
  using NameSet = std::set<std::string>;

  template <class T>
  NameSet CollectNames(const std::string& aList, const std::vector<T>& aItems) {
    NameSet names;
    for (const T& item : aItems) {
      if (!item.name.empty() && !names.insert(item.name).second) {
        this->AddError(aList + "." + item.name, "a unique name");
      }
    }
    return names;
  }

  void AddError(const std::string& aPath, const std::string& aExpected) {
    this->errors.push_back({0, aPath, aExpected});
  }

  void RequireName(const NameSet& aDeclared, const std::string& aName,
                   const std::string& aPath, const std::string& aExpected) {
    if (!aName.empty() && !aDeclared.contains(aName)) {
      this->AddError(aPath, aExpected + ", not '" + aName + "'");
    }
  }

  void CheckUpstreams() {
    for (const Upstream& upstream : this->configuration.upstreams) {
      const std::string path = "upstreams." + upstream.name;
      this->RequireName(this->domains, upstream.failureDomain,
                        path + ".failure_domain", "a declared failure domain");
      this->RequireName(this->kinds, upstream.kind, path + ".kind",
                        "a declared kind");
      this->RequireName(this->models, upstream.model, path + ".model",
                        "a declared model");
      const Model* model = this->configuration.FindModel(upstream.model);
      if (model != nullptr && upstream.layers.last > model->layers) {
        this->AddError(path + ".layers",
                       "layers up to " + std::to_string(model->layers));
      }
      const bool isKnownVersion =
          model == nullptr || upstream.version.empty() ||
          std::find(model->versions.begin(), model->versions.end(),
                    upstream.version) != model->versions.end();
      if (!isKnownVersion) {
        this->AddError(path + ".version", "one of the model's versions");
      }
    }
  }

  void CheckOrganisations() {
    for (const Organisation& organisation : this->configuration.organisations) {
      const std::string path = "organisations." + organisation.name;
      for (const std::string& model : organisation.models) {
        this->RequireName(this->models, model, path + ".models",
                          "a declared model");
      }
      for (const std::string& service : organisation.services) {
        this->RequireName(this->services, service, path + ".services",
                          "a declared service");
      }
    }
  }

  void CheckLinks() {
    for (const Link& link : this->configuration.links) {
      const std::string path = "links." + link.from + "-" + link.to;
      this->RequireName(this->domains, link.from, path,
                        "a declared failure domain");
      this->RequireName(this->domains, link.to, path,
                        "a declared failure domain");
    }
  }

  void CheckReplicas() {
    for (const PlainService& service : this->configuration.services) {
      const std::string path = "services." + service.name;
      this->CollectNames(path + ".replicas", service.replicas);
      for (const ServiceReplica& replica : service.replicas) {
        this->RequireName(this->domains, replica.failureDomain,
                          path + ".replicas", "a declared failure domain");
      }
    }
  }

  void CheckKeys() {
    NameSet seen;
    for (const Organisation& organisation : this->configuration.organisations) {
      for (const std::string& key : organisation.keys) {
        if (!seen.insert(key).second) {
          this->AddError("organisations." + organisation.name + ".keys",
                         "keys that no other organisation uses");
        }
      }
    }
  }

  const Configuration& configuration;
  std::vector<ConfigurationError>& errors;
  NameSet domains;
  NameSet kinds;
  NameSet models;
  NameSet services;
};

Configuration ParseRoot(YamlReader& aRoot) {
  aRoot.AllowOnly({"zincstep", "failure_domains", "kinds", "models",
                   "organisations", "upstreams", "links", "services"});
  aRoot.Integer("zincstep", 1, 1);
  Configuration configuration;
  for (YamlReader& item : aRoot.Mappings("failure_domains")) {
    configuration.failureDomains.push_back(ParseFailureDomain(item));
  }
  for (YamlReader& item : aRoot.Mappings("kinds")) {
    configuration.kinds.push_back(ParseKind(item));
  }
  for (YamlReader& item : aRoot.Mappings("models")) {
    configuration.models.push_back(ParseModel(item));
  }
  for (YamlReader& item : aRoot.Mappings("organisations")) {
    configuration.organisations.push_back(ParseOrganisation(item));
  }
  for (YamlReader& item : aRoot.Mappings("upstreams")) {
    configuration.upstreams.push_back(ParseUpstream(item));
  }
  for (YamlReader& item : aRoot.Mappings("links")) {
    configuration.links.push_back(ParseLink(item));
  }
  for (YamlReader& item : aRoot.Mappings("services")) {
    configuration.services.push_back(ParseService(item));
  }
  return configuration;
}

/// Whether the JSON library, which later encodes the pieces of the file,
/// accepts the text.
bool IsUtf8(const std::string& aText) {
  try {
    (void)nlohmann::json(aText).dump();
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

}  // namespace

std::string ConfigurationError::Describe() const {
  const std::string prefix =
      this->line > 0 ? "line " + std::to_string(this->line) + ": " : "";
  const std::string location = this->path.empty() ? "the file" : this->path;
  return prefix + location + ": expected " + this->expected;
}

ParsedConfiguration ParseConfiguration(const std::string& aYaml) {
  ParsedConfiguration parsed;
  if (!IsUtf8(aYaml)) {
    parsed.errors.push_back({0, "", "UTF-8 text"});
    return parsed;
  }
  try {
    YamlReader root(YAML::Load(aYaml), "", parsed.errors);
    parsed.configuration = ParseRoot(root);
  } catch (const YAML::Exception& error) {
    parsed.errors.push_back({error.mark.line + 1, "", "YAML: " + error.msg});
    return parsed;
  }
  ReferenceCheck(parsed.configuration, parsed.errors).Run();
  return parsed;
}

}  // namespace zincstep
