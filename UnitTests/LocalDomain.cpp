#include "UnitTests/LocalDomain.h"

#include "Zincstep/Control/Control.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

constexpr int kLayers = 12;
constexpr auto kEventuallyTimeout = std::chrono::seconds(60);

standins::EngineStandInSettings SettingsOf(const EngineSpec& aSpec) {
  standins::EngineStandInSettings settings;
  settings.name = aSpec.name;
  settings.model = "demo";
  settings.layers = aSpec.layers;
  settings.accelerator.layerStep = aSpec.layerStep;
  settings.checksFence = aSpec.checksFence;
  settings.loadTime = 100ms;
  settings.loadLag = 20ms;
  return settings;
}

}  // namespace

LocalDomain::LocalDomain(std::vector<EngineSpec> aEngines,
                         std::vector<std::string> aDomains)
    : specs(std::move(aEngines)),
      platform(std::make_unique<Running<standins::PlatformStandIn>>(
          "127.0.0.1:0", 50ms, 1)),
      service(std::make_unique<Running<standins::ServiceStandIn>>("127.0.0.1:0",
                                                                  "ledger-1")) {
  for (const EngineSpec& spec : this->specs) {
    this->engines.push_back(
        std::make_unique<Running<standins::EngineStandIn>>(SettingsOf(spec)));
    this->engineAddresses.push_back(this->engines.back()->Address());
  }
  this->WriteFile(aDomains);
  this->Apply();
}

LocalDomain::~LocalDomain() { this->daemons.clear(); }

void LocalDomain::WriteFile(const std::vector<std::string>& aDomains) {
  std::string& text = this->file;
  text = "zincstep: 1\nfailure_domains:\n";
  for (const std::string& domain : aDomains) {
    text += "  - {name: " + domain + ", region: west}\n";
  }
  text += "links:\n";
  for (std::size_t i = 1; i < aDomains.size(); ++i) {
    text += "  - {from: " + aDomains[0] + ", to: " + aDomains[i] +
            ", one_way_us: 300}\n";
  }
  text +=
      "kinds:\n"
      "  - {name: quick, layer_step_us: 200, batch_slots: 8}\n"
      "models:\n"
      "  - {name: demo, layers: 12, serving: v1, versions: [v1, v2],\n"
      "     adapters: [shops], max_tokens: 400, context_tokens: 2000}\n"
      "organisations:\n"
      "  - {name: tester, keys: [" +
      Sha256Hex("test-key") +
      "], models: [demo], services: [ledger]}\n"
      "  - {name: other, keys: [" +
      Sha256Hex("other-key") + "]}\nupstreams:\n";
  for (std::size_t i = 0; i < this->specs.size(); ++i) {
    const EngineSpec& spec = this->specs[i];
    text += "  - {name: " + spec.name + ", address: \"" +
            this->engineAddresses[i] + "\", failure_domain: " + spec.domain +
            ", kind: quick, model: demo, layers: [" +
            std::to_string(spec.layers.first) + ", " +
            std::to_string(spec.layers.last) +
            "], checks_fence: " + (spec.checksFence ? "true" : "false") + "}\n";
  }
  text +=
      "services:\n"
      "  - name: ledger\n"
      "    path: /ledger/\n"
      "    replicas:\n"
      "      - {name: ledger-1, address: \"" +
      this->service->Address() +
      "\", failure_domain: hall-a}\n"
      "    calls:\n"
      "      - {method: POST, path: /ledger/orders, repeatable: false}\n"
      "      - {method: POST, path: /ledger/search, repeatable: true}\n";
}

std::uint64_t LocalDomain::Apply() {
  PlatformSettings settings;
  settings.address = this->platform->Address();
  const auto store = MakeHttpKeyValueStore(settings);
  ConfigurationStore configurations(*store);
  const auto base = configurations.Load(nullptr);
  ZINCSTEP_ASSERT(base.has_value());
  const auto outcome = configurations.Apply(
      this->file, *base, "test-" + std::to_string(Hash64(this->file)),
      [] { return std::int64_t{0}; });
  ZINCSTEP_ASSERT(outcome.has_value());
  return outcome->revision;
}

EntrySettings LocalDomain::BaseSettings(const std::string& aVm,
                                        const std::string& aDomain) const {
  EntrySettings settings;
  settings.listen = "127.0.0.1:0";
  settings.adminListen = "127.0.0.1:0";
  settings.peerListen = "127.0.0.1:0";
  settings.platform = this->platform->Address();
  settings.vm = aVm;
  settings.failureDomain = aDomain;
  settings.gossipInterval = 100ms;
  settings.loadInterval = 100ms;
  settings.vmListInterval = 100ms;
  settings.memberListInterval = 300ms;
  settings.drainGrace = 100ms;
  settings.watchTimeout = 100ms;
  settings.settleTime = 200ms;
  settings.readTimeout = 2s;
  settings.seed = static_cast<std::int64_t>(Hash64(aVm) >> 1);
  return settings;
}

void LocalDomain::ListEntry(const EntrySettings& aSettings) {
  const Json vm{{"name", aSettings.vm},
                {"failure_domain", aSettings.failureDomain},
                {"role", "entry"},
                {"address", aSettings.listen},
                {"peer_address", aSettings.peerListen}};
  this->Put("http://" + this->platform->Address() + "/v1/vms/" + aSettings.vm,
            vm.dump());
}

