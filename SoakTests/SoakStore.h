#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Zincstep/Core/Random.h"
#include "Zincstep/Net/CallerListener.h"

namespace zincstep::soak {

/// Stand-in for the operators' store: keys, ranges, watches, conditional
/// transactions and leases, by its published protocol.
class SoakStore final : public CallerHandler {
 public:
  SoakStore(asio::io_context& aLoop, const Clock& aClock);

  std::uint16_t Port() const { return this->listener.Port(); }
  /// While the store is down, each call fails with 503 and has no effect.
  void SetDown(bool aIsDown) { this->isDown = aIsDown; }
  /// Transactions that put keys are applied, but their responses are dropped.
  void SetDropsResponses(bool aLoses) { this->dropsResponses = aLoses; }
  /// Writes or removes a key on behalf of the operator or an upstream.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /// Restores the oldest backup that is at most `aAge` old: revisions go back;
  /// leases and keys that the daemons wrote since are lost. Changes made by
  /// `Put` and `Remove` are repeated, each after a random delay of up to
  /// `aRewrite`. Does nothing if there is no such backup.
  void Restore(Micros aAge, Micros aRewrite, Random& aRandom);
  /// Expires leases and watches, takes backups and applies pending rewrites.
  void Tick();

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection& aConnection) override;

 private:
  using Json = nlohmann::json;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t revision = 0;
    /// Empty if the key was removed.
    std::optional<std::string> value;
  };
  struct PendingWatch {
    std::shared_ptr<CallerConnection> connection;
    std::string prefix;
    std::uint64_t after = 0;
    Instant expiresAt;
  };
  struct Lease {
    Micros ttl{0};
    Instant expiresAt;
  };

  /// A snapshot of the store's state.
  struct Backup {
    Instant at;
    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 0;
  };
  struct Rewrite {
    Instant at;
    std::string key;
  };

  void TakeBackup(Instant aNow);
  void ApplyRewrites(Instant aNow);
  Json EncodeItem(const std::string& aKey, const Item& aItem) const;
  void Range(CallerConnection& aConnection, const std::string& aQuery);
  void Watch(const std::shared_ptr<CallerConnection>& aConnection,
             const std::string& aQuery);
  void Commit(CallerConnection& aConnection, const Json& aBody);
  void GrantLease(CallerConnection& aConnection, const Json& aBody);
  void RenewLease(CallerConnection& aConnection, std::uint64_t aLease);
  void EndLease(std::uint64_t aLease);
  void Set(const std::string& aKey, const std::string& aValue,
           std::uint64_t aLease);
  /// Responds to a watch that has changes or has expired; returns whether the
  /// watch is finished.
  bool Notify(const PendingWatch& aWatch, bool aHasExpired);
  void NotifyAll();
  void Reply(CallerConnection& aConnection, int aStatus, const Json& aBody);

  const Clock& clock;
  CallerListener listener;
  std::map<std::string, Item> items;
  std::vector<Change> history;
  std::vector<PendingWatch> pendingWatches;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 1;
  std::uint64_t era = 1;
  /// Changes after this revision are in the history. A watch from an earlier
  /// revision, or from one that does not exist yet, fails with 410.
  std::uint64_t historyFrom = 0;
  std::vector<Backup> backups;
  Instant nextBackup{};
  /// Last values written by the operator and the upstreams; empty if removed.
  std::map<std::string, std::optional<std::string>> externalValues;
  std::vector<Rewrite> rewrites;
  std::uint64_t lastLease = 0;
  bool isDown = false;
  bool dropsResponses = false;
};

}  // namespace zincstep::soak
