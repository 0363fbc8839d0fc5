#include "Client/Commands.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "Zincstep/Core/ForeignJson.h"
#include "Zincstep/Net/Net.h"

namespace zincstep::client {

namespace {

using Json = nlohmann::json;

constexpr Micros kProgressInterval = 200ms;
constexpr int kMaxReadAttempts = 6;

PlatformSettings MakePlatformSettings(const ClientSettings& aSettings) {
  PlatformSettings settings;
  settings.address = aSettings.platform;
  return settings;
}

/// Returns a unique name for the writer of one write.
std::string MakeWriterName() {
  std::random_device device;
  char name[64];
  std::snprintf(name, sizeof name, "%08x%08x-%d", device(), device(),
                static_cast<int>(getpid()));
  return name;
}

Json ChangesToJson(const std::vector<ConfigurationChange>& aChanges) {
  Json list = Json::array();
  for (const ConfigurationChange& change : aChanges) {
    list.push_back(
        {{"change", NameIn(kChangeNames, change.kind)}, {"item", change.item}});
  }
  return list;
}

std::string FormatLayers(const Json& aLayers) {
  return std::to_string(aLayers.at(0).get<int>()) + "-" +
         std::to_string(aLayers.at(1).get<int>());
}

std::string FormatDecimal(double aValue) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", aValue);
  return text;
}

}  // namespace

Commands::Commands(ClientSettings aSettings)
    : settings(std::move(aSettings)),
      store(MakeRetryingReads(
          MakeHttpKeyValueStore(MakePlatformSettings(this->settings)),
          kMaxReadAttempts)),
      configurations(*this->store) {}

ExitStatus Commands::Run(const std::vector<std::string>& aArguments) {
  const std::string command = aArguments.empty() ? "" : aArguments[0];
  const bool takesFile =
      command == "check" || command == "diff" || command == "apply";
  const std::size_t expectedArguments =
      takesFile || command == "explain" ? 2 : 1;
  if (aArguments.size() != expectedArguments) {
    std::fprintf(stderr, "zincstep: expected a command%s. Try --help.\n",
                 expectedArguments == 2 ? " with one argument" : "");
    return ExitStatus::Usage;
  }
  if (command == "check") {
    return this->Check(aArguments[1]);
  }
  const bool queriesDaemon = command == "upstreams" || command == "chains" ||
                             command == "organisations" ||
                             command == "explain" || command == "drain" ||
                             command == "daemon";
  if (queriesDaemon && this->settings.daemon.empty()) {
    std::fprintf(stderr, "zincstep: %s needs --daemon\n", command.c_str());
    return ExitStatus::Usage;
  }
  if (!queriesDaemon && this->settings.platform.empty()) {
    std::fprintf(stderr, "zincstep: %s needs --platform\n", command.c_str());
    return ExitStatus::Usage;
  }
  if (command == "diff") {
    return this->Diff(aArguments[1]);
  }
  if (command == "apply") {
    return this->Apply(aArguments[1]);
  }
  if (command == "get") {
    return this->Get();
  }
  if (command == "status") {
    return this->Status();
  }
  if (command == "collect") {
    return this->Collect();
  }
  if (command == "upstreams") {
    return this->Upstreams();
  }
  if (command == "organisations") {
    return this->Organisations();
  }
  if (command == "chains") {
    return this->Chains();
  }
  if (command == "daemon") {
    return this->QueryDaemon("/v1/status");
  }
  if (command == "explain") {
    return this->QueryDaemon("/v1/explain?request=" + aArguments[1]);
  }
  if (command == "drain") {
    return this->Drain();
  }
  std::fprintf(stderr, "zincstep: no command '%s'. Try --help.\n",
               command.c_str());
  return ExitStatus::Usage;
}

Result<std::string> Commands::ReadValidFile(const std::string& aFile) {
  std::ifstream file(aFile);
  if (!file) {
    return Fail(ErrorKind::BadRequest, "cannot read " + aFile);
  }
  std::ostringstream text;
  text << file.rdbuf();
  const ParsedConfiguration parsed = ParseConfiguration(text.str());
  if (parsed.IsValid()) {
    return text.str();
  }
  std::string message = aFile + " is not valid:";
  for (const ConfigurationError& error : parsed.errors) {
    message += "\n  " + error.Describe();
  }
  return Fail(ErrorKind::ConfigInvalid, message);
}

