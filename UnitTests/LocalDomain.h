#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "StandIns/EngineStandIn.h"
#include "StandIns/PlatformStandIn.h"
#include "StandIns/ServiceStandIn.h"
#include "Zincstep/Entry/EntryDaemon.h"
#include "Zincstep/Net/Net.h"

namespace zincstep {

/// A stand-in that runs on its own thread until it is destroyed.
template <class StandIn>
class Running {
 public:
  template <class... Args>
  explicit Running(Args&&... aArgs)
      : standIn(std::make_unique<StandIn>(std::forward<Args>(aArgs)...)) {
    ZINCSTEP_ASSERT(this->standIn->Start().has_value());
    this->port = this->standIn->Server().Port();
    this->thread = std::thread([this] { this->standIn->Run(); });
  }

  ~Running() {
    this->standIn->Server().Quit();
    this->thread.join();
  }

  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  std::unique_ptr<StandIn> standIn;
  std::uint16_t port = 0;
  std::thread thread;
};

/// Settings of one engine of a local domain.
struct EngineSpec {
  std::string name;
  LayerRange layers;
  Micros layerStep = 200us;
  std::string domain = "hall-a";
  bool checksFence = false;
};

/// Real daemons in front of stand-ins, in this process, on ephemeral ports.
///
/// All engines serve one model of 12 layers. The bearer key is `test-key`, the
/// organisation `tester`, and the service `ledger` under `/ledger/`.
class LocalDomain {
 public:
  explicit LocalDomain(std::vector<EngineSpec> aEngines,
                       std::vector<std::string> aDomains = {"hall-a"});
  ~LocalDomain();

  /// Starts a daemon, lists its VM and waits until the daemon is ready.
  EntryDaemon& AddDaemon(const std::string& aVm,
                         const std::string& aDomain = "hall-a");
  /// The same, with these settings.
  EntryDaemon& AddDaemon(const EntrySettings& aSettings);
  /// Adds a daemon with these settings to the VM list.
  void ListEntry(const EntrySettings& aSettings);
  /// Applies the current configuration file; returns its revision.
  std::uint64_t Apply();
  /// Kills an engine and closes its port.
  void KillEngine(const std::string& aName);
  /// Injects faults into an engine, as JSON.
  void EngineFault(const std::string& aName, const std::string& aJson);
  /// Injects faults into the service, as JSON.
  void ServiceFault(const std::string& aJson);
  /// Injects faults into the platform, as JSON.
  void PlatformFault(const std::string& aJson);
  /// Adds an upstream to the VM list, or updates it.
  void ListUpstream(const std::string& aName, bool aLeaving);
  /// Waits until the newest member list of every daemon has `aMembers` members.
  void WaitMembers(std::size_t aMembers);

  /// Calls a daemon, with the test's bearer key unless `aHeaders` has another.
  HttpCallResult Call(const EntryDaemon& aDaemon, const std::string& aMethod,
                      const std::string& aPath, const std::string& aBody,
                      HttpHeaders aHeaders = {});
  /// Sends a GET request to a daemon's operators' API.
  nlohmann::json Admin(const EntryDaemon& aDaemon, const std::string& aPath);
  /// Sends a completion request and returns its result.
  HttpCallResult Complete(const EntryDaemon& aDaemon,
                          const std::string& aPrompt, int aTokens,
                          HttpHeaders aHeaders = {});
  /// Returns the text of the correct answer.
  std::string ExpectedText(const std::string& aPrompt, int aTokens) const;
  /// Returns how many times the service has run each call.
  nlohmann::json Runs();
  /// Returns the sequences that an engine reports, or -1 if it does not
  /// respond.
  double EngineLoadOf(const std::string& aName);

  /// Returns settings of a daemon with short intervals.
  EntrySettings BaseSettings(const std::string& aVm,
                             const std::string& aDomain) const;
  /// The configuration file, for changes before `Apply`.
  std::string& File() { return this->file; }
  std::vector<std::unique_ptr<EntryDaemon>>& Daemons() { return this->daemons; }

  /// Polls `aDone` until it returns true; returns false after 60 s.
  static bool Eventually(const std::function<bool()>& aDone);

 private:
  std::string AddressOf(const std::string& aEngine) const;
  void WriteFile(const std::vector<std::string>& aDomains);
  void Put(const std::string& aUrl, const std::string& aBody);

  std::vector<EngineSpec> specs;
  std::unique_ptr<Running<standins::PlatformStandIn>> platform;
  std::unique_ptr<Running<standins::ServiceStandIn>> service;
  std::vector<std::unique_ptr<Running<standins::EngineStandIn>>> engines;
  std::vector<std::string> engineAddresses;
  std::string file;
  std::vector<std::unique_ptr<EntryDaemon>> daemons;
};

}  // namespace zincstep
