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
constexpr std::size_t kKeyDigits = 64;

FailureDomain ParseFailureDomain(YamlReader aReader) {
  aReader.AllowOnly({"name", "region"});
  return {aReader.Text("name"), aReader.Text("region")};
}

AcceleratorKind ParseKind(YamlReader aReader) {
  aReader.AllowOnly(
      {"name", "layer_step_us", "batch_slots", "prefill_layer_ns"});
  AcceleratorKind kind;
  kind.name = aReader.Text("name");
  kind.layerStep = Micros{aReader.Whole("layer_step_us", 1, kMaxMicros)};
  kind.batchSlots = static_cast<int>(aReader.Whole("batch_slots", 1, 4096));
  kind.prefillLayerNanos = aReader.WholeOr("prefill_layer_ns", 0, kMaxMicros,
                                           kind.layerStep.count() * 1000 / 50);
  return kind;
}

Model ParseModel(YamlReader aReader) {
  aReader.AllowOnly({"name", "layers", "serving", "versions", "adapters",
                     "max_tokens", "context_tokens"});
  Model model;
  model.name = aReader.Text("name");
  model.layers = static_cast<int>(aReader.Whole("layers", 1, kMaxLayers));
  model.serving = aReader.Text("serving");
  model.versions = aReader.Texts("versions");
  model.adapters = aReader.Texts("adapters");
  model.maxTokens =
      static_cast<int>(aReader.WholeOr("max_tokens", 1, kMaxTokens, 1024));
  model.contextTokens =
      static_cast<int>(aReader.WholeOr("context_tokens", 1, kMaxTokens, 8192));
  const auto& known = model.versions;
  if (std::find(known.begin(), known.end(), model.serving) == known.end()) {
    aReader.Fault("serving", "one of the model's versions");
  }
  return model;
}

Priority ParsePriority(YamlReader& aReader) {
  const std::string name = aReader.TextOr("priority", "normal");
  const auto priority = ValueIn(kPriorityNames, std::string_view(name));
  if (!priority) {
    aReader.Fault("priority", "high, normal or low");
  }
  return priority.value_or(Priority::Normal);
}

bool IsKeyHash(const std::string& aText) {
  const auto isDigit = [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  };
  return aText.size() == kKeyDigits &&
         std::all_of(aText.begin(), aText.end(), isDigit);
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
    aReader.Fault("keys", "SHA-256 hashes, 64 lower-case hex digits each");
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
  link.oneWay = Micros{aReader.Whole("one_way_us", 0, kMaxMicros)};
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
  const bool rooted =
      service.pathPrefix.empty() || (service.pathPrefix.front() == '/' &&
                                     !service.pathPrefix.starts_with("/v1/"));
  if (!rooted) {
    aReader.Fault("path", "a path from / that is not under /v1/");
  }
  if (service.pathPrefix.empty() && service.host.empty()) {
    aReader.Fault("", "a path or a host");
  }
  return service;
}

/// Checks that names are there once and that references have a target.
class ReferenceCheck {
 public:
  ReferenceCheck(const Configuration& aConfiguration,
                 std::vector<ConfigurationError>& aFaults)
      : configuration(aConfiguration), faults(aFaults) {}

  void Run() {
    this->domains =
        this->Names("failure_domains", configuration.failureDomains);
    this->kinds = this->Names("kinds", configuration.kinds);
    this->models = this->Names("models", configuration.models);
    this->services = this->Names("services", configuration.services);
    this->Names("organisations", configuration.organisations);
    this->Names("upstreams", configuration.upstreams);
    this->CheckUpstreams();
    this->CheckOrganisations();
    this->CheckLinks();
    this->CheckReplicas();
    this->CheckKeys();
  }

 private:
  using NameSet = std::set<std::string>;

  template <class T>
  NameSet Names(const std::string& aList, const std::vector<T>& aItems) {
    NameSet names;
    for (const T& item : aItems) {
      if (!item.name.empty() && !names.insert(item.name).second) {
        this->Fault(aList + "." + item.name, "each name once");
      }
    }
    return names;
  }