ExitStatus Commands::Check(const std::string& aFile) {
  const Result<std::string> yaml = this->ReadValidFile(aFile);
  if (!yaml) {
    return PrintError(yaml.error());
  }
  if (this->settings.json) {
    PrintJson({{"valid", true}});
  } else {
    std::printf("%s is valid\n", aFile.c_str());
  }
  return ExitStatus::Ok;
}

void Commands::PrintChanges(const std::vector<ConfigurationChange>& aChanges) {
  if (this->settings.json) {
    PrintJson({{"changes", ChangesToJson(aChanges)}});
    return;
  }
  for (const ConfigurationChange& change : aChanges) {
    const auto name = NameIn(kChangeNames, change.kind);
    std::printf("%-8.*s %s\n", static_cast<int>(name.size()), name.data(),
                change.item.c_str());
  }
}

ExitStatus Commands::Diff(const std::string& aFile) {
  const Result<std::string> yaml = this->ReadValidFile(aFile);
  if (!yaml) {
    return PrintError(yaml.error());
  }
  const auto stored = this->configurations.Load(nullptr);
  if (!stored) {
    return PrintError(stored.error());
  }
  const ConfigurationPieces before =
      *stored ? (*stored)->pieces : ConfigurationPieces{};
  const auto changes = CompareConfigurations(before, SplitConfiguration(*yaml));
  this->PrintChanges(changes);
  return changes.empty() ? ExitStatus::Ok : ExitStatus::Different;
}

void Commands::ExplainConflict(const StoredConfiguration* aBase) {
  const auto current = this->configurations.Load(nullptr);
  if (!current || !*current) {
    return;
  }
  const ConfigurationPieces before =
      aBase == nullptr ? ConfigurationPieces{} : aBase->pieces;
  const auto changes = CompareConfigurations(before, (*current)->pieces);
  std::fprintf(stderr,
               "zincstep: revision %llu is accepted now; changes since the "
               "base of this apply:\n",
               static_cast<unsigned long long>((*current)->root.revision));
  for (const ConfigurationChange& change : changes) {
    const auto name = NameIn(kChangeNames, change.kind);
    std::fprintf(stderr, "  %-8.*s %s\n", static_cast<int>(name.size()),
                 name.data(), change.item.c_str());
  }
}

ExitStatus Commands::Apply(const std::string& aFile) {
  const Result<std::string> yaml = this->ReadValidFile(aFile);
  if (!yaml) {
    return PrintError(yaml.error());
  }
  const auto stored = this->configurations.Load(nullptr);
  if (!stored) {
    return PrintError(stored.error());
  }
  const std::uint64_t acceptedRevision = *stored ? (*stored)->root.revision : 0;
  const bool isBaseCurrent =
      this->settings.base < 0 ||
      static_cast<std::uint64_t>(this->settings.base) == acceptedRevision;
  if (!isBaseCurrent) {
    return PrintError({ErrorKind::ConfigConflict,
                       "the accepted revision is " +
                           std::to_string(acceptedRevision) + ", not " +
                           std::to_string(this->settings.base),
                       {}});
  }
  const ConfigurationPieces before =
      *stored ? (*stored)->pieces : ConfigurationPieces{};
  if (!this->settings.json) {
    this->PrintChanges(
        CompareConfigurations(before, SplitConfiguration(*yaml)));
  }
  const Result<ApplyOutcome> outcome =
      this->configurations.Apply(*yaml, *stored, MakeWriterName(), &WallMicros);
  if (!outcome) {
    const ExitStatus status = PrintError(outcome.error());
    if (status == ExitStatus::Conflict) {
      this->ExplainConflict(*stored ? &**stored : nullptr);
    }
    return status;
  }
  if (this->settings.json) {
    PrintJson(
        {{"revision", outcome->revision}, {"unchanged", outcome->unchanged}});
  } else {
    std::printf("revision %llu %s\n",
                static_cast<unsigned long long>(outcome->revision),
                outcome->unchanged ? "is already accepted" : "is accepted");
  }
  return this->WaitUntilActive(outcome->revision);
}

