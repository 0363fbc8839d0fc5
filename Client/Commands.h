#pragma once

#include <string>
#include <vector>

#include "Client/Console.h"
#include "Zincstep/Control/Control.h"

namespace zincstep::client {

/// Settings of the operators' client.
struct ClientSettings {
  /// Address of the platform's services, written host:port.
  std::string platform;
  /// Operators' address of a daemon, for commands that query one.
  std::string daemon;
  /// Whether to print JSON instead of text.
  bool json = false;
  /// Revision that `apply` expects to be accepted; -1 for any.
  std::int64_t base = -1;
  /// Time that `apply` waits until the revision is active on all daemons, and
  /// `collect` between its two passes.
  Micros wait = 10s;
};

/// The commands of the operators' client.
class Commands {
 public:
  explicit Commands(ClientSettings aSettings);

  /// Runs the command named by the first argument.
  ExitStatus Run(const std::vector<std::string>& aArguments);

 private:
  ExitStatus Check(const std::string& aFile);
  ExitStatus Diff(const std::string& aFile);
  ExitStatus Apply(const std::string& aFile);
  ExitStatus Get();
  ExitStatus Status();
  ExitStatus Collect();
  ExitStatus Drain();
  ExitStatus QueryDaemon(const std::string& aPath);
  /// Prints a list of a daemon as JSON or as a table; `aFill` adds the rows.
  template <class Fill>
  ExitStatus Show(const std::string& aPath, Table aTable, Fill aFill);
  ExitStatus Upstreams();
  ExitStatus Organisations();
  ExitStatus Chains();

  Result<std::string> ReadValidFile(const std::string& aFile);
  Result<std::vector<DomainStatus>> ReadDomains();
  Result<nlohmann::json> Fetch(const std::string& aMethod,
                               const std::string& aPath);
  ExitStatus WaitUntilActive(std::uint64_t aRevision);
  void PrintChanges(const std::vector<ConfigurationChange>& aChanges);
  void ExplainConflict(const StoredConfiguration* aBase);

  ClientSettings settings;
  std::unique_ptr<KeyValueStore> store;
  ConfigurationStore configurations;
};

}  // namespace zincstep::client