  void Fault(const std::string& aPath, const std::string& aExpected) {
    this->faults.push_back({0, aPath, aExpected});
  }

  void Need(const NameSet& aNames, const std::string& aName,
            const std::string& aPath, const std::string& aExpected) {
    if (!aName.empty() && !aNames.contains(aName)) {
      this->Fault(aPath, aExpected + ", not '" + aName + "'");
    }
  }

  void CheckUpstreams() {
    for (const Upstream& upstream : this->configuration.upstreams) {
      const std::string place = "upstreams." + upstream.name;
      this->Need(this->domains, upstream.failureDomain,
                 place + ".failure_domain", "a declared failure domain");
      this->Need(this->kinds, upstream.kind, place + ".kind",
                 "a declared kind");
      this->Need(this->models, upstream.model, place + ".model",
                 "a declared model");
      const Model* model = this->configuration.FindModel(upstream.model);
      if (model != nullptr && upstream.layers.last > model->layers) {
        this->Fault(place + ".layers",
                    "layers up to " + std::to_string(model->layers));
      }
      const bool knownVersion =
          model == nullptr || upstream.version.empty() ||
          std::find(model->versions.begin(), model->versions.end(),
                    upstream.version) != model->versions.end();
      if (!knownVersion) {
        this->Fault(place + ".version", "one of the model's versions");
      }
    }
  }

  void CheckOrganisations() {
    for (const Organisation& one : this->configuration.organisations) {
      const std::string place = "organisations." + one.name;
      for (const std::string& model : one.models) {
        this->Need(this->models, model, place + ".models", "a declared model");
      }
      for (const std::string& service : one.services) {
        this->Need(this->services, service, place + ".services",
                   "a declared service");
      }
    }
  }

  void CheckLinks() {
    for (const Link& link : this->configuration.links) {
      const std::string place = "links." + link.from + "-" + link.to;
      this->Need(this->domains, link.from, place, "a declared failure domain");
      this->Need(this->domains, link.to, place, "a declared failure domain");
    }
  }

  void CheckReplicas() {
    for (const PlainService& service : this->configuration.services) {
      const std::string place = "services." + service.name;
      this->Names(place + ".replicas", service.replicas);
      for (const ServiceReplica& replica : service.replicas) {
        this->Need(this->domains, replica.failureDomain, place + ".replicas",
                   "a declared failure domain");
      }
    }
  }

  void CheckKeys() {
    NameSet seen;
    for (const Organisation& one : this->configuration.organisations) {
      for (const std::string& key : one.keys) {
        if (!seen.insert(key).second) {
          this->Fault("organisations." + one.name + ".keys",
                      "keys that no other organisation has");
        }
      }
    }
  }

  const Configuration& configuration;
  std::vector<ConfigurationError>& faults;
  NameSet domains;
  NameSet kinds;
  NameSet models;
  NameSet services;
};

Configuration ParseRoot(YamlReader& aRoot) {
  aRoot.AllowOnly({"zincstep", "failure_domains", "kinds", "models",
                   "organisations", "upstreams", "links", "services"});
  aRoot.Whole("zincstep", 1, 1);
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

/// Whether the JSON library, which cuts the file into pieces, takes it.
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
  const std::string place =
      this->line > 0 ? "line " + std::to_string(this->line) + ": " : "";
  const std::string where = this->path.empty() ? "the file" : this->path;
  return place + where + ": expected " + this->expected;
}

ParsedConfiguration ParseConfiguration(const std::string& aYaml) {
  ParsedConfiguration parsed;
  if (!IsUtf8(aYaml)) {
    parsed.errors.push_back({0, "", "text in UTF-8"});
    return parsed;
  }
  try {
    YamlReader root(YAML::Load(aYaml), "", parsed.errors);
    parsed.configuration = ParseRoot(root);
  } catch (const YAML::Exception& fault) {
    parsed.errors.push_back({fault.mark.line + 1, "", "YAML: " + fault.msg});
    return parsed;
  }
  ReferenceCheck(parsed.configuration, parsed.errors).Run();
  return parsed;
}

}  // namespace zincstep