Result<std::vector<DomainStatus>> Commands::ReadDomains() {
  const auto values = this->store->List(kStatusPrefix);
  if (!values) {
    return tl::unexpected(values.error());
  }
  std::vector<DomainStatus> domains;
  for (const KeyedValue& value : *values) {
    Result<DomainStatus> status = ReadDomainStatus(value.stored.value);
    if (status) {
      domains.push_back(std::move(*status));
    }
  }
  return domains;
}

ExitStatus Commands::WaitUntilActive(std::uint64_t aRevision) {
  const SystemClock clock;
  const Instant deadline = clock.Now() + this->settings.wait;
  const bool showsProgress = isatty(STDOUT_FILENO) != 0 && !this->settings.json;
  while (this->settings.wait > 0us) {
    const auto domains = this->ReadDomains();
    std::size_t total = 0;
    std::size_t active = 0;
    for (const DomainStatus& domain :
         domains.value_or(std::vector<DomainStatus>())) {
      for (const DaemonStatus& daemon : domain.daemons) {
        total += 1;
        active += daemon.revision >= aRevision ? 1 : 0;
      }
    }
    if (showsProgress) {
      std::printf("\ractive on %zu of %zu daemons", active, total);
      std::fflush(stdout);
    }
    if (total > 0 && active == total) {
      if (!this->settings.json) {
        std::printf("%sactive on all %zu daemons\n", showsProgress ? "\r" : "",
                    total);
      }
      return ExitStatus::Ok;
    }
    if (clock.Now() >= deadline) {
      std::fprintf(stderr, "\nzincstep: active on %zu of %zu daemons\n", active,
                   total);
      return ExitStatus::NotActive;
    }
    std::this_thread::sleep_for(kProgressInterval);
  }
  return ExitStatus::Ok;
}

ExitStatus Commands::Get() {
  const auto stored = this->configurations.Load(nullptr);
  if (!stored) {
    return PrintError(stored.error());
  }
  if (!*stored) {
    return PrintError(
        {ErrorKind::BadRequest, "no file has been applied yet", {}});
  }
  const Result<std::string> file = JoinConfiguration((*stored)->pieces);
  if (!file) {
    return PrintError(file.error());
  }
  std::printf("# revision %llu\n%s\n",
              static_cast<unsigned long long>((*stored)->root.revision),
              file->c_str());
  return ExitStatus::Ok;
}

ExitStatus Commands::Status() {
  const auto root = this->store->Get(kRootKey);
  const auto domains = this->ReadDomains();
  if (!root || !domains) {
    return PrintError(root ? domains.error() : root.error());
  }
  std::uint64_t revision = 0;
  if (*root) {
    const auto parsedRoot = ReadRoot((*root)->value);
    revision = parsedRoot ? parsedRoot->revision : 0;
  }
  if (this->settings.json) {
    Json list = Json::array();
    for (const DomainStatus& domain : *domains) {
      list.push_back(ParseForeignJsonOrThrow(WriteDomainStatus(domain)));
    }
    PrintJson({{"revision", revision}, {"failure_domains", list}});
    return ExitStatus::Ok;
  }
  std::printf("accepted revision %llu\n\n",
              static_cast<unsigned long long>(revision));
  Table table({"FAILURE DOMAIN", "VM", "IN FORCE", "STATE", "LAST HEARD"});
  for (const DomainStatus& domain : *domains) {
    for (const DaemonStatus& daemon : domain.daemons) {
      std::string state = daemon.isLive ? "heard" : "silent";
      state = daemon.isStopping ? "stopping" : state;
      table.Add({domain.failureDomain, daemon.vm,
                 std::to_string(daemon.revision), state,
                 daemon.isLive ? "as of " + AgeOf(domain.writtenAt)
                               : AgeOf(daemon.lastSeenAt)});
    }
  }
  table.Print();
  for (const DomainStatus& domain : *domains) {
    for (const auto& [upstream, reason] : domain.stuck) {
      std::printf("\n%s: %s does not match its declaration: %s",
                  domain.failureDomain.c_str(), upstream.c_str(),
                  reason.c_str());
    }
  }
  std::printf("\n");
  return ExitStatus::Ok;
}

ExitStatus Commands::Collect() {
  const auto unused = this->configurations.CollectUnused({});
  if (!unused) {
    return PrintError(unused.error());
  }
  // Lets a writer that has written its pieces but not yet its root finish, so
  // that its pieces are not removed.
  std::this_thread::sleep_for(this->settings.wait);
  const auto stillUnused = this->configurations.CollectUnused(*unused);
  if (!stillUnused) {
    return PrintError(stillUnused.error());
  }
  std::printf("removed %zu unused pieces\n",
              unused->size() - stillUnused->size());
  return ExitStatus::Ok;
}