EntryDaemon& LocalDomain::AddDaemon(const std::string& aVm,
                                    const std::string& aDomain) {
  return this->AddDaemon(this->BaseSettings(aVm, aDomain));
}

EntryDaemon& LocalDomain::AddDaemon(const EntrySettings& aSettings) {
  this->daemons.push_back(std::make_unique<EntryDaemon>(aSettings));
  EntryDaemon& daemon = *this->daemons.back();
  ZINCSTEP_ASSERT(daemon.Start().has_value());
  this->ListEntry(daemon.Settings());
  ZINCSTEP_ASSERT(Eventually([&] {
    HttpCall call;
    call.url = "http://" + daemon.Settings().adminListen + "/readyz";
    return FetchBlocking(call).status == 200;
  }));
  return daemon;
}

void LocalDomain::WaitMembers(std::size_t aMembers) {
  for (const auto& daemon : this->daemons) {
    ZINCSTEP_ASSERT(Eventually([&] {
      return this->Admin(*daemon, "/v1/status")
                 .at("members")
                 .value("newest", std::size_t{0}) == aMembers;
    }));
  }
}

bool LocalDomain::Eventually(const std::function<bool()>& aDone) {
  const auto end = std::chrono::steady_clock::now() + kEventuallyTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (aDone()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

std::string LocalDomain::AddressOf(const std::string& aEngine) const {
  for (std::size_t i = 0; i < this->specs.size(); ++i) {
    if (this->specs[i].name == aEngine) {
      return this->engineAddresses[i];
    }
  }
  return {};
}

void LocalDomain::KillEngine(const std::string& aName) {
  for (std::size_t i = 0; i < this->specs.size(); ++i) {
    if (this->specs[i].name == aName) {
      this->engines[i].reset();
    }
  }
}

void LocalDomain::Put(const std::string& aUrl, const std::string& aBody) {
  HttpCall call;
  call.method = "PUT";
  call.url = aUrl;
  call.body = aBody;
  ZINCSTEP_ASSERT(FetchBlocking(call).status == 200);
}

void LocalDomain::EngineFault(const std::string& aName,
                              const std::string& aJson) {
  this->Put("http://" + this->AddressOf(aName) + "/v1/faults", aJson);
}

void LocalDomain::ServiceFault(const std::string& aJson) {
  this->Put("http://" + this->service->Address() + "/v1/faults", aJson);
}

void LocalDomain::PlatformFault(const std::string& aJson) {
  this->Put("http://" + this->platform->Address() + "/v1/faults", aJson);
}

void LocalDomain::ListUpstream(const std::string& aName, bool aLeaving) {
  const Json vm{{"name", aName},
                {"failure_domain", "hall-a"},
                {"role", "upstream"},
                {"address", this->AddressOf(aName)},
                {"leaving", aLeaving}};
  this->Put("http://" + this->platform->Address() + "/v1/vms/" + aName,
            vm.dump());
}

HttpCallResult LocalDomain::Call(const EntryDaemon& aDaemon,
                                 const std::string& aMethod,
                                 const std::string& aPath,
                                 const std::string& aBody,
                                 HttpHeaders aHeaders) {
  HttpCall call;
  call.method = aMethod;
  call.url = "http://" + aDaemon.Settings().listen + aPath;
  call.body = aBody;
  call.headers = std::move(aHeaders);
  call.timeout = 60s;
  if (FindHeader(call.headers, "Authorization").empty()) {
    call.headers.push_back({"Authorization", "Bearer test-key"});
  }
  return FetchBlocking(call);
}

Json LocalDomain::Admin(const EntryDaemon& aDaemon, const std::string& aPath) {
  HttpCall call;
  call.url = "http://" + aDaemon.Settings().adminListen + aPath;
  return Json::parse(FetchBlocking(call).body, nullptr, false);
}

HttpCallResult LocalDomain::Complete(const EntryDaemon& aDaemon,
                                     const std::string& aPrompt, int aTokens,
                                     HttpHeaders aHeaders) {
  const Json body{
      {"model", "demo"}, {"prompt", aPrompt}, {"max_tokens", aTokens}};
  return this->Call(aDaemon, "POST", "/v1/completions", body.dump(),
                    std::move(aHeaders));
}

std::string LocalDomain::ExpectedText(const std::string& aPrompt,
                                      int aTokens) const {
  const standins::LayerMath math("demo", "v1", "");
  std::string text;
  for (const std::int32_t token : math.Answer(kLayers, aPrompt, aTokens)) {
    text += standins::LayerMath::TextOf(token);
  }
  return text;
}

Json LocalDomain::Runs() {
  HttpCall call;
  call.url = "http://" + this->service->Address() + "/v1/runs";
  return Json::parse(FetchBlocking(call).body, nullptr, false);
}

double LocalDomain::EngineLoadOf(const std::string& aName) {
  HttpCall call;
  call.url = "http://" + this->AddressOf(aName) + "/v1/load";
  const Json json = Json::parse(FetchBlocking(call).body, nullptr, false);
  return json.is_object() ? json.value("sequences", 0.0) : -1;
}

}  // namespace zincstep