Result<Json> Commands::Fetch(const std::string& aMethod,
                             const std::string& aPath) {
  HttpCall call;
  call.method = aMethod;
  call.url = "http://" + this->settings.daemon + aPath;
  const HttpCallResult result = FetchBlocking(call);
  if (result.end != CallEnd::Answered) {
    return Fail(ErrorKind::PlatformUnavailable,
                this->settings.daemon + " did not respond: " + result.fault);
  }
  Result<Json> json = ParseForeignJson(result.body);
  if (result.status != 200 || !json || !json->is_object()) {
    return Fail(ErrorKind::BadRequest, result.body);
  }
  return json;
}

ExitStatus Commands::QueryDaemon(const std::string& aPath) {
  const Result<Json> json = this->Fetch("GET", aPath);
  if (!json) {
    return PrintError(json.error());
  }
  if (this->settings.json) {
    PrintJson(*json);
  } else {
    std::printf("%s\n", WriteJson(*json, 2).c_str());
  }
  return ExitStatus::Ok;
}

template <class Fill>
ExitStatus Commands::Show(const std::string& aPath, Table aTable, Fill aFill) {
  const Result<Json> json = this->Fetch("GET", aPath);
  if (!json) {
    return PrintError(json.error());
  }
  if (this->settings.json) {
    PrintJson(*json);
    return ExitStatus::Ok;
  }
  aFill(*json, aTable);
  aTable.Print();
  return ExitStatus::Ok;
}

ExitStatus Commands::Upstreams() {
  const auto fill = [](const Json& aJson, Table& aTable) {
    for (const Json& item : aJson.at("upstreams")) {
      aTable.Add({item.at("name"), item.at("model"), item.at("failure_domain"),
                  item.at("kind"), FormatLayers(item.at("layers")),
                  item.at("version"), item.at("state"),
                  FormatDecimal(item.at("sequences")),
                  FormatDecimal(item.at("step_ratio"))});
    }
  };
  return this->Show(
      "/v1/upstreams",
      Table({"UPSTREAM", "MODEL", "FAILURE DOMAIN", "KIND", "LAYERS", "VERSION",
             "STATE", "SEQUENCES", "STEP RATIO"}),
      fill);
}

ExitStatus Commands::Organisations() {
  const auto fill = [](const Json& aJson, Table& aTable) {
    for (const Json& item : aJson.at("organisations")) {
      aTable.Add({item.at("name"), FormatDecimal(item.at("weight")),
                  item.at("priority"),
                  FormatDecimal(item.at("tokens_per_second")),
                  FormatDecimal(item.at("tokens_served"))});
    }
  };
  return this->Show(
      "/v1/organisations",
      Table({"ORGANISATION", "WEIGHT", "PRIORITY", "LIMIT", "SERVED HERE"}),
      fill);
}

ExitStatus Commands::Chains() {
  const auto fill = [](const Json& aJson, Table& aTable) {
    for (const Json& model : aJson.at("chains")) {
      for (const Json& path : model.at("paths")) {
        std::string route;
        for (const Json& hop : path.at("hops")) {
          route += (route.empty() ? "" : " > ") +
                   FormatLayers(hop.at("layers")) + " " +
                   hop.at("first_of_group").get<std::string>() + "(" +
                   std::to_string(hop.at("members").get<int>()) + ")";
        }
        aTable.Add({model.at("model"), model.at("version"),
                    FormatDecimal(path.at("tokens_per_second")),
                    FormatDecimal(path.at("step_ms")), route});
      }
    }
  };
  return this->Show("/v1/chains",
                    Table({"MODEL", "VERSION", "TOKENS/S", "STEP MS", "WAY"}),
                    fill);
}

ExitStatus Commands::Drain() {
  const Result<Json> json = this->Fetch("POST", "/v1/drain");
  if (!json) {
    return PrintError(json.error());
  }
  std::printf("%s is stopping: it finishes the requests it has begun\n",
              this->settings.daemon.c_str());
  return ExitStatus::Ok;
}

}  // namespace zincstep::client
